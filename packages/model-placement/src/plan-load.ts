import type { EngineDefinition, EngineModel } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'
import type { DemandTracker } from './demand-tracker.js'
import { isReadyForOrders, weightsSourceOf, usedMegabytes, type EngineState, type WeightsSource } from './engine-state.js'

export interface PlanInputs {
  readonly engine: EngineDefinition
  readonly model: EngineModel
  readonly engines: readonly EngineState[]
  readonly demand: DemandTracker
  /** Number of engines that have a model loaded. */
  readonly replicaCount: (model: string) => number
  /** Requests per second that a replica of a model of this size can sustain; undefined until an engine has been overloaded. */
  readonly replicaCapacity: (megabytes: number) => number | undefined
  readonly now: Milliseconds
  /** Factor by which a load from the store currently takes longer than one without concurrent loads. */
  readonly storeSlowdown: number
  /** Load of an engine: the used share of its key-value cache, plus 1 while requests wait there or the engine is overloaded. */
  readonly loadOf: (state: EngineState) => number
  /** Whether a model serves requests at the engine. Its unload would wait for them. */
  readonly isInUse: (state: EngineState, model: string) => boolean
  /** Whether a model must not be evicted from the engine, for example because requests wait for it. */
  readonly isProtected: (state: EngineState, model: string) => boolean
}

export interface LoadPlan {
  readonly state: EngineState
  readonly evictions: readonly string[]
  readonly source: WeightsSource
  /** Time until the running load of the engine ends, so that the engine can accept the order. */
  readonly waitMilliseconds: Milliseconds
  /** Expected number of requests that the evictions delay. */
  readonly delayedRequests: number
  /** Time from the order until the model can serve requests. */
  readonly loadMilliseconds: Milliseconds
  /** Sum of all costs of the load at this engine, in milliseconds. */
  readonly cost: number
}

/** Duration of an unload of an idle model, including its order. */
const UNLOAD_MILLISECONDS = 30
/** Cost of one request that is delayed by an eviction: about the time that it waits for the next load. */
const DELAYED_REQUEST_COST_MILLISECONDS = 2_000
/** Time beyond the load itself until an evicted model can be loaded again. */
const RELOAD_SECONDS = 1
/** Additional time until an evicted replica of a busy model is loaded again, because the model that replaced it is not evicted immediately. */
const REPLICA_RELOAD_SECONDS = 3
/** Share of the requests that are still delayed when another replica takes them over. */
const REPLICATED_DELAY_SHARE = 0.3
/** A replica used within this time probably still serves a request, for which its unload would wait. */
const RECENT_USE_MILLISECONDS = 1_500
/** Cost of evicting a recently used model, which decides between evictions of otherwise similar cost. */
const RECENT_USE_COST_MILLISECONDS = 300
/** Cost of evicting a model that serves requests. They run for seconds, and an unload that waits for them blocks all other orders to its engine. */
const IN_USE_COST_MILLISECONDS = 1_500
/** Cost of a load from the store. For seconds the engine cannot load any model from its caches, and the new weights replace those of a cached model. */
const STORE_BLOCKING_COST_MILLISECONDS = 6_000
/** Cost of loading a model at an engine whose load is 1. It scales with the load of the engine. */
const ENGINE_LOAD_COST_MILLISECONDS = 600

/**
 * Returns the duration of a load from the given source, assuming that no concurrent load uses the weight store.
 *
 * @example
 * const milliseconds = loadTime(model, 'disk')
 */
export function loadTime (model: EngineModel, source: WeightsSource): Milliseconds {
  switch (source) {
    case 'memory':
      return model.memoryLoadMilliseconds
    case 'disk':
      return model.diskLoadMilliseconds
    case 'store':
      return model.storeLoadMilliseconds
  }
}

/**
 * Finds the engine at which a load costs least, and the models to evict there. Returns undefined if no engine can load the model.
 *
 * @example
 * const plan = planLoad({ engine, model, engines, demand, replicaCount, replicaCapacity, now, storeSlowdown: 1, loadOf, isInUse, isProtected })
 */
export function planLoad (inputs: PlanInputs): LoadPlan | undefined {
  let best: LoadPlan | undefined
  for (const state of inputs.engines) {
    const plan = planForEngine(inputs, state)
    if (plan !== undefined && (best === undefined || plan.cost < best.cost)) best = plan
  }
  return best
}

