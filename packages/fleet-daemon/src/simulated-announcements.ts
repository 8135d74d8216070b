import type { ManualClock } from '@fuchsiastage/clock'
import { targetKeyOf, type ServingRoute, type ServingService, type TargetEntry } from '@fuchsiastage/fleet'
import type { ForwardOutcome, ModelDemand, TargetAnswer } from '@fuchsiastage/forwarding'
import type { Milliseconds } from '@fuchsiastage/types'
import type { ExchangeNode, SimulatedExchange } from './simulated-exchange.js'
import { emptyBody, startSimulatedFleet, STATUS_TURNED_AWAY, targetHeaders, type SimulatedFleetOptions } from './simulated-fleet.js'

/** A target that may turn requests away and ask for pauses, or leave. */
export interface AnnouncingTarget {
  readonly id: string
  /** Requests that it runs at the same time; it turns others away. */
  capacity: number
  /** Pause that it asks for when it turns a request away; undefined for none. */
  pauseMilliseconds: Milliseconds | undefined
  /** Requests per second that it states in its responses as its limit; undefined for none. */
  perSecond: number | undefined
  /** Requests that it may turn away in a second without falling over, which it states in all its responses; undefined unless it is brittle. */
  brittleRejections: number | undefined
  /** Whether it states in its responses that it leaves. */
  isLeaving: boolean
  isRunning: boolean
}

/** Arrival of a request at a target. */
export interface AnnouncedArrival {
  readonly at: Milliseconds
  readonly target: string
  readonly sender: ExchangeNode
  /** Time at which the caller sent the request. */
  readonly requestedAt: Milliseconds
  isTurnedAway: boolean
}

/** Statement of a target that a daemon received. */
interface Statement {
  readonly at: Milliseconds
  readonly target: string
  readonly receiver: ExchangeNode
  /** Undefined if the target stated that it leaves. */
  readonly pauseMilliseconds: Milliseconds | undefined
}

export interface AnnouncingFleet {
  readonly exchange: SimulatedExchange
  readonly targets: readonly AnnouncingTarget[]
  /** Sends a request of a caller to a daemon. */
  readonly request: (daemon: number) => Promise<ForwardOutcome>
  readonly arrivals: readonly AnnouncedArrival[]
  /** Number of times at which a brittle target fell over, because it had turned too many requests away. */
  readonly falls: () => number
  /** For each pause that a daemon was asked for, the requests that reached the target from it in that time. */
  readonly requestsInPauses: (isExcused: IsExcused) => readonly number[]
  /** Requests that reached a leaving target from a daemon that had passed on its statement a given time before their callers sent them. */
  readonly requestsAfterLeaving: (toleranceMilliseconds: Milliseconds, isExcused: IsExcused) => number
  /** Lets the list of targets state that a target is draining; each daemon learns of it after a time of its own. */
  readonly listAsDraining: (target: AnnouncingTarget) => void
  /** Replaces a target by a new incarnation with the same identifier. */
  readonly restart: (target: AnnouncingTarget) => void
  readonly stop: () => void
}

/** Whether a restart or a cut excuses a daemon at a time. */
export type IsExcused = (daemon: string, at: Milliseconds) => boolean

export interface AnnouncingFleetOptions {
  readonly clock: ManualClock
  readonly daemons: number
  readonly targets: number
  readonly random: () => number
  readonly service: 'engines' | 'plain'
  readonly capacity?: number
  /** Longest time after which a daemon learns of a change of the list. */
  readonly maximumListLag?: Milliseconds
}

