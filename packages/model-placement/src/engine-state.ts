import type { EngineDefinition, EngineReport, KnownTarget, LoadedModel, TargetKey, TargetPlacement } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'

export type WeightsSource = 'memory' | 'disk' | 'store'

/** Load that is in progress on an engine. */
export interface RunningLoad {
  readonly model: string
  readonly source: WeightsSource
  readonly startedAt: Milliseconds
  readonly expectedAt: Milliseconds
}

/**
 * State of one incarnation of an engine, as the holder of the order lease knows it. It is exact as long
 * as its order count equals the engine's, because every order states the count that it expects.
 */
export interface EngineState {
  readonly key: TargetKey
  orderCount: number
  /** Loaded models and their adapters. */
  readonly models: Map<string, Set<string>>
  /** Adapters, as `model/adapter`, that are unloaded once their last request has ended. They occupy their places until then. */
  readonly unloadingAdapters: Set<string>
  /** Monotonic time of the last use of each adapter, as `model/adapter`, that this daemon placed on the engine. */
  readonly adapterUsedAt: Map<string, Milliseconds>
  modelsInMemory: ReadonlySet<string>
  modelsOnDisk: ReadonlySet<string>
  /** Whether a report of this incarnation has been read. */
  hasReport: boolean
  runningLoad: RunningLoad | undefined
  /** Whether the engine executes an order unknown to this daemon, such as one of a previous lease holder. */
  hasForeignOrder: boolean
  /** Monotonic time until which no further model load is planned, after one failed. */
  cooldownUntil: Milliseconds
  /** Monotonic time at which the last read of a report started. */
  reportReadAt: Milliseconds
  /** Monotonic time of the last order that took effect or may have taken effect. */
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
    reportReadAt: -Infinity,
    lastOrderAt: -Infinity
  }
  applyPlacement(state, target.placement, false)
  return state
}

/**
 * Applies a reported placement and returns whether it replaced the list of loaded models. A placement
 * with a lower order count is older than the known state. One with the same count replaces the list
 * only if it is complete, that is, if no load was in progress, or if no report has been read before.
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
  // The model of a running load already occupies its memory, although no report lists it yet.
  if (state.runningLoad !== undefined && !state.models.has(state.runningLoad.model)) state.models.set(state.runningLoad.model, new Set())
  for (const subject of state.unloadingAdapters) {
    const [model = '', adapter = ''] = subject.split('/')
    if (state.models.get(model)?.has(adapter) !== true) state.unloadingAdapters.delete(subject)
  }
  return true
}

/**
 * Applies a report. An authoritative report, read some time after the last order of this holder, is
 * applied even if its order count is lower than the assumed one.
 */
export function applyReport (state: EngineState, report: EngineReport, isAuthoritative: boolean): void {
  if (isAuthoritative && report.placement.orderCount < state.orderCount) {
    state.orderCount = 0
    state.hasReport = false
  }
  const isIdle = !report.isBusy && state.runningLoad === undefined
  const isApplied = applyPlacement(state, report.placement, isIdle)
  // The result of a foreign order is known only from a list of models that was made after the order had ended.
  state.hasForeignOrder = state.runningLoad === undefined && (report.isBusy || (state.hasForeignOrder && !isApplied))
  state.hasReport = true
}

export function placementOf (state: EngineState): TargetPlacement {
  const models: LoadedModel[] = [...state.models]
    // A model that is still being loaded cannot serve requests.
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

/** Accelerator memory that weights and adapters occupy, including those of a running load. */
export function usedMegabytes (state: EngineState, engine: EngineDefinition): number {
  let used = 0
  for (const [name, adapters] of state.models) {
    const model = engine.models.get(name)
    // The size of a model that was removed from the configuration is unknown, so the engine counts as full.
    used += model === undefined ? engine.megabytes : model.megabytes + adapters.size * model.adapterMegabytes
  }
  return used
}

export function weightsSourceOf (state: EngineState, model: string): WeightsSource {
  if (state.modelsInMemory.has(model)) return 'memory'
  return state.modelsOnDisk.has(model) ? 'disk' : 'store'
}
