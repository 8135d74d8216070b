import type { ManualClock } from '@fuchsiastage/clock'
import { createError } from '@fuchsiastage/errors'
import { createMemoryPlatformLog, type PlatformLog, type ServingRoute, type ServingService, type TargetEntry } from '@fuchsiastage/fleet'
import type { ForwardOutcome, TargetAnswer } from '@fuchsiastage/forwarding'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createOriginLog, createServiceVersions, createStreamOrigins } from '@fuchsiastage/stream-origins'
import type { Milliseconds } from '@fuchsiastage/types'
import { err, ok } from 'true-myth/result'
import { chooseResponsible } from './responsible-member.js'
import type { ExchangeNode } from './simulated-exchange.js'
import { startSimulatedFleet, targetHeaders, type SimulatedFleetOptions } from './simulated-fleet.js'

/** One try of a client to get a stream, or the rest of it. */
export interface StreamTry {
  readonly id: string
  readonly at: Milliseconds
  readonly daemon: string
  /** Software version that began the stream that the try takes up; undefined if it begins a new one. */
  readonly takesUp: string | undefined
  /** Software versions whose events the client has got in this try. */
  readonly versions: ReadonlySet<string>
  readonly outcome: ForwardOutcome | 'lost'
}

/** A client that wants a whole stream and takes it up again when it breaks off. */
export interface StreamClient {
  readonly tries: readonly StreamTry[]
  /** Numbers of the events that the client has got, in order. */
  readonly events: readonly number[]
  /** Software versions whose events the client holds. */
  readonly versions: ReadonlySet<string>
}

export interface VersionsFleet {
  readonly nodes: readonly ExchangeNode[]
  /** Starts a client; the promise resolves when it has the whole stream or gives up. */
  readonly startClient: () => Promise<StreamClient>
  /** Replaces a share of the targets, one after the other, by targets of another version. */
  readonly release: (softwareVersion: string, share: number) => Promise<void>
  /** Ends the processes of daemons; they start again after the time, without memory. */
  readonly kill: (daemons: readonly number[], downMilliseconds: Milliseconds) => void
  /** Ends a target without warning, and its entry some time after it. */
  readonly crashTarget: () => void
  readonly setLogDown: (isDown: boolean) => void
  /** Cuts daemons off from the log service, or heals their links. */
  readonly setLogCut: (daemons: readonly number[], isCut: boolean) => void
  /** Number of running targets of a version that are not leaving. */
  readonly servingCount: (softwareVersion: string) => number
  /** Calls to the log service, without those that follow the list of targets. */
  readonly logCalls: () => number
  readonly stop: () => void
}

export interface VersionsFleetOptions {
  readonly clock: ManualClock
  readonly daemons: number
  readonly targets: number
  readonly random: () => number
}

interface SimulatedTarget {
  entry: TargetEntry
  isRunning: boolean
}

const SERVICE: ServingService = { name: 'drafter', healthPath: '/health', maximumConnections: 1_000, engine: undefined }
const ROUTE: ServingRoute = {
  name: 'stream',
  host: 'h',
  prefix: '/stream/',
  requestKind: { kind: 'stream', isResumable: true, maximumPauseMilliseconds: 500 },
  timeoutMilliseconds: undefined,
  objectiveMilliseconds: 1_000,
  priority: 0,
  maximumTargets: 3,
  services: [{ service: SERVICE.name, weight: 1 }]
}
export const EVENTS = 12
const EVENT_MILLISECONDS = 100
const FIRST_EVENT_MILLISECONDS = 150
const CONNECT_MILLISECONDS = 2
/** Time from a change of the list until the last daemon knows it. */
const LIST_LAG_MILLISECONDS = 1_500
/** Time between two targets that are replaced. */
const RELEASE_GAP_MILLISECONDS = 400
const DRAIN_MILLISECONDS = 3_000
/** Time until the entry of a crashed target is removed. */
const SILENCE_MILLISECONDS = 3_000
const LOG_MILLISECONDS = 4
const LOG_TIMEOUT_MILLISECONDS = 1_000
const CLIENT_BUDGET_MILLISECONDS = 10_000
const CLIENT_TRIES = 4
const RETRY_MILLISECONDS = 100
/** Share of the remaining time for which clients wait when they are told to. */
const RETRY_AFTER_SHARE = 1 / 3

/**
 * Starts a simulated fleet in front of targets of several software versions, with clients that take their
 * streams up again. For tests and measurements.
 *
 * @example
 * const fleet = startVersionsFleet({ clock, daemons: 7, targets: 8, random })
 * const client = await fleet.startClient()
 */
