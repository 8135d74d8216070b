import { setMaxListeners } from 'node:events'
import type { ManualClock } from '@fuchsiastage/clock'
import type { ServingRoute, ServingService, TargetEntry } from '@fuchsiastage/fleet'
import type { ForwardOutcome, ModelDemand, TargetAnswer } from '@fuchsiastage/forwarding'
import type { Milliseconds } from '@fuchsiastage/types'
import type { SimulatedExchange } from './simulated-exchange.js'
import { emptyBody, startSimulatedFleet, targetHeaders, type SimulatedFleetOptions } from './simulated-fleet.js'

/** Arrival of a request at an engine. */
export interface EngineArrival {
  readonly at: Milliseconds
  readonly daemon: string
  readonly parts: readonly string[]
  /** Whether the engine wrote a part of the response. */
  hasBegun: boolean
}

export interface CrashingFleet {
  readonly exchange: SimulatedExchange
  /** Sends a request whose prompt has the given shared parts, and one of its own, to a daemon. */
  readonly request: (daemon: number, sharedParts: readonly string[]) => Promise<ForwardOutcome>
  readonly arrivals: readonly EngineArrival[]
  /** Times at which an engine crashed at a request. */
  readonly promptCrashes: readonly Milliseconds[]
  /** Crashes engines for another reason. */
  readonly crashEngines: (share: number) => void
  /** Resets all connections of the engines, which go on running. */
  readonly resetConnections: (share: number) => void
  readonly runningEngines: () => number
  readonly stop: () => void
}

export interface CrashingFleetOptions {
  readonly clock: ManualClock
  readonly daemons: number
  readonly engines: number
  readonly random: () => number
  /** An engine crashes when it begins to answer a request whose prompt contains this part. */
  readonly deadlyPart: string
  readonly isResumable?: boolean
  readonly maximumTargets?: number
}

interface SimulatedEngine {
  readonly address: string
  incarnation: number
  isRunning: boolean
  /** Aborts when the connections of the engine are lost. */
  connections: AbortController
}

const MODEL = 'model'
const SERVICE: ServingService = {
  name: 'drafter',
  healthPath: '/health',
  maximumConnections: 1_000,
  engine: { models: new Map(), megabytes: 80_000, adapterPlaces: 8, batchSlots: 96, cacheTokens: 200_000, storeLoadsPerSecond: 2 }
}
const DEADLINE_MILLISECONDS = 5_000
const PROMPT_TOKENS = 800
const MINIMUM_PREFILL_MILLISECONDS = 60
const PREFILL_SPREAD_MILLISECONDS = 200
const EVENTS = 10
const EVENT_MILLISECONDS = 40
const CONNECT_MILLISECONDS = 2
const STATUS_MISDIRECTED = 421
const RESTART_MILLISECONDS = 3_000
/** Time until daemons learn that an engine has restarted, and that an entry has lapsed. */
const LIST_LAG_MILLISECONDS = 900
const LAPSE_MILLISECONDS = 4_000

function createEntry ({ address, incarnation }: SimulatedEngine): TargetEntry {
  return {
    id: `${address}-${incarnation}`,
    startedAt: 0,
    service: SERVICE.name,
    address,
    dataCentre: 'a',
    slots: 96,
    isDraining: false,
    leavesInMilliseconds: undefined,
    placement: { orderCount: 0, models: [{ name: MODEL, adapters: [] }], pendingAdapters: [], modelsInMemory: [], modelsOnDisk: [] }
  }
}

/** All requests at an engine listen to its connections. */
function createConnections (): AbortController {
  const connections = new AbortController()
  setMaxListeners(0, connections.signal)
  return connections
}

/**
 * Starts a simulated fleet in front of engines that crash when they begin to answer a prompt with a
 * certain part. A crashed engine restarts under a new identifier. For tests and measurements.
 *
 * @example
 * const fleet = startCrashingFleet({ clock, daemons: 7, engines: 8, random, deadlyPart: 'x' })
 * const outcome = await fleet.request(0, ['system', 'x'])
 */
