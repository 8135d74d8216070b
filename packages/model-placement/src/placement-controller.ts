import type { Clock } from '@fuchsiastage/clock'
import type { EngineDefinition, KnownTarget, ServingConfiguration, TargetDirectory, TargetKey, TargetUpdate } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import { createDemandBook, DEMAND_HALF_LIFE_MILLISECONDS, type DemandBook } from './demand-book.js'
import { createAdapterPlacement } from './adapter-placement.js'
import { createEngineCapacity, type EngineCapacity } from './engine-capacity.js'
import { createEngineRegistry } from './engine-registry.js'
import { adoptReport, placementOf, sourceOf, usedMegabytes, type EngineState } from './engine-state.js'
import { createLoadRunner, type StoreSettings } from './load-runner.js'
import { createOrderExecutor, SETTLED_MILLISECONDS } from './order-executor.js'
import { loadTime, planLoad, type LoadPlan } from './plan-load.js'
import type { EnginePort } from './ports.js'

export interface PlacementRequest {
  readonly service: string
  readonly model: string
  readonly adapter: string | undefined
  readonly request: string
  readonly remainingMilliseconds: Milliseconds
  /** Targets that the requesting daemon leaves out. */
  readonly avoid: readonly TargetKey[]
}

export type PlacementResult =
  | { readonly kind: 'ready', readonly target: TargetKey }
  | { readonly kind: 'refused', readonly reason: string, readonly retryAfterMilliseconds: Milliseconds }

export interface PlacementSettings extends StoreSettings {
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
  /** Least time until orders may be given, while there is no term. */
  readonly ordersExpectedIn: () => Milliseconds | undefined
  readonly settings: () => PlacementSettings
}

export interface PlacementController {
  /** Forgets everything and begins anew, after the order lease was gained. */
  readonly start: () => void
  readonly stop: () => void
  /** Answers when a target holds the model and the adapter, or at once when it cannot be in time. */
  readonly request: (request: PlacementRequest, signal: AbortSignal) => Promise<PlacementResult>
  readonly demand: DemandBook
  /** Notes which models and adapters serve requests now, as `target model` and `target model/adapter`. */
  readonly recordInUse: (subjects: readonly string[]) => void
  /** Notes engines whose streams pause for too long. */
  readonly recordStrained: (targets: readonly TargetKey[]) => void
  readonly news: () => readonly TargetUpdate[]
}

interface Wanted {
  readonly service: string
  readonly model: string
  /** Monotonic time until which the load is of use. */
  until: Milliseconds
  /** Requests that wait for it; loads ahead of demand give way to these. */
  waiters: number
}

/** Period of the loop that starts loads; new requests start it at once. */
const PUMP_MILLISECONDS = 100
/** Time that a request needs at a target after the model is there. */
const MINIMUM_RUN_MILLISECONDS = 150
/** A load for a request that was refused goes on for clients that come back. */
const WANTED_MILLISECONDS = 10_000
/** A model that was just loaded for a request stays at least until the request can have arrived. */
const PROTECTED_MILLISECONDS = 1_500
/** When a client may come back while no daemon holds the order lease. */
const NO_HOLDER_RETRY_MILLISECONDS = 1_000
/** When a client may come back for a model that fits nowhere at present, because engines are missing or work for others. */
const NO_ENGINE_RETRY_MILLISECONDS = 2_000
/** Load of all replicas of a model from which another one is started. */
const REPLICATE_LOAD = 0.45
/** Load below which an engine may take a further replica. */
const SPARE_LOAD = 0.35
/** Part of an engine's capacity that one model may take: other models share the engine, and demand varies. */
const REPLICA_CAPACITY_SHARE = 0.7
/** Demand of this time counts for a load. */
const BENEFIT_SECONDS = 4
/**
 * What a waiting request counts for a load against requests that its evictions delay: these wait
 * for a reload or go to another replica, and it fails without the load.
 */
