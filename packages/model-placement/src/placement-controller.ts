import type { Clock } from '@fuchsiastage/clock'
import type { KnownTarget, ServingConfiguration, TargetDirectory, TargetKey, TargetUpdate } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import { createDemandTracker, DEMAND_HALF_LIFE_MILLISECONDS, type DemandTracker } from './demand-tracker.js'
import { createAdapterPlacement } from './adapter-placement.js'
import { createEngineCapacity, type EngineCapacity } from './engine-capacity.js'
import { createEngineRegistry } from './engine-registry.js'
import { applyReport, isReadyForOrders, placementOf, weightsSourceOf, usedMegabytes, type EngineState } from './engine-state.js'
import { createLoadRunner, type StorePriority, type StoreSettings } from './load-runner.js'
import { createOrderExecutor, REPORT_AUTHORITATIVE_AFTER_MILLISECONDS } from './order-executor.js'
import { createPlacementView, type PlacementView } from './placement-view.js'
import { loadTime, planLoad, type LoadPlan } from './plan-load.js'
import type { EnginePort } from './ports.js'

export interface PlacementRequest {
  readonly service: string
  readonly model: string
  readonly adapter: string | undefined
  readonly request: string
  readonly remainingMilliseconds: Milliseconds
  /** Targets that the requesting daemon excludes. */
  readonly avoid: readonly TargetKey[]
}

export type PlacementResult =
  | { readonly kind: 'ready', readonly target: TargetKey }
  | { readonly kind: 'refused', readonly reason: string, readonly retryAfterMilliseconds: Milliseconds }

export interface PlacementSettings extends StoreSettings {
  /** Interval at which the reports of engines are read, as far as the maximum number of reads allows. */
  readonly reportMilliseconds: Milliseconds
}

export interface PlacementControllerOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: TargetDirectory
  readonly configuration: () => ServingConfiguration | undefined
  readonly engines: EnginePort
  readonly holder: string
  readonly termForOrder: () => number | undefined
  /** Minimum time until orders may be sent, while there is no term; undefined if unknown. */
  readonly ordersExpectedIn: () => Milliseconds | undefined
  readonly settings: () => PlacementSettings
}

export interface PlacementController {
  /** Discards the known state of the engines and all pending loads, and starts placement, after the order lease was acquired. */
  readonly start: () => void
  readonly stop: () => void
  /** Resolves when a target has loaded the model and the adapter, or as soon as it is clear that this cannot happen in time. */
  readonly request: (request: PlacementRequest, signal: AbortSignal) => Promise<PlacementResult>
  readonly demand: DemandTracker
  /** Records which models and adapters currently serve requests, as `target model` and `target model/adapter`. */
  readonly recordInUse: (subjects: readonly string[]) => void
  /** Records overloaded engines, which are those whose streams pause for too long. */
  readonly recordOverloaded: (targets: readonly TargetKey[]) => void
  /** Current placement and load of all engines, for the other daemons. */
  readonly targetUpdates: () => readonly TargetUpdate[]
}

/** Model that was requested but is not loaded. */
interface PendingLoad {
  readonly service: string
  readonly model: string
  /** Monotonic time until which the load is useful without a waiting request. */
  usefulUntil: Milliseconds
  /** Number of requests that wait for the load. They take precedence over preloads. */
  waiters: number
}

/** Time until a model may be loaded. */
interface ExpectedTime {
  /** Minimum time until the benefit of the load can exceed the cost of its evictions. */
  readonly evictionMilliseconds: Milliseconds
  /** Time from then until the model is loaded. */
  readonly loadMilliseconds: Milliseconds
}

/** What the requests that wait for a model need to know. */
interface ModelState {
  /** Engines that have loaded the model. */
  readonly replicas: readonly EngineState[]
  /** Undefined if no engine can load the model. */
  readonly expected: ExpectedTime | undefined
}

