import { createSeededRandom } from '@fuchsiastage/membership'
import { claimPartition } from '@fuchsiastage/claims'
import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import { createDaemonCore, createPeerCalls, runPlannedStop, type DaemonCore, type EntryList } from '@fuchsiastage/daemon'
import { createMemoryLogService, type MemoryLogService } from '@fuchsiastage/log-client'
import { createLogger } from '@fuchsiastage/logger'
import type { Settings } from '@fuchsiastage/settings'
import type { ConfigurationPatch, JsonValue, LoadOrder, PatchOutcome, VmListing, VmRecord, VmState } from '@fuchsiastage/types'
import { createCaller, type Caller, type CallerRequest } from './caller.js'
import { completeDeployment, daemonSettings, initialChanges, vmRecord } from './deployment.js'
import { createFakeTarget, type FakeTarget } from './fake-target.js'
import { createInvariants, type Invariants } from './invariants.js'
import { createLinks, type Links } from './links.js'
import { createLogPort } from './log-port.js'
import { createPeerTransport } from './peer-transport.js'
import { createProcessGate, type ProcessGate } from './process-gate.js'
import { seedOf } from './random.js'
import type { Action, Deployment, WhenStep } from './scenario-schema.js'
import { createTargetPort } from './target-port.js'
import type { TimelineEvent } from './timeline.js'

/** One process of a daemon; a VM that starts again gets a new one. */
export interface DaemonProcess {
  readonly name: string
  readonly vm: VmRecord
  readonly settings: Settings
  readonly gate: ProcessGate
  readonly core: DaemonCore
  readonly startedAt: number
  /** `stopping`: the planned stop waits for the entry time or for open requests. */
  phase: 'running' | 'stopping' | 'stopped' | 'killed'
  /** Whether callers' connections are accepted. */
  accepts: boolean
  stopBeganAt: number | undefined
}

export interface PatchRecord {
  readonly name: string
  readonly patch: ConfigurationPatch
  outcome: PatchOutcome | undefined
  /** Time at which its record got its place in the stream. */
  placedAt: number | undefined
  acknowledgedAt: number | undefined
}

/** Everything of one scenario run: daemons, fakes, faults and what was observed. */
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
  readonly event: (text: string, name?: string) => void
  readonly violation: (text: string) => void
  /** Whether the log service answers this daemon. */
  readonly canReachLog: (daemon: string) => boolean
  readonly keyOf: (name: string) => string
  readonly processAt: (address: string) => DaemonProcess | undefined
  readonly resolve: (name: string) => string
  readonly placementHolder: () => string | undefined
  readonly leavingSince: (target: string) => number | undefined
  readonly begin: () => Promise<void>
  readonly advance: (milliseconds: number) => Promise<void>
  /** Carries out one action; `expect` is left to the runner. */
  readonly act: (action: Action) => void
  readonly when: (step: WhenStep) => void
  readonly clearTriggers: () => void
  readonly end: () => Promise<void>
}

const CHECK_INTERVAL_MILLISECONDS = 500
const START_LIMIT_MILLISECONDS = 60_000

/** Log lines of daemons that belong into the time line. */
const TIMELINE_EVENTS: ReadonlySet<string> = new Set([
  'lease-acquired', 'lease-lost', 'placement-taken-over', 'intent-rejected', 'load-sent', 'load-ended', 'replica-removal', 'reservation-released', 'claim-given-up', 'claim-replayed',
  'claim-late-grant', 'target-leaving', 'stream-resumed', 'stream-restarted', 'stream-gap', 'stream-status', 'snapshot-written', 'snapshot-mismatch', 'target-gone'
])

/**
 * Builds the daemons and fakes of a deployment.
 *
 * @example
 * const world = createWorld(scenario.deployment, scenario.seed)
 * await world.begin()
 */
