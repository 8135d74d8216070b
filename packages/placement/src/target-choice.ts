import type { WeightsLocation } from '@fuchsiastage/types'
import type { PlacementTarget } from './interfaces.js'
import type { Reservation } from './state.js'

/** A target that the rule and the role permit. */
export interface TargetCandidate {
  readonly target: PlacementTarget
  readonly freeMegabytes: number
  /** Where the weights were last seen on the target: a hint. */
  readonly location: WeightsLocation
  /** What may be evicted from the target, with its value; worked out only when no target has room. */
  readonly evictable: () => readonly EvictableGroup[]
}

/** An idle replica together with the adapters on it, adapters first. */
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
 * Picks the target with enough free memory whose copy of the weights is nearest, then in the data
 * centre with the fewest replicas of the model, then with the most memory left.
 *
 * @example
 * const chosen = chooseTarget(candidates, 24_000, new Map([['van-a', 1]]))
 */
export function chooseTarget (
  candidates: readonly TargetCandidate[],
  memoryMegabytes: number,
  replicasByDataCentre: ReadonlyMap<string, number>
): TargetCandidate | undefined {
  const replicasNear = ({ target }: TargetCandidate): number => replicasByDataCentre.get(target.dataCentre) ?? 0
  return candidates
    .filter(({ freeMegabytes }) => freeMegabytes >= memoryMegabytes)
    .sort((left, right) =>
      LOCATION_RANK[left.location] - LOCATION_RANK[right.location] ||
      replicasNear(left) - replicasNear(right) ||
      right.freeMegabytes - left.freeMegabytes ||
      (left.target.name < right.target.name ? -1 : 1))[0]
}

/**
 * Picks the target where making room costs least: the lowest sum of the values of the replicas that
 * would have to go, lowest value first.
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