/** Interval at which loads are scheduled, and at which a waiting request estimates again whether its load ends in time. */
const SCHEDULE_INTERVAL_MILLISECONDS = 100
/** New requests and ended loads trigger scheduling earlier, but at most this often: in a large deployment it takes some milliseconds. */
const MINIMUM_SCHEDULE_INTERVAL_MILLISECONDS = 25
/** Time that a request needs at a target after the model has been loaded. */
const MINIMUM_SERVING_MILLISECONDS = 150
/** Time for which the load for a refused request stays pending, for clients that retry. */
const PENDING_LOAD_LIFETIME_MILLISECONDS = 10_000
/** Time for which a newly loaded model is not evicted, so that the request that waited for it can arrive. */
const EVICTION_PROTECTION_MILLISECONDS = 1_500
/** Minimum retry delay for clients while no daemon holds the order lease. It also applies to unknown models and when all adapter places are taken. */
const NO_HOLDER_RETRY_MILLISECONDS = 1_000
/** Retry delay for clients when no engine can load the model at present, for example because engines are missing or execute orders unknown to this daemon. */
const NO_ENGINE_RETRY_MILLISECONDS = 2_000
/** Another replica of a model is added when the load of each of its engines reaches this value. */
const REPLICATION_LOAD_THRESHOLD = 0.45
/** Maximum load of an engine at which it may take a further replica. */
const MAXIMUM_LOAD_FOR_REPLICA = 0.35
/** Share of an engine's capacity that one model may use, because other models share the engine and demand varies. */
const REPLICA_CAPACITY_SHARE = 0.7
/** Period over which the expected demand counts towards the benefit of a load. */
const BENEFIT_PERIOD_SECONDS = 4
/**
 * Weight of a waiting request in the benefit of a load, relative to a request that the evictions delay.
 * A delayed request waits for a reload or uses another replica, but a waiting one fails without the load.
 */
const WAITER_BENEFIT = 3
/** Benefit of a load without demand, so that a preload may evict models that are hardly ever used. */
const BASE_BENEFIT = 0.1
/** Request rate above which a model gets a second replica, so that the loss of one target does not interrupt its callers. */
const SECOND_REPLICA_REQUESTS_PER_SECOND = 0.7
/** Time after the start of a term before which no model is evicted. It covers two exchanges between the daemons and some requests, from which the demand becomes known. */
const DEMAND_LEARNING_MILLISECONDS = 1_200
/** A second load of a model starts only if it is expected to end earlier than the running one by at least this time. */
const SECOND_LOAD_GAIN_MILLISECONDS = 500
/**
 * Preloads and loads into free memory wait until the set of engines has not changed for this time,
 * because a new engine may have the model that seems to be missing. It covers a read of the list of
 * targets and one of the reports: engines that start together register over more than one read.
 */
const STABLE_INVENTORY_MILLISECONDS = 1_500
/** Number of running loads from the weight store at which no preload starts while requests arrive. */
const MAXIMUM_STORE_PRELOADS = 1
/** Share of the engines that may load from the store concurrently while requests arrive. During such a load, an engine cannot load anything else. */
const STORE_LOADING_ENGINE_SHARE = 0.25
/** Interval at which the report of an engine without requests and orders is read. */
const IDLE_REPORT_MILLISECONDS = 2_000
/** Maximum number of reports that are read in one interval, so that the work of the lease holder does not grow with the engines. Each read takes some 0.6 ms of processor time. */
const MAXIMUM_REPORTS_PER_INTERVAL = 12

/**
 * Creates the controller that decides where models and adapters are loaded. It is active on the daemon that holds the order lease.
 *
 * @example
 * const placement = createPlacementController(options)
 * const result = await placement.request({ service, model, adapter, request, remainingMilliseconds: 5000, avoid: [] }, signal)
 */