export function startCrashingFleet (options: CrashingFleetOptions): CrashingFleet {
  const { clock, random, deadlyPart } = options
  const arrivals: EngineArrival[] = []
  const promptCrashes: Milliseconds[] = []
  const engines = Array.from({ length: options.engines }, (_, index): SimulatedEngine => ({ address: `e${index}`, incarnation: 0, isRunning: true, connections: createConnections() }))
  const listed = new Map(engines.map((engine) => [createEntry(engine).id, createEntry(engine)]))
  let requestCount = 0

  const list = (entry: TargetEntry, isRunning: boolean): void => {
    if (isRunning) listed.set(entry.id, entry)
    else listed.delete(entry.id)
    for (const { directory } of fleet.exchange.nodes) directory.applyEntry(entry.id, isRunning ? entry : undefined)
  }

  const loseConnections = (engine: SimulatedEngine): void => {
    engine.connections.abort()
    engine.connections = createConnections()
  }

  const crash = (engine: SimulatedEngine): void => {
    if (!engine.isRunning) return
    const entry = createEntry(engine)
    engine.isRunning = false
    loseConnections(engine)
    clock.setTimer(LAPSE_MILLISECONDS, () => list(entry, false))
    clock.setTimer(RESTART_MILLISECONDS, () => {
      engine.incarnation++
      engine.isRunning = true
      const restarted = createEntry(engine)
      clock.setTimer(LIST_LAG_MILLISECONDS, () => { if (createEntry(engine).id === restarted.id) list(restarted, true) })
    })
  }

  async function * writeEvents (arrival: EngineArrival, lost: AbortSignal, isDeadly: boolean): AsyncIterable<Buffer> {
    for (let event = 1; event <= EVENTS; event++) {
      if (lost.aborted || isDeadly) throw new Error('connection closed')
      arrival.hasBegun = true
      yield Buffer.from(`id: ${event}\ndata: x\n\n`)
      await clock.sleep(EVENT_MILLISECONDS, lost)
    }
  }

  const answer: SimulatedFleetOptions['answer'] = async ({ sender, address, targetId, requestId, demand, signal }): Promise<TargetAnswer> => {
    const engine = engines.find((candidate) => candidate.address === address)
    await clock.sleep(CONNECT_MILLISECONDS)
    if (engine?.isRunning !== true) return { kind: 'not-sent', reason: 'ECONNREFUSED' }
    const ownId = createEntry(engine).id
    if (targetId !== ownId) return { kind: 'answer', status: STATUS_MISDIRECTED, rawHeaders: targetHeaders({ requestId, targetId: ownId }), body: emptyBody(), close: () => undefined }
    const parts = (demand?.promptParts ?? []).map(({ id }) => id)
    const arrival: EngineArrival = { at: clock.now(), daemon: sender.name, parts, hasBegun: false }
    arrivals.push(arrival)
    const lost = engine.connections.signal
    await clock.sleep(MINIMUM_PREFILL_MILLISECONDS + random() * PREFILL_SPREAD_MILLISECONDS, AbortSignal.any([lost, signal]))
    if (lost.aborted || signal.aborted) return { kind: 'failed', reason: 'connection closed' }
    const isDeadly = parts.includes(deadlyPart)
    if (isDeadly) {
      promptCrashes.push(clock.now())
      crash(engine)
      // The head of the response may or may not get through.
      if (random() < 0.5) return { kind: 'failed', reason: 'connection closed' }
    }
    return { kind: 'answer', status: 200, rawHeaders: targetHeaders({ requestId }), body: writeEvents(arrival, lost, isDeadly), close: () => undefined }
  }

  const probe = async (address: string): Promise<boolean> => {
    await clock.sleep(CONNECT_MILLISECONDS)
    return engines.some((engine) => engine.address === address && engine.isRunning)
  }

  const route: ServingRoute = {
    name: 'drafts',
    host: 'h',
    prefix: '/drafts/',
    requestKind: { kind: 'stream', isResumable: options.isResumable ?? false, maximumPauseMilliseconds: 500 },
    timeoutMilliseconds: undefined,
    objectiveMilliseconds: 1_000,
    priority: 1,
    maximumTargets: options.maximumTargets ?? 1,
    services: [{ service: SERVICE.name, weight: 1 }]
  }
  const fleet = startSimulatedFleet({ clock, size: options.daemons, random, service: SERVICE, routes: [route], entries: () => [...listed.values()], answer, probe })

  const demandOf = (sharedParts: readonly string[]): ModelDemand => ({
    model: MODEL,
    adapter: undefined,
    promptTokens: PROMPT_TOKENS,
    maximumOutputTokens: 50,
    promptParts: [...sharedParts, `own-${requestCount++}`].map((id) => ({ id, tokens: PROMPT_TOKENS / (sharedParts.length + 1) }))
  })
  const pickEngines = (share: number): readonly SimulatedEngine[] => engines.filter(() => random() < share)

  return {
    exchange: fleet.exchange,
    request: async (daemon, sharedParts) => await fleet.request(daemon, { path: '/drafts/x', deadlineMilliseconds: DEADLINE_MILLISECONDS, demand: demandOf(sharedParts) }),
    arrivals,
    promptCrashes,
    crashEngines: (share) => pickEngines(share).forEach(crash),
    resetConnections: (share) => pickEngines(share).forEach(loseConnections),
    runningEngines: () => engines.filter(({ isRunning }) => isRunning).length,
    stop: fleet.stop
  }
}
