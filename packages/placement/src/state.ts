import type { FencingSupport, JsonValue } from '@fuchsiastage/types'
import { z } from 'zod'

/** A load order that may still take effect. */
export interface UnsettledOrder {
  readonly orderId: string
  readonly author: string
  readonly epoch: number
}

/** A reservation of memory on a target for one replica of a model or adapter. It counts against the replica limit. */
export interface Reservation {
  /** Order id of the intent that created the reservation. */
  readonly reservationId: string
  readonly lastOrderId: string
  readonly target: string
  readonly model: string
  readonly baseModel: string | null
  readonly memoryMegabytes: number
  readonly configurationVersion: number
  /** Whether requests may be routed to the replica. */
  readonly isUsable: boolean
  /** Orders of the reservation that may still take effect; empty if the reservation is settled. */
  readonly unsettled: readonly UnsettledOrder[]
}

/** A target that has reservations, or that was recorded before the first intent for it. */
export interface ReservedTarget {
  readonly target: string
  readonly incarnation: string
  /** Stored so that a new lease holder can read a target that is missing from its VM list. */
  readonly address: string
  readonly role: string
  readonly dataCentre: string
  readonly fencing: FencingSupport
  readonly memoryMegabytes: number
}

export interface PlacementState {
  /** Reservations by `reservationKey`. */
  readonly reservations: ReadonlyMap<string, Reservation>
  readonly targets: ReadonlyMap<string, ReservedTarget>
  /** Epoch and sequence number of the newest decision record (intent, release or observation), whether accepted or not. */
  readonly decisionEpoch: number
  readonly decisionSequence: number
}

export const EMPTY_PLACEMENT_STATE: PlacementState = {
  reservations: new Map(),
  targets: new Map(),
  decisionEpoch: 0,
  decisionSequence: 0
}

export function reservationKey (target: string, model: string): string {
  return `${target}\u0000${model}`
}

/** Whether every order that was or may have been sent for the reservation is known to have ended. */
export function isSettled (reservation: Reservation): boolean {
  return reservation.unsettled.length === 0
}

interface StateIndex {
  readonly byTarget: ReadonlyMap<string, readonly Reservation[]>
  readonly byModel: ReadonlyMap<string, readonly Reservation[]>
  readonly unsettled: readonly Reservation[]
}

/** Index of each map of reservations. States whose reservations are the same map share its index. */
const indexes = new WeakMap<PlacementState['reservations'], StateIndex>()

function indexFor ({ reservations }: Pick<PlacementState, 'reservations'>): StateIndex {
  const known = indexes.get(reservations)
  if (known !== undefined) return known
  const byTarget = new Map<string, Reservation[]>()
  const byModel = new Map<string, Reservation[]>()
  const add = (groups: Map<string, Reservation[]>, key: string, reservation: Reservation): void => {
    const group = groups.get(key)
    if (group === undefined) groups.set(key, [reservation])
    else group.push(reservation)
  }
  for (const reservation of reservations.values()) {
    add(byTarget, reservation.target, reservation)
    add(byModel, reservation.model, reservation)
  }
  const index = { byTarget, byModel, unsettled: [...reservations.values()].filter((reservation) => !isSettled(reservation)) }
  indexes.set(reservations, index)
  return index
}

/** A new value for a reservation, or `undefined` to delete it. */
export interface ReservationChange {
  readonly target: string
  readonly model: string
  readonly reservation: Reservation | undefined
}

/**
 * Returns the reservations after the given changes. The index of the result is derived from the
 * previous index: rebuilding it takes time proportional to the number of reservations, and every
 * daemon would do that for every record.
 *
 * @example
 * const reservations = changeReservations(state, [{ target, model, reservation: undefined }])
 */
export function changeReservations (state: Pick<PlacementState, 'reservations'>, changes: readonly ReservationChange[]): PlacementState['reservations'] {
  const before = indexFor(state)
  const reservations = new Map(state.reservations)
  const byTarget = new Map(before.byTarget)
  const byModel = new Map(before.byModel)
  let unsettled = before.unsettled
  for (const { target, model, reservation } of changes) {
    const key = reservationKey(target, model)
    const old = reservations.get(key)
    replaceInGroup(byTarget, target, old, reservation)
    replaceInGroup(byModel, model, old, reservation)
    if (old !== undefined && !isSettled(old)) unsettled = unsettled.filter((other) => other !== old)
    if (reservation !== undefined && !isSettled(reservation)) unsettled = [...unsettled, reservation]
    if (reservation === undefined) reservations.delete(key)
    else reservations.set(key, reservation)
  }
  indexes.set(reservations, { byTarget, byModel, unsettled })
  return reservations
}

