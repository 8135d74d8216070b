import { reservationsOf, reservationsOn, reservedMegabytes, type PlacementState, type Reservation } from './state.js'

/** A loaded model or adapter that requests may be routed to. */
export interface Replica {
  readonly target: string
  readonly targetIncarnation: string
  readonly dataCentre: string
  readonly model: string
  /** Newest load order of the reservation, for log records. */
  readonly orderId: string
}

export interface ReplicaDirectory {
  /** Usable replicas of a model or adapter by data centre. The placement rules in force are not applied to the result. */
  readonly replicasOf: (model: string) => ReadonlyMap<string, readonly Replica[]>
  /** Names of the models and adapters that have a usable replica on the target. */
  readonly modelsOn: (target: string) => readonly string[]
  /** Memory of the target that is not reserved; undefined if the placement state does not contain the target. */
  readonly freeMegabytes: (target: string) => number | undefined
  /** Number of replicas that count against the limit of the model, whether loaded or not. */
  readonly replicaCount: (model: string) => number
}

/** Usable replicas of one model, with the target map that they were derived from. */
interface CachedReplicas {
  readonly targets: PlacementState['targets']
  readonly byDataCentre: ReadonlyMap<string, readonly Replica[]>
}

const NO_REPLICAS: ReadonlyMap<string, readonly Replica[]> = new Map()

/**
 * Creates the replica directory for the folded state. The directory caches the replicas of a model
 * and recomputes them only when they are queried after a change of its reservations or of the targets.
 *
 * @example
 * const directory = createReplicaDirectory(() => leased.follower.view().state.payload)
 * const replicas = directory.replicasOf('renewal-letter').get('van-a') ?? []
 */
export function createReplicaDirectory (placement: () => PlacementState): ReplicaDirectory {
  const cache = new WeakMap<readonly Reservation[], CachedReplicas>()
  return {
    replicasOf: (model) => {
      const state = placement()
      const reservations = reservationsOf(state, model)
      if (reservations.length === 0) return NO_REPLICAS
      const cached = cache.get(reservations)
      if (cached?.targets === state.targets) return cached.byDataCentre
      const byDataCentre = groupReplicas(state, reservations)
      cache.set(reservations, { targets: state.targets, byDataCentre })
      return byDataCentre
    },
    modelsOn: (target) => {
      const state = placement()
      return state.targets.has(target) ? reservationsOn(state, target).filter(({ isUsable }) => isUsable).map(({ model }) => model) : []
    },
    freeMegabytes: (target) => {
      const state = placement()
      const entry = state.targets.get(target)
      return entry === undefined ? undefined : entry.memoryMegabytes - reservedMegabytes(state, target)
    },
    replicaCount: (model) => reservationsOf(placement(), model).length
  }
}

function groupReplicas (state: PlacementState, reservations: readonly Reservation[]): ReadonlyMap<string, readonly Replica[]> {
  const byDataCentre = new Map<string, Replica[]>()
  for (const { target, model, isUsable, lastOrderId } of reservations) {
    const entry = state.targets.get(target)
    if (!isUsable || entry === undefined) continue
    const replica: Replica = { target, targetIncarnation: entry.incarnation, dataCentre: entry.dataCentre, model, orderId: lastOrderId }
    const group = byDataCentre.get(entry.dataCentre)
    if (group === undefined) byDataCentre.set(entry.dataCentre, [replica])
    else group.push(replica)
  }
  return byDataCentre
}
