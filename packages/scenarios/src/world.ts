import { createSeededRandom } from '@fuchsiastage/membership'
import { claimPartition } from '@fuchsiastage/claims'
import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import { createDaemonCore, createPeerCalls, runPlannedStop, type DaemonCore, type EntryList } from '@fuchsiastage/daemon'
import { createMemoryLogService, type MemoryLogService } from '@fuchsiastage/log-client'
import { createLogger } from '@fuchsiastage/logger'
import type { Settings } from '@fuchsiastage/settings'
import type { ConfigurationPatch, JsonValue, LoadOrder, PatchOutcome, VmListing, VmRecord, VmState } from '@fuchsiastage/types'
import { createCallers, type Callers, type CallerRequest } from './caller.js'
import { completeDeployment, daemonSettings, initialChanges, vmRecord } from './deployment.js'
import { createFakeTarget, type FakeTarget } from './fake-target.js'
import { createInvariants, type Invariants } from './invariants.js'
import { createLinks, type Links } from './links.js'
import { createLogPort } from './log-port.js'
import { createPeerTransport } from './peer-transport.js'
import { createProcessGate, type ProcessGate } from './process-gate.js'
import { deriveSeed } from './random.js'
import type { Action, Deployment, WhenStep } from './scenario-schema.js'
import { createTargetPort } from './target-port.js'
import type { TimelineEvent } from './timeline.js'

/** One process of a daemon. A VM that is started again gets a new process. */
export interface DaemonProcess {
  readonly name: string
  readonly vm: VmRecord
  readonly settings: Settings
  readonly gate: ProcessGate
  readonly core: DaemonCore
  readonly startedAt: number
  /** `stopping`: a planned stop is in progress. It waits until no caller uses the daemon as an entry, then until the open requests have ended. */
  phase: 'running' | 'stopping' | 'stopped' | 'killed'
  /** Whether the daemon accepts connections from callers. */
  acceptsConnections: boolean
  stopStartedAt: number | undefined
}

export interface PatchRecord {
  readonly name: string
  readonly patch: ConfigurationPatch
  outcome: PatchOutcome | undefined
  /** Time at which the record of the patch was appended to the stream. */
  appendedAt: number | undefined
  acknowledgedAt: number | undefined
}

/** State of one scenario run: the daemons, the fakes with their faults, and the observed events. */
export interface World {
  readonly clock: ManualClock
  readonly deployment: Deployment
  readonly links: Links
  readonly log: MemoryLogService
  readonly daemons: ReadonlyMap<string, DaemonProcess>
  readonly targets: ReadonlyMap<string, FakeTarget>
  readonly patches: ReadonlyMap<string, PatchRecord>
  readonly requests: ReadonlyMap<string, CallerRequest>
  readonly events: readonly TimelineEvent[]
  readonly eventCounts: ReadonlyMap<string, number>
  readonly violations: readonly string[]
  readonly invariants: Invariants
  readonly recordEvent: (text: string, name?: string) => void
  readonly recordViolation: (text: string) => void
  /** Whether the daemon can reach the log service. */
  readonly canReachLog: (daemon: string) => boolean
  readonly keyOf: (name: string) => string
  readonly processAt: (address: string) => DaemonProcess | undefined
  readonly resolveName: (name: string) => string
  readonly placementHolder: () => string | undefined
  readonly leavingSince: (target: string) => number | undefined
  readonly begin: () => Promise<void>
  readonly advance: (milliseconds: number) => Promise<void>
  /** Carries out one action; `expect` is evaluated by the scenario runner instead. */
  readonly apply: (action: Action) => void
  readonly addTrigger: (step: WhenStep) => void
  readonly clearTriggers: () => void
  readonly end: () => Promise<void>
}

const CHECK_INTERVAL_MILLISECONDS = 500
const STARTUP_LIMIT_MILLISECONDS = 60_000

/** Log events of daemons that are copied into the timeline. */
const TIMELINE_EVENTS: ReadonlySet<string> = new Set([
  'lease-acquired', 'lease-lost', 'placement-taken-over', 'intent-rejected', 'load-sent', 'load-ended', 'replica-removal', 'reservation-released', 'claim-given-up', 'claim-replayed',
  'claim-late-grant', 'target-leaving', 'stream-resumed', 'stream-restarted', 'stream-gap', 'stream-status', 'snapshot-written', 'snapshot-mismatch', 'target-gone'
])

