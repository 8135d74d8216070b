import { createSeededRandom } from '@fuchsiastage/membership'
import type { KeepWarmPolicy } from '@fuchsiastage/keep-warm'
import { createMemoryLogger, type Logger } from '@fuchsiastage/logger'
import {
  DEFAULT_PLACEMENT_SETTINGS, reservationKey, reservationsOf, reservationsOn, type PlacementConfiguration, type PlacementSettings, type PlacementState, type PlacementTarget, type Reservation, type WantReplicaRequest
} from '@fuchsiastage/placement'
import { createDecisions, createPairOperationTracker, createUsageTracker, type LoadJob, type LoadResult, type PlacementContext } from '@fuchsiastage/placement/decisions'
import type { EngineState, Milliseconds, ModelState } from '@fuchsiastage/types'
import { createEventClock } from '../event-clock.js'
import type { ExampleDeployment } from '../example-deployment.js'
import type { Demand, DemandRequest } from './demand.js'
import { createWeightsCache, type WeightsCache } from './weights-cache.js'
import { createWeightsModel } from './weights-model.js'

export interface SimulationOptions {
  readonly example: ExampleDeployment
  readonly configuration: PlacementConfiguration
  readonly demand: Demand
  readonly seed: number
  readonly policy: KeepWarmPolicy
  readonly placement?: Partial<PlacementSettings>
  /** Loads every model that fits into free memory, without waiting for a request. */
  readonly loadsAll?: boolean
  /** Hides from the decisions where weights are cached. */
  readonly hidesCaches?: boolean
  /** Does not count a request for an adapter as one for its model. */
  readonly separatesHistories?: boolean
  /** Treats all requests as of one priority class and one deadline in the load queue. */
  readonly ignoresDeadlines?: boolean
}

export interface CallerResult {
  requests: number
  refused: number
}

export interface SimulationResult {
  /** Cold-start time of each first request; a refused request counts with its whole deadline. */
  readonly firstWaits: readonly Milliseconds[]
  /** Cold-start time of the requests that waited and were served. */
  readonly coldWaits: readonly Milliseconds[]
  readonly idleAcceleratorHours: number
  readonly requests: number
  readonly refused: number
  readonly byCaller: ReadonlyMap<string, CallerResult>
  readonly loads: { memory: number, disk: number, remote: number }
  readonly overcommitted: number
}

interface EngineModel {
  readonly target: PlacementTarget
  readonly memoryMegabytes: number
  readonly accelerators: number
  readonly cache: WeightsCache
}

/** Time in which a replica has no request. */
interface ReplicaUse {
  running: number
  idleSince: Milliseconds
  onDrained: (() => void) | undefined
}

const HOUR = 3_600_000
const EPOCH = 1
const ASK_AGAIN_MILLISECONDS: Milliseconds = 2_000
const USAGE_REPORT_MILLISECONDS: Milliseconds = 1_000
/** The controller reviews each second; the benchmark more rarely, to stay short. */
const REVIEW_MILLISECONDS: Milliseconds = 10_000
/** Preloads that `loadsAll` has in the queue at a time. */
const QUEUED_AHEAD = 1
const UNLOAD_MILLISECONDS: Milliseconds = 50
/** Host memory and disk for weights, as parts of the accelerators' memory. */
const HOST_MEMORY_PART = 0.4
const DISK_PART = 1.5

/**
 * Replays a demand against the placement decisions of the controller and a keep-warm policy.
 *
 * @example
 * const result = await simulate({ example, configuration: example.configuration, demand, seed: 1, policy })
 */
