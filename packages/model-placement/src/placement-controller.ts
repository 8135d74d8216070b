import type { Clock } from '@fuchsiastage/clock'
import type { EngineDefinition, KnownTarget, ServingConfiguration, TargetDirectory, TargetKey, TargetNews } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import { createDemandBook, type DemandBook } from './demand-book.js'
import { adapterCount, adoptReport, createEngineState, placementOf, sourceOf, usedMegabytes, type EngineState } from './engine-state.js'
import { createOrderExecutor, SETTLED_MILLISECONDS } from './order-executor.js'
import { loadTime, planLoad, type LoadPlan } from './plan-load.js'
import type { EnginePort } from './ports.js'
import { createStoreLoadLimiter } from './store-load-limiter.js'

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

export interface PlacementSettings {
  readonly reportMilliseconds: Milliseconds
  /** Window and tolerance of the weight store's rate. */
  readonly storeWindowMilliseconds: Milliseconds
  readonly storeTolerance: number
}

export interface PlacementControllerOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: TargetDirectory
  readonly configuration: () => ServingConfiguration | undefined
  readonly engines: EnginePort
  readonly holder: string
  readonly termForOrder: () => number | undefined
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
  readonly news: () => readonly TargetNews[]
}

interface Wanted {
  readonly service: string
  readonly model: string
  /** Monotonic time until which the load is of use. */
  until: Milliseconds
  /** Whether requests wait for it; loads ahead of demand give way to these. */
  waiters: number
}