/**
 * Creates the simulated deployment of a scenario. `begin` starts its daemons and targets.
 *
 * @example
 * const world = createWorld(scenario.deployment, scenario.seed)
 * await world.begin()
 */
export function createWorld (definition: Deployment, seed: number): World {
  const deployment = completeDeployment(definition)
  const clock = createManualClock()
  const links = createLinks()
  const log = createMemoryLogService(clock)
  const daemons = new Map<string, DaemonProcess>()
  const targets = new Map<string, FakeTarget>()
  const vms = new Map<string, VmRecord>()
  const patches = new Map<string, PatchRecord>()
  const events: TimelineEvent[] = []
  const eventCounts = new Map<string, number>()
  const violations: string[] = []
  const keys = new Map<string, string>()
  const triggers = new Set<{ readonly step: WhenStep, remaining: number }>()
  const startCounts = new Map<string, number>()
  let listings: { readonly at: number, readonly listing: VmListing }[] = []
  let isLogDown = false
  let readyAt = 0
  let hasEnded = false

  const recordEvent = (text: string, name?: string): void => {
    if (name !== undefined) eventCounts.set(name, (eventCounts.get(name) ?? 0) + 1)
    events.push({ at: clock.now() - readyAt, text })
  }
  const recordViolation = (text: string): void => {
    if (hasEnded) return
    recordEvent(`VIOLATION ${text}`)
    violations.push(`${((clock.now() - readyAt) / 1_000).toFixed(3)} s: ${text}`)
  }

  const publishListing = (): void => { listings.push({ at: clock.now(), listing: { vms: [...vms.values()] } }) }
  const listing = (): VmListing => {
    const visible = listings.filter(({ at }) => at <= clock.now() - deployment.listLag)
    listings = listings.slice(Math.max(0, visible.length - 1))
    return visible.at(-1)?.listing ?? listings[0]?.listing ?? { vms: [] }
  }
  const leavingTimes = new Map<string, number>()
  const recordLeaving = (target: string, at: number): void => {
    const existing = leavingTimes.get(target)
    if (existing === undefined || at < existing) leavingTimes.set(target, at)
  }
  const leavingSince = (target: string): number | undefined => {
    const at = leavingTimes.get(target)
    return at !== undefined && at <= clock.now() ? at : undefined
  }

  const canReachLog = (daemon: string): boolean => !isLogDown && !links.isCut(daemon, 'log')
  const keyOf = (name: string): string => {
    const key = keys.get(name) ?? uuidVersion7(clock.wallNow(), keys.size + 1)
    keys.set(name, key)
    return key
  }

  const placementHolder = (): string | undefined => {
    for (const process of daemons.values()) {
      if (process.gate.state() !== 'running' || process.phase === 'stopped') continue
      const { holder } = process.core.status().placement
      if (holder !== null) return holder
    }
    return undefined
  }
  const runningDaemons = (): readonly DaemonProcess[] => [...daemons.values()].filter(({ gate, phase }) => gate.state() === 'running' && phase === 'running')
  const resolveName = (name: string): string => {
    if (!name.startsWith('$')) return name
    const holder = placementHolder()
    const otherDaemons = runningDaemons().map((process) => process.name).filter((daemon) => daemon !== holder)
    if (name === '$holder') return holder ?? otherDaemons[0] ?? 'entry-1'
    if (name === '$other') return otherDaemons[0] ?? 'entry-1'
    if (name === '$other2') return otherDaemons[1] ?? 'entry-1'
    const key = name.slice('$owner:'.length)
    const partition = claimPartition('office', keyOf(key), deployment.claimPartitions)
    for (const process of runningDaemons()) {
      const owner = process.core.status().claims.find((claims) => claims.partition === partition && claims.isOwner)
      if (owner !== undefined) return process.name
    }
    return 'entry-1'
  }

  const fireTriggers = (point: WhenStep['point'], daemon: string, kinds: readonly string[]): void => {
    for (const trigger of [...triggers]) {
      const { step } = trigger
      if (step.point !== point || (step.daemon !== undefined && step.daemon !== daemon)) continue
      if (step.kind !== undefined && !kinds.includes(step.kind)) continue
      if (--trigger.remaining > 0) continue
      triggers.delete(trigger)
      for (const action of step.do) apply(action)
    }
  }

  const invariants = createInvariants({
    clock,
    daemons,
    targets,
    patches,
    recordViolation,
    leavingSince,
    canReachLog,
    placementRecords: () => log.contents('placement.bc-coast').map(({ value }) => value)
  })

  const onAppend = (point: 'append' | 'appended', daemon: string, values: readonly JsonValue[]): void => {
    const records = values as readonly { readonly [field: string]: JsonValue }[]
    for (const record of records) {
      if (point === 'append' && record.kind === 'intent') invariants.recordIntent(String(record.orderId), Number(record.replicaLimit))
      if (point === 'appended' && record.kind === 'patch' && canReachLog(daemon)) {
        const name = (record.patch as { readonly patchId: string }).patchId
        const patch = patches.get(name)
        if (patch !== undefined) patch.appendedAt ??= clock.now()
      }
    }
    fireTriggers(point, daemon, records.map((record) => String(record.kind)))
  }

  const createProcess = (vm: VmRecord): DaemonProcess => {
    const settings = daemonSettings(deployment, vm)
    const gate = createProcessGate(clock)
    const startCount = (startCounts.get(vm.name) ?? 0) + 1
    startCounts.set(vm.name, startCount)
    const { name } = vm
    const sink = (line: string): void => {
      if (gate.state() === 'killed') return
      const fields = JSON.parse(line) as { readonly event?: string, readonly [field: string]: unknown }
      if (fields.event === undefined || !TIMELINE_EVENTS.has(fields.event)) return
      if (fields.event === 'snapshot-mismatch') recordViolation(`${name} found a snapshot that differs from its own state`)
      const shown = ['peer', 'target', 'model', 'stream', 'epoch', 'outcome', 'status'].flatMap((key) => fields[key] === undefined ? [] : [`${key}=${String(fields[key])}`])
      recordEvent(`${name} ${fields.event} ${shown.join(' ')}`.trimEnd(), fields.event)
    }
    const client = createPeerTransport({
      from: name,
      gate,
      links,
      find: (address) => {
        const process = [...daemons.values()].find(({ vm: { peerAddress } }) => peerAddress === address)
        if (process === undefined || process.phase === 'killed' || process.phase === 'stopped') return undefined
        return { name: process.name, gate: process.gate, handlers: () => process.core.peerHandlers }
      },
      defaultTimeoutMilliseconds: settings.peers.timeoutMilliseconds,
      onSend: (message, to) => fireTriggers('peer', name, [message, to])
    })
    const core = createDaemonCore({
      settings,
      clock: gate.clock,
      logger: createLogger({ clock, process: name, level: 'info', sink }),
      random: createSeededRandom(deriveSeed(seed, `${name}/${startCount}`)),
      ports: {
        logService: createLogPort({ daemon: name, gate, links, service: log, onAppend: (point, _stream, values) => onAppend(point, name, values) }),
        targets: createTargetPort({
          daemon: name,
          gate,
          links,
          find: (address) => [...targets.values()].find((target) => vms.get(target.name)?.address === address),
          listing,
          onSend: (record) => { if (gate.state() !== 'killed') invariants.recordSend(record) },
          onPoint: (point, target, kind) => fireTriggers(point, name, [target, kind]),
          connectTimeoutMilliseconds: 1_000,
          firstByteMilliseconds: settings.streams.firstByteMilliseconds
        }),
        connectPeers: (lookups) => createPeerCalls({
          ...lookups,
          daemon: name,
          client,
          timeoutMilliseconds: settings.peers.timeoutMilliseconds,
          claimTimeoutMilliseconds: settings.claims.timeoutMilliseconds
        })
      }
    })
    return { name, vm, settings, gate, core, startedAt: clock.now(), phase: 'running', acceptsConnections: true, stopStartedAt: undefined }
  }

  const processAt = (address: string): DaemonProcess | undefined => [...daemons.values()].find(({ vm }) => vm.address === address)

  const callers: Callers = createCallers({
    clock,
    seed,
    deployment,
    recordEvent,
    recordViolation,
    keyOf,
    processes: () => [...daemons.values()],
    processAt,
    entriesOf: (process: DaemonProcess, address: string): EntryList => process.core.entries(address),
    runCountOf: (request) => [...targets.values()].reduce((sum, target) => sum + (target.counts.runs.get(request) ?? 0), 0)
  })

  const startDaemon = (vm: VmRecord): void => {
    const process = createProcess(vm)
    daemons.set(vm.name, process)
    process.core.start()
  }

  const killDaemon = (process: DaemonProcess): void => {
    process.gate.kill()
    process.phase = 'killed'
    process.acceptsConnections = false
    callers.breakConnections(process)
  }

  const stopDaemon = (process: DaemonProcess): void => {
    if (process.phase !== 'running') return
    process.phase = 'stopping'
    process.stopStartedAt = clock.now()
    const closeCallersServer = async (): Promise<void> => {
      process.acceptsConnections = false
      await callers.whenIdle(process)
    }
    void runPlannedStop({ core: process.core, clock: process.gate.clock, settings: process.settings, closeCallersServer }).then(() => {
      if (process.phase !== 'stopping') return
      process.phase = 'stopped'
      vms.delete(process.name)
      publishListing()
      recordEvent(`${process.name} stopped`, 'stopped')
    })
  }

  const submitPatch = (name: string, at: string, base: number | undefined, changes: Readonly<Record<string, JsonValue>>, timeout: number): void => {
    const process = daemons.get(at)
    if (process === undefined || process.phase !== 'running') return
    const patch: ConfigurationPatch = {
      patchId: name,
      baseVersion: base ?? process.core.configuration.version(),
      operator: 'operator',
      note: name,
      changes: Object.entries(changes).map(([key, value]) => ({ key, value }))
    }
    const existing = patches.get(name)
    const record: PatchRecord = existing ?? { name, patch, outcome: undefined, appendedAt: undefined, acknowledgedAt: undefined }
    patches.set(name, record)
    const timeoutController = new AbortController()
    clock.setTimer(timeout, () => timeoutController.abort())
    void process.core.configuration.submit(record.patch, timeoutController.signal).then(async (outcome) => {
      await process.gate.pass('outgoing')
      // An operator may submit an undecided patch again, and then gets its final outcome.
      if (record.outcome !== undefined && record.outcome.kind !== 'undecided') {
        if (outcome.kind !== 'undecided' && outcome.kind !== record.outcome.kind) recordViolation(`patch ${name} was reported as ${record.outcome.kind} and then as ${outcome.kind}`)
        return
      }
      record.outcome = outcome
      if (outcome.kind === 'accepted') record.acknowledgedAt ??= clock.now()
      recordEvent(`${at} patch ${name} ${outcome.kind}${outcome.kind === 'accepted' ? ` as version ${outcome.version}` : ''}`, `patch-${outcome.kind}`)
    })
  }

  const setTarget = (fields: NonNullable<Action['target']>): void => {
    const target = targets.get(fields.name)
    if (target === undefined) throw new Error(`unknown target: ${fields.name}`)
    const { name: _name, frozen, leaving, restart, ...faults } = fields
    Object.assign(target.faults, faults)
    if (frozen === true) target.faults.isFrozen = true
    if (frozen === false) target.unfreeze()
    if (leaving !== undefined) {
      target.setState(leaving ? 'leaving' : 'live')
      if (leaving && !target.faults.hidesLeaving) recordLeaving(target.name, clock.now())
    }
    if (restart === true) {
      target.kill()
      target.start()
    }
  }

  const setVmListState = (name: string, state: VmState | 'absent'): void => {
    const vm = vms.get(name)
    if (vm === undefined) return
    if (state === 'absent') vms.delete(name)
    else vms.set(name, { ...vm, state })
    if (state === 'leaving') recordLeaving(name, clock.now() + deployment.listLag)
    publishListing()
  }

  const setLog = (fields: NonNullable<Action['log']>): void => {
    if (fields.state !== undefined) {
      isLogDown = fields.state === 'down'
      log.setDown(isLogDown)
    }
    if (fields.loseReplies !== undefined) log.loseReplies(fields.loseReplies)
    if (fields.loseRequests !== undefined) log.loseRequests(fields.loseRequests)
    if (fields.expire !== undefined) {
      const newest = log.contents(fields.expire.stream).at(-1)?.offset ?? -1
      log.expire(fields.expire.stream, newest + 1 - fields.expire.keep)
    }
    if (fields.expireToSnapshot !== undefined) {
      const snapshot = log.contents(fields.expireToSnapshot).findLast(({ offset, value }) => {
        const record = value as { readonly kind?: string, readonly throughOffset?: number }
        return record.kind === 'snapshot' && record.throughOffset === offset - 1
      })
      if (snapshot !== undefined) log.expire(fields.expireToSnapshot, snapshot.offset)
    }
  }

  const expandLinkPairs = (pairs: readonly (readonly [string, string])[]): readonly (readonly [string, string])[] => pairs.flatMap(([left, right]) => {
    const leftName = resolveName(left)
    if (right === 'peers') return [...daemons.keys()].filter((daemon) => daemon !== leftName).map((daemon) => [leftName, daemon] as const)
    return [[leftName, resolveName(right)] as const]
  })

  const killProcess = (name: string): void => {
    const process = daemons.get(name)
    if (process !== undefined) killDaemon(process)
    else targets.get(name)?.kill()
  }

  const startProcess = (name: string): void => {
    const target = targets.get(name)
    if (target !== undefined) {
      target.start()
      return
    }
    const process = daemons.get(name)
    if (process === undefined || process.phase === 'running' || process.phase === 'stopping') return
    const vm: VmRecord = { ...process.vm, state: 'live' }
    vms.set(name, vm)
    publishListing()
    startDaemon(vm)
  }

  function apply (action: Action): void {
    const [kind] = Object.keys(action)
    const recordAction = (text: string): void => recordEvent(`-- ${text}`)
    switch (kind as keyof Action) {
      case 'request':
        if (action.request !== undefined) callers.request({ ...action.request, at: resolveName(action.request.at) })
        return
      case 'burst':
        if (action.burst !== undefined) {
          recordAction(`burst ${action.burst.name} of ${action.burst.count}`)
          const { at } = action.burst
          callers.burst(action.burst, at === 'all' ? [...daemons.keys()] : [resolveName(at)])
        }
        return
      case 'clients':
        if (action.clients !== undefined) {
          recordAction(`clients ${action.clients.name}`)
          callers.clients(action.clients)
        }
        return
      case 'patch':
        if (action.patch !== undefined) {
          const at = resolveName(action.patch.at)
          recordAction(`patch ${action.patch.name} at ${at}`)
          submitPatch(action.patch.name, at, action.patch.base, action.patch.changes as Readonly<Record<string, JsonValue>>, action.patch.timeout)
        }
        return
      case 'kill': {
        const name = resolveName(action.kill ?? '')
        recordAction(`kill ${name}`)
        killProcess(name)
        return
      }
      case 'pause': {
        const name = resolveName(action.pause ?? '')
        recordAction(`pause ${name}`)
        daemons.get(name)?.gate.pause()
        return
      }
      case 'resume':
        for (const process of daemons.values()) {
          if (action.resume !== 'all' && process.name !== action.resume) continue
          if (process.gate.state() === 'paused') recordAction(`resume ${process.name}`)
          process.gate.resume()
        }
        return
      case 'start':
        recordAction(`start ${action.start ?? ''}`)
        startProcess(action.start ?? '')
        return
      case 'stop': {
        const name = resolveName(action.stop ?? '')
        recordAction(`stop ${name}`)
        const process = daemons.get(name)
        if (process !== undefined) stopDaemon(process)
        return
      }
      case 'cut':
        for (const [left, right] of expandLinkPairs(action.cut ?? [])) {
          recordAction(`cut ${left} ${right}`)
          links.cut(left, right)
        }
        return
      case 'heal':
        recordAction(`heal ${action.heal === 'all' ? 'all' : JSON.stringify(action.heal)}`)
        if (action.heal === 'all') links.healAll()
        else for (const [left, right] of expandLinkPairs(action.heal ?? [])) links.heal(left, right)
        return
      case 'log':
        recordAction(`log ${JSON.stringify(action.log)}`)
        setLog(action.log ?? {})
        return
      case 'target':
        recordAction(`target ${JSON.stringify(action.target)}`)
        if (action.target !== undefined) setTarget(action.target)
        return
      case 'list':
        recordAction(`list ${JSON.stringify(action.list)}`)
        if (action.list !== undefined) setVmListState(action.list.vm, action.list.state)
        return
      case 'expect':
        throw new Error('expect is not an action; the scenario runner evaluates it')
    }
  }

  const check = (): void => {
    invariants.check()
    callers.checkRequests()
  }

  const advance = async (milliseconds: number): Promise<void> => {
    for (let left = milliseconds; left > 0; left -= CHECK_INTERVAL_MILLISECONDS) {
      await clock.advance(Math.min(left, CHECK_INTERVAL_MILLISECONDS))
      check()
    }
  }

  const begin = async (): Promise<void> => {
    let index = 0
    for (const [name, dataCentre] of Object.entries(deployment.daemons)) vms.set(name, vmRecord(name, 'entry', dataCentre, index++))
    for (const [name, { role, dataCentre }] of Object.entries(deployment.targets)) {
      vms.set(name, vmRecord(name, role, dataCentre, index++))
      const roleDefinition = deployment.roles[role]
      if (roleDefinition === undefined) throw new Error(`unknown role: ${role}`)
      targets.set(name, createFakeTarget({
        name,
        role,
        dataCentre,
        clock,
        kind: roleDefinition.kind,
        memoryMegabytes: roleDefinition.memory,
        capacity: roleDefinition.concurrent,
        checksFencing: roleDefinition.fencing === 'checked',
        loadMegabytesPerSecond: deployment.loadRate,
        tokenMilliseconds: deployment.tokenTime,
        callMilliseconds: deployment.callTime,
        onEvent: (name, fields) => recordEvent(`${fields.target ?? ''} ${name}${fields.model === undefined ? '' : ` ${fields.model}`}${fields.request === undefined ? '' : ` ${fields.request}`}`, name),
        onViolation: recordViolation,
        onReplicaLoad: (order: LoadOrder) => invariants.checkReplicaLoad(order)
      }))
    }
    publishListing()
    for (const vm of vms.values()) if (vm.role === 'entry') startDaemon(vm)
    const isReady = (): boolean => [...daemons.values()].every(({ core }) => core.isReady() && core.configuration.version() === 1) && placementHolder() !== undefined &&
      [...daemons.values()].flatMap(({ core }) => core.status().claims).filter(({ isOwner }) => isOwner).length === deployment.claimPartitions
    await clock.advance(3_000)
    const firstDaemon = daemons.keys().next().value ?? ''
    submitPatch('initial', firstDaemon, 0, Object.fromEntries(initialChanges(deployment).map(({ key, value }) => [key, value])), STARTUP_LIMIT_MILLISECONDS)
    while (!isReady() && clock.now() < STARTUP_LIMIT_MILLISECONDS) await clock.advance(1_000)
    if (!isReady()) throw new Error('the deployment was not ready within the startup limit')
    await clock.advance(2_000)
    readyAt = clock.now()
    events.splice(0)
    eventCounts.clear()
  }

  const end = async (): Promise<void> => {
    check()
    hasEnded = true
    for (const process of daemons.values()) process.gate.kill()
  }

  return {
    clock,
    deployment,
    links,
    log,
    daemons,
    targets,
    patches,
    requests: callers.requests,
    events,
    eventCounts,
    violations,
    invariants,
    recordEvent,
    recordViolation,
    canReachLog,
    keyOf,
    processAt,
    resolveName,
    placementHolder,
    leavingSince,
    begin,
    advance,
    apply,
    addTrigger: (step) => {
      triggers.add({ step: step.daemon === undefined ? step : { ...step, daemon: resolveName(step.daemon) }, remaining: step.nth })
    },
    clearTriggers: () => triggers.clear(),
    end
  }
}

/** Creates an idempotency key in the format that callers use: a UUID version 7 (RFC 9562) with its creation time. */
export function uuidVersion7 (wallTime: number, counter: number): string {
  const time = Math.floor(wallTime).toString(16).padStart(12, '0')
  const tail = counter.toString(16).padStart(12, '0')
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`
}
