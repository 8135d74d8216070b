import type { EngineDefinition, EngineReport, KnownTarget, LoadedModel, TargetKey, TargetPlacement } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'

export type WeightsSource = 'memory' | 'disk' | 'store'

/** Load that is in progress on an engine. */
export interface RunningLoad {
  readonly model: string
  readonly source: WeightsSource
  readonly startedAt: Milliseconds
  readonly expectedAt: Milliseconds
  /** Whether the engine has accepted the order of the load. */
  readonly isAccepted: boolean
}

/** State of one incarnation of an engine, as the holder of the order lease knows it. */
export interface EngineState {
  readonly key: TargetKey
  orderCount: number
  /**
   * Whether the models and adapters are those that the engine has when its order count is `orderCount`.
   * Only then may an order that expects this count be sent: any order that the engine executes in the
   * meantime, also a late one, changes the count.
   */
  isExact: boolean
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
    isExact: false,
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
  applyPlacement(state, target.placement)
  return state
}

/** Replaces the known state by a placement that is not older. */
function applyPlacement (state: EngineState, placement: TargetPlacement): void {
  state.orderCount = placement.orderCount
  state.modelsInMemory = new Set(placement.modelsInMemory)
  state.modelsOnDisk = new Set(placement.modelsOnDisk)
  state.models.clear()
  for (const { name, adapters } of placement.models) state.models.set(name, new Set(adapters))
  for (const pending of placement.pendingAdapters) {
    const [model = '', adapter] = pending.split('/')
    if (adapter !== undefined) state.models.get(model)?.add(adapter)
  }
  // The model of an accepted load already occupies its memory, although no report lists it yet.
  const { runningLoad } = state
  if (runningLoad?.isAccepted === true && !state.models.has(runningLoad.model)) state.models.set(runningLoad.model, new Set())
  for (const subject of state.unloadingAdapters) {
    const [model = '', adapter = ''] = subject.split('/')
    if (state.models.get(model)?.has(adapter) !== true) state.unloadingAdapters.delete(subject)
  }
}

/**
 * Applies a report, unless it is older than the known state. An authoritative report, read some time
 * after the last order of this holder, is applied even if its order count is lower than the assumed one.
 */
export function applyReport (state: EngineState, report: EngineReport, isAuthoritative: boolean): void {
  const { placement, isBusy } = report
  const isRestarted = isAuthoritative && placement.orderCount < state.orderCount
  if (placement.orderCount < state.orderCount && !isRestarted) return
  const { runningLoad } = state
  const isOwnLoad = runningLoad?.isAccepted === true && !placement.models.some(({ name }) => name === runningLoad.model)
  // While an order is in progress, a report with the same count may still list what the order removes.
  const isKnown = state.isExact && placement.orderCount === state.orderCount && (isBusy || runningLoad !== undefined)
  if (isKnown) {
    state.modelsInMemory = new Set(placement.modelsInMemory)
    state.modelsOnDisk = new Set(placement.modelsOnDisk)
  } else {
    applyPlacement(state, placement)
    // A report does not list the model that is being loaded, so it is complete only if that is known.
    state.isExact = !isBusy || isOwnLoad
  }
  state.hasForeignOrder = runningLoad === undefined && isBusy
  state.hasReport = true
}

/** Whether the engine can take a load: its state is exact, and it does not execute an order unknown to this daemon. */
export function isReadyForOrders (state: EngineState): boolean {
  return state.isExact && !state.hasForeignOrder
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
