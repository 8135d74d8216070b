import type { EngineState } from '@fuchsiastage/types'
import type { PlacementConfiguration, PlacementTarget } from './interfaces.js'
import { isSettled, reservationKey, reservationsByModel, reservationsOn, type PlacementState, type Reservation } from './state.js'
import { isPermitted, matchesDefinition, subjectOf, type Subject } from './subject.js'

/** Input of a review of all reservations. */
export interface ReviewInput {
  readonly state: PlacementState
  readonly configuration: PlacementConfiguration
  readonly targets: ReadonlyMap<string, PlacementTarget>
  readonly hint: (target: string) => EngineState | undefined
  readonly epoch: number
  /** Whether an operation on the replica is running, or its removal failed within the cooldown. */
  readonly isRemovalBlocked: (reservation: Reservation) => boolean
  /** Whether the model or adapter is in the load queue. */
  readonly isQueued: (name: string) => boolean
  readonly inFlight: (name: string) => number
  readonly valueOf: (reservation: Reservation) => number
  readonly isIdleTooLong: (reservation: Reservation) => boolean
}

export interface Removal {
  readonly reservation: Reservation
  readonly reason: 'not-permitted' | 'target-leaving' | 'over-limit' | 'not-loaded' | 'idle'
}

/** Returns the reason if the rules in force or a draining target require a removal, otherwise undefined. A target that is not listed requires none. */
function requiredRemovalReason (reservation: Reservation, input: ReviewInput): Removal['reason'] | undefined {
  const target = input.targets.get(reservation.target)
  if (target === undefined) return undefined
  const subject = subjectOf(input.configuration, reservation.model)
  if (subject === undefined || !isPermitted(subject, target)) return 'not-permitted'
  if (!reservation.isUsable && !matchesDefinition(subject, reservation)) return 'not-permitted'
  // A draining target keeps its replicas while requests run on it; it receives no new requests.
  const hint = input.hint(reservation.target)
  const isLeaving = target.state === 'leaving' || hint?.state === 'leaving'
  return isLeaving && (hint?.load.running ?? 0) === 0 ? 'target-leaving' : undefined
}

/**
 * Orders reservations by ascending value: unusable ones first, then by the value that the keep-warm
 * policy gives them. The value is computed once for each reservation.
 */
function orderByValue (reservations: readonly Reservation[], input: ReviewInput): readonly Reservation[] {
  if (reservations.length < 2) return reservations
  const values = new Map(reservations.map((reservation) => [reservation, input.valueOf(reservation)]))
  const valueOf = (reservation: Reservation): number => values.get(reservation) ?? 0
  return [...reservations].sort((left, right) => Number(left.isUsable) - Number(right.isUsable) || valueOf(left) - valueOf(right) ||
    (left.target < right.target ? -1 : 1))
}

/**
 * Returns the reservations to remove now: those that the rules in force do not permit, the surplus
 * over a lowered limit, those whose model is neither loaded nor in the load queue, idle replicas, and
 * replicas on draining targets.
 *
 * @example
 * for (const { reservation, reason } of reviewReservations(input)) startRemoval(reservation, reason)
 */
export function reviewReservations (input: ReviewInput): readonly Removal[] {
  const removals = [...reservationsByModel(input.state)].flatMap(([name, reservations]) => reviewModel(name, reservations, input))
  const removedKeys = new Set(removals.map(({ reservation }) => reservationKey(reservation.target, reservation.model)))
  // The adapters on a model are removed before the model itself.
  const dependents = removals.flatMap(({ reservation, reason }) => reservationsOn(input.state, reservation.target)
    .filter(({ baseModel, target, model }) => baseModel === reservation.model && !removedKeys.has(reservationKey(target, model)))
    .map((dependent) => ({ reservation: dependent, reason })))
  return [...removals, ...dependents].filter(({ reservation }) => !input.isRemovalBlocked(reservation) && !hasDependents(reservation, input.state))
}

function hasDependents (reservation: Reservation, state: PlacementState): boolean {
  return reservation.baseModel === null && reservationsOn(state, reservation.target).some(({ baseModel }) => baseModel === reservation.model)
}

function reviewModel (name: string, reservations: readonly Reservation[], input: ReviewInput): readonly Removal[] {
  const removals = new Map<Reservation, Removal['reason']>()
  for (const reservation of reservations) {
    const reason = requiredRemovalReason(reservation, input)
    if (reason !== undefined) removals.set(reservation, reason)
  }
  const subject = subjectOf(input.configuration, name)
  const remaining = reservations.filter((reservation) => !removals.has(reservation))
  const limit = subject?.maximumReplicas ?? 0
  // Reservations whose removal as surplus is still in progress are counted again. They are not usable
  // any more, so they come first in the order and no further replica is chosen in their place.
  const surplus = Math.max(0, remaining.length - limit)
  // The order matters only if some of the reservations are kept.
  const ordered = surplus > 0 || (subject?.minimumWarm ?? 0) > 0 ? orderByValue(remaining, input) : remaining
  for (const reservation of ordered.slice(0, surplus)) removals.set(reservation, 'over-limit')
  const kept = ordered.slice(surplus)
  if (subject !== undefined) addUnneeded(subject, kept, removals, input)
  return [...removals].map(([reservation, reason]) => ({ reservation, reason }))
}

function addUnneeded (subject: Subject, kept: readonly Reservation[], removals: Map<Reservation, Removal['reason']>, input: ReviewInput): void {
  if (input.isQueued(subject.name)) return
  let removableCount = kept.length - subject.minimumWarm
  for (const reservation of kept) {
    if (removableCount <= 0) return
    if (!reservation.isUsable) {
      // The model may be loaded without being recorded as usable yet, so the newest hint must show it as absent.
      const hint = input.hint(reservation.target)
      const isAbsent = hint !== undefined && hint.models.every(({ model }) => model !== subject.name)
      // An unsettled reservation can be released only if the unload order raises the target's fencing
      // token above the tokens of all unsettled orders.
      const isFenceable = input.state.targets.get(reservation.target)?.fencing === 'checked' &&
        reservation.unsettled.every(({ epoch }) => epoch < input.epoch)
      const isReleasable = isSettled(reservation) || isFenceable
      if (!isAbsent || !isReleasable) continue
      removals.set(reservation, 'not-loaded')
      removableCount--
    } else if (input.inFlight(subject.name) === 0 && input.isIdleTooLong(reservation)) {
      removals.set(reservation, 'idle')
      removableCount--
    }
  }
}