const WAITER_BENEFIT = 3
/** A load ahead of demand may evict what is hardly ever used. */
const IDLE_BENEFIT = 0.1
/** Requests a second from which a model gets a second replica, so that the loss of one target stops nobody. */
const SECOND_REPLICA_RATE = 0.7
/** Two exchanges between the daemons and some requests; no model makes way before. */
const DEMAND_LEARNING_MILLISECONDS = 1_200
/** A second load of a model must end this much earlier than the one that is under way. */
const SECOND_LOAD_GAIN_MILLISECONDS = 500
/** Loads ahead of demand wait until no further engine has appeared for this time: it may hold what seems to be missing. */
const STABLE_INVENTORY_MILLISECONDS = 900
/** Loads from the weight store beyond which none begins ahead of demand while requests come. */
const MAXIMUM_PRELOADS = 1
/** Part of the engines that load from the store at the same time while requests come; these engines load nothing else. */
const STORE_LOADING_SHARE = 0.25
/** Slots of the weight store that loads ahead of demand leave to requests. */
const RESERVED_STORE_LOADS = 1

/**
 * Creates the controller that decides where models and adapters are loaded, on the daemon that holds the order lease.
 *
 * @example
 * const placement = createPlacementController(options)
 * const result = await placement.request({ service, model, adapter, request, remainingMilliseconds: 5000, avoid: [] }, signal)
 */
