import { EMPTY_PLACEMENT_STATE, type PlacementState } from './state.js'

/** A loaded model or adapter that requests may be routed to. */
export interface Replica {
  readonly target: string
  readonly targetIncarnation: string
  readonly dataCentre: string
  readonly model: string
}

export interface ReplicaDirectory {
  /** Usable replicas of a model or adapter by data centre; the caller applies the rules in force. */
  readonly replicasOf: (model: string) => ReadonlyMap<string, readonly Replica[]>
  /** Names of the models and adapters that have a usable replica on the target. */
  readonly modelsOn: (target: string) => readonly string[]
  /** Memory of the target that no reservation takes; undefined for a target without reservations. */
  readonly freeMegabytes: (target: string) => number | undefined
  /** Replicas of the model that count against its limit, loaded or not. */
  readonly replicaCount: (model: string) => number
}

interface DirectoryIndex {
  readonly replicas: ReadonlyMap<string, ReadonlyMap<string, readonly Replica[]>>
  readonly modelsByTarget: ReadonlyMap<string, readonly string[]>
  readonly reserved: ReadonlyMap<string, number>
  readonly counts: ReadonlyMap<string, number>
}

const NO_REPLICAS: ReadonlyMap<string, readonly Replica[]> = new Map()

/**
 * Creates the replica directory over the folded state. The index is built once for each state, so a
 * look-up does not depend on the number of replicas.
 *
 * @example
 * const directory = createReplicaDirectory(() => leased.follower.view().state.payload)
 * const replicas = directory.replicasOf('renewal-letter').get('van-a') ?? []
 */
export function createReplicaDirectory (placement: () => PlacementState): ReplicaDirectory {
  let indexed: PlacementState | undefined
  let index = indexOf(EMPTY_PLACEMENT_STATE)
  const current = (): DirectoryIndex => {
    const state = placement()
    if (state !== indexed) {
      indexed = state
      index = indexOf(state)
    }
    return index
  }
  return {
    replicasOf: (model) => current().replicas.get(model) ?? NO_REPLICAS,
    modelsOn: (target) => current().modelsByTarget.get(target) ?? [],
    freeMegabytes: (target) => {
      const entry = placement().targets.get(target)
      return entry === undefined ? undefined : entry.memoryMegabytes - (current().reserved.get(target) ?? 0)
    },
    replicaCount: (model) => current().counts.get(model) ?? 0
  }
}

function indexOf (state: PlacementState): DirectoryIndex {
  const replicas = new Map<string, Map<string, Replica[]>>()
  const modelsByTarget = new Map<string, string[]>()
  const reserved = new Map<string, number>()
  const counts = new Map<string, number>()
  for (const { target, model, memoryMegabytes, isUsable } of state.reservations.values()) {
    reserved.set(target, (reserved.get(target) ?? 0) + memoryMegabytes)
    counts.set(model, (counts.get(model) ?? 0) + 1)
    const entry = state.targets.get(target)
    if (!isUsable || entry === undefined) continue
    modelsByTarget.set(target, [...modelsByTarget.get(target) ?? [], model])
    const byDataCentre = replicas.get(model) ?? new Map<string, Replica[]>()
    replicas.set(model, byDataCentre)
    byDataCentre.set(entry.dataCentre, [
      ...byDataCentre.get(entry.dataCentre) ?? [],
      { target, targetIncarnation: entry.incarnation, dataCentre: entry.dataCentre, model }
    ])
  }
  return { replicas, modelsByTarget, reserved, counts }
}