export function createPlacementController (options: PlacementControllerOptions): PlacementController {
  const { clock, logger, directory, engines } = options
  const demand = createDemandTracker(clock)
  const executor = createOrderExecutor({ clock, logger, engines, holder: options.holder, termForOrder: options.termForOrder })
  const registry = createEngineRegistry(options)
  /** Capacity estimates by service, because engines of different services may differ. */
  const capacities = new Map<string, EngineCapacity>()
  const adapters = createAdapterPlacement({ clock, registry, executor, demand })
  const pendingLoads = new Map<string, PendingLoad>()
  const protectedUntil = new Map<string, Milliseconds>()
  const listeners = new Set<() => void>()
  let termAbort = new AbortController()
  let isActive = false
  let termStartedAt: Milliseconds = -Infinity
  let scheduledAt: Milliseconds = -Infinity
  const modelStates = new Map<string, ModelState>()
  /** Views for the estimates of waiting requests, which may be some milliseconds old. */
  const estimateViews = new Map<string, { readonly view: PlacementView, readonly builtAt: Milliseconds }>()
  let isSchedulingDue = false

  const loads = createLoadRunner({
    ...options,
    registry,
    executor,
    onEnded: (state, model, isLoaded) => {
      if (isLoaded) {
        protectedUntil.set(`${state.key} ${model}`, clock.now() + EVICTION_PROTECTION_MILLISECONDS)
        pendingLoads.delete(model)
      }
      notifyListeners()
      scheduleSoon()
    }
  })

  /** Lets all waiting requests look again at the state of their models. */
  const notifyListeners = (): void => {
    modelStates.clear()
    for (const listener of [...listeners]) listener()
  }

  /** Resolves at the next change of any load, at the latest after the interval of scheduling, or when the signal aborts. */
  const waitForChange = async (signal: AbortSignal): Promise<void> => await new Promise((resolve) => {
    const listener = (): void => {
      listeners.delete(listener)
      signal.removeEventListener('abort', listener)
      resolve()
    }
    listeners.add(listener)
    if (signal.aborted) listener()
    else signal.addEventListener('abort', listener, { once: true })
  })

  /** The state of a model until the next change, shared by all requests that wait for it. */
  const modelStateOf = (service: string, model: string, avoid: readonly TargetKey[]): ModelState => {
    const key = JSON.stringify([service, model, ...avoid])
    const known = modelStates.get(key)
    if (known !== undefined) return known
    const state: ModelState = { replicas: registry.enginesWithModel(service, model, avoid), expected: expectedTime(service, model, avoid) }
    modelStates.set(key, state)
    return state
  }

  const isProtected = (state: EngineState, model: string): boolean =>
    (protectedUntil.get(`${state.key} ${model}`) ?? -Infinity) > clock.now() || (pendingLoads.get(model)?.waiters ?? 0) > 0

  /** Requests per second that one replica of a model may receive; undefined until an engine has been overloaded. */
  const replicaCapacity = (service: string, megabytes: number): number | undefined => {
    const limit = capacities.get(service)?.requestsPerSecond(megabytes)
    return limit === undefined ? undefined : limit * REPLICA_CAPACITY_SHARE
  }

  const viewOf = (service: string): PlacementView | undefined => {
    const engine = registry.engineOf(service)
    return engine === undefined ? undefined : createPlacementView(service, engine, registry.engineTargets(service), registry.stateOf)
  }

  const estimateViewOf = (service: string): PlacementView | undefined => {
    const known = estimateViews.get(service)
    if (known !== undefined && clock.now() - known.builtAt < MINIMUM_SCHEDULE_INTERVAL_MILLISECONDS) return known.view
    const view = viewOf(service)
    if (view !== undefined) estimateViews.set(service, { view, builtAt: clock.now() })
    return view
  }

  /** Views of all services with engines. */
  const views = (): readonly PlacementView[] =>
    [...options.configuration()?.services.keys() ?? []].map(viewOf).filter((view) => view !== undefined)

  const observeCapacity = ({ service, engine, engines: states, replicasOf }: PlacementView): void => {
    const capacity = capacities.get(service) ?? createEngineCapacity()
    capacities.set(service, capacity)
    const megabytesPerReplica = (model: string): number => (engine.models.get(model)?.megabytes ?? 0) / Math.max(1, replicasOf(model).length)
    capacity.observe(states.map((state) => ({
      weightedRate: [...state.models.keys()].reduce((sum, model) => sum + demand.rate(model) * megabytesPerReplica(model), 0),
      isOverloaded: registry.isOverloaded(state.key)
    })))
  }

  const planFor = (view: PlacementView, modelName: string, engines: readonly EngineState[] = view.loadTargets): LoadPlan | undefined => {
    const { service, engine } = view
    const model = engine.models.get(modelName)
    if (model === undefined) return undefined
    return planLoad({
      engine,
      model,
      engines,
      demand,
      replicaCount: view.replicaCount,
      replicaCapacity: (megabytes) => replicaCapacity(service, megabytes),
      now: clock.now(),
      storeSlowdown: loads.storeSlowdown(),
      loadOf: (state) => registry.loadOf(state.key),
      isInUse: registry.isInUse,
      isProtected
    })
  }

  /** Starts all loads that can start now: first pending loads, then, for each service, additional replicas, loads into free memory and preloads. */
  const scheduleLoads = (): void => {
    if (!isActive || options.termForOrder() === undefined) return
    const now = clock.now()
    scheduledAt = now
    for (const [key, pendingLoad] of pendingLoads) if (pendingLoad.waiters === 0 && pendingLoad.usefulUntil < now) pendingLoads.delete(key)
    const serviceViews = views()
    for (const view of serviceViews) startPendingLoads(view)
    for (const view of serviceViews) {
      addReplicas(view)
      if (now - registry.inventoryChangedAt() < STABLE_INVENTORY_MILLISECONDS) continue
      fillFreeMemory(view)
      preload(view)
    }
  }

  /** Schedules loads now or, if that was done just before, in some milliseconds. */
  const scheduleSoon = (): void => {
    if (isSchedulingDue) return
    const delay = scheduledAt + MINIMUM_SCHEDULE_INTERVAL_MILLISECONDS - clock.now()
    if (delay <= 0) {
      scheduleLoads()
      return
    }
    isSchedulingDue = true
    clock.setTimer(delay, () => {
      isSchedulingDue = false
      scheduleLoads()
    })
  }

  const startPendingLoads = (view: PlacementView): void => {
    // Requests that were refused because of a long load do not count as waiters; they only show in the demand.
    const byPriority = [...pendingLoads.values()]
      .filter(({ service }) => service === view.service)
      .map((pendingLoad) => ({ ...pendingLoad, benefit: benefitOf(pendingLoad.model) }))
      .sort((one, other) => other.benefit - one.benefit || one.usefulUntil - other.usefulUntil)
    for (const { model, benefit } of byPriority) tryLoad(view, model, benefit > WAITER_BENEFIT ? 'urgent' : 'requested')
  }

  /** Whether daemons have had time to report their demand. Until then, any model may be the busiest one. */
  const isDemandKnown = (): boolean => clock.now() - termStartedAt >= DEMAND_LEARNING_MILLISECONDS

  /** Whether a running load of the model ends early enough to make another one useless. A slow load from the store does not prevent one from a cached copy. */
  const hasSoonerLoad = (model: string, loadMilliseconds: Milliseconds): boolean =>
    (loads.timeUntilLoaded(model) ?? Infinity) < loadMilliseconds + SECOND_LOAD_GAIN_MILLISECONDS

  /**
   * Benefit of a load, as a number of requests. It is compared with the number of requests that the
   * evictions delay during the load, so the expected demand counts for at least the same time.
   */
  const benefitOf = (model: string, loadMilliseconds: Milliseconds = 0): number =>
    WAITER_BENEFIT * (pendingLoads.get(model)?.waiters ?? 0) + Math.max(BENEFIT_PERIOD_SECONDS, loadMilliseconds / 1000) * demand.rate(model) + BASE_BENEFIT

  /** Whether a load from the store may start without blocking the cached models of too many engines. */
  const canLoadFromStore = ({ engine, engines: states }: PlacementView, priority: StorePriority): boolean => {
    const maximumLoads = Math.ceil(states.length * STORE_LOADING_ENGINE_SHARE)
    return (!demand.isActive() || loads.runningStoreLoads() < maximumLoads) && loads.canLoadFromStore(engine, priority)
  }

  const tryLoad = (view: PlacementView, model: string, priority: StorePriority): void => {
    const isCached = view.isCached(model)
    if (!isCached && !canLoadFromStore(view, priority)) return
    // The store is idle while a load waits for an engine, and any engine can load from it.
    const plan = isCached ? planFor(view, model) : planFor(view, model, view.loadTargets.filter(({ runningLoad }) => runningLoad === undefined))
    if (plan === undefined || plan.state.runningLoad !== undefined || plan.delayedRequests >= benefitOf(model, plan.loadMilliseconds)) return
    if (hasSoonerLoad(model, plan.loadMilliseconds) || (plan.evictions.length > 0 && !isDemandKnown())) return
    if (plan.source === 'store' && !canLoadFromStore(view, priority)) return
    loads.start(view.service, model, plan)
  }

  /** Adds a replica of each model whose replicas are all heavily loaded or lack capacity, or that has high demand and only one replica. */
  const addReplicas = (view: PlacementView): void => {
    for (const { name, megabytes } of view.engine.models.values()) {
      const rate = demand.rate(name)
      const replicas = view.replicasOf(name)
      if (rate === 0 || replicas.length === 0 || loads.isLoading(name)) continue
      const needsSecondReplica = replicas.length === 1 && rate > SECOND_REPLICA_REQUESTS_PER_SECOND
      const exceedsCapacity = rate > replicas.length * (replicaCapacity(view.service, megabytes) ?? Infinity)
      if (!needsSecondReplica && !exceedsCapacity && replicas.some(({ key }) => registry.loadOf(key) < REPLICATION_LOAD_THRESHOLD)) continue
      addReplica(view, name)
    }
  }

  const addReplica = (view: PlacementView, model: string): void => {
    if (loads.isLoading(model)) return
    const plan = planFor(view, model)
    if (plan === undefined || plan.state.runningLoad !== undefined) return
    if (plan.evictions.length > 0 && !isDemandKnown()) return
    if (plan.delayedRequests >= benefitOf(model) / 2 || registry.loadOf(plan.state.key) > MAXIMUM_LOAD_FOR_REPLICA) return
    if (plan.source === 'store' && !canLoadFromStore(view, 'optional')) return
    loads.start(view.service, model, plan)
  }

  /**
   * Fills free accelerator memory with models whose weights the engine has in host memory or on disk:
   * first models without a replica, in order of demand, then second replicas of requested models.
   */
  const fillFreeMemory = ({ service, engine, loadTargets, replicaCount }: PlacementView): void => {
    for (const state of loadTargets) {
      if (!isReadyForOrders(state) || state.runningLoad !== undefined || state.cooldownUntil > clock.now()) continue
      const freeMegabytes = engine.megabytes - usedMegabytes(state, engine)
      const cachedModels = [...new Set([...state.modelsInMemory, ...state.modelsOnDisk])].map((name) => engine.models.get(name)).filter((model) => model !== undefined)
      const [best] = cachedModels
        .filter((candidate) => candidate.megabytes <= freeMegabytes && !state.models.has(candidate.name) && !hasSoonerLoad(candidate.name, loadTime(candidate, 'disk')))
        .map((model) => ({ model, rate: demand.rate(model.name), replicas: replicaCount(model.name) }))
        .filter(({ rate, replicas }) => replicas === 0 || (replicas === 1 && rate > 0))
        .sort((one, other) => one.replicas - other.replicas || other.rate - one.rate)
      if (best === undefined) continue
      const source = weightsSourceOf(state, best.model.name)
      loads.start(service, best.model.name, { state, evictions: [], source, waitMilliseconds: 0, loadMilliseconds: loadTime(best.model, source), delayedRequests: 0, cost: 0 })
    }
  }

  /** Loads models that no engine has loaded or cached in memory or on disk, so that their first request need not wait for the weight store. */
  const preload = (view: PlacementView): void => {
    if (!view.engines.some(({ hasReport }) => hasReport)) return
    const canPreload = (): boolean =>
      // A load from the store blocks all other loads of its engine for seconds.
      !(demand.isActive() && loads.runningStoreLoads() >= MAXIMUM_STORE_PRELOADS) && loads.canLoadFromStore(view.engine, 'optional')
    if (!canPreload()) return
    const uncachedModels = [...view.engine.models.keys()].filter((name) => !view.isCached(name) && !loads.isLoading(name))
      .map((name) => ({ name, rate: demand.rate(name) }))
      .sort((one, other) => other.rate - one.rate)
    for (const { name } of uncachedModels) {
      if (!canPreload()) return
      tryLoad(view, name, 'optional')
    }
  }

  const request: PlacementController['request'] = async (placementRequest, signal) => {
    const { service, model, adapter, avoid } = placementRequest
    const arrivedAt = clock.now()
    const deadline = arrivedAt + placementRequest.remainingMilliseconds - MINIMUM_SERVING_MILLISECONDS
    const refuse = (reason: string, retryAfterMilliseconds: Milliseconds): PlacementResult => {
      logger.info('refused a placement request', { event: 'placement-refused', request: placementRequest.request, model, adapter: adapter ?? null, reason, waited: Math.round(clock.now() - arrivedAt), remaining: Math.round(placementRequest.remainingMilliseconds), retryAfter: Math.round(retryAfterMilliseconds) })
      return { kind: 'refused', reason, retryAfterMilliseconds }
    }
    for (let isNew = true; ; isNew = false) {
      // Not logged, because the requesting daemon looks for the new lease holder and retries.
      if (!isActive || options.termForOrder() === undefined) return { kind: 'refused', reason: 'no-order-lease', retryAfterMilliseconds: Math.max(NO_HOLDER_RETRY_MILLISECONDS, options.ordersExpectedIn() ?? 0) }
      if (registry.engineOf(service)?.models.has(model) !== true) return refuse('model-unknown', NO_HOLDER_RETRY_MILLISECONDS)
      const { replicas: lastReplicas, expected } = modelStateOf(service, model, avoid)
      // An eviction may have begun since.
      const replicas = lastReplicas.filter((state) => registry.isReplica(state, model))
      if (replicas.length > 0) {
        if (adapter === undefined) return { kind: 'ready', target: registry.leastLoaded(replicas).key }
        const placed = await adapters.place(service, model, adapter, replicas)
        if (placed !== undefined) return { kind: 'ready', target: placed.key }
        if (signal.aborted || clock.now() > deadline) return refuse('adapter-places-taken', NO_HOLDER_RETRY_MILLISECONDS)
        // All adapter places serve requests, and another replica provides more places.
        const view = viewOf(service)
        if (view !== undefined) addReplica(view, model)
        await waitForChange(signal)
        continue
      }
      const pendingLoad = pendingLoads.get(model) ?? { service, model, usefulUntil: 0, waiters: 0 }
      pendingLoads.set(model, pendingLoad)
      pendingLoad.usefulUntil = Math.max(pendingLoad.usefulUntil, clock.now() + PENDING_LOAD_LIFETIME_MILLISECONDS)
      if (signal.aborted && !isNew) return refuse('request-ended', loads.timeUntilLoaded(model, avoid) ?? 0)
      if (expected === undefined) return refuse('no-engine-for-model', NO_ENGINE_RETRY_MILLISECONDS)
      if (clock.now() + expected.evictionMilliseconds + expected.loadMilliseconds > deadline) {
        if (isNew) scheduleSoon()
        return refuse(expected.evictionMilliseconds > 0 ? 'no-room-for-model' : 'cold-start-too-long', expected.evictionMilliseconds + expected.loadMilliseconds)
      }
      if (signal.aborted) return refuse('request-ended', expected.loadMilliseconds)
      pendingLoad.waiters++
      try {
        if (isNew) scheduleSoon()
        await waitForChange(signal)
      } finally {
        pendingLoad.waiters--
      }
    }
  }

  const expectedTime = (service: string, model: string, avoid: readonly TargetKey[]): ExpectedTime | undefined => {
    const timeUntilLoaded = loads.timeUntilLoaded(model, avoid)
    const view = estimateViewOf(service)
    const plan = view === undefined ? undefined : planFor(view, model, view.loadTargets.filter(({ key }) => !avoid.includes(key)))
    if (plan === undefined) return timeUntilLoaded === undefined ? undefined : { evictionMilliseconds: 0, loadMilliseconds: timeUntilLoaded }
    // The demand for the models to evict halves at best once per half-life.
    const costRatio = plan.delayedRequests / (benefitOf(model, plan.loadMilliseconds) + WAITER_BENEFIT)
    const evictionMilliseconds = costRatio > 1 ? DEMAND_HALF_LIFE_MILLISECONDS * Math.log2(costRatio) : 0
    const loadMilliseconds = plan.waitMilliseconds + plan.loadMilliseconds
    return timeUntilLoaded !== undefined && timeUntilLoaded <= evictionMilliseconds + loadMilliseconds ? { evictionMilliseconds: 0, loadMilliseconds: timeUntilLoaded } : { evictionMilliseconds, loadMilliseconds }
  }

  const readReport = async (target: KnownTarget): Promise<void> => {
    const state = registry.stateOf(target)
    const readAt = clock.now()
    state.reportReadAt = readAt
    const report = await engines.report(target)
    if (report.isErr) {
      logger.debug('could not read the report of an engine; keeping its last known state', { event: 'report-failed', target: target.key, reason: report.error.message })
      return
    }
    if (report.value.isLeaving) directory.recordLeaving(target.key, { source: 'response', request: undefined })
    const isAuthoritative = state.runningLoad === undefined && readAt - state.lastOrderAt > REPORT_AUTHORITATIVE_AFTER_MILLISECONDS
    if (state.runningLoad === undefined) applyReport(state, report.value, isAuthoritative)
    directory.applyUpdate({ key: target.key, placement: placementOf(state), load: report.value.load, ageMilliseconds: clock.now() - readAt })
  }

  const isEngineActive = (target: KnownTarget, state: EngineState): boolean =>
    state.runningLoad !== undefined || state.hasForeignOrder || registry.isOverloaded(state.key) || (target.load?.running ?? 0) + (target.load?.waiting ?? 0) > 0 ||
    [...state.models.keys()].some((model) => clock.now() - demand.lastUsedAt(model) < IDLE_REPORT_MILLISECONDS)

  /** Engines whose reports are read now: all without one, and the most overdue of the others. */
  const enginesToRead = (targets: readonly KnownTarget[]): readonly KnownTarget[] => {
    const { reportMilliseconds } = options.settings()
    const overdue = targets.map((target) => {
      const state = registry.stateOf(target)
      const interval = isEngineActive(target, state) ? reportMilliseconds : IDLE_REPORT_MILLISECONDS
      return { target, hasReport: state.hasReport, intervals: (clock.now() - state.reportReadAt) / interval }
    })
    const due = overdue.filter(({ hasReport, intervals }) => hasReport && intervals >= 1).sort((one, other) => other.intervals - one.intervals)
    return [...overdue.filter(({ hasReport }) => !hasReport), ...due.slice(0, MAXIMUM_REPORTS_PER_INTERVAL)].map(({ target }) => target)
  }

  const pollReports = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      const targets = [...options.configuration()?.services.values() ?? []].filter(({ engine }) => engine !== undefined).flatMap(({ name }) => registry.engineTargets(name))
      await Promise.all(enginesToRead(targets).map(readReport))
      registry.refresh()
      for (const view of views()) observeCapacity(view)
      scheduleLoads()
      await clock.sleep(options.settings().reportMilliseconds, signal)
    }
  }

  const scheduleLoadsPeriodically = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      scheduleLoads()
      notifyListeners()
      await clock.sleep(SCHEDULE_INTERVAL_MILLISECONDS, signal)
    }
  }

  return {
    demand,
    recordInUse: registry.recordInUse,
    recordOverloaded: registry.recordOverloaded,
    start: () => {
      if (isActive) return
      isActive = true
      termStartedAt = clock.now()
      logger.info('started placement for a new lease term', { event: 'placement-started' })
      termAbort = new AbortController()
      loads.beginTerm()
      registry.clear()
      estimateViews.clear()
      pendingLoads.clear()
      void pollReports(termAbort.signal)
      void scheduleLoadsPeriodically(termAbort.signal)
    },
    stop: () => {
      isActive = false
      termAbort.abort()
      loads.endTerm()
      notifyListeners()
    },
    request,
    targetUpdates: () => registry.states().map((state) => {
      const target = directory.find(state.key)
      return { key: state.key, placement: placementOf(state), load: target?.load, ageMilliseconds: target?.loadMeasuredAt === undefined ? 0 : clock.now() - target.loadMeasuredAt }
    })
  }
}