const MODEL = 'model'
const SERVICES: Readonly<Record<AnnouncingFleetOptions['service'], ServingService>> = {
  plain: { name: 'ledger', healthPath: '/health', maximumConnections: 1_000, engine: undefined },
  engines: {
    name: 'drafter',
    healthPath: '/health',
    maximumConnections: 1_000,
    engine: { models: new Map(), megabytes: 80_000, adapterPlaces: 8, batchSlots: 96, cacheTokens: 200_000, storeLoadsPerSecond: 2 }
  }
}
/** Different prompts, which daemons prefer to send to different engines. */
const PROMPTS = 40
const DEADLINE_MILLISECONDS = 5_000
const CONNECT_MILLISECONDS = 2
const MINIMUM_SERVING_MILLISECONDS = 20
const SERVING_SPREAD_MILLISECONDS = 60
/** Time in which a brittle target may turn a limited number of requests away, and after which it is back when it has fallen over. */
const BRITTLE_WINDOW_MILLISECONDS = 1_000
const RESTART_MILLISECONDS = 3_000
/** Time after a response that asks for a pause from which on the pause is to be kept. */
const PAUSE_GRACE_MILLISECONDS = 500

async function * oneEvent (): AsyncIterable<Buffer> {
  yield Buffer.from('id: 1\ndata: x\n\n')
}

function demandOf (prompt: number): ModelDemand {
  return { model: MODEL, adapter: undefined, promptTokens: 800, maximumOutputTokens: 50, promptParts: [{ id: `system-${prompt}`, tokens: 700 }, { id: 'own', tokens: 100 }] }
}

/**
 * Starts a simulated fleet in front of targets that announce pauses and their removal in their responses.
 * For tests and measurements.
 *
 * @example
 * const fleet = startAnnouncingFleet({ clock, daemons: 7, targets: 4, random, service: 'plain' })
 * fleet.targets[0].isLeaving = true
 */
