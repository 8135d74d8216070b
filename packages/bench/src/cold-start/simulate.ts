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
import { createLoadTimeModel } from './weights-model.js'

export interface SimulationOptions {
  readonly example: ExampleDeployment
  readonly configuration: PlacementConfiguration
  readonly demand: Demand
  readonly seed: number
  readonly policy: KeepWarmPolicy
  readonly placement?: Partial<PlacementSettings>
  /** Loads every model that fits into free memory, without waiting for a request. */
  readonly loadsAll?: boolean
  /** Hides from the placement decisions where weights are cached. */
  readonly hidesCaches?: boolean
  /** Does not count a request for an adapter in the history of its base model. */
  readonly separatesHistories?: boolean
  /** Gives all requests the same priority class and the same deadline in the load queue. */
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
  /** Number of loads that exceeded the accelerator memory of their engine. */
  readonly overcommittedLoads: number
}

interface SimulatedEngine {
  readonly target: PlacementTarget
  readonly memoryMegabytes: number
  readonly accelerators: number
  readonly cache: WeightsCache
}

/** Use of a replica, from which its idle time is computed. */
interface ReplicaUse {
  running: number
  /** Time up to which the idle time has been counted. */
  accountedUntil: Milliseconds
  onDrained: (() => void) | undefined
}

const HOUR_MILLISECONDS = 3_600_000
const EPOCH = 1
const LOAD_REQUEST_RETRY_MILLISECONDS: Milliseconds = 2_000
const USAGE_REPORT_MILLISECONDS: Milliseconds = 1_000
/** The placement controller reviews replicas every second. The simulation does so less often, which shortens its run time. */
const REVIEW_MILLISECONDS: Milliseconds = 10_000
/** `loadsAll` queues another preload only while fewer loads than this are queued. */
const MAXIMUM_QUEUED_LOADS = 1
const UNLOAD_MILLISECONDS: Milliseconds = 50
/** Host memory and disk space for cached weights, as fractions of the accelerator memory. */
const HOST_MEMORY_FRACTION = 0.4
const DISK_FRACTION = 1.5