/** Period of the loop that starts loads; new requests start it at once. */
const PUMP_MILLISECONDS = 100
/** Time that a request needs at a target after the model is there. */
const MINIMUM_RUN_MILLISECONDS = 150
/** Beyond the stated load time, for the order itself and the engine's timers. */
const LOAD_MARGIN_MILLISECONDS = 15
/** An adapter is fetched in milliseconds; requests sent before it is there are refused by the engine. */
const ADAPTER_MILLISECONDS = 12
/** An adapter used more recently probably still serves a request. */
const ADAPTER_IDLE_MILLISECONDS = 1_200
/** Daemons tell every few hundred milliseconds what serves their requests; older word counts as none. */
const IN_USE_MILLISECONDS = 1_300
/** A load for a request that was refused goes on for clients that come back. */
const WANTED_MILLISECONDS = 10_000
/** An unload of an idle model takes this long; an order sent before is refused. */
const UNLOAD_MILLISECONDS = 30
const ORDER_PATIENCE_MILLISECONDS = 1_500
const AVOID_MILLISECONDS = 2_000
/** A model that was just loaded for a request stays at least until the request can have arrived. */
const PROTECTED_MILLISECONDS = 1_500
/** Longest time beyond the expected one that a load from the store may take. */
const STORE_LOAD_PATIENCE_MILLISECONDS = 20_000
const STORE_POLL_MILLISECONDS = 250
/** When a client may come back while no daemon holds the order lease. */
const NO_HOLDER_RETRY_MILLISECONDS = 1_000
/** When a client may come back for a model for which others would have to go that are asked for more. */
const NO_ROOM_RETRY_MILLISECONDS = 2_000
/** Load of all replicas of a model from which another one is started. */
const REPLICATE_LOAD = 0.45
/** Load below which an engine may take a further replica. */
const SPARE_LOAD = 0.35
/** Demand of this time counts for a load. */
const BENEFIT_SECONDS = 4
/** A load ahead of demand may evict what is hardly ever used. */
const IDLE_BENEFIT = 0.1
/** Requests a second from which a model gets a second replica, so that the loss of one target stops nobody. */
const SECOND_REPLICA_RATE = 0.7
/** Loads ahead of demand wait until no further engine has appeared for this time: it may hold what seems to be missing. */
const STABLE_INVENTORY_MILLISECONDS = 1_500
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
  const states = new Map<TargetKey, EngineState>()
  const lanes = new Map<TargetKey, Promise<unknown>>()
  const wanted = new Map<string, Wanted>()
  const protectedUntil = new Map<string, Milliseconds>()
  const inUseAt = new Map<string, Milliseconds>()
  const listeners = new Set<() => void>()
  let loggedInventory = ''
  let inventoryChangedAt: Milliseconds = -Infinity
  let limiter = createStoreLoadLimiter(clock)
  let running = new AbortController()
  let isActive = false

  const engineOf = (service: string): EngineDefinition | undefined => options.configuration()?.services.get(service)?.engine

  const engineTargets = (service: string): readonly KnownTarget[] => directory.usable(service)

  const stateOf = (target: KnownTarget): EngineState => {
    const known = states.get(target.key)
    if (known !== undefined) return known
    const created = createEngineState(target)
    states.set(target.key, created)
    return created
  }

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

  /** Orders to one engine go one after the other. */
  const inLane = async <Value>(key: TargetKey, run: () => Promise<Value>): Promise<Value> => {
    const before = lanes.get(key) ?? Promise.resolve()
    const result = before.then(run, run)
    lanes.set(key, result.catch(() => undefined))
    return await result
  }

  const loadOf = (key: TargetKey): number => {
    const target = directory.find(key)
    const load = target?.load
    if (load === undefined) return 0
    return (load.cacheTokens > 0 ? load.cacheTokensUsed / load.cacheTokens : 0) + (load.waiting > 0 ? 1 : 0)
  }

  const isInUse = (state: EngineState, subject: string): boolean => clock.now() - (inUseAt.get(`${state.key} ${subject}`) ?? -Infinity) < IN_USE_MILLISECONDS

  const isProtected = (state: EngineState, model: string): boolean =>
    (protectedUntil.get(`${state.key} ${model}`) ?? -Infinity) > clock.now() || (wanted.get(model)?.waiters ?? 0) > 0

  const planFor = (service: string, modelName: string, avoid: readonly TargetKey[] = []): LoadPlan | undefined => {
    const engine = engineOf(service)
    const model = engine?.models.get(modelName)
    if (engine === undefined || model === undefined) return undefined
    const usable = engineTargets(service).filter(({ key, leavesAt }) => !avoid.includes(key) && leavesAt === undefined)
    return planLoad({
      engine,
      model,
      engines: usable.map(stateOf),
      demand,
      now: clock.now(),
      storeSlowdown: limiter.slowdown(),
      loadOf: (state) => loadOf(state.key),
      isInUse,
      isProtected
    })
  }

  const storeLimits = (engine: EngineDefinition): { readonly perWindow: number, readonly windowMilliseconds: Milliseconds } => {
    const { storeWindowMilliseconds, storeTolerance } = options.settings()
    return {
      perWindow: Math.max(1, Math.floor(engine.storeLoadsPerSecond * storeTolerance * storeWindowMilliseconds / 1000)),
      windowMilliseconds: storeWindowMilliseconds
    }
  }

  /** Target that holds the model, is not left out, and is ready for requests. */
  const holdersOf = (service: string, model: string, avoid: readonly TargetKey[]): readonly EngineState[] =>
    engineTargets(service)
      .filter(({ key }) => !avoid.includes(key))
      .map(stateOf)
      .filter((state) => state.models.has(model) && state.running?.model !== model)

  const startLoad = (service: string, modelName: string, plan: LoadPlan): void => {
    const engine = engineOf(service)
    const model = engine?.models.get(modelName)
    const target = directory.find(plan.state.key)
    if (engine === undefined || model === undefined || target === undefined) return
    const { state, source, evictions } = plan
    if (source === 'store') limiter.noteStart()
    const startedAt = clock.now()
    state.running = { model: modelName, source, startedAt, expectedAt: startedAt + plan.loadMilliseconds }
    logger.info('load decided', { event: 'load-decided', target: state.key, model: modelName, source, evictions: [...evictions], expected: Math.round(plan.loadMilliseconds), cost: Math.round(plan.cost) })
    void carryOut(target, state, modelName, plan).then((isLoaded) => {
      const took = clock.now() - startedAt
      state.running = undefined
      if (source === 'store') {
        if (isLoaded) limiter.noteEnd(took, loadTime(model, source))
        else limiter.noteCancelled()
      }
      if (isLoaded) {
        protectedUntil.set(`${state.key} ${modelName}`, clock.now() + PROTECTED_MILLISECONDS)
        state.modelsInMemory = new Set([...state.modelsInMemory, modelName])
        state.modelsOnDisk = new Set([...state.modelsOnDisk, modelName])
        wanted.delete(modelName)
        publish(state)
      } else {
        state.avoidedUntil = clock.now() + AVOID_MILLISECONDS
      }
      logger.info('load ended', { event: 'load-ended', target: state.key, model: modelName, source, loaded: isLoaded, milliseconds: Math.round(took) })
      notify()
      pump()
    }, (reason: unknown) => {
      state.running = undefined
      if (source === 'store') limiter.noteCancelled()
      logger.error('load failed unexpectedly', { event: 'load-failed', target: state.key, model: modelName, reason: String(reason) })
      notify()
    })
  }

  /** Sends the orders of a load; other orders may follow while the load itself goes on. */
  const orderLoad = async (target: KnownTarget, state: EngineState, model: string, plan: LoadPlan): Promise<boolean> => {
    for (const eviction of plan.evictions) {
      // Requests stop coming before the model goes.
      const adapters = state.models.get(eviction)
      state.models.delete(eviction)
      publish(state)
      const unloaded = await executor.execute(target, state, {
        operation: 'unload', model: eviction, adapter: undefined, patienceMilliseconds: ORDER_PATIENCE_MILLISECONDS, isStillRight: () => true
      })
      if (unloaded === 'done') await clock.sleep(UNLOAD_MILLISECONDS)
      if (unloaded !== 'done' && unloaded !== 'holds') {
        if (adapters !== undefined) state.models.set(eviction, adapters)
        return false
      }
    }
    const result = await executor.execute(target, state, {
      operation: 'load', model, adapter: undefined, patienceMilliseconds: ORDER_PATIENCE_MILLISECONDS, isStillRight: () => fits(target.entry.service, state, model)
    })
    if (result !== 'done' && result !== 'holds') return false
    if (!state.models.has(model)) state.models.set(model, new Set())
    return true
  }

  const fits = (service: string, state: EngineState, modelName: string): boolean => {
    const engine = engineOf(service)
    const model = engine?.models.get(modelName)
    if (engine === undefined || model === undefined) return false
    return state.models.has(modelName) || usedMegabytes(state, engine) + model.megabytes <= engine.megabytes
  }

  const carryOut = async (target: KnownTarget, state: EngineState, model: string, plan: LoadPlan): Promise<boolean> => {
    if (!await inLane(state.key, async () => await orderLoad(target, state, model, plan))) return false
    if (plan.source !== 'store') {
      const engine = engineOf(target.entry.service)
      const definition = engine?.models.get(model)
      await clock.sleep((definition === undefined ? 0 : loadTime(definition, plan.source)) + LOAD_MARGIN_MILLISECONDS, running.signal)
      return !running.signal.aborted
    }
    return await awaitStoreLoad(target, state, model, plan)
  }

  /** How long a load from the store takes depends on the others that run, so the engine's reports tell when it is there. */
  const awaitStoreLoad = async (target: KnownTarget, state: EngineState, model: string, plan: LoadPlan): Promise<boolean> => {
    const startedAt = clock.now()
    const { orderCount } = state
    const definition = engineOf(target.entry.service)?.models.get(model)
    await clock.sleep(definition?.storeLoadMilliseconds ?? plan.loadMilliseconds, running.signal)
    while (!running.signal.aborted && clock.now() - startedAt < plan.loadMilliseconds + STORE_LOAD_PATIENCE_MILLISECONDS) {
      if (directory.find(target.key) === undefined) return false
      const report = await engines.report(target)
      if (report.isOk && report.value.placement.orderCount >= orderCount) {
        if (report.value.placement.models.some(({ name }) => name === model) && !report.value.isBusy) return true
        if (!report.value.isBusy) return false
      }
      await clock.sleep(STORE_POLL_MILLISECONDS, running.signal)
    }
    return false
  }

  const publish = (state: EngineState): void => {
    directory.applyNews({ key: state.key, placement: placementOf(state), load: undefined, ageMilliseconds: 0 })
  }

  /** Starts what can be started: first what requests wait for, then what is likely to be asked for. */
  const pump = (): void => {
    if (!isActive || options.termForOrder() === undefined) return
    const now = clock.now()
    for (const [key, want] of wanted) if (want.waiters === 0 && want.until < now) wanted.delete(key)
    const inOrder = [...wanted.values()].sort((one, other) => Number(other.waiters > 0) - Number(one.waiters > 0) || one.until - other.until)
    for (const want of inOrder) tryStart(want.service, want.model, want.waiters > 0 ? 0 : RESERVED_STORE_LOADS)
    for (const service of options.configuration()?.services.values() ?? []) {
      if (service.engine === undefined) continue
      replicate(service.name, service.engine)
      if (now - inventoryChangedAt < STABLE_INVENTORY_MILLISECONDS) continue
      fillFreeMemory(service.name, service.engine)
      preload(service.name, service.engine)
    }
  }

  const isLoading = (model: string): boolean => [...states.values()].some((state) => state.running?.model === model && directory.isUsable(state.key))

  /** Requests that a load of the model serves while its evictions last. */
  const benefitOf = (model: string): number => (wanted.get(model)?.waiters ?? 0) + BENEFIT_SECONDS * demand.rate(model) + IDLE_BENEFIT

  const tryStart = (service: string, model: string, reservedLoads: number): void => {
    const engine = engineOf(service)
    if (engine === undefined || isLoading(model)) return
    const plan = planFor(service, model)
    if (plan === undefined || plan.state.running !== undefined || plan.harm >= benefitOf(model)) return
    if (plan.source === 'store' && !mayLoadFromStore(engine, reservedLoads)) return
    startLoad(service, model, plan)
  }

  const mayLoadFromStore = (engine: EngineDefinition, reserved: number): boolean => {
    if (reserved > 0 && limiter.freeAtFullSpeed() <= Math.min(reserved, limiter.running())) return false
    return limiter.mayStart(storeLimits(engine))
  }

  /** Adds a replica of a model whose replicas are all loaded, where an engine has room to spare. */
  const replicate = (service: string, engine: EngineDefinition): void => {
    for (const { name } of engine.models.values()) {
      if (demand.rate(name) === 0 || isLoading(name)) continue
      const holders = holdersOf(service, name, [])
      const isAlone = holders.length === 1 && demand.rate(name) > SECOND_REPLICA_RATE
      if (holders.length === 0 || (!isAlone && holders.some(({ key }) => loadOf(key) < REPLICATE_LOAD))) continue
      addReplica(service, name)
    }
  }

  const addReplica = (service: string, model: string): void => {
    if (isLoading(model)) return
    const engine = engineOf(service)
    const plan = planFor(service, model)
    if (engine === undefined || plan === undefined || plan.state.running !== undefined) return
    if (plan.harm >= benefitOf(model) / 2 || loadOf(plan.state.key) > SPARE_LOAD) return
    if (plan.source === 'store' && !mayLoadFromStore(engine, RESERVED_STORE_LOADS)) return
    startLoad(service, model, plan)
  }

  /**
   * Loads models without a replica where memory is free and their weights are near, the most wanted
   * first; then second replicas of wanted ones.
   */
  const fillFreeMemory = (service: string, engine: EngineDefinition): void => {
    const usable = engineTargets(service).filter(({ leavesAt }) => leavesAt === undefined).map(stateOf)
    const replicasOf = (model: string): number => usable.filter(({ models }) => models.has(model)).length
    for (const state of usable) {
      if (!state.isKnown || state.running !== undefined || state.isBusyForOthers || state.avoidedUntil > clock.now()) continue
      const free = engine.megabytes - usedMegabytes(state, engine)
      const [best] = [...engine.models.values()]
        .filter(({ name, megabytes }) => megabytes <= free && !state.models.has(name) && !isLoading(name) && sourceOf(state, name) !== 'store')
        .map(({ name }) => ({ name, rate: demand.rate(name), replicas: replicasOf(name) }))
        .filter(({ rate, replicas }) => replicas === 0 || (replicas === 1 && rate > 0))
        .sort((one, other) => one.replicas - other.replicas || other.rate - one.rate)
      const model = best === undefined ? undefined : engine.models.get(best.name)
      if (model === undefined) continue
      const source = sourceOf(state, model.name)
      startLoad(service, model.name, { state, evictions: [], source, waitMilliseconds: 0, loadMilliseconds: loadTime(model, source), harm: 0, cost: 0 })
    }
  }

  /** Brings models that no engine keeps near, so that the first request for them does not wait for the weight store. */
  const preload = (service: string, engine: EngineDefinition): void => {
    const known = engineTargets(service).map(stateOf).filter(({ isKnown }) => isKnown)
    if (known.length === 0) return
    const isNear = (model: string): boolean => known.some((state) => state.models.has(model) || sourceOf(state, model) !== 'store')
    const missing = [...engine.models.values()].filter(({ name }) => !isNear(name) && !isLoading(name))
      .sort((one, other) => demand.rate(other.name) - demand.rate(one.name))
    for (const { name } of missing) {
      if (!mayLoadFromStore(engine, RESERVED_STORE_LOADS)) return
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
    if (engineOf(service)?.models.has(model) !== true) return refuse('model-unknown', NO_HOLDER_RETRY_MILLISECONDS)
    for (;;) {
      // The asking daemon looks for the holder and asks again, so this is no decision to be logged.
      if (!isActive || options.termForOrder() === undefined) return { kind: 'refused', reason: 'no-order-lease', retryAfterMilliseconds: NO_HOLDER_RETRY_MILLISECONDS }
      const holders = holdersOf(service, model, avoid)
      if (holders.length > 0) {
        if (adapter === undefined) return { kind: 'ready', target: leastLoaded(holders).key }
        const placed = await placeAdapter(service, model, adapter, holders)
        if (placed !== undefined) return placed
        if (signal.aborted || clock.now() > deadline) return refuse('adapter-places-taken', NO_HOLDER_RETRY_MILLISECONDS)
        // All places serve requests: another replica brings more of them.
        const engine = engineOf(service)
        if (engine !== undefined) addReplica(service, model)
        await nextChange(signal, PUMP_MILLISECONDS)
        continue
      }
      const expected = expectedTime(service, model, avoid)
      const want = wanted.get(model) ?? { service, model, until: 0, waiters: 0 }
      wanted.set(model, want)
      want.until = Math.max(want.until, clock.now() + WANTED_MILLISECONDS)
      if (expected === undefined) return refuse('no-room-for-model', NO_ROOM_RETRY_MILLISECONDS)
      if (clock.now() + expected > deadline) {
        pump()
        return refuse('cold-start-too-long', expected)
      }
      if (signal.aborted) return refuse('request-ended', expected)
      want.waiters++
      try {
        pump()
        await nextChange(signal, PUMP_MILLISECONDS)
      } finally {
        want.waiters--
      }
    }
  }

  const expectedTime = (service: string, model: string, avoid: readonly TargetKey[]): Milliseconds | undefined => {
    for (const state of states.values()) {
      if (state.running?.model === model && directory.isUsable(state.key) && !avoid.includes(state.key)) return Math.max(LOAD_MARGIN_MILLISECONDS, state.running.expectedAt - clock.now())
    }
    const plan = planFor(service, model, avoid)
    if (plan === undefined || plan.harm >= benefitOf(model) + 1) return undefined
    return plan.waitMilliseconds + plan.loadMilliseconds
  }

  const leastLoaded = (holders: readonly EngineState[]): EngineState =>
    holders.reduce((best, state) => loadOf(state.key) < loadOf(best.key) ? state : best)

  /** Loads an adapter beside its model, in the place of the least recently used one where all places are taken. */
  const placeAdapter = async (service: string, model: string, adapter: string, holders: readonly EngineState[]): Promise<PlacementResult | undefined> => {
    const subject = `${model}/${adapter}`
    const ready = holders.filter((state) => state.models.get(model)?.has(adapter) === true && !state.unloadingAdapters.has(subject))
    if (ready.length > 0) {
      const state = leastLoaded(ready)
      state.adapterUsedAt.set(subject, clock.now())
      return { kind: 'ready', target: state.key }
    }
    const byRoom = [...holders].sort((one, other) => Number(one.running !== undefined) - Number(other.running !== undefined) || adapterCount(one) - adapterCount(other))
    for (const state of byRoom) {
      const target = directory.find(state.key)
      const engine = engineOf(service)
      if (target === undefined || engine === undefined) continue
      const isLoaded = await inLane(state.key, async () => await loadAdapter(target, state, engine, model, adapter))
      if (!isLoaded) continue
      await clock.sleep(ADAPTER_MILLISECONDS)
      publish(state)
      return { kind: 'ready', target: state.key }
    }
    return undefined
  }

  const loadAdapter = async (target: KnownTarget, state: EngineState, engine: EngineDefinition, model: string, adapter: string): Promise<boolean> => {
    const subject = `${model}/${adapter}`
    const size = engine.models.get(model)?.adapterMegabytes ?? 0
    const hasRoom = (): boolean => adapterCount(state) < engine.adapterPlaces && usedMegabytes(state, engine) + size <= engine.megabytes
    if (state.models.get(model)?.has(adapter) === true) return !state.unloadingAdapters.has(subject)
    while (!hasRoom()) {
      const victim = idleAdapter(state)
      if (victim === undefined || !await unloadAdapter(target, state, victim.model, victim.adapter)) return false
    }
    const result = await executor.execute(target, state, {
      operation: 'load', model, adapter, patienceMilliseconds: ORDER_PATIENCE_MILLISECONDS, isStillRight: () => state.models.has(model) && hasRoom()
    })
    if (result !== 'done' && result !== 'holds') return false
    state.models.get(model)?.add(adapter)
    state.adapterUsedAt.set(subject, clock.now())
    return true
  }

  /** Tells whether the adapter's place is free: one that still serves requests keeps it until they have ended. */
  const unloadAdapter = async (target: KnownTarget, state: EngineState, model: string, adapter: string): Promise<boolean> => {
    const subject = `${model}/${adapter}`
    state.unloadingAdapters.add(subject)
    publish(state)
    const result = await executor.execute(target, state, {
      operation: 'unload', model, adapter, patienceMilliseconds: ORDER_PATIENCE_MILLISECONDS, isStillRight: () => state.models.get(model)?.has(adapter) === true
    })
    if (result === 'done') return false
    state.unloadingAdapters.delete(subject)
    if (result !== 'holds') return false
    // The engine has unloaded the adapter at once, which counts as an order.
    state.orderCount++
    state.models.get(model)?.delete(adapter)
    return true
  }

  /** The least recently used adapter that probably serves no request. */
  const idleAdapter = (state: EngineState): { readonly model: string, readonly adapter: string } | undefined => {
    let oldest: { readonly model: string, readonly adapter: string, readonly at: Milliseconds } | undefined
    for (const [model, adapters] of state.models) {
      for (const adapter of adapters) {
        const subject = `${model}/${adapter}`
        if (state.unloadingAdapters.has(subject) || isInUse(state, subject)) continue
        const at = Math.max(demand.lastUsedAt(subject), state.adapterUsedAt.get(subject) ?? -Infinity)
        if (clock.now() - at > ADAPTER_IDLE_MILLISECONDS && (oldest === undefined || at < oldest.at)) oldest = { model, adapter, at }
      }
    }
    return oldest
  }

  const readReport = async (target: KnownTarget): Promise<void> => {
    const state = stateOf(target)
    const readAt = clock.now()
    const report = await engines.report(target)
    if (report.isErr) {
      logger.debug('report failed', { event: 'report-failed', target: target.key, reason: report.error.message })
      return
    }
    const isSettled = state.running === undefined && readAt - state.lastOrderAt > SETTLED_MILLISECONDS
    if (state.running === undefined) adoptReport(state, report.value, isSettled)
    directory.applyNews({ key: target.key, placement: placementOf(state), load: report.value.load, ageMilliseconds: clock.now() - readAt })
  }

  const observe = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      const targets = [...options.configuration()?.services.values() ?? []].filter(({ engine }) => engine !== undefined).flatMap(({ name }) => engineTargets(name))
      for (const key of states.keys()) if (directory.find(key) === undefined) states.delete(key)
      await Promise.all(targets.map(readReport))
      if (targets.length > 0) logInventory()
      pump()
      await clock.sleep(options.settings().reportMilliseconds, signal)
    }
  }

  /** Tells once a term, and after each change of the targets, what the engines hold. */
  const logInventory = (): void => {
    const keys = [...states.keys()].sort().join(' ')
    if (keys === loggedInventory) return
    loggedInventory = keys
    inventoryChangedAt = clock.now()
    for (const state of states.values()) {
      logger.info('what an engine holds', {
        event: 'engine-inventory',
        target: state.key,
        orders: state.orderCount,
        models: [...state.models].map(([name, adapters]) => `${name}+${adapters.size}`),
        memory: [...state.modelsInMemory],
        disk: [...state.modelsOnDisk]
      })
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
    recordInUse: (subjects) => {
      for (const subject of subjects) inUseAt.set(subject, clock.now())
      for (const [subject, at] of inUseAt) if (clock.now() - at > IN_USE_MILLISECONDS) inUseAt.delete(subject)
    },
    start: () => {
      if (isActive) return
      isActive = true
      logger.info('placement begins', { event: 'placement-started' })
      running = new AbortController()
      limiter = createStoreLoadLimiter(clock)
      states.clear()
      lanes.clear()
      wanted.clear()
      void observe(running.signal)
      void pumpRegularly(running.signal)
    },
    stop: () => {
      isActive = false
      running.abort()
      notify()
    },
    request,
    news: () => [...states.values()].map((state) => {
      const target = directory.find(state.key)
      return { key: state.key, placement: placementOf(state), load: target?.load, ageMilliseconds: target?.loadAt === undefined ? 0 : clock.now() - target.loadAt }
    })
  }
}
