import type { EpochRecord, PayloadFold, AuthorStatus } from '@fuchsiastage/leased-stream'
import {
  intentRecord, observedRecord, RECORD_KINDS, releaseRecord, settlementRecord, type IntentFields, type ObservedFields, type ReleaseFields, type SettlementFields
} from './records.js'
import {
  changeReservations, decodePlacementState, EMPTY_PLACEMENT_STATE, encodePlacementState, isSettled, reservationKey, reservationsOf, reservationsOn, reservedMegabytes, type PlacementState, type Reservation
} from './state.js'

const FORMAT_VERSION = 1

/**
 * Fold of the payload records of the stream `placement.<region>`.
 *
 * @example
 * const leased = createLeasedStream({ stream: 'placement.bc-coast', fold: foldPlacement, ...rest })
 */
export const foldPlacement: PayloadFold<PlacementState> = {
  formatVersion: FORMAT_VERSION,
  empty: () => EMPTY_PLACEMENT_STATE,
  apply: applyRecord,
  encode: encodePlacementState,
  decode: decodePlacementState
}

function applyRecord (state: PlacementState, record: EpochRecord, _offset: number, authorStatus: AuthorStatus): PlacementState {
  if (record.kind === RECORD_KINDS.settlement) {
    const parsed = settlementRecord.safeParse(record)
    return parsed.success ? applySettlement(state, record, parsed.data, authorStatus) : state
  }
  // Decisions of a former holder are ignored; it may only settle its own orders.
  if (authorStatus !== 'current') return state
  const sequence = Number(record.sequence)
  const isDuplicate = record.epoch === state.decisionEpoch && sequence <= state.decisionSequence
  if (isDuplicate || !Number.isSafeInteger(sequence)) return state
  // The sequence advances past a rejected record too. Otherwise a duplicate that arrives late could
  // be accepted after its author has read that the record was rejected.
  return applyDecision({ ...state, decisionEpoch: record.epoch, decisionSequence: sequence }, record)
}

function applyDecision (state: PlacementState, record: EpochRecord): PlacementState {
  switch (record.kind) {
    case RECORD_KINDS.intent: {
      const parsed = intentRecord.safeParse(record)
      return parsed.success ? applyIntent(state, record, parsed.data) : state
    }
    case RECORD_KINDS.release: {
      const parsed = releaseRecord.safeParse(record)
      return parsed.success ? applyRelease(state, record, parsed.data) : state
    }
    case RECORD_KINDS.observed: {
      const parsed = observedRecord.safeParse(record)
      return parsed.success ? applyObserved(state, parsed.data) : state
    }
    default:
      return state
  }
}

function applyIntent (state: PlacementState, record: EpochRecord, intent: IntentFields): PlacementState {
  const reservation = reservationFor(state, record, intent)
  return reservation === undefined ? state : withReservation(state, reservation)
}

/** Returns the reservation that the intent creates, or the existing one with the order added. Returns undefined if the intent is invalid. */
function reservationFor (state: PlacementState, record: EpochRecord, intent: IntentFields): Reservation | undefined {
  const target = state.targets.get(intent.target)
  if (target === undefined || target.incarnation !== intent.targetIncarnation) return undefined
  const order = { orderId: intent.orderId, author: record.author, epoch: record.epoch }
  const replicaCount = reservationsOf(state, intent.model).length
  const existing = state.reservations.get(reservationKey(intent.target, intent.model))
  if (existing !== undefined) {
    if (existing.memoryMegabytes !== intent.memoryMegabytes || existing.baseModel !== intent.baseModel) return undefined
    if (replicaCount > intent.replicaLimit) return undefined
    // Without fencing, a load may be repeated only in a later epoch: an order from the same epoch may still arrive.
    if (target.fencing === 'ignored' && existing.unsettled.some(({ epoch }) => epoch === record.epoch)) return undefined
    return { ...existing, lastOrderId: intent.orderId, configurationVersion: intent.configurationVersion, unsettled: [...existing.unsettled, order] }
  }
  if (replicaCount + 1 > intent.replicaLimit) return undefined
  if (reservedMegabytes(state, intent.target) + intent.memoryMegabytes > target.memoryMegabytes) return undefined
  if (intent.baseModel !== null && !state.reservations.has(reservationKey(intent.target, intent.baseModel))) return undefined
  return {
    reservationId: intent.orderId,
    lastOrderId: intent.orderId,
    target: intent.target,
    model: intent.model,
    baseModel: intent.baseModel,
    memoryMegabytes: intent.memoryMegabytes,
    configurationVersion: intent.configurationVersion,
    isUsable: false,
    unsettled: [order]
  }
}

