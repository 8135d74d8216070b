import type { EngineState, FencingSupport } from '@fuchsiastage/types'
import type { PlacementTarget } from './interfaces.js'
import type { ObservedFields } from './records.js'
import { reservationKey, reservationsOn, type PlacementState, type Reservation, type ReservedTarget } from './state.js'

export interface ReconcileInput {
  readonly target: PlacementTarget
  /** Folded state from before the read of the engine's state began. */
  readonly before: PlacementState
  readonly engine: EngineState
  readonly fencing: FencingSupport
  readonly memoryMegabytes: number
  /** Whether this daemon loaded or unloaded the model during the read: its usability is then not judged. */
  readonly isBusy: (model: string) => boolean
  /** Record the target although nothing changed, because an intent is about to name it. */
  readonly isNeeded: boolean
}

/**
 * Orders of a reservation that can have no effect any more, judged by a read of the same incarnation:
 * those that the engine has executed, and those whose token it would now refuse unless one of them
 * is still loading.
 *
 * @example
 * const ended = endedOrders(reservation, engineState, 'checked')
 */
export function endedOrders (reservation: Reservation, engine: EngineState, fencing: FencingSupport): readonly string[] {
  const shown = engine.models.find(({ model }) => model === reservation.model)
  return reservation.unsettled
    .filter(({ orderId, epoch }) => {
      if (engine.executedOrders.includes(orderId)) return true
      if (shown?.state === 'loaded' && shown.orderId === orderId) return true
      return fencing === 'checked' && epoch < engine.fencingToken && shown?.state !== 'loading'
    })
    .map(({ orderId }) => orderId)
}

/**
 * What a read of a target adds to the folded state, or undefined when it adds nothing.
 *
 * @example
 * const fields = observeTarget({ target, before, engine, fencing: 'checked', memoryMegabytes: 80_000, isBusy: () => false, isNeeded: false })
 */
export function observeTarget (input: ReconcileInput): ObservedFields | undefined {
  const { target, before, engine, fencing, isBusy } = input
  const known = before.targets.get(target.name)
  const reservations = reservationsOn(before, target.name)
  const memoryMegabytes = Math.min(input.memoryMegabytes, engine.memoryMegabytes)
  const hasRestarted = known !== undefined && known.incarnation !== engine.incarnation
  const isLoaded = ({ model }: Reservation): boolean => engine.models.some((shown) => shown.model === model && shown.state === 'loaded')
  const judged = reservations.filter(({ model }) => !isBusy(model))
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
    usableModels: judged.filter((reservation) => (hasRestarted || !reservation.isUsable) && isLoaded(reservation)).map(({ model }) => model),
    unusableModels: judged.filter((reservation) => reservation.isUsable && !isLoaded(reservation)).map(({ model }) => model)
  }
  const isNews = hasRestarted || fields.endedOrders.length > 0 || fields.usableModels.length > 0 || fields.unusableModels.length > 0
  const isChanged = known === undefined || known.fencing !== fencing || known.memoryMegabytes !== memoryMegabytes || known.dataCentre !== target.dataCentre || known.address !== target.address || known.role !== target.role
  return isNews || (isChanged && (input.isNeeded || reservations.length > 0)) ? fields : undefined
}

/** The record that declares a target gone for good. */
export function goneTarget (before: PlacementState, name: string): ObservedFields | undefined {
  const known = before.targets.get(name)
  return known === undefined ? undefined : { ...unchanged(known), incarnation: null }
}

/** The record that ends routing to a replica before its unload order is sent. */
export function drainedReplica (before: PlacementState, reservation: Reservation): ObservedFields | undefined {
  const known = before.targets.get(reservation.target)
  const isUsable = before.reservations.get(reservationKey(reservation.target, reservation.model))?.isUsable === true
  return known === undefined || !isUsable ? undefined : { ...unchanged(known), unusableModels: [reservation.model] }
}

function unchanged (known: ReservedTarget): ObservedFields {
  return { ...known, previousIncarnation: known.incarnation, endedOrders: [], usableModels: [], unusableModels: [] }
}
