import { setMaxListeners } from 'node:events'
import type { ManualClock } from '@fuchsiastage/clock'
import type { ServingRoute, ServingService, TargetEntry } from '@fuchsiastage/fleet'
import type { ForwardOutcome, ModelDemand, TargetAnswer } from '@fuchsiastage/forwarding'
import type { Milliseconds } from '@fuchsiastage/types'
import type { SimulatedExchange } from './simulated-exchange.js'
import { emptyBody, startSimulatedFleet, targetHeaders, type SimulatedFleetOptions, type SimulatedSend } from './simulated-fleet.js'

/** Arrival of a request at a target. */
export interface TargetArrival {
  readonly at: Milliseconds
  readonly daemon: string
  readonly isDeadly: boolean
}

/** What crashes each target that begins to answer a request. */
export type DeadlyCause =
  /** Each prompt with this part. */
  | { readonly kind: 'prompt-part', readonly part: string }
  /** One request, which comes again with this body. */
  | { readonly kind: 'request', readonly body: string }

export interface CrashingFleetRequest {
  /** Shared parts of the prompt, which has one more of its own; ignored by a plain service. */
  readonly sharedParts: readonly string[]
  /** A request that comes again has the same body; each one without a body has a body of its own. */
  readonly body?: string
}

export interface CrashingFleet {
  readonly exchange: SimulatedExchange
  readonly request: (daemon: number, request: CrashingFleetRequest) => Promise<ForwardOutcome>
  readonly arrivals: readonly TargetArrival[]
  /** Times at which a target crashed at a request. */
  readonly deadlyCrashes: readonly Milliseconds[]
  /** Crashes targets for another reason. */
  readonly crashTargets: (share: number) => void
  /** Resets all connections of the targets, which go on running. */
  readonly resetConnections: (share: number) => void
  readonly runningTargets: () => number
  readonly stop: () => void
}

export interface CrashingFleetOptions {
  readonly clock: ManualClock
  readonly daemons: number
  readonly targets: number
  readonly random: () => number
  readonly cause: DeadlyCause
  /** Engines serve streams; a plain service serves safe requests without a model. Engines by default. */
  readonly service?: 'engines' | 'plain'
  readonly isResumable?: boolean
  readonly maximumTargets?: number
  /** Longest additional time after which a daemon learns of a change of the list; each daemon and each change has its own. */
  readonly maximumListLag?: Milliseconds
}

interface CrashingTarget {
  readonly address: string
  incarnation: number
  isRunning: boolean
  /** Aborts when the connections of the target are lost. */
  connections: AbortController
}

const MODEL = 'model'
const PLAIN_SERVICE: ServingService = { name: 'ledger', healthPath: '/health', maximumConnections: 1_000, engine: undefined }
const ENGINE_SERVICE: ServingService = {
  name: 'drafter',
  healthPath: '/health',
  maximumConnections: 1_000,
  engine: { models: new Map(), megabytes: 80_000, adapterPlaces: 8, batchSlots: 96, cacheTokens: 200_000, storeLoadsPerSecond: 2 }
}
const DEADLINE_MILLISECONDS = { engines: 5_000, plain: 1_500 }
const PROMPT_TOKENS = 800
const MINIMUM_PREFILL_MILLISECONDS = 60
const PREFILL_SPREAD_MILLISECONDS = 200
const EVENTS = 10
const EVENT_MILLISECONDS = 40
const MINIMUM_SERVING_MILLISECONDS = 30
const SERVING_SPREAD_MILLISECONDS = 90
const CONNECT_MILLISECONDS = 2
const STATUS_MISDIRECTED = 421
const RESTART_MILLISECONDS = 3_000
/** Time until daemons learn that a target has restarted, and that an entry has lapsed. */
const LIST_LAG_MILLISECONDS = 900
const LAPSE_MILLISECONDS = 4_000