function applySettlement (state: PlacementState, record: EpochRecord, settlement: SettlementFields, authorStatus: AuthorStatus): PlacementState {
  for (const reservation of state.reservations.values()) {
    const order = reservation.unsettled.find(({ orderId }) => orderId === settlement.orderId)
    if (order === undefined) continue
    if (order.author !== record.author || order.epoch !== record.epoch) return state
    const remaining = reservation.unsettled.filter((other) => other !== order)
    // The outcome reported by a former holder may predate an unload by its successor, so it does not make the replica usable.
    if (authorStatus === 'former' || settlement.outcome !== 'loaded') return withReservation(state, { ...reservation, unsettled: remaining })
    const isFenced = state.targets.get(reservation.target)?.fencing === 'checked'
    const unsettled = isFenced ? remaining.filter(({ epoch }) => epoch >= order.epoch) : remaining
    return withReservation(state, { ...reservation, isUsable: true, unsettled })
  }
  return state
}

function applyRelease (state: PlacementState, record: EpochRecord, release: ReleaseFields): PlacementState {
  const key = reservationKey(release.target, release.model)
  const reservation = state.reservations.get(key)
  if (reservation === undefined || reservation.reservationId !== release.reservationId) return state
  if (reservation.lastOrderId !== release.lastOrderId || !isSettled(reservation)) return state
  const others = reservationsOn(state, release.target).filter((other) => other !== reservation)
  if (others.some(({ baseModel }) => baseModel === release.model)) return state
  // A target that checks fencing tokens must have received the token of the releasing epoch: from then
  // on it refuses the orders of every earlier holder.
  if (state.targets.get(release.target)?.fencing === 'checked' && release.fencingToken < record.epoch) return state
  const reservations = changeReservations(state, [{ target: release.target, model: release.model, reservation: undefined }])
  if (others.length > 0) return { ...state, reservations }
  const targets = new Map(state.targets)
  targets.delete(release.target)
  return { ...state, reservations, targets }
}

function applyObserved (state: PlacementState, observed: ObservedFields): PlacementState {
  const previous = state.targets.get(observed.target)
  if ((previous?.incarnation ?? null) !== observed.previousIncarnation) return state
  const targets = new Map(state.targets)
  const onTarget = reservationsOn(state, observed.target)
  if (observed.incarnation === null) {
    targets.delete(observed.target)
    return { ...state, targets, reservations: changeReservations(state, onTarget.map(({ target, model }) => ({ target, model, reservation: undefined }))) }
  }
  targets.set(observed.target, {
    target: observed.target,
    incarnation: observed.incarnation,
    address: observed.address,
    role: observed.role,
    dataCentre: observed.dataCentre,
    fencing: observed.fencing,
    memoryMegabytes: observed.memoryMegabytes
  })
  const hasRestarted = previous !== undefined && previous.incarnation !== observed.incarnation
  const reservations = changeReservations(state, onTarget.map((reservation) =>
    ({ target: reservation.target, model: reservation.model, reservation: observedReservation(reservation, observed, hasRestarted) })))
  return { ...state, targets, reservations }
}

/**
 * Applies an observation to a reservation. After a restart, orders to the previous incarnation can no
 * longer take effect, and only the models that the observation lists as usable are usable.
 */
function observedReservation (reservation: Reservation, observed: ObservedFields, hasRestarted: boolean): Reservation {
  const unsettled = hasRestarted ? [] : reservation.unsettled.filter(({ orderId }) => !observed.endedOrders.includes(orderId))
  const wasUsable = reservation.isUsable && !hasRestarted
  const isUsable = observed.usableModels.includes(reservation.model) ||
    (wasUsable && !observed.unusableModels.includes(reservation.model))
  return { ...reservation, unsettled, isUsable }
}

function withReservation (state: PlacementState, reservation: Reservation): PlacementState {
  return { ...state, reservations: changeReservations(state, [{ target: reservation.target, model: reservation.model, reservation }]) }
}
