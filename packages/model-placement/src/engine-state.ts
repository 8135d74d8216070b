import type { EngineDefinition, EngineReport, KnownTarget, LoadedModel, TargetKey, TargetPlacement } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'

export type WeightsSource = 'memory' | 'disk' | 'store'

/** A load that is under way at an engine. */
export interface RunningLoad {
  readonly model: string
  readonly source: WeightsSource
  readonly startedAt: Milliseconds
  readonly expectedAt: Milliseconds
}

/**
 * What the holder of the order lease knows of one life of an engine. It is exact as long as the
 * order count agrees with the engine's, because every order names the count that it expects.
 */
export interface EngineState {
  readonly key: TargetKey
  orderCount: number
  /** Loaded models and their adapters. */
  readonly models: Map<string, Set<string>>
  /** Adapters, as `model/adapter`, that go when their last request has ended; they take their place until then. */
  readonly unloadingAdapters: Set<string>
  /** Monotonic time of the last use of an adapter here, as far as this daemon has seen it. */
  readonly adapterUsedAt: Map<string, Milliseconds>
  modelsInMemory: ReadonlySet<string>
  modelsOnDisk: ReadonlySet<string>
  /** Present once a report of this life has been read. */
  hasReport: boolean
  runningLoad: RunningLoad | undefined
  /** The engine carries out an order of which this daemon knows nothing, such as one of an earlier holder. */
  hasForeignOrder: boolean
  /** Monotonic time until which nothing is ordered after the engine did not answer. */
  cooldownUntil: Milliseconds
  /** Monotonic time of the last order that took effect or may have. */
  lastOrderAt: Milliseconds
}

export function createEngineState (target: KnownTarget): EngineState {
  const state: EngineState = {
    key: target.key,
    orderCount: 0,
    models: new Map(),
    unloadingAdapters: new Set(),
    adapterUsedAt: new Map(),
    modelsInMemory: new Set(),
    modelsOnDisk: new Set(),
    hasReport: false,
    runningLoad: undefined,
    hasForeignOrder: false,
    cooldownUntil: -Infinity,
    lastOrderAt: -Infinity
  }
  applyPlacement(state, target.placement, false)
  return state
}

/**
 * Takes over a placement. One with a lower order count is older than what is known; one with the
 * same count tells more than the orders do only if it is complete, because no load was under way.
 */
export function applyPlacement (state: EngineState, placement: TargetPlacement, isComplete: boolean): boolean {
  if (placement.orderCount < state.orderCount) return false
  state.modelsInMemory = new Set(placement.modelsInMemory)
  state.modelsOnDisk = new Set(placement.modelsOnDisk)
  if (placement.orderCount === state.orderCount && state.hasReport && !isComplete) return false
  state.orderCount = placement.orderCount
  state.models.clear()
  for (const { name, adapters } of placement.models) state.models.set(name, new Set(adapters))
  for (const pending of placement.pendingAdapters) {
    const [model = '', adapter] = pending.split('/')
    if (adapter !== undefined) state.models.get(model)?.add(adapter)
  }
  // The model of a running load takes its memory although no listing names it yet.
  if (state.runningLoad !== undefined && !state.models.has(state.runningLoad.model)) state.models.set(state.runningLoad.model, new Set())
  for (const subject of state.unloadingAdapters) {
    const [model = '', adapter = ''] = subject.split('/')
    if (state.models.get(model)?.has(adapter) !== true) state.unloadingAdapters.delete(subject)
  }
  return true
}

/**
 * Takes over a report. After a while without any order of this holder, a report is right even if
 * its order count is lower than the one that was assumed.
 */
export function applyReport (state: EngineState, report: EngineReport, isAuthoritative: boolean): void {
  if (isAuthoritative && report.placement.orderCount < state.orderCount) {
    state.orderCount = 0
    state.hasReport = false
  }
  const isIdle = !report.isBusy && state.runningLoad === undefined
  const isApplied = applyPlacement(state, report.placement, isIdle)
  // What was loaded for others is known only with a listing that was made after it had ended.
  state.hasForeignOrder = state.runningLoad === undefined && (report.isBusy || (state.hasForeignOrder && !isApplied))
  state.hasReport = true
}

export function placementOf (state: EngineState): TargetPlacement {
  const models: LoadedModel[] = [...state.models]
    // A model that is still being loaded is not there for requests.
    .filter(([name]) => state.runningLoad?.model !== name)
    .map(([name, adapters]) => ({ name, adapters: [...adapters].filter((adapter) => !state.unloadingAdapters.has(`${name}/${adapter}`)) }))
  return {
    orderCount: state.orderCount,
    models,
    pendingAdapters: [],
    modelsInMemory: [...state.modelsInMemory],
    modelsOnDisk: [...state.modelsOnDisk]
  }
}

export function adapterCount (state: EngineState): number {
  return [...state.models.values()].reduce((sum, adapters) => sum + adapters.size, 0)
}

/** Accelerator memory that weights and adapters take, those of a running load included. */
export function usedMegabytes (state: EngineState, engine: EngineDefinition): number {
  let used = 0
  for (const [name, adapters] of state.models) {
    const model = engine.models.get(name)
    // A model that the configuration no longer lists takes an unknown amount: nothing more fits beside it.
    used += model === undefined ? engine.megabytes : model.megabytes + adapters.size * model.adapterMegabytes
  }
  return used
}

export function sourceOf (state: EngineState, model: string): WeightsSource {
  if (state.modelsInMemory.has(model)) return 'memory'
  return state.modelsOnDisk.has(model) ? 'disk' : 'store'
}