function createEntry (service: ServingService, { address, incarnation }: CrashingTarget): TargetEntry {
  return {
    id: `${address}-${incarnation}`,
    startedAt: 0,
    service: service.name,
    address,
    dataCentre: 'a',
    slots: 96,
    isDraining: false,
    softwareVersion: 'v1',
    leavesInMilliseconds: undefined,
    placement: { orderCount: 0, models: [{ name: MODEL, adapters: [] }], pendingAdapters: [], modelsInMemory: [], modelsOnDisk: [] }
  }
}

/** All requests at a target listen to its connections. */
function createConnections (): AbortController {
  const connections = new AbortController()
  setMaxListeners(0, connections.signal)
  return connections
}

/**
 * Starts a simulated fleet in front of targets that crash when they begin to answer certain requests. A
 * crashed target restarts under a new identifier. For tests and measurements.
 *
 * @example
 * const fleet = startCrashingFleet({ clock, daemons: 7, targets: 8, random, cause: { kind: 'prompt-part', part: 'x' } })
 * const outcome = await fleet.request(0, { sharedParts: ['system', 'x'] })
 */
export function startCrashingFleet (options: CrashingFleetOptions): CrashingFleet {
  const { clock, random, cause, service: serviceKind = 'engines', maximumListLag = 0 } = options
  const service = serviceKind === 'engines' ? ENGINE_SERVICE : PLAIN_SERVICE
  const arrivals: TargetArrival[] = []
  const deadlyCrashes: Milliseconds[] = []
  const targets = Array.from({ length: options.targets }, (_, index): CrashingTarget => ({ address: `e${index}`, incarnation: 0, isRunning: true, connections: createConnections() }))
  const entryOf = (target: CrashingTarget): TargetEntry => createEntry(service, target)
  const listed = new Map(targets.map((target) => [entryOf(target).id, entryOf(target)]))
  let requestCount = 0

  const list = (entry: TargetEntry, isRunning: boolean): void => {
    if (isRunning) listed.set(entry.id, entry)
    else listed.delete(entry.id)
    for (const { directory } of fleet.exchange.nodes) {
      const apply = (): void => directory.applyEntry(entry.id, isRunning ? entry : undefined)
      if (maximumListLag === 0) apply()
      else clock.setTimer(random() * maximumListLag, apply)
    }
  }

  const loseConnections = (target: CrashingTarget): void => {
    target.connections.abort()
    target.connections = createConnections()
  }

  const crash = (target: CrashingTarget): void => {
    if (!target.isRunning) return
    const entry = entryOf(target)
    target.isRunning = false
    loseConnections(target)
    clock.setTimer(LAPSE_MILLISECONDS, () => list(entry, false))
    clock.setTimer(RESTART_MILLISECONDS, () => {
      target.incarnation++
      target.isRunning = true
      const restarted = entryOf(target)
      clock.setTimer(LIST_LAG_MILLISECONDS, () => { if (entryOf(target).id === restarted.id) list(restarted, true) })
    })
  }

  const isDeadlyRequest = ({ demand, body }: SimulatedSend): boolean => {
    switch (cause.kind) {
      case 'prompt-part':
        return demand?.promptParts.some(({ id }) => id === cause.part) ?? false
      case 'request':
        return body === cause.body
    }
  }

  async function * writeEvents (arrival: TargetArrival, lost: AbortSignal): AsyncIterable<Buffer> {
    for (let event = 1; event <= EVENTS; event++) {
      if (lost.aborted || arrival.isDeadly) throw new Error('connection closed')
      yield Buffer.from(`id: ${event}\ndata: x\n\n`)
      await clock.sleep(EVENT_MILLISECONDS, lost)
    }
  }

  const answerStream = async ({ requestId, signal }: SimulatedSend, arrival: TargetArrival, target: CrashingTarget): Promise<TargetAnswer> => {
    const lost = target.connections.signal
    await clock.sleep(MINIMUM_PREFILL_MILLISECONDS + random() * PREFILL_SPREAD_MILLISECONDS, AbortSignal.any([lost, signal]))
    if (lost.aborted || signal.aborted) return { kind: 'failed', reason: 'connection closed' }
    if (arrival.isDeadly) {
      deadlyCrashes.push(clock.now())
      crash(target)
      // The head of the response may or may not get through.
      if (random() < 0.5) return { kind: 'failed', reason: 'connection closed' }
    }
    return { kind: 'answer', status: 200, rawHeaders: targetHeaders({ requestId }), body: writeEvents(arrival, lost), close: () => undefined }
  }

  const answerPlain = async ({ requestId, signal }: SimulatedSend, arrival: TargetArrival, target: CrashingTarget): Promise<TargetAnswer> => {
    const lost = target.connections.signal
    await clock.sleep(MINIMUM_SERVING_MILLISECONDS + random() * SERVING_SPREAD_MILLISECONDS, AbortSignal.any([lost, signal]))
    if (lost.aborted || signal.aborted) return { kind: 'failed', reason: 'connection closed' }
    if (arrival.isDeadly) {
      deadlyCrashes.push(clock.now())
      crash(target)
      return { kind: 'failed', reason: 'connection closed' }
    }
    return { kind: 'answer', status: 200, rawHeaders: targetHeaders({ requestId }), body: emptyBody(), close: () => undefined }
  }

  const answer: SimulatedFleetOptions['answer'] = async (send): Promise<TargetAnswer> => {
    const { sender, address, targetId, requestId } = send
    const target = targets.find((candidate) => candidate.address === address)
    await clock.sleep(CONNECT_MILLISECONDS)
    if (target?.isRunning !== true) return { kind: 'not-sent', reason: 'ECONNREFUSED' }
    send.onConnected()
    const ownId = entryOf(target).id
    if (targetId !== ownId) return { kind: 'answer', status: STATUS_MISDIRECTED, rawHeaders: targetHeaders({ requestId, targetId: ownId }), body: emptyBody(), close: () => undefined }
    const arrival: TargetArrival = { at: clock.now(), daemon: sender.name, isDeadly: isDeadlyRequest(send) }
    arrivals.push(arrival)
    return serviceKind === 'engines' ? await answerStream(send, arrival, target) : await answerPlain(send, arrival, target)
  }

  const probe = async (address: string): Promise<boolean> => {
    await clock.sleep(CONNECT_MILLISECONDS)
    return targets.some((target) => target.address === address && target.isRunning)
  }

  const route: ServingRoute = {
    name: 'drafts',
    host: 'h',
    prefix: '/drafts/',
    requestKind: serviceKind === 'engines' ? { kind: 'stream', isResumable: options.isResumable ?? false, maximumPauseMilliseconds: 500 } : { kind: 'safe' },
    timeoutMilliseconds: undefined,
    objectiveMilliseconds: 1_000,
    priority: 1,
    maximumTargets: options.maximumTargets ?? 1,
    services: [{ service: service.name, weight: 1 }]
  }
  const fleet = startSimulatedFleet({ clock, size: options.daemons, random, service, routes: [route], entries: () => [...listed.values()], answer, probe })

  const demandOf = ({ sharedParts, body }: CrashingFleetRequest): ModelDemand => ({
    model: MODEL,
    adapter: undefined,
    promptTokens: PROMPT_TOKENS,
    maximumOutputTokens: 50,
    promptParts: [...sharedParts, `own-${body ?? requestCount++}`].map((id) => ({ id, tokens: PROMPT_TOKENS / (sharedParts.length + 1) }))
  })
  const pickTargets = (share: number): readonly CrashingTarget[] => targets.filter(() => random() < share)

  return {
    exchange: fleet.exchange,
    request: async (daemon, request) => await fleet.request(daemon, {
      path: '/drafts/x',
      deadlineMilliseconds: DEADLINE_MILLISECONDS[serviceKind],
      ...serviceKind === 'engines' ? { demand: demandOf(request) } : {},
      ...request.body === undefined ? {} : { body: request.body }
    }),
    arrivals,
    deadlyCrashes,
    crashTargets: (share) => pickTargets(share).forEach(crash),
    resetConnections: (share) => pickTargets(share).forEach(loseConnections),
    runningTargets: () => targets.filter(({ isRunning }) => isRunning).length,
    stop: fleet.stop
  }
}