function planForEngine (inputs: PlanInputs, state: EngineState): LoadPlan | undefined {
  const { engine, model, now } = inputs
  if (!isReadyForOrders(state) || state.cooldownUntil > now || state.models.has(model.name)) return undefined
  const evictions = chooseEvictions(inputs, state)
  if (evictions === undefined) return undefined
  const source = weightsSourceOf(state, model.name)
  const waitMilliseconds = state.runningLoad === undefined ? 0 : Math.max(1, state.runningLoad.expectedAt - now)
  const loadMilliseconds = loadTime(model, source) * (source === 'store' ? inputs.storeSlowdown : 1) + evictions.length * UNLOAD_MILLISECONDS
  const delayedRequests = evictions.reduce((sum, name) => sum + requestsDelayedBy(inputs, name, loadMilliseconds), 0)
  const evictionUsageCost = evictions.reduce((sum, name) => sum + usageCost(inputs, state, name), 0)
  const blockingCost = source === 'store' ? STORE_BLOCKING_COST_MILLISECONDS : 0
  const cost = waitMilliseconds + loadMilliseconds + blockingCost + DELAYED_REQUEST_COST_MILLISECONDS * delayedRequests + evictionUsageCost + ENGINE_LOAD_COST_MILLISECONDS * inputs.loadOf(state)
  return { state, evictions, source, waitMilliseconds, delayedRequests, loadMilliseconds, cost: engine.megabytes > 0 ? cost : Infinity }
}

/** Expected number of requests that are delayed if a model is evicted for a load of the given duration. */
function requestsDelayedBy ({ engine, demand, replicaCount, replicaCapacity }: PlanInputs, name: string, loadMilliseconds: Milliseconds): number {
  const seconds = loadMilliseconds / 1000 + RELOAD_SECONDS
  const replicas = replicaCount(name)
  const rate = demand.rate(name)
  if (replicas <= 1) return rate * seconds
  const capacity = replicaCapacity(engine.models.get(name)?.megabytes ?? 0)
  const beyondCapacity = capacity === undefined ? 0 : rate - capacity * (replicas - 1)
  return Math.max(rate * REPLICATED_DELAY_SHARE / replicas * seconds, beyondCapacity * (seconds + REPLICA_RELOAD_SECONDS))
}

function usageCost ({ demand, now, isInUse }: PlanInputs, state: EngineState, name: string): Milliseconds {
  const recent = now - demand.lastUsedAt(name) < RECENT_USE_MILLISECONDS ? RECENT_USE_COST_MILLISECONDS : 0
  return recent + (isInUse(state, name) ? IN_USE_COST_MILLISECONDS : 0)
}

/** Models to evict so that the new one fits, cheapest first; undefined if it does not fit even then. */
function chooseEvictions (inputs: PlanInputs, state: EngineState): readonly string[] | undefined {
  const { engine, model } = inputs
  let missingMegabytes = usedMegabytes(state, engine) + model.megabytes - engine.megabytes
  if (missingMegabytes <= 0) return []
  const megabytesOf = (name: string): number => {
    const definition = engine.models.get(name)
    return definition === undefined ? 0 : definition.megabytes + (state.models.get(name)?.size ?? 0) * definition.adapterMegabytes
  }
  const candidates = [...state.models.keys()]
    .filter((name) => state.runningLoad?.model !== name && !inputs.isProtected(state, name))
    .map((name) => ({ name, megabytes: megabytesOf(name), cost: DELAYED_REQUEST_COST_MILLISECONDS * requestsDelayedBy(inputs, name, model.diskLoadMilliseconds) + usageCost(inputs, state, name) }))
    .sort((one, other) => one.cost - other.cost || inputs.demand.lastUsedAt(one.name) - inputs.demand.lastUsedAt(other.name))
  const chosen: typeof candidates = []
  for (const candidate of candidates) {
    if (missingMegabytes <= 0) break
    chosen.push(candidate)
    missingMegabytes -= candidate.megabytes
  }
  if (missingMegabytes > 0) return undefined
  // A large model that was chosen last may make the eviction of smaller ones unnecessary.
  const needed = chosen.filter((candidate) => {
    if (missingMegabytes + candidate.megabytes > 0) return true
    missingMegabytes += candidate.megabytes
    return false
  })
  return needed.map(({ name }) => name)
}