export function startAnnouncingFleet (options: AnnouncingFleetOptions): AnnouncingFleet {
  const { clock, random, maximumListLag = 0 } = options
  const service = SERVICES[options.service]
  const arrivals: AnnouncedArrival[] = []
  const statements: Statement[] = []
  const targets = Array.from({ length: options.targets }, (_, index): AnnouncingTarget => ({ id: `t${index}`, capacity: options.capacity ?? Infinity, pauseMilliseconds: undefined, perSecond: undefined, brittleRejections: undefined, isLeaving: false, isRunning: true }))
  const running = new Map<string, number>()
  let fallCount = 0
  const incarnations = new Map(targets.map(({ id }) => [id, 0]))

  const entryOf = ({ id }: AnnouncingTarget, isDraining = false): TargetEntry => ({
    id,
    startedAt: incarnations.get(id) ?? 0,
    service: service.name,
    address: id,
    dataCentre: 'a',
    slots: 96,
    isDraining,
    softwareVersion: 'v1',
    leavesInMilliseconds: undefined,
    placement: { orderCount: 0, models: [{ name: MODEL, adapters: [] }], pendingAdapters: [], modelsInMemory: [], modelsOnDisk: [] }
  })
  const listed = new Map(targets.map((target) => [target.id, entryOf(target)]))

  const list = (entry: TargetEntry): void => {
    listed.set(entry.id, entry)
    for (const { directory } of fleet.exchange.nodes) clock.setTimer(random() * maximumListLag, () => directory.applyEntry(entry.id, entry))
  }

  const state = (target: AnnouncingTarget, receiver: ExchangeNode, pauseMilliseconds: Milliseconds | undefined): void => {
    statements.push({ at: clock.now(), target: targetKeyOf(entryOf(target)), receiver, pauseMilliseconds })
  }

  const hasTurnedTooManyAway = (target: AnnouncingTarget): boolean => {
    if (target.brittleRejections === undefined) return false
    const key = targetKeyOf(entryOf(target))
    const from = clock.now() - BRITTLE_WINDOW_MILLISECONDS
    return arrivals.filter((arrival) => arrival.isTurnedAway && arrival.target === key && arrival.at > from).length > target.brittleRejections
  }

  const fall = (target: AnnouncingTarget): void => {
    if (!target.isRunning) return
    fallCount++
    target.isRunning = false
    clock.setTimer(RESTART_MILLISECONDS, () => restart(target))
  }

  const restart = (target: AnnouncingTarget): void => {
    incarnations.set(target.id, (incarnations.get(target.id) ?? 0) + 1)
    target.isLeaving = false
    target.isRunning = true
    list(entryOf(target))
  }

  const turnAway = (target: AnnouncingTarget, arrival: AnnouncedArrival, requestId: string): TargetAnswer => {
    arrival.isTurnedAway = true
    if (hasTurnedTooManyAway(target)) fall(target)
    const { pauseMilliseconds, brittleRejections, isLeaving } = target
    if (pauseMilliseconds !== undefined) state(target, arrival.sender, pauseMilliseconds)
    return {
      kind: 'answer',
      status: STATUS_TURNED_AWAY,
      rawHeaders: targetHeaders({ requestId, isLeaving, brittleRejections, ...pauseMilliseconds === undefined ? {} : { pauseMilliseconds } }),
      body: emptyBody(),
      close: () => undefined
    }
  }

  const answer: SimulatedFleetOptions['answer'] = async ({ sender, address, requestId, requestedAt, signal, onConnected }): Promise<TargetAnswer> => {
    const target = targets.find(({ id }) => id === address)
    await clock.sleep(CONNECT_MILLISECONDS)
    if (target?.isRunning !== true) return { kind: 'not-sent', reason: 'ECONNREFUSED' }
    onConnected()
    const key = targetKeyOf(entryOf(target))
    const arrival: AnnouncedArrival = { at: clock.now(), target: key, sender, requestedAt, isTurnedAway: false }
    arrivals.push(arrival)
    const count = running.get(key) ?? 0
    if (count >= target.capacity) return turnAway(target, arrival, requestId)
    running.set(key, count + 1)
    await clock.sleep(MINIMUM_SERVING_MILLISECONDS + random() * SERVING_SPREAD_MILLISECONDS, signal)
    running.set(key, (running.get(key) ?? 1) - 1)
    if (signal.aborted) return { kind: 'failed', reason: 'aborted' }
    const { isLeaving, perSecond, brittleRejections } = target
    if (isLeaving) state(target, sender, undefined)
    return { kind: 'answer', status: 200, rawHeaders: targetHeaders({ requestId, isLeaving, brittleRejections, ...perSecond === undefined ? {} : { requestsPerSecond: perSecond } }), body: oneEvent(), close: () => undefined }
  }

  const route: ServingRoute = {
    name: 'requests',
    host: 'h',
    prefix: '/',
    requestKind: options.service === 'engines' ? { kind: 'stream', isResumable: false, maximumPauseMilliseconds: 500 } : { kind: 'safe' },
    timeoutMilliseconds: undefined,
    objectiveMilliseconds: 1_000,
    priority: 1,
    maximumTargets: 2,
    services: [{ service: service.name, weight: 1 }]
  }
  const fleet = startSimulatedFleet({ clock, size: options.daemons, random, service, routes: [route], entries: () => [...listed.values()], answer })

  return {
    exchange: fleet.exchange,
    targets,
    request: async (daemon) => await fleet.request(daemon, { path: '/x', deadlineMilliseconds: DEADLINE_MILLISECONDS, ...options.service === 'engines' ? { demand: demandOf(Math.floor(random() * PROMPTS)) } : {} }),
    arrivals,
    requestsInPauses: (isExcused) => statements.flatMap(({ at, target, receiver, pauseMilliseconds }) => pauseMilliseconds === undefined
      ? []
      : [arrivals.filter((arrival) => arrival.sender === receiver && arrival.target === target && arrival.at > at + PAUSE_GRACE_MILLISECONDS && arrival.at < at + pauseMilliseconds && !isExcused(receiver.name, arrival.at)).length]),
    requestsAfterLeaving: (toleranceMilliseconds, isExcused) => arrivals.filter(({ sender, target, requestedAt, at }) => !isExcused(sender.name, at) && statements.some((statement) =>
      statement.pauseMilliseconds === undefined && statement.receiver === sender && statement.target === target && requestedAt > statement.at + toleranceMilliseconds)).length,
    listAsDraining: (target) => list(entryOf(target, true)),
    restart,
    falls: () => fallCount,
    stop: fleet.stop
  }
}
