import type { WeightsLocation } from '@fuchsiastage/types'
import type { PlacementTarget } from './interfaces.js'
import type { Reservation } from './state.js'

/** A target on which the rule and the role permit the load. */
export interface TargetCandidate {
  readonly target: PlacementTarget
  readonly freeMegabytes: number
  /** Fastest known location of the weights for this target. It is a hint and may be out of date. */
  readonly location: WeightsLocation
  /** Returns the replicas that may be evicted from the target. Called only if no target has enough free memory. */
  readonly evictable: () => readonly EvictableGroup[]
}

/** A replica and the adapters on it, which are evicted together. Adapters precede their base model, because they are unloaded first. */
export interface EvictableGroup {
  readonly reservations: readonly Reservation[]
  readonly value: number
}

export interface EvictionPlan {
  readonly target: PlacementTarget
  readonly victims: readonly Reservation[]
}

const LOCATION_RANK: Readonly<Record<WeightsLocation, number>> = { memory: 0, disk: 1, remote: 2 }

/**
 * Selects a target with enough free memory. Prefers targets with cached weights (in memory, then on
 * disk), then the data centre with the fewest replicas of the model, then the most free memory.
 *
 * @example
 * const chosen = chooseTarget(candidates, 24_000, new Map([['van-a', 1]]))
 */
export function chooseTarget (
  candidates: readonly TargetCandidate[],
  memoryMegabytes: number,
  replicasByDataCentre: ReadonlyMap<string, number>
): TargetCandidate | undefined {
  const replicasInDataCentre = ({ target }: TargetCandidate): number => replicasByDataCentre.get(target.dataCentre) ?? 0
  return candidates
    .filter(({ freeMegabytes }) => freeMegabytes >= memoryMegabytes)
    .sort((left, right) =>
      LOCATION_RANK[left.location] - LOCATION_RANK[right.location] ||
      replicasInDataCentre(left) - replicasInDataCentre(right) ||
      right.freeMegabytes - left.freeMegabytes ||
      (left.target.name < right.target.name ? -1 : 1))[0]
}

/**
 * Selects the target where eviction costs least: on each target replicas are evicted in ascending
 * order of value until the load fits, and the target with the lowest sum of values is chosen.
 *
 * @example
 * const plan = chooseEviction(candidates, 24_000)
 */
export function chooseEviction (candidates: readonly TargetCandidate[], memoryMegabytes: number): EvictionPlan | undefined {
  let best: EvictionPlan | undefined
  let bestValue = Infinity
  for (const { target, freeMegabytes, evictable } of candidates) {
    const victims: Reservation[] = []
    let free = freeMegabytes
    let value = 0
    for (const group of [...evictable()].sort((left, right) => left.value - right.value)) {
      if (free >= memoryMegabytes) break
      victims.push(...group.reservations)
      free += group.reservations.reduce((sum, reservation) => sum + reservation.memoryMegabytes, 0)
      value += group.value
    }
    if (free < memoryMegabytes || victims.length === 0 || value >= bestValue) continue
    best = { target, victims }
    bestValue = value
  }
  return best
}