/**
 * Replaces a reservation in its group. The group keeps the order of the map of reservations, so that
 * floating-point sums over a group are the same for every reader of the stream.
 */
function replaceInGroup (groups: Map<string, readonly Reservation[]>, key: string, old: Reservation | undefined, reservation: Reservation | undefined): void {
  const group = groups.get(key) ?? []
  const next = old === undefined
    ? [...group, ...reservation === undefined ? [] : [reservation]]
    : group.flatMap((other) => other !== old ? [other] : reservation === undefined ? [] : [reservation])
  if (next.length === 0) groups.delete(key)
  else groups.set(key, next)
}

export function reservationsOn (state: PlacementState, target: string): readonly Reservation[] {
  return indexFor(state).byTarget.get(target) ?? []
}

export function reservationsOf (state: PlacementState, model: string): readonly Reservation[] {
  return indexFor(state).byModel.get(model) ?? []
}

/** Reservations of every model and adapter. */
export function reservationsByModel (state: PlacementState): ReadonlyMap<string, readonly Reservation[]> {
  return indexFor(state).byModel
}

/** Reservations with orders that may still take effect. */
export function unsettledReservations (state: PlacementState): readonly Reservation[] {
  return indexFor(state).unsettled
}

/** Ids of all orders that may still take effect. */
export function unsettledOrderIds (state: PlacementState): ReadonlySet<string> {
  return new Set(unsettledReservations(state).flatMap(({ unsettled }) => unsettled.map(({ orderId }) => orderId)))
}

export function reservedMegabytes (state: PlacementState, target: string): number {
  return reservationsOn(state, target).reduce((sum, reservation) => sum + reservation.memoryMegabytes, 0)
}

const encodedState = z.object({
  decisionEpoch: z.number().int(),
  decisionSequence: z.number().int(),
  targets: z.array(z.object({
    target: z.string(),
    incarnation: z.string(),
    address: z.string(),
    role: z.string(),
    dataCentre: z.string(),
    fencing: z.enum(['checked', 'ignored']),
    memoryMegabytes: z.number()
  })),
  reservations: z.array(z.object({
    reservationId: z.string(),
    lastOrderId: z.string(),
    target: z.string(),
    model: z.string(),
    baseModel: z.string().nullable(),
    memoryMegabytes: z.number(),
    configurationVersion: z.number(),
    isUsable: z.boolean(),
    unsettled: z.array(z.object({ orderId: z.string(), author: z.string(), epoch: z.number().int() }))
  }))
})

/** Encodes the state for a snapshot. The fields are listed explicitly because snapshots are compared as text, so the order of the fields matters. */
export function encodePlacementState (state: PlacementState): JsonValue {
  return {
    decisionEpoch: state.decisionEpoch,
    decisionSequence: state.decisionSequence,
    targets: [...state.targets.values()].map((entry) => ({
      target: entry.target,
      incarnation: entry.incarnation,
      address: entry.address,
      role: entry.role,
      dataCentre: entry.dataCentre,
      fencing: entry.fencing,
      memoryMegabytes: entry.memoryMegabytes
    })),
    reservations: [...state.reservations.values()].map((entry) => ({
      reservationId: entry.reservationId,
      lastOrderId: entry.lastOrderId,
      target: entry.target,
      model: entry.model,
      baseModel: entry.baseModel,
      memoryMegabytes: entry.memoryMegabytes,
      configurationVersion: entry.configurationVersion,
      isUsable: entry.isUsable,
      unsettled: entry.unsettled.map(({ orderId, author, epoch }) => ({ orderId, author, epoch }))
    }))
  }
}

export function decodePlacementState (encoded: JsonValue): PlacementState {
  const { decisionEpoch, decisionSequence, targets, reservations } = encodedState.parse(encoded)
  return {
    decisionEpoch,
    decisionSequence,
    targets: new Map(targets.map((entry) => [entry.target, entry])),
    reservations: new Map(reservations.map((entry) => [reservationKey(entry.target, entry.model), entry]))
  }
}