export function createWorld (partial: Deployment, seed: number): World {
  const deployment = completeDeployment(partial)
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
  const starts = new Map<string, number>()
  let listings: { readonly at: number, readonly listing: VmListing }[] = []
  let logIsDown = false
  let beganAt = 0
  let hasEnded = false

  const event = (text: string, name?: string): void => {
    if (name !== undefined) eventCounts.set(name, (eventCounts.get(name) ?? 0) + 1)
    events.push({ at: clock.now() - beganAt, text })
  }
  const violation = (text: string): void => {
    if (hasEnded) return
    event(`VIOLATION ${text}`)
    violations.push(`${((clock.now() - beganAt) / 1_000).toFixed(3)} s: ${text}`)
  }

  const publish = (): void => { listings.push({ at: clock.now(), listing: { vms: [...vms.values()] } }) }
  const listing = (): VmListing => {
    const visible = listings.filter(({ at }) => at <= clock.now() - deployment.listLag)
    listings = listings.slice(Math.max(0, visible.length - 1))
    return visible.at(-1)?.listing ?? listings[0]?.listing ?? { vms: [] }
  }
  const leavingTimes = new Map<string, number>()
  const noteLeaving = (target: string, at: number): void => {
    const known = leavingTimes.get(target)
    if (known === undefined || at < known) leavingTimes.set(target, at)
  }
  const leavingSince = (target: string): number | undefined => {
    const at = leavingTimes.get(target)
    return at !== undefined && at <= clock.now() ? at : undefined
  }

  const canReachLog = (daemon: string): boolean => !logIsDown && !links.isCut(daemon, 'log')
  const keyOf = (name: string): string => {
    const known = keys.get(name) ?? uuidVersion7(clock.wallNow(), keys.size + 1)
    keys.set(name, known)
    return known
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
  const resolve = (name: string): string => {
    if (!name.startsWith('$')) return name
    const holder = placementHolder()
    const others = runningDaemons().map((process) => process.name).filter((daemon) => daemon !== holder)
    if (name === '$holder') return holder ?? others[0] ?? 'entry-1'
    if (name === '$other') return others[0] ?? 'entry-1'
    if (name === '$other2') return others[1] ?? 'entry-1'
    const key = name.slice('$owner:'.length)
    const partition = claimPartition('office', keyOf(key), deployment.claimPartitions)
    for (const process of runningDaemons()) {
      const owner = process.core.status().claims.find((claims) => claims.partition === partition && claims.isOwner)
      if (owner !== undefined) return process.name
    }
    return 'entry-1'
  }

  const reach = (point: WhenStep['point'], daemon: string, kinds: readonly string[]): void => {
    for (const trigger of [...triggers]) {
      const { step } = trigger
      if (step.point !== point || (step.daemon !== undefined && step.daemon !== daemon)) continue
      if (step.kind !== undefined && !kinds.includes(step.kind)) continue
      if (--trigger.remaining > 0) continue
      triggers.delete(trigger)
      for (const action of step.do) act(action)
    }
  }

  const invariants = createInvariants({
    clock,
    daemons,
    targets,
    patches,
    violation,
    leavingSince,
    canReachLog,
    placementRecords: () => log.contents('placement.bc-coast').map(({ value }) => value)
  })

  const onAppend = (point: 'append' | 'appended', daemon: string, values: readonly JsonValue[]): void => {
    const records = values as readonly { readonly [field: string]: JsonValue }[]
    for (const record of records) {
      if (point === 'append' && record.kind === 'intent') invariants.noteIntent(String(record.orderId), Number(record.replicaLimit))
      if (point === 'appended' && record.kind === 'patch' && canReachLog(daemon)) {
        const name = (record.patch as { readonly patchId: string }).patchId
        const known = patches.get(name)
        if (known !== undefined) known.placedAt ??= clock.now()
      }
    }
    reach(point, daemon, records.map((record) => String(record.kind)))
  }

  const createProcess = (vm: VmRecord): DaemonProcess => {
    const settings = daemonSettings(deployment, vm)
    const gate = createProcessGate(clock)
    const start = (starts.get(vm.name) ?? 0) + 1
    starts.set(vm.name, start)
    const { name } = vm
    const sink = (line: string): void => {
      if (gate.state() === 'killed') return
      const fields = JSON.parse(line) as { readonly event?: string, readonly [field: string]: unknown }
      if (fields.event === undefined || !TIMELINE_EVENTS.has(fields.event)) return
      if (fields.event === 'snapshot-mismatch') violation(`a snapshot differs from the state of ${name}`)
      const shown = ['peer', 'target', 'model', 'stream', 'epoch', 'outcome', 'status'].flatMap((key) => fields[key] === undefined ? [] : [`${key}=${String(fields[key])}`])
      event(`${name} ${fields.event} ${shown.join(' ')}`.trimEnd(), fields.event)
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
      onSend: (message, to) => reach('peer', name, [message, to])
    })
    const core = createDaemonCore({
      settings,
      clock: gate.clock,
      logger: createLogger({ clock, process: name, level: 'info', sink }),
      random: createSeededRandom(seedOf(seed, `${name}/${start}`)),
      ports: {
        logService: createLogPort({ daemon: name, gate, links, service: log, onAppend: (point, _stream, values) => onAppend(point, name, values) }),
        targets: createTargetPort({
          daemon: name,
          gate,
          links,
          find: (address) => [...targets.values()].find((target) => vms.get(target.name)?.address === address),
          listing,
          onSend: (record) => { if (gate.state() !== 'killed') invariants.noteSend(record) },
          onPoint: (point, target, kind) => reach(point, name, [target, kind]),
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
    return { name, vm, settings, gate, core, startedAt: clock.now(), phase: 'running', accepts: true, stopBeganAt: undefined }
  }

  const processAt = (address: string): DaemonProcess | undefined => [...daemons.values()].find(({ vm }) => vm.address === address)

  const caller: Caller = createCaller({
    clock,
    seed,
    deployment,
    event,
    violation,
    keyOf,
    processes: () => [...daemons.values()],
    processAt,
    entriesOf: (process: DaemonProcess, address: string): EntryList => process.core.entries(address),
    runsOf: (request) => [...targets.values()].reduce((sum, target) => sum + (target.counts.runs.get(request) ?? 0), 0)
  })

  const startDaemon = (vm: VmRecord): void => {
    const process = createProcess(vm)
    daemons.set(vm.name, process)
    process.core.start()
  }

  const killDaemon = (process: DaemonProcess): void => {
    process.gate.kill()
    process.phase = 'killed'
    process.accepts = false
    caller.breakConnections(process)
  }

  const stopDaemon = (process: DaemonProcess): void => {
    if (process.phase !== 'running') return
    process.phase = 'stopping'
    process.stopBeganAt = clock.now()
    const closeCallers = async (): Promise<void> => {
      process.accepts = false
      await caller.whenIdle(process)
    }
    void runPlannedStop({ core: process.core, clock: process.gate.clock, settings: process.settings, closeCallersServer: closeCallers }).then(() => {
      if (process.phase !== 'stopping') return
      process.phase = 'stopped'
      vms.delete(process.name)
      publish()
      event(`${process.name} stopped`, 'stopped')
    })
  }

  const submit = (name: string, at: string, base: number | undefined, changes: Readonly<Record<string, JsonValue>>, timeout: number): void => {
    const process = daemons.get(at)
    if (process === undefined || process.phase !== 'running') return
    const patch: ConfigurationPatch = {
      patchId: name,
      baseVersion: base ?? process.core.configuration.version(),
      operator: 'operator',
      note: name,
      changes: Object.entries(changes).map(([key, value]) => ({ key, value }))
    }
    const known = patches.get(name)
    const record: PatchRecord = known ?? { name, patch, outcome: undefined, placedAt: undefined, acknowledgedAt: undefined }
    patches.set(name, record)
    const limit = new AbortController()
    clock.setTimer(timeout, () => limit.abort())
    void process.core.configuration.submit(record.patch, limit.signal).then(async (outcome) => {
      await process.gate.pass('outgoing')
      // An operator that asks again may get the verdict that an earlier answer did not have.
      if (record.outcome !== undefined && record.outcome.kind !== 'undecided') {
        if (outcome.kind !== 'undecided' && outcome.kind !== record.outcome.kind) violation(`patch ${name} is ${record.outcome.kind} and ${outcome.kind}`)
        return
      }
      record.outcome = outcome
      if (outcome.kind === 'accepted') record.acknowledgedAt ??= clock.now()
      event(`${at} patch ${name} ${outcome.kind}${outcome.kind === 'accepted' ? ` as version ${outcome.version}` : ''}`, `patch-${outcome.kind}`)
    })
  }

  const setTarget = (fields: NonNullable<Action['target']>): void => {
    const target = targets.get(fields.name)
    if (target === undefined) throw new Error(`no target is named ${fields.name}`)
    const { name: _name, frozen, leaving, restart, ...faults } = fields
    Object.assign(target.faults, faults)
    if (frozen === true) target.faults.isFrozen = true
    if (frozen === false) target.thaw()
    if (leaving !== undefined) {
      target.setState(leaving ? 'leaving' : 'live')
      if (leaving && !target.faults.hidesLeaving) noteLeaving(target.name, clock.now())
    }
    if (restart === true) {
      target.kill()
      target.start()
    }
  }

  const setListed = (name: string, state: VmState | 'absent'): void => {
    const vm = vms.get(name)
    if (vm === undefined) return
    if (state === 'absent') vms.delete(name)
    else vms.set(name, { ...vm, state })
    if (state === 'leaving') noteLeaving(name, clock.now() + deployment.listLag)
    publish()
  }

  const setLog = (fields: NonNullable<Action['log']>): void => {
    if (fields.state !== undefined) {
      logIsDown = fields.state === 'down'
      log.setDown(logIsDown)
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

  const expandPairs = (pairs: readonly (readonly [string, string])[]): readonly (readonly [string, string])[] => pairs.flatMap(([left, right]) => {
    const one = resolve(left)
    if (right === 'peers') return [...daemons.keys()].filter((daemon) => daemon !== one).map((daemon) => [one, daemon] as const)
    return [[one, resolve(right)] as const]
  })

  const kill = (name: string): void => {
    const process = daemons.get(name)
    if (process !== undefined) killDaemon(process)
    else targets.get(name)?.kill()
  }

  const start = (name: string): void => {
    const target = targets.get(name)
    if (target !== undefined) {
      target.start()
      return
    }
    const process = daemons.get(name)
    if (process === undefined || process.phase === 'running' || process.phase === 'stopping') return
    const vm: VmRecord = { ...process.vm, state: 'live' }
    vms.set(name, vm)
    publish()
    startDaemon(vm)
  }

  function act (action: Action): void {
    const [kind] = Object.keys(action)
    const note = (text: string): void => event(`-- ${text}`)
    switch (kind as keyof Action) {
      case 'request':
        if (action.request !== undefined) caller.request({ ...action.request, at: resolve(action.request.at) })
        return
      case 'burst':
        if (action.burst !== undefined) {
          note(`burst ${action.burst.name} of ${action.burst.count}`)
          const { at } = action.burst
          caller.burst(action.burst, at === 'all' ? [...daemons.keys()] : [resolve(at)])
        }
        return
      case 'clients':
        if (action.clients !== undefined) {
          note(`clients ${action.clients.name}`)
          caller.clients(action.clients)
        }
        return
      case 'patch':
        if (action.patch !== undefined) {
          const at = resolve(action.patch.at)
          note(`patch ${action.patch.name} at ${at}`)
          submit(action.patch.name, at, action.patch.base, action.patch.changes as Readonly<Record<string, JsonValue>>, action.patch.timeout)
        }
        return
      case 'kill': {
        const name = resolve(action.kill ?? '')
        note(`kill ${name}`)
        kill(name)
        return
      }
      case 'pause': {
        const name = resolve(action.pause ?? '')
        note(`pause ${name}`)
        daemons.get(name)?.gate.pause()
        return
      }
      case 'resume':
        for (const process of daemons.values()) {
          if (action.resume !== 'all' && process.name !== action.resume) continue
          if (process.gate.state() === 'paused') note(`resume ${process.name}`)
          process.gate.resume()
        }
        return
      case 'start':
        note(`start ${action.start ?? ''}`)
        start(action.start ?? '')
        return
      case 'stop': {
        const name = resolve(action.stop ?? '')
        note(`stop ${name}`)
        const process = daemons.get(name)
        if (process !== undefined) stopDaemon(process)
        return
      }
      case 'cut':
        for (const [left, right] of expandPairs(action.cut ?? [])) {
          note(`cut ${left} ${right}`)
          links.cut(left, right)
        }
        return
      case 'heal':
        note(`heal ${action.heal === 'all' ? 'all' : JSON.stringify(action.heal)}`)
        if (action.heal === 'all') links.healAll()
        else for (const [left, right] of expandPairs(action.heal ?? [])) links.heal(left, right)
        return
      case 'log':
        note(`log ${JSON.stringify(action.log)}`)
        setLog(action.log ?? {})
        return
      case 'target':
        note(`target ${JSON.stringify(action.target)}`)
        if (action.target !== undefined) setTarget(action.target)
        return
      case 'list':
        note(`list ${JSON.stringify(action.list)}`)
        if (action.list !== undefined) setListed(action.list.vm, action.list.state)
        return
      case 'expect':
        throw new Error('expect is no action of the world')
    }
  }

  const check = (): void => {
    invariants.check()
    caller.check()
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
      const definition = deployment.roles[role]
      if (definition === undefined) throw new Error(`no role is named ${role}`)
      targets.set(name, createFakeTarget({
        name,
        role,
        dataCentre,
        clock,
        kind: definition.kind,
        memoryMegabytes: definition.memory,
        capacity: definition.concurrent,
        checksFencing: definition.fencing === 'checked',
        loadMegabytesPerSecond: deployment.loadRate,
        tokenMilliseconds: deployment.tokenTime,
        callMilliseconds: deployment.callTime,
        onEvent: (name, fields) => event(`${fields.target ?? ''} ${name}${fields.model === undefined ? '' : ` ${fields.model}`}${fields.request === undefined ? '' : ` ${fields.request}`}`, name),
        onFault: violation,
        onReplica: (order: LoadOrder) => invariants.noteReplica(order)
      }))
    }
    publish()
    for (const vm of vms.values()) if (vm.role === 'entry') startDaemon(vm)
    const isReady = (): boolean => [...daemons.values()].every(({ core }) => core.isReady() && core.configuration.version() === 1) && placementHolder() !== undefined &&
      [...daemons.values()].flatMap(({ core }) => core.status().claims).filter(({ isOwner }) => isOwner).length === deployment.claimPartitions
    await clock.advance(3_000)
    const first = daemons.keys().next().value ?? ''
    submit('initial', first, 0, Object.fromEntries(initialChanges(deployment).map(({ key, value }) => [key, value])), START_LIMIT_MILLISECONDS)
    while (!isReady() && clock.now() < START_LIMIT_MILLISECONDS) await clock.advance(1_000)
    if (!isReady()) throw new Error('the deployment did not get ready')
    await clock.advance(2_000)
    beganAt = clock.now()
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
    requests: caller.requests,
    events,
    eventCounts,
    violations,
    invariants,
    event,
    violation,
    canReachLog,
    keyOf,
    processAt,
    resolve,
    placementHolder,
    leavingSince,
    begin,
    advance,
    act,
    when: (step) => {
      triggers.add({ step: step.daemon === undefined ? step : { ...step, daemon: resolve(step.daemon) }, remaining: step.nth })
    },
    clearTriggers: () => triggers.clear(),
    end
  }
}

/** A key as callers make it: UUID version 7 (RFC 9562) with the time of its making. */
export function uuidVersion7 (wallTime: number, counter: number): string {
  const time = Math.floor(wallTime).toString(16).padStart(12, '0')
  const tail = counter.toString(16).padStart(12, '0')
  return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${tail}`
}
