import type { EngineDefinition, KnownTarget } from '@fuchsiastage/fleet'
import type { EngineState } from './engine-state.js'

/**
 * Engines of a service, indexed by model, as of one moment. It is built in one pass over the engines,
 * so that decisions on many models need not search all engines for each of them. Loads and unloads
 * change the indexed lists of models only after the synchronous decision that uses the view.
 */
export interface PlacementView {
  readonly service: string
  readonly engine: EngineDefinition
  /** Engines that may receive new requests, including those that have announced their removal. */
  readonly engines: readonly EngineState[]
  /** Engines that may also receive loads. */
  readonly loadTargets: readonly EngineState[]
  /** Engines that have loaded the model and can serve requests for it. */
  readonly replicasOf: (model: string) => readonly EngineState[]
  /** Number of load targets that have the model loaded or are loading it. */
  readonly replicaCount: (model: string) => number
  /** Whether an engine has the model loaded, or its weights in host memory or on disk. */
  readonly isCached: (model: string) => boolean
}

/**
 * Creates the view of the engines of a service.
 *
 * @example
 * const view = createPlacementView('drafter', engine, directory.usable('drafter'), registry.stateOf)
 */
export function createPlacementView (service: string, engine: EngineDefinition, targets: readonly KnownTarget[], stateOf: (target: KnownTarget) => EngineState): PlacementView {
  const engines: EngineState[] = []
  const loadTargets: EngineState[] = []
  const replicas = new Map<string, EngineState[]>()
  const replicaCounts = new Map<string, number>()
  const cachedModels = new Set<string>()
  for (const target of targets) {
    const state = stateOf(target)
    const isLoadTarget = target.leavesAt === undefined
    engines.push(state)
    if (isLoadTarget) loadTargets.push(state)
    for (const model of state.models.keys()) {
      if (isLoadTarget) replicaCounts.set(model, (replicaCounts.get(model) ?? 0) + 1)
      if (state.hasReport) cachedModels.add(model)
      if (state.runningLoad?.model === model) continue
      const known = replicas.get(model)
      if (known === undefined) replicas.set(model, [state])
      else known.push(state)
    }
    if (!state.hasReport) continue
    for (const model of state.modelsInMemory) cachedModels.add(model)
    for (const model of state.modelsOnDisk) cachedModels.add(model)
  }
  return {
    service,
    engine,
    engines,
    loadTargets,
    replicasOf: (model) => replicas.get(model) ?? [],
    replicaCount: (model) => replicaCounts.get(model) ?? 0,
    isCached: (model) => cachedModels.has(model)
  }
}