export function startVersionsFleet ({ clock, daemons, targets, random }: VersionsFleetOptions): VersionsFleet {
  const log = createMemoryPlatformLog(clock)
  const targetsById = new Map<string, SimulatedTarget>()
  const listed = new Map<string, TargetEntry>()
  const downDaemons = new Set<string>()
  const cutDaemons = new Set<string>()
  /** Connections of clients, by daemon, that end with its process. */
  const connections = new Map<string, Set<AbortController>>()
  let isLogDown = false
  let targetCount = 0
  let requestCount = 0
  let logCallCount = 0

  const createTarget = (softwareVersion: string): SimulatedTarget => {
    const id = `t${targetCount++}`
    const target: SimulatedTarget = {
      entry: {
        id, startedAt: 0, service: SERVICE.name, address: id, dataCentre: 'a', softwareVersion, slots: 96, isDraining: false, leavesInMilliseconds: undefined, placement: { orderCount: 0, models: [], pendingAdapters: [], modelsInMemory: [], modelsOnDisk: [] }
      },
      isRunning: true
    }
    targetsById.set(id, target)
    return target
  }

  /** Changes the list of targets; daemons learn of it one after the other. */
  const list = (id: string, entry: TargetEntry | undefined): void => {
    if (entry === undefined) listed.delete(id)
    else listed.set(id, entry)
    for (const { name } of fleet?.exchange.nodes ?? []) {
      clock.setTimer(random() * LIST_LAG_MILLISECONDS, () => {
        fleet?.exchange.nodes.find((node) => node.name === name)?.directory.applyEntry(id, listed.get(id))
      })
    }
  }

  /** The log service as a daemon reaches it. */
  const logOf = (daemon: string): PlatformLog => {
    const call = async <Value>(run: () => Promise<Value>): Promise<Value | ReturnType<typeof unavailable>> => {
      logCallCount++
      const isReached = !isLogDown && !cutDaemons.has(daemon)
      await clock.sleep(isReached ? LOG_MILLISECONDS : LOG_TIMEOUT_MILLISECONDS)
      return isReached ? await run() : unavailable()
    }
    return {
      readNewest: async (topic) => await call(async () => await log.readNewest(topic)),
      readKeyed: async (topic, from) => await call(async () => await log.readKeyed(topic, from, 0)),
      read: async (topic, from) => await call(async () => await log.read(topic, from, 0)),
      append: async (topic, value, expectedEndOffset) => await call(async () => await log.append(topic, value, expectedEndOffset)),
      appendKeyed: async (topic, key, value) => await call(async () => await log.appendKeyed(topic, key, value))
    }
  }

  const streamOrigins: SimulatedFleetOptions['streamOrigins'] = (node, ended) => {
    const { logger } = createMemoryLogger(clock, node.name)
    const nodeLog = logOf(node.name)
    const self = () => ({ name: node.name, startedAt: 1, frontAddress: '', peerAddress: '', dataCentre: 'a', state: 'serving' as const })
    const versions = createServiceVersions({
      clock,
      logger,
      log: nodeLog,
      topic: 'software-versions',
      readTargets: async () => (await nodeLog.readNewest('targets')).andThen(() => ok([...listed.values()])),
      knownTargets: () => node.directory.all().map(({ entry }) => entry),
      areTargetsKnown: () => true,
      isResponsible: (service) => chooseResponsible(service, self(), node.members).name === node.name
    })
    const origins = createStreamOrigins({ clock, logger, versions, originLog: createOriginLog({ log: nodeLog, topic: 'stream-origins' }), daemonCount: () => daemons })
    void origins.run(ended)
    return origins
  }

  async function * writeEvents (target: SimulatedTarget, lastEventId: number, signal: AbortSignal): AsyncIterable<Buffer> {
    for (let event = lastEventId + 1; event <= EVENTS; event++) {
      await clock.sleep(EVENT_MILLISECONDS, signal)
      if (!target.isRunning || signal.aborted) throw new Error('connection lost')
      yield Buffer.from(`id: ${event}\ndata: ${target.entry.softwareVersion}\n\n`)
    }
  }

  const answer: SimulatedFleetOptions['answer'] = async ({ address, requestId, lastEventId, signal, onConnected }): Promise<TargetAnswer> => {
    const target = targetsById.get(address)
    await clock.sleep(CONNECT_MILLISECONDS, signal)
    if (target === undefined || !target.isRunning) return { kind: 'not-sent', reason: 'connection refused' }
    onConnected()
    await clock.sleep(FIRST_EVENT_MILLISECONDS, signal)
    if (!target.isRunning || signal.aborted) return { kind: 'failed', reason: 'connection lost' }
    return { kind: 'answer', status: 200, rawHeaders: targetHeaders({ requestId }), body: writeEvents(target, Number(lastEventId ?? 0), signal), close: () => undefined }
  }

  for (let index = 0; index < targets; index++) {
    const { entry } = createTarget('v1')
    listed.set(entry.id, entry)
  }
  const fleet = startSimulatedFleet({
    clock,
    size: daemons,
    random,
    service: SERVICE,
    routes: [ROUTE],
    entries: () => [...listed.values()],
    answer,
    probe: async (address) => targetsById.get(address)?.isRunning === true,
    streamOrigins
  })

  /** Sends one try to a random daemon that runs, and resolves when it has ended or its connection is lost. */
  const send = async (client: MutableClient): Promise<StreamTry> => {
    const running = fleet.exchange.nodes.map(({ name }, index) => ({ name, index })).filter(({ name }) => !downDaemons.has(name))
    const chosen = running[Math.floor(random() * running.length)]
    const id = `r${requestCount++}`
    const at = clock.now()
    const [takesUp] = client.versions
    if (chosen === undefined) return { id, at, daemon: '', takesUp, versions: new Set(), outcome: 'lost' }
    const connection = new AbortController()
    const open = connections.get(chosen.name) ?? new Set()
    connections.set(chosen.name, open.add(connection))
    const versions = new Set<string>()
    const lastEvent = client.events.at(-1)
    const onBytes = (bytes: Buffer): void => {
      if (connection.signal.aborted) return
      for (const [, event, version] of bytes.toString().matchAll(/id: (\d+)\ndata: (\S+)/g)) {
        if (client.events.length === 0) client.begunBy = id
        client.events.push(Number(event))
        client.versions.add(version ?? '')
        versions.add(version ?? '')
      }
    }
    const lost = new Promise<'lost'>((resolve) => connection.signal.addEventListener('abort', () => resolve('lost'), { once: true }))
    const outcome = await Promise.race([lost, fleet.request(chosen.index, {
      id,
      path: '/stream/x',
      deadlineMilliseconds: client.until - at,
      ...lastEvent === undefined ? {} : { lastEventId: String(lastEvent), resumes: client.begunBy },
      clientDisconnected: connection.signal,
      onBytes
    })])
    open.delete(connection)
    return { id, at, daemon: chosen.name, takesUp, versions, outcome }
  }

  return {
    nodes: fleet.exchange.nodes,
    startClient: async () => {
      const client: MutableClient = { tries: [], events: [], versions: new Set(), until: clock.now() + CLIENT_BUDGET_MILLISECONDS, begunBy: '' }
      while (client.tries.length < CLIENT_TRIES && clock.now() < client.until && client.events.at(-1) !== EVENTS) {
        const finished = await send(client)
        client.tries.push(finished)
        const wait = finished.outcome !== 'lost' && finished.outcome.kind === 'refused' ? finished.outcome.retryAfterMilliseconds : RETRY_MILLISECONDS
        await clock.sleep(Math.min(Math.max(RETRY_MILLISECONDS, wait), RETRY_AFTER_SHARE * Math.max(0, client.until - clock.now()) + 1))
      }
      return client
    },
    release: async (softwareVersion, share) => {
      const replaced = [...targetsById.values()].filter(({ isRunning, entry }) => isRunning && !entry.isDraining && entry.softwareVersion !== softwareVersion)
      for (const target of replaced.slice(0, Math.ceil(share * replaced.length))) {
        const { entry } = createTarget(softwareVersion)
        list(entry.id, entry)
        target.entry = { ...target.entry, isDraining: true }
        list(target.entry.id, target.entry)
        clock.setTimer(DRAIN_MILLISECONDS, () => {
          list(target.entry.id, undefined)
          target.isRunning = false
        })
        await clock.sleep(RELEASE_GAP_MILLISECONDS)
      }
    },
    kill: (indexes, downMilliseconds) => {
      for (const index of indexes) {
        const name = fleet.exchange.nodes[index]?.name
        if (name === undefined || downDaemons.has(name)) continue
        downDaemons.add(name)
        for (const connection of connections.get(name) ?? []) connection.abort()
        connections.delete(name)
        fleet.end(index)
        clock.setTimer(downMilliseconds, () => {
          fleet.exchange.restart(name)
          downDaemons.delete(name)
        })
      }
    },
    crashTarget: () => {
      const running = [...targetsById.values()].filter(({ isRunning }) => isRunning)
      const target = running[Math.floor(random() * running.length)]
      if (target === undefined || running.length < 2) return
      target.isRunning = false
      clock.setTimer(SILENCE_MILLISECONDS, () => list(target.entry.id, undefined))
      const { entry } = createTarget(target.entry.softwareVersion ?? '')
      clock.setTimer(SILENCE_MILLISECONDS, () => list(entry.id, entry))
    },
    setLogDown: (isDown) => { isLogDown = isDown },
    setLogCut: (indexes, isCut) => {
      for (const index of indexes) {
        const name = fleet.exchange.nodes[index]?.name ?? ''
        if (isCut) cutDaemons.add(name)
        else cutDaemons.delete(name)
      }
    },
    servingCount: (softwareVersion) => [...targetsById.values()].filter(({ isRunning, entry }) => isRunning && !entry.isDraining && entry.softwareVersion === softwareVersion).length,
    logCalls: () => logCallCount,
    stop: fleet.stop
  }
}

interface MutableClient extends StreamClient {
  readonly tries: StreamTry[]
  readonly events: number[]
  readonly versions: Set<string>
  /** Time at which the client gives up. */
  readonly until: Milliseconds
  /** Request that brought the first event. */
  begunBy: string
}

function unavailable () {
  return err(createError({ code: 'log-unavailable', message: 'the log service does not answer', step: 'log', outcome: 'unknown', status: 503 }))
}
