import type { EngineDefinition, EngineModel } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'
import type { DemandTracker } from './demand-book.js'
import { sourceOf, usedMegabytes, type EngineState, type WeightsSource } from './engine-state.js'

export interface PlanInputs {
  readonly engine: EngineDefinition
  readonly model: EngineModel
  readonly engines: readonly EngineState[]
  readonly demand: DemandTracker
  /** Requests a second that a replica of a model of this size can serve; undefined while no engine was seen at its limit. */
  readonly replicaCapacity: (megabytes: number) => number | undefined
  readonly now: Milliseconds
  /** Factor by which a load from the store is slower than alone at present. */
  readonly storeSlowdown: number
  /** Load of an engine, 0 to 1 and beyond. */
  readonly loadOf: (state: EngineState) => number
  /** Whether a model serves requests at the engine, for which its unload would wait. */
  readonly isInUse: (state: EngineState, model: string) => boolean
  /** Models at an engine that must stay, for example for requests that wait for them. */
  readonly isProtected: (state: EngineState, model: string) => boolean
}

export interface LoadPlan {
  readonly state: EngineState
  readonly evictions: readonly string[]
  readonly source: WeightsSource
  /** Time until the engine is free for the order. */
  readonly waitMilliseconds: Milliseconds
  /** Requests that are expected to suffer from the evictions. */
  readonly delayedRequests: number
  /** Time from the order until the model can serve. */
  readonly loadMilliseconds: Milliseconds
  readonly cost: number
}

/** Time that an unload of an idle model takes, with its order. */
const UNLOAD_MILLISECONDS = 30
/** Cost of one request that suffers from an eviction: about what it waits for the next load. */
const DELAYED_REQUEST_COST_MILLISECONDS = 2_000
/** Time beyond the load itself until an evicted model can be back. */
const RELOAD_SECONDS = 1
/** Time until an evicted replica of a busy model is back: a model that took its place stays for a while. */
const REPLICA_RELOAD_SECONDS = 3
/** Part of the harm that is left when another replica takes over the requests. */
const REPLICATED_DELAY_SHARE = 0.3
/** A replica used this recently probably has a request running, for which its unload would wait. */
const RECENT_USE_MILLISECONDS = 1_500
/** Decides between replicas of which one was used just now. */
const RECENT_USE_COST_MILLISECONDS = 300
/** Requests run for seconds, and an unload that waits for them keeps its engine from all other orders. */
const IN_USE_COST_MILLISECONDS = 1_500
/** A load from the store keeps its engine's other copies from use for seconds, and takes the place of one of them. */
const STORE_BLOCKING_COST_MILLISECONDS = 6_000
/** Cost of loading at an engine whose batch is full. */
const ENGINE_LOAD_COST_MILLISECONDS = 600

/**
 * Time that a load takes from the given source when the store is not shared.
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
 * Finds the cheapest engine for a load, and the models that make way for it. Returns undefined when the model fits nowhere.
 *
 * @example
 * const plan = planLoad({ engine, model, engines, demand, now, storeSlowdown: 1, loadOf, isProtected })
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
  if (!state.hasReport || state.hasForeignOrder || state.cooldownUntil > now || state.models.has(model.name)) return undefined
  const evictions = chooseEvictions(inputs, state)
  if (evictions === undefined) return undefined
  const source = sourceOf(state, model.name)
  const waitMilliseconds = state.runningLoad === undefined ? 0 : Math.max(1, state.runningLoad.expectedAt - now)
  const loadMilliseconds = loadTime(model, source) * (source === 'store' ? inputs.storeSlowdown : 1) + evictions.length * UNLOAD_MILLISECONDS
  const delayedRequests = evictions.reduce((sum, name) => sum + requestsDelayedBy(inputs, name, loadMilliseconds), 0)
  const evictionUsageCost = evictions.reduce((sum, name) => sum + usageCost(inputs, state, name), 0)
  const blockingCost = source === 'store' ? STORE_BLOCKING_COST_MILLISECONDS : 0
  const cost = waitMilliseconds + loadMilliseconds + blockingCost + DELAYED_REQUEST_COST_MILLISECONDS * delayedRequests + evictionUsageCost + ENGINE_LOAD_COST_MILLISECONDS * inputs.loadOf(state)
  return { state, evictions, source, waitMilliseconds, delayedRequests, loadMilliseconds, cost: engine.megabytes > 0 ? cost : Infinity }
}

/** Requests that suffer from an eviction for a load. */
function requestsDelayedBy ({ engine, demand, engines, replicaCapacity }: PlanInputs, name: string, loadMilliseconds: Milliseconds): number {
  const seconds = loadMilliseconds / 1000 + RELOAD_SECONDS
  const replicas = engines.filter(({ models }) => models.has(name)).length
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

/** Models to unload so that the new one fits, cheapest first; undefined when it does not fit at all. */
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
  // A large model chosen last may make smaller ones before it needless.
  const needed = chosen.filter((candidate) => {
    if (missingMegabytes + candidate.megabytes > 0) return true
    missingMegabytes += candidate.megabytes
    return false
  })
  return needed.map(({ name }) => name)
}