export function createPlacementController (options: PlacementControllerOptions): PlacementController {
  const { clock, logger, directory, engines } = options
  const demand = createDemandBook(clock)
  const executor = createOrderExecutor({ clock, logger, engines, holder: options.holder, termForOrder: options.termForOrder })
  const registry = createEngineRegistry(options)
  /** By service: engines of two services need not be alike. */
  const capacities = new Map<string, EngineCapacity>()
  const adapters = createAdapterPlacement({ clock, registry, executor, demand })
  const wanted = new Map<string, Wanted>()
  const protectedUntil = new Map<string, Milliseconds>()
  const listeners = new Set<() => void>()
  let running = new AbortController()
  let isActive = false
  let termStartedAt: Milliseconds = -Infinity

  const loads = createLoadRunner({
    ...options,
    registry,
    executor,
    onEnded: (state, model, isLoaded) => {
      if (isLoaded) {
        protectedUntil.set(`${state.key} ${model}`, clock.now() + PROTECTED_MILLISECONDS)
        wanted.delete(model)
      }
      notify()
      pump()
    }
  })

  const notify = (): void => {
    for (const listener of [...listeners]) listener()
  }

  const nextChange = async (signal: AbortSignal, limit: Milliseconds): Promise<void> => {
    const woken = new AbortController()
    const listener = (): void => woken.abort()
    listeners.add(listener)
    signal.addEventListener('abort', listener, { once: true })
    await clock.sleep(limit, woken.signal)
    listeners.delete(listener)
    signal.removeEventListener('abort', listener)
  }

  const isProtected = (state: EngineState, model: string): boolean =>
    (protectedUntil.get(`${state.key} ${model}`) ?? -Infinity) > clock.now() || (wanted.get(model)?.waiters ?? 0) > 0

  /** Requests a second that one replica of a model may get; undefined until an engine was strained. */
  const replicaCapacity = (service: string, megabytes: number): number | undefined => {
    const limit = capacities.get(service)?.requestsPerSecond(megabytes)
    return limit === undefined ? undefined : limit * REPLICA_CAPACITY_SHARE
  }

  const observeCapacity = (service: string, engine: EngineDefinition): void => {
    const states = registry.engineTargets(service).map(registry.stateOf)
    const replicasOf = (model: string): number => states.filter(({ models }) => models.has(model)).length
    const capacity = capacities.get(service) ?? createEngineCapacity()
    capacities.set(service, capacity)
    capacity.observe(states.map((state) => ({
      work: [...state.models.keys()].reduce((sum, model) => sum + demand.rate(model) / replicasOf(model) * (engine.models.get(model)?.megabytes ?? 0), 0),
      isStrained: registry.isStrained(state.key)
    })))
  }

  const planFor = (service: string, modelName: string, avoid: readonly TargetKey[] = []): LoadPlan | undefined => {
    const engine = registry.engineOf(service)
    const model = engine?.models.get(modelName)
    if (engine === undefined || model === undefined) return undefined
    const usable = registry.engineTargets(service).filter(({ key, leavesAt }) => !avoid.includes(key) && leavesAt === undefined)
    return planLoad({
      engine,
      model,
      engines: usable.map(registry.stateOf),
      demand,
      replicaCapacity: (megabytes) => replicaCapacity(service, megabytes),
      now: clock.now(),
      storeSlowdown: loads.storeSlowdown(),
      loadOf: (state) => registry.loadOf(state.key),
      isInUse: registry.isInUse,
      isProtected
    })
  }

  /** Starts what can be started: first what requests wait for, then what is likely to be asked for. */
  const pump = (): void => {
    if (!isActive || options.termForOrder() === undefined) return
    const now = clock.now()
    for (const [key, want] of wanted) if (want.waiters === 0 && want.until < now) wanted.delete(key)
    // Requests that are refused because their clients cannot wait for a load show in the demand only.
    const inOrder = [...wanted.values()].sort((one, other) => benefitOf(other.model) - benefitOf(one.model) || one.until - other.until)
    // What is wanted as much as by a waiting request may take the last slot of the weight store.
    for (const want of inOrder) tryStart(want.service, want.model, benefitOf(want.model) > WAITER_BENEFIT ? 0 : RESERVED_STORE_LOADS)
    for (const service of options.configuration()?.services.values() ?? []) {
      if (service.engine === undefined) continue
      replicate(service.name, service.engine)
      if (now - registry.changedAt() < STABLE_INVENTORY_MILLISECONDS) continue
      fillFreeMemory(service.name, service.engine)
      preload(service.name, service.engine)
    }
  }

  /** Whether daemons have had time to tell what is asked for: until then, any model may be the busiest. */
  const knowsDemand = (): boolean => clock.now() - termStartedAt >= DEMAND_LEARNING_MILLISECONDS

  /** A load from the store must not keep a copy that is near from being used. */
  const isReadyBefore = (model: string, loadMilliseconds: Milliseconds): boolean =>
    (loads.readyIn(model) ?? Infinity) < loadMilliseconds + SECOND_LOAD_GAIN_MILLISECONDS

  /** Requests that a load of the model serves while its evictions last. */
  const benefitOf = (model: string): number => WAITER_BENEFIT * (wanted.get(model)?.waiters ?? 0) + BENEFIT_SECONDS * demand.rate(model) + IDLE_BENEFIT

  /** Whether a load from the store may begin without keeping too many engines from their other copies. */
  const mayLoadFromStore = (service: string, engine: EngineDefinition, reserved: number): boolean => {
    const allowed = Math.ceil(registry.engineTargets(service).length * STORE_LOADING_SHARE)
    return (!demand.isActive() || loads.storeLoads() < allowed) && loads.mayLoadFromStore(engine, reserved)
  }

  const tryStart = (service: string, model: string, reservedLoads: number): void => {
    const engine = registry.engineOf(service)
    if (engine === undefined) return
    const plan = planFor(service, model)
    if (plan === undefined || plan.state.running !== undefined || plan.harm >= benefitOf(model)) return
    if (isReadyBefore(model, plan.loadMilliseconds) || (plan.evictions.length > 0 && !knowsDemand())) return
    if (plan.source === 'store' && !mayLoadFromStore(service, engine, reservedLoads)) return
    loads.start(service, model, plan)
  }

  /** Adds a replica of a model whose replicas are all loaded, where an engine has room to spare. */
  const replicate = (service: string, engine: EngineDefinition): void => {
    for (const { name, megabytes } of engine.models.values()) {
      if (demand.rate(name) === 0 || loads.isLoading(name)) continue
      const holders = registry.holdersOf(service, name, [])
      const isAlone = holders.length === 1 && demand.rate(name) > SECOND_REPLICA_RATE
      const isShort = demand.rate(name) > holders.length * (replicaCapacity(service, megabytes) ?? Infinity)
      if (holders.length === 0 || (!isAlone && !isShort && holders.some(({ key }) => registry.loadOf(key) < REPLICATE_LOAD))) continue
      addReplica(service, name)
    }
  }

  const addReplica = (service: string, model: string): void => {
    if (loads.isLoading(model)) return
    const engine = registry.engineOf(service)
    const plan = planFor(service, model)
    if (engine === undefined || plan === undefined || plan.state.running !== undefined) return
    if (plan.evictions.length > 0 && !knowsDemand()) return
    if (plan.harm >= benefitOf(model) / 2 || registry.loadOf(plan.state.key) > SPARE_LOAD) return
    if (plan.source === 'store' && !mayLoadFromStore(service, engine, RESERVED_STORE_LOADS)) return
    loads.start(service, model, plan)
  }

  /**
   * Loads models without a replica where memory is free and their weights are near, the most wanted
   * first; then second replicas of wanted ones.
   */
  const fillFreeMemory = (service: string, engine: EngineDefinition): void => {
    const usable = registry.engineTargets(service).filter(({ leavesAt }) => leavesAt === undefined).map(registry.stateOf)
    const replicasOf = (model: string): number => usable.filter(({ models }) => models.has(model)).length
    for (const state of usable) {
      if (!state.isKnown || state.running !== undefined || state.isBusyForOthers || state.avoidedUntil > clock.now()) continue
      const free = engine.megabytes - usedMegabytes(state, engine)
      const [best] = [...engine.models.values()]
        .filter((candidate) => candidate.megabytes <= free && !state.models.has(candidate.name) && !isReadyBefore(candidate.name, loadTime(candidate, 'disk')) && sourceOf(state, candidate.name) !== 'store')
        .map(({ name }) => ({ name, rate: demand.rate(name), replicas: replicasOf(name) }))
        .filter(({ rate, replicas }) => replicas === 0 || (replicas === 1 && rate > 0))
        .sort((one, other) => one.replicas - other.replicas || other.rate - one.rate)
      const model = best === undefined ? undefined : engine.models.get(best.name)
      if (model === undefined) continue
      const source = sourceOf(state, model.name)
      loads.start(service, model.name, { state, evictions: [], source, waitMilliseconds: 0, loadMilliseconds: loadTime(model, source), harm: 0, cost: 0 })
    }
  }

  /** Brings models that no engine keeps near, so that the first request for them does not wait for the weight store. */
  const preload = (service: string, engine: EngineDefinition): void => {
    const known = registry.engineTargets(service).map(registry.stateOf).filter(({ isKnown }) => isKnown)
    if (known.length === 0) return
    const isNear = (model: string): boolean => known.some((state) => state.models.has(model) || sourceOf(state, model) !== 'store')
    const missing = [...engine.models.values()].filter(({ name }) => !isNear(name) && !loads.isLoading(name))
      .sort((one, other) => demand.rate(other.name) - demand.rate(one.name))
    for (const { name } of missing) {
      // A load from the store keeps its engine from all others for seconds.
      if (demand.isActive() && loads.storeLoads() >= MAXIMUM_PRELOADS) return
      if (!loads.mayLoadFromStore(engine, RESERVED_STORE_LOADS)) return
      tryStart(service, name, RESERVED_STORE_LOADS)
    }
  }

  const request: PlacementController['request'] = async (wantedPlacement, signal) => {
    const { service, model, adapter, avoid } = wantedPlacement
    const deadline = clock.now() + wantedPlacement.remainingMilliseconds - MINIMUM_RUN_MILLISECONDS
    const refuse = (reason: string, retryAfterMilliseconds: Milliseconds): PlacementResult => {
      logger.info('placement refused', { event: 'placement-refused', request: wantedPlacement.request, model, adapter: adapter ?? null, reason, retryAfter: Math.round(retryAfterMilliseconds) })
      return { kind: 'refused', reason, retryAfterMilliseconds }
    }
    for (;;) {
      // The asking daemon looks for the holder and asks again, so this is no decision to be logged.
      if (!isActive || options.termForOrder() === undefined) return { kind: 'refused', reason: 'no-order-lease', retryAfterMilliseconds: Math.max(NO_HOLDER_RETRY_MILLISECONDS, options.ordersExpectedIn() ?? 0) }
      if (registry.engineOf(service)?.models.has(model) !== true) return refuse('model-unknown', NO_HOLDER_RETRY_MILLISECONDS)
      const holders = registry.holdersOf(service, model, avoid)
      if (holders.length > 0) {
        if (adapter === undefined) return { kind: 'ready', target: registry.leastLoaded(holders).key }
        const placed = await adapters.place(service, model, adapter, holders)
        if (placed !== undefined) return { kind: 'ready', target: placed.key }
        if (signal.aborted || clock.now() > deadline) return refuse('adapter-places-taken', NO_HOLDER_RETRY_MILLISECONDS)
        // All places serve requests: another replica brings more of them.
        addReplica(service, model)
        await nextChange(signal, PUMP_MILLISECONDS)
        continue
      }
      const expected = expectedTime(service, model, avoid)
      const want = wanted.get(model) ?? { service, model, until: 0, waiters: 0 }
      wanted.set(model, want)
      want.until = Math.max(want.until, clock.now() + WANTED_MILLISECONDS)
      if (expected === undefined) return refuse('no-engine-for-model', NO_ENGINE_RETRY_MILLISECONDS)
      if (clock.now() + expected.room + expected.load > deadline) {
        pump()
        return refuse(expected.room > 0 ? 'no-room-for-model' : 'cold-start-too-long', expected.room + expected.load)
      }
      if (signal.aborted) return refuse('request-ended', expected.load)
      want.waiters++
      try {
        pump()
        await nextChange(signal, PUMP_MILLISECONDS)
      } finally {
        want.waiters--
      }
    }
  }

  /** Least time until other models may make way, and from then on until the model can serve. */
  const expectedTime = (service: string, model: string, avoid: readonly TargetKey[]): { readonly room: Milliseconds, readonly load: Milliseconds } | undefined => {
    const readyIn = loads.readyIn(model, avoid)
    const plan = planFor(service, model, avoid)
    if (plan === undefined) return readyIn === undefined ? undefined : { room: 0, load: readyIn }
    // Demand for the models that would have to go fades by half in its half-life at best.
    const excess = plan.harm / (benefitOf(model) + WAITER_BENEFIT)
    const room = excess > 1 ? DEMAND_HALF_LIFE_MILLISECONDS * Math.log2(excess) : 0
    const load = plan.waitMilliseconds + plan.loadMilliseconds
    return readyIn !== undefined && readyIn <= room + load ? { room: 0, load: readyIn } : { room, load }
  }

  const readReport = async (target: KnownTarget): Promise<void> => {
    const state = registry.stateOf(target)
    const readAt = clock.now()
    const report = await engines.report(target)
    if (report.isErr) {
      logger.debug('report failed', { event: 'report-failed', target: target.key, reason: report.error.message })
      return
    }
    const isSettled = state.running === undefined && readAt - state.lastOrderAt > SETTLED_MILLISECONDS
    if (state.running === undefined) adoptReport(state, report.value, isSettled)
    directory.applyUpdate({ key: target.key, placement: placementOf(state), load: report.value.load, ageMilliseconds: clock.now() - readAt })
  }

  const observe = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      const targets = [...options.configuration()?.services.values() ?? []].filter(({ engine }) => engine !== undefined).flatMap(({ name }) => registry.engineTargets(name))
      await Promise.all(targets.map(readReport))
      registry.refresh()
      for (const { name, engine } of options.configuration()?.services.values() ?? []) if (engine !== undefined) observeCapacity(name, engine)
      pump()
      await clock.sleep(options.settings().reportMilliseconds, signal)
    }
  }

  const pumpRegularly = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      pump()
      await clock.sleep(PUMP_MILLISECONDS, signal)
    }
  }

  return {
    demand,
    recordInUse: registry.recordInUse,
    recordStrained: registry.recordStrained,
    start: () => {
      if (isActive) return
      isActive = true
      termStartedAt = clock.now()
      logger.info('placement begins', { event: 'placement-started' })
      running = new AbortController()
      loads.beginTerm()
      registry.clear()
      wanted.clear()
      void observe(running.signal)
      void pumpRegularly(running.signal)
    },
    stop: () => {
      isActive = false
      running.abort()
      loads.endTerm()
      notify()
    },
    request,
    news: () => registry.states().map((state) => {
      const target = directory.find(state.key)
      return { key: state.key, placement: placementOf(state), load: target?.load, ageMilliseconds: target?.loadMeasuredAt === undefined ? 0 : clock.now() - target.loadMeasuredAt }
    })
  }
}