export async function simulate (options: SimulationOptions): Promise<SimulationResult> {
  const { example, configuration, demand, policy } = options
  const clock = createEventClock()
  const random = createSeededRandom(options.seed + 1_000_003)
  const { weightStore, vms } = example.deployment
  const settings: PlacementSettings = {
    ...DEFAULT_PLACEMENT_SETTINGS,
    loadsPerSecond: weightStore.loadsPerSecond,
    concurrentLoads: weightStore.concurrentLoads,
    ...options.placement
  }
  const weights = createWeightsModel({ clock, storeMegabytesPerSecond: weightStore.megabytesPerSecond, storeConcurrentLoads: weightStore.concurrentLoads })
  const weightsOf = (name: string): number => (configuration.adapters.get(name) ?? configuration.models.get(name))?.weightsMegabytes ?? 0

  const engines = new Map<string, EngineModel>()
  for (const [name, vm] of vms) {
    const role = configuration.roles.get(vm.role)
    if (role?.kind !== 'engine') continue
    const cache = createWeightsCache(vm.memoryMegabytes * HOST_MEMORY_PART, vm.memoryMegabytes * DISK_PART)
    // Checkpoints are spread unevenly over the disks before the day begins.
    for (const model of configuration.models.keys()) if (random() < 0.15) cache.keep(model, weightsOf(model))
    engines.set(name, {
      target: { name, address: vm.address, role: vm.role, dataCentre: vm.dataCentre, state: 'live' },
      memoryMegabytes: vm.memoryMegabytes,
      accelerators: role.accelerators,
      cache
    })
  }
  const targets = new Map([...engines].map(([name, { target }]) => [name, target]))

  let state: PlacementState = {
    reservations: new Map(),
    targets: new Map([...engines.values()].map(({ target, memoryMegabytes }) => [target.name, {
      target: target.name, incarnation: 'i', address: target.address, role: target.role, dataCentre: target.dataCentre, fencing: 'checked' as const, memoryMegabytes
    }])),
    decisionEpoch: EPOCH,
    decisionSequence: 0
  }
  const setReservation = (key: string, reservation: Reservation | undefined): void => {
    const reservations = new Map(state.reservations)
    if (reservation === undefined) reservations.delete(key)
    else reservations.set(key, reservation)
    state = { ...state, reservations }
  }

  const logger: Logger = createMemoryLogger({ ...clock, now: clock.now }, 'bench').logger
  const silent = Object.fromEntries(Object.keys(logger).map((level) => [level, () => silent])) as unknown as Logger
  const uses = new Map<string, ReplicaUse>()
  const loads = { memory: 0, disk: 0, remote: 0 }
  let idle = 0
  let overcommitted = 0

  const chargeIdle = (key: string): void => {
    const reservation = state.reservations.get(key)
    const use = uses.get(key)
    const engine = reservation === undefined ? undefined : engines.get(reservation.target)
    if (reservation === undefined || use === undefined || engine === undefined) return
    const begin = Math.max(use.idleSince, demand.from)
    const end = Math.min(clock.now(), demand.until)
    if (use.running === 0 && end > begin) idle += (end - begin) * engine.accelerators * reservation.memoryMegabytes / engine.memoryMegabytes
    use.idleSince = clock.now()
  }
  const changeRunning = (key: string, by: 1 | -1): void => {
    const use = uses.get(key)
    if (use === undefined) return
    chargeIdle(key)
    use.running += by
    if (use.running === 0) use.onDrained?.()
  }

  const load = (_epoch: number, { subject, target }: LoadJob): Promise<LoadResult> => new Promise((resolve) => {
    const key = reservationKey(target.name, subject.name)
    const engine = engines.get(target.name) as EngineModel
    setReservation(key, {
      reservationId: key, lastOrderId: key, target: target.name, model: subject.name, baseModel: subject.baseModel, memoryMegabytes: subject.memoryMegabytes, configurationVersion: 1, isUsable: false, unsettled: []
    })
    uses.set(key, { running: 0, idleSince: clock.now(), onDrained: undefined })
    const reserved = reservationsOn(state, target.name).reduce((sum, { memoryMegabytes }) => sum + memoryMegabytes, 0)
    if (reserved > engine.memoryMegabytes) overcommitted++
    loads[engine.cache.locate(subject.name)]++
    weights.load(engine.cache, subject.name, subject.weightsMegabytes, () => {
      const reservation = state.reservations.get(key)
      if (reservation !== undefined) setReservation(key, { ...reservation, isUsable: true })
      clock.settleSoon()
      resolve('loaded')
      startWaiting(subject.name)
    })
  })

  const remove = (_epoch: number, removed: Reservation): Promise<boolean> => new Promise((resolve) => {
    const { target, model } = removed
    const key = reservationKey(target, model)
    const current = state.reservations.get(key)
    if (current === undefined || reservationsOn(state, target).some(({ baseModel }) => baseModel === model)) {
      resolve(false)
      return
    }
    setReservation(key, { ...current, isUsable: false })
    const unload = (): void => {
      clock.setTimer(UNLOAD_MILLISECONDS, () => {
        chargeIdle(key)
        uses.delete(key)
        setReservation(key, undefined)
        clock.settleSoon()
        resolve(true)
      })
    }
    clock.setTimer(settings.drainMilliseconds, () => {
      const use = uses.get(key)
      if (use === undefined || use.running === 0) unload()
      else use.onDrained = unload
    })
  })

  const modelsOn = (target: string): readonly ModelState[] => reservationsOn(state, target).map(({ model, isUsable, memoryMegabytes, lastOrderId }) =>
    ({ model, state: isUsable ? 'loaded' : 'loading', orderId: lastOrderId, memoryMegabytes }))
  const hint = (name: string): EngineState | undefined => {
    const engine = engines.get(name)
    if (engine === undefined) return undefined
    return {
      kind: 'engine',
      incarnation: 'i',
      state: 'live',
      fencingToken: EPOCH,
      memoryMegabytes: engine.memoryMegabytes,
      models: modelsOn(name),
      executedOrders: [],
      cachedWeights: options.hidesCaches === true ? {} : engine.cache.entries(),
      load: { running: 0, waiting: 0, capacity: 16, ageMilliseconds: 0 }
    }
  }

  const context = {
    configuration: () => configuration,
    targets: () => targets,
    clock,
    logger: silent,
    settings,
    stopping: new AbortController().signal,
    decidingEpoch: () => EPOCH,
    state: () => state
  } as unknown as PlacementContext
  const pairs = createPairOperationTracker(clock.now, settings.cooldownMilliseconds, (reason) => { throw reason })
  const usage = createUsageTracker(policy, clock.now, options.separatesHistories === true ? undefined : (name) => configuration.adapters.get(name)?.model)
  const reader = {
    hint,
    reconcile: async () => undefined,
    updateHint: () => {},
    lastReadAt: clock.now,
    unreachableSince: () => undefined,
    declareRemoved: async () => {},
    prune: () => {}
  }
  const { scheduler, keeper } = createDecisions({
    context, pairs, reader, usage, policy, operations: { load, remove, abortSettledWaits: () => {} }, electedAt: () => 0
  })

  const firstWaits: Milliseconds[] = []
  const coldWaits: Milliseconds[] = []
  const byCaller = new Map<string, CallerResult>()
  const waiting = new Map<string, Set<() => boolean>>()
  const reports = new Map<string, { readonly daemon: string, readonly name: string, requests: number, running: number }>()

  const reportOf = (daemon: string, name: string): { requests: number, running: number } => {
    const key = `${daemon} ${name}`
    let report = reports.get(key)
    if (report === undefined) {
      report = { daemon, name, requests: 0, running: 0 }
      reports.set(key, report)
    }
    return report
  }
  const sendReports = (): void => {
    for (const [key, report] of reports) {
      usage.report({ name: report.name, daemon: report.daemon, requests: report.requests, inFlight: report.running })
      report.requests = 0
      if (report.running === 0) reports.delete(key)
    }
  }

  const replicaFor = (name: string): Reservation | undefined => reservationsOf(state, name)
    .filter(({ isUsable }) => isUsable)
    .sort((left, right) => (uses.get(reservationKey(left.target, name))?.running ?? 0) - (uses.get(reservationKey(right.target, name))?.running ?? 0))[0]

  const isMeasured = ({ at }: DemandRequest): boolean => at >= demand.from
  const resultOf = ({ caller }: DemandRequest): CallerResult => {
    const result = byCaller.get(caller.name) ?? { requests: 0, refused: 0 }
    byCaller.set(caller.name, result)
    return result
  }

  const run = (request: DemandRequest, replica: Reservation): void => {
    const waited = clock.now() - request.at
    if (isMeasured(request)) {
      if (request.isFirst) firstWaits.push(waited)
      if (waited > 0) coldWaits.push(waited)
    }
    const keys = [replica.model, ...replica.baseModel === null ? [] : [replica.baseModel]].map((name) => reservationKey(replica.target, name))
    for (const key of keys) changeRunning(key, 1)
    clock.setTimer(request.serviceMilliseconds, () => {
      for (const key of keys) changeRunning(key, -1)
      reportOf(request.daemon, request.name).running--
    })
  }
  const refuse = (request: DemandRequest): void => {
    reportOf(request.daemon, request.name).running--
    if (!isMeasured(request)) return
    resultOf(request).refused++
    if (request.isFirst) firstWaits.push(request.caller.deadlineMilliseconds)
  }
  const want = (request: DemandRequest): boolean => {
    const model = configuration.adapters.get(request.name)?.model
    const left = request.at + request.caller.deadlineMilliseconds - clock.now()
    const wanted: WantReplicaRequest = {
      model: model ?? request.name,
      ...model === undefined ? {} : { adapter: request.name },
      deadlineMilliseconds: options.ignoresDeadlines === true ? 120_000 : left,
      priority: options.ignoresDeadlines === true ? 'normal' : request.caller.priority,
      waiting: 1
    }
    usage.recordRequest(request.name)
    const answer = scheduler.requestReplica(EPOCH, wanted)
    clock.settleSoon()
    return answer.kind !== 'refused'
  }
  const wait = (request: DemandRequest): void => {
    const group = waiting.get(request.name) ?? new Set()
    waiting.set(request.name, group)
    const deadlineAt = request.at + request.caller.deadlineMilliseconds
    let isOver = false
    const start = (): boolean => {
      const replica = replicaFor(request.name)
      if (isOver || replica === undefined) return isOver
      isOver = true
      run(request, replica)
      return true
    }
    const askAgain = (): void => {
      if (isOver) return
      if (clock.now() >= deadlineAt || !want(request)) {
        isOver = true
        group.delete(start)
        refuse(request)
        return
      }
      clock.setTimer(Math.min(ASK_AGAIN_MILLISECONDS, deadlineAt - clock.now()), askAgain)
    }
    group.add(start)
    askAgain()
  }
  const startWaiting = (name: string): void => {
    for (const start of waiting.get(name) ?? []) if (start()) waiting.get(name)?.delete(start)
  }
  const arrive = (request: DemandRequest): void => {
    const report = reportOf(request.daemon, request.name)
    report.requests++
    report.running++
    if (isMeasured(request)) resultOf(request).requests++
    const replica = replicaFor(request.name)
    if (replica === undefined) wait(request)
    else run(request, replica)
  }

  const loadAll = (): void => {
    const free = Math.max(...[...engines.values()].map(({ target }) =>
      (configuration.roles.get(target.role)?.memoryMegabytes ?? 0) - reservationsOn(state, target.name).reduce((sum, { memoryMegabytes }) => sum + memoryMegabytes, 0)))
    for (const [name, { memoryMegabytes }] of configuration.models) {
      if (memoryMegabytes <= free && scheduler.queueLength() < QUEUED_AHEAD && reservationsOf(state, name).length === 0) scheduler.queueProactiveLoad(name, 1, 'preload')
    }
  }
  let reviewedAt = -Infinity
  let reportedAt = -Infinity
  const tick = (): void => {
    if (clock.now() - reportedAt >= USAGE_REPORT_MILLISECONDS) {
      reportedAt = clock.now()
      sendReports()
    }
    if (clock.now() - reviewedAt >= REVIEW_MILLISECONDS) {
      reviewedAt = clock.now()
      keeper.review(EPOCH)
      if (options.loadsAll === true) loadAll()
      clock.settleSoon()
    }
    if (scheduler.queueLength() > 0) {
      scheduler.schedule(EPOCH)
      clock.settleSoon()
    }
    clock.setTimer(scheduler.queueLength() > 0 ? settings.scheduleMilliseconds : USAGE_REPORT_MILLISECONDS, tick)
  }

  let next = 0
  const arriveNext = (): void => {
    const request = demand.requests[next++]
    if (request === undefined) return
    clock.setTimer(request.at - clock.now(), () => {
      arrive(request)
      arriveNext()
    })
  }
  const firstAt = demand.requests[0]?.at ?? 0
  await clock.runUntil(Math.max(0, firstAt - 1_000))
  tick()
  arriveNext()
  await clock.runUntil(demand.until)
  for (const key of state.reservations.keys()) chargeIdle(key)

  const totals = [...byCaller.values()]
  return {
    firstWaits,
    coldWaits,
    idleAcceleratorHours: idle / HOUR,
    requests: totals.reduce((sum, { requests }) => sum + requests, 0),
    refused: totals.reduce((sum, { refused }) => sum + refused, 0),
    byCaller,
    loads,
    overcommitted
  }
}