/**
 * Replays simulated demand against the decisions of the placement controller and a keep-warm policy.
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
  const loadTimes = createLoadTimeModel({ clock, storeMegabytesPerSecond: weightStore.megabytesPerSecond, storeConcurrentLoads: weightStore.concurrentLoads })
  const weightsOf = (name: string): number => (configuration.adapters.get(name) ?? configuration.models.get(name))?.weightsMegabytes ?? 0

  const engines = new Map<string, SimulatedEngine>()
  for (const [name, vm] of vms) {
    const role = configuration.roles.get(vm.role)
    if (role?.kind !== 'engine') continue
    const cache = createWeightsCache(vm.memoryMegabytes * HOST_MEMORY_FRACTION, vm.memoryMegabytes * DISK_FRACTION)
    // At the start of the day each engine has a random 15% of the models cached.
    for (const model of configuration.models.keys()) if (random() < 0.15) cache.store(model, weightsOf(model))
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
  const silentLogger = Object.fromEntries(Object.keys(logger).map((level) => [level, () => silentLogger])) as unknown as Logger
  const replicaUses = new Map<string, ReplicaUse>()
  const loads = { memory: 0, disk: 0, remote: 0 }
  let idleAcceleratorMilliseconds = 0
  let overcommittedLoads = 0

  const accountIdleTime = (key: string): void => {
    const reservation = state.reservations.get(key)
    const use = replicaUses.get(key)
    const engine = reservation === undefined ? undefined : engines.get(reservation.target)
    if (reservation === undefined || use === undefined || engine === undefined) return
    const startedAt = Math.max(use.accountedUntil, demand.measuredFrom)
    const endedAt = Math.min(clock.now(), demand.endsAt)
    if (use.running === 0 && endedAt > startedAt) idleAcceleratorMilliseconds += (endedAt - startedAt) * engine.accelerators * reservation.memoryMegabytes / engine.memoryMegabytes
    use.accountedUntil = clock.now()
  }
  const adjustRunning = (key: string, change: 1 | -1): void => {
    const use = replicaUses.get(key)
    if (use === undefined) return
    accountIdleTime(key)
    use.running += change
    if (use.running === 0) use.onDrained?.()
  }

  const load = (_epoch: number, { subject, target }: LoadJob): Promise<LoadResult> => new Promise((resolve) => {
    const key = reservationKey(target.name, subject.name)
    const engine = engines.get(target.name) as SimulatedEngine
    setReservation(key, {
      reservationId: key, lastOrderId: key, target: target.name, model: subject.name, baseModel: subject.baseModel, memoryMegabytes: subject.memoryMegabytes, configurationVersion: 1, isUsable: false, unsettled: []
    })
    replicaUses.set(key, { running: 0, accountedUntil: clock.now(), onDrained: undefined })
    const reserved = reservationsOn(state, target.name).reduce((sum, { memoryMegabytes }) => sum + memoryMegabytes, 0)
    if (reserved > engine.memoryMegabytes) overcommittedLoads++
    loads[engine.cache.locate(subject.name)]++
    loadTimes.load(engine.cache, subject.name, subject.weightsMegabytes, () => {
      const reservation = state.reservations.get(key)
      if (reservation !== undefined) setReservation(key, { ...reservation, isUsable: true })
      clock.settleSoon()
      resolve('loaded')
      startWaitingRequests(subject.name)
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
        accountIdleTime(key)
        replicaUses.delete(key)
        setReservation(key, undefined)
        clock.settleSoon()
        resolve(true)
      })
    }
    clock.setTimer(settings.drainMilliseconds, () => {
      const use = replicaUses.get(key)
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
    logger: silentLogger,
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
  const waitingByName = new Map<string, Set<() => boolean>>()
  const usageReports = new Map<string, { readonly daemon: string, readonly name: string, requests: number, running: number }>()

  const usageReportOf = (daemon: string, name: string): { requests: number, running: number } => {
    const key = `${daemon} ${name}`
    let report = usageReports.get(key)
    if (report === undefined) {
      report = { daemon, name, requests: 0, running: 0 }
      usageReports.set(key, report)
    }
    return report
  }
  const sendUsageReports = (): void => {
    for (const [key, report] of usageReports) {
      usage.report({ name: report.name, daemon: report.daemon, requests: report.requests, inFlight: report.running })
      report.requests = 0
      if (report.running === 0) usageReports.delete(key)
    }
  }

  const replicaFor = (name: string): Reservation | undefined => reservationsOf(state, name)
    .filter(({ isUsable }) => isUsable)
    .sort((left, right) => (replicaUses.get(reservationKey(left.target, name))?.running ?? 0) - (replicaUses.get(reservationKey(right.target, name))?.running ?? 0))[0]

  const isMeasured = ({ at }: DemandRequest): boolean => at >= demand.measuredFrom
  const callerResultOf = ({ caller }: DemandRequest): CallerResult => {
    const result = byCaller.get(caller.name) ?? { requests: 0, refused: 0 }
    byCaller.set(caller.name, result)
    return result
  }

  const serve = (request: DemandRequest, replica: Reservation): void => {
    const waitedMilliseconds = clock.now() - request.at
    if (isMeasured(request)) {
      if (request.isFirstOfBurst) firstWaits.push(waitedMilliseconds)
      if (waitedMilliseconds > 0) coldWaits.push(waitedMilliseconds)
    }
    const keys = [replica.model, ...replica.baseModel === null ? [] : [replica.baseModel]].map((name) => reservationKey(replica.target, name))
    for (const key of keys) adjustRunning(key, 1)
    clock.setTimer(request.serviceMilliseconds, () => {
      for (const key of keys) adjustRunning(key, -1)
      usageReportOf(request.daemon, request.name).running--
    })
  }
  const recordRefusal = (request: DemandRequest): void => {
    usageReportOf(request.daemon, request.name).running--
    if (!isMeasured(request)) return
    callerResultOf(request).refused++
    if (request.isFirstOfBurst) firstWaits.push(request.caller.deadlineMilliseconds)
  }
  const requestReplica = (request: DemandRequest): boolean => {
    const model = configuration.adapters.get(request.name)?.model
    const remainingMilliseconds = request.at + request.caller.deadlineMilliseconds - clock.now()
    const replicaRequest: WantReplicaRequest = {
      model: model ?? request.name,
      ...model === undefined ? {} : { adapter: request.name },
      deadlineMilliseconds: options.ignoresDeadlines === true ? 120_000 : remainingMilliseconds,
      priority: options.ignoresDeadlines === true ? 'normal' : request.caller.priority,
      waiting: 1
    }
    usage.recordRequest(request.name)
    const response = scheduler.requestReplica(EPOCH, replicaRequest)
    clock.settleSoon()
    return response.kind !== 'refused'
  }
  const waitForReplica = (request: DemandRequest): void => {
    const waitingRequests = waitingByName.get(request.name) ?? new Set()
    waitingByName.set(request.name, waitingRequests)
    const deadlineAt = request.at + request.caller.deadlineMilliseconds
    let hasEnded = false
    const tryStart = (): boolean => {
      const replica = replicaFor(request.name)
      if (hasEnded || replica === undefined) return hasEnded
      hasEnded = true
      serve(request, replica)
      return true
    }
    const retry = (): void => {
      if (hasEnded) return
      if (clock.now() >= deadlineAt || !requestReplica(request)) {
        hasEnded = true
        waitingRequests.delete(tryStart)
        recordRefusal(request)
        return
      }
      clock.setTimer(Math.min(LOAD_REQUEST_RETRY_MILLISECONDS, deadlineAt - clock.now()), retry)
    }
    waitingRequests.add(tryStart)
    retry()
  }
  const startWaitingRequests = (name: string): void => {
    for (const tryStart of waitingByName.get(name) ?? []) if (tryStart()) waitingByName.get(name)?.delete(tryStart)
  }
  const handleArrival = (request: DemandRequest): void => {
    const report = usageReportOf(request.daemon, request.name)
    report.requests++
    report.running++
    if (isMeasured(request)) callerResultOf(request).requests++
    const replica = replicaFor(request.name)
    if (replica === undefined) waitForReplica(request)
    else serve(request, replica)
  }

  const queuePreloads = (): void => {
    const largestFreeMemory = Math.max(...[...engines.values()].map(({ target }) =>
      (configuration.roles.get(target.role)?.memoryMegabytes ?? 0) - reservationsOn(state, target.name).reduce((sum, { memoryMegabytes }) => sum + memoryMegabytes, 0)))
    for (const [name, { memoryMegabytes }] of configuration.models) {
      if (memoryMegabytes <= largestFreeMemory && scheduler.queueLength() < MAXIMUM_QUEUED_LOADS && reservationsOf(state, name).length === 0) scheduler.queueProactiveLoad(name, 1, 'preload')
    }
  }
  let lastReviewAt = -Infinity
  let lastReportAt = -Infinity
  const tick = (): void => {
    if (clock.now() - lastReportAt >= USAGE_REPORT_MILLISECONDS) {
      lastReportAt = clock.now()
      sendUsageReports()
    }
    if (clock.now() - lastReviewAt >= REVIEW_MILLISECONDS) {
      lastReviewAt = clock.now()
      keeper.review(EPOCH)
      if (options.loadsAll === true) queuePreloads()
      clock.settleSoon()
    }
    if (scheduler.queueLength() > 0) {
      scheduler.schedule(EPOCH)
      clock.settleSoon()
    }
    clock.setTimer(scheduler.queueLength() > 0 ? settings.scheduleMilliseconds : USAGE_REPORT_MILLISECONDS, tick)
  }

  let nextIndex = 0
  const scheduleNextArrival = (): void => {
    const request = demand.requests[nextIndex++]
    if (request === undefined) return
    clock.setTimer(request.at - clock.now(), () => {
      handleArrival(request)
      scheduleNextArrival()
    })
  }
  const firstRequestAt = demand.requests[0]?.at ?? 0
  await clock.runUntil(Math.max(0, firstRequestAt - 1_000))
  tick()
  scheduleNextArrival()
  await clock.runUntil(demand.endsAt)
  for (const key of state.reservations.keys()) accountIdleTime(key)

  const callerResults = [...byCaller.values()]
  return {
    firstWaits,
    coldWaits,
    idleAcceleratorHours: idleAcceleratorMilliseconds / HOUR_MILLISECONDS,
    requests: callerResults.reduce((sum, { requests }) => sum + requests, 0),
    refused: callerResults.reduce((sum, { refused }) => sum + refused, 0),
    byCaller,
    loads,
    overcommittedLoads
  }
}
