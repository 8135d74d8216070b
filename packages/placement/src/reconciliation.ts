import type { EngineState, FencingSupport } from '@fuchsiastage/types'
import type { PlacementTarget } from './interfaces.js'
import type { ObservedFields } from './records.js'
import { reservationKey, reservationsOn, type PlacementState, type Reservation, type ReservedTarget } from './state.js'

export interface ReconcileInput {
  readonly target: PlacementTarget
  /** Placement state taken before the read of the engine started. */
  readonly before: PlacementState
  readonly engine: EngineState
  readonly fencing: FencingSupport
  readonly memoryMegabytes: number
  /** Whether an operation of this daemon on the model ran during the read. Whether such a model is usable is not compared. */
  readonly isBusy: (model: string) => boolean
  /** Whether an intent for the target is written next. The fold rejects intents for targets that are not recorded, so a new or changed target is then recorded even without reservations. */
  readonly isForIntent: boolean
}

/**
 * Returns the orders of a reservation that can no longer take effect, given a read of the same
 * incarnation: orders that the engine has executed, and orders whose fencing token it would now
 * refuse. Orders of the second kind are not returned while the model is loading, because one of them
 * may have started that load.
 *
 * @example
 * const ended = endedOrders(reservation, engineState, 'checked')
 */
export function endedOrders (reservation: Reservation, engine: EngineState, fencing: FencingSupport): readonly string[] {
  const reported = engine.models.find(({ model }) => model === reservation.model)
  return reservation.unsettled
    .filter(({ orderId, epoch }) => {
      if (engine.executedOrders.includes(orderId)) return true
      if (reported?.state === 'loaded' && reported.orderId === orderId) return true
      return fencing === 'checked' && epoch < engine.fencingToken && reported?.state !== 'loading'
    })
    .map(({ orderId }) => orderId)
}

/**
 * Returns the observation to record after a read of a target, or undefined if there is nothing to
 * record.
 *
 * @example
 * const fields = observeTarget({ target, before, engine, fencing: 'checked', memoryMegabytes: 80_000, isBusy: () => false, isForIntent: false })
 */
export function observeTarget (input: ReconcileInput): ObservedFields | undefined {
  const { target, before, engine, fencing, isBusy } = input
  const known = before.targets.get(target.name)
  const reservations = reservationsOn(before, target.name)
  const memoryMegabytes = Math.min(input.memoryMegabytes, engine.memoryMegabytes)
  const hasRestarted = known !== undefined && known.incarnation !== engine.incarnation
  const isLoaded = ({ model }: Reservation): boolean => engine.models.some((reported) => reported.model === model && reported.state === 'loaded')
  const comparable = reservations.filter(({ model }) => !isBusy(model))
  const fields: ObservedFields = {
    target: target.name,
    previousIncarnation: known?.incarnation ?? null,
    incarnation: engine.incarnation,
    address: target.address,
    role: target.role,
    dataCentre: target.dataCentre,
    fencing,
    memoryMegabytes,
    endedOrders: hasRestarted ? [] : reservations.flatMap((reservation) => endedOrders(reservation, engine, fencing)),
    usableModels: comparable.filter((reservation) => (hasRestarted || !reservation.isUsable) && isLoaded(reservation)).map(({ model }) => model),
    unusableModels: comparable.filter((reservation) => reservation.isUsable && !isLoaded(reservation)).map(({ model }) => model)
  }
  const hasReservationChange = hasRestarted || fields.endedOrders.length > 0 || fields.usableModels.length > 0 || fields.unusableModels.length > 0
  const hasTargetChange = known === undefined || known.fencing !== fencing || known.memoryMegabytes !== memoryMegabytes || known.dataCentre !== target.dataCentre || known.address !== target.address || known.role !== target.role
  return hasReservationChange || (hasTargetChange && (input.isForIntent || reservations.length > 0)) ? fields : undefined
}

/** Returns the observation that a target is permanently removed, or undefined if the target is not recorded. */
export function removedTargetObservation (before: PlacementState, name: string): ObservedFields | undefined {
  const known = before.targets.get(name)
  return known === undefined ? undefined : { ...observationWithoutChanges(known), incarnation: null }
}

/** Returns the observation that ends routing to a replica before its unload order is sent, or undefined if it is not usable. */
export function drainedReplicaObservation (before: PlacementState, reservation: Reservation): ObservedFields | undefined {
  const known = before.targets.get(reservation.target)
  const isUsable = before.reservations.get(reservationKey(reservation.target, reservation.model))?.isUsable === true
  return known === undefined || !isUsable ? undefined : { ...observationWithoutChanges(known), unusableModels: [reservation.model] }
}

function observationWithoutChanges (known: ReservedTarget): ObservedFields {
  return { ...known, previousIncarnation: known.incarnation, endedOrders: [], usableModels: [], unusableModels: [] }
}
