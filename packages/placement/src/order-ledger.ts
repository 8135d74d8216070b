import type { SettlementFields } from './records.js'
import { unsettledOrderIds, type PlacementState } from './state.js'

/**
 * State of an order that this process created. `open`: the intent may be in the stream, and the order
 * may have been sent. `ended`: the target returned an outcome, or the order was not sent and never
 * will be. `unknown`: the order may have been sent, and its outcome was not received.
 */
export type OwnOrder =
  | { readonly kind: 'open', readonly epoch: number, readonly sequence: number }
  | { readonly kind: 'unknown', readonly epoch: number, readonly sequence: number }
  | { readonly kind: 'ended', readonly epoch: number, readonly sequence: number, readonly outcome: SettlementFields['outcome'] }

export interface OwnSettlement extends SettlementFields {
  readonly epoch: number
}

export interface OrderLedger {
  /** Adds an order before its intent is written. */
  readonly open: (orderId: string, epoch: number, sequence: number) => void
  /** Marks an order as ended with the given outcome. */
  readonly end: (orderId: string, outcome: SettlementFields['outcome']) => void
  /** Marks an order whose outcome was not received. */
  readonly markUnknown: (orderId: string) => void
  /** Ended orders that are still unsettled in the placement state. */
  readonly settleable: (state: PlacementState) => readonly OwnSettlement[]
  /** Deletes orders that are not unsettled in the placement state and whose intents the fold can no longer accept. */
  readonly prune: (state: PlacementState, epoch: number) => void
  readonly size: () => number
}

/**
 * Creates the ledger of the orders that this process created. It is kept when the lease is lost: a
 * former holder still settles its orders that ended or were never sent.
 *
 * @example
 * const ledger = createOrderLedger()
 * ledger.open('placement.bc-coast.4.1', 4, 1)
 */
export function createOrderLedger (): OrderLedger {
  const orders = new Map<string, OwnOrder>()
  const update = (orderId: string, change: (order: OwnOrder) => OwnOrder): void => {
    const order = orders.get(orderId)
    if (order !== undefined) orders.set(orderId, change(order))
  }
  return {
    open: (orderId, epoch, sequence) => { orders.set(orderId, { kind: 'open', epoch, sequence }) },
    end: (orderId, outcome) => update(orderId, ({ epoch, sequence }) => ({ kind: 'ended', epoch, sequence, outcome })),
    markUnknown: (orderId) => update(orderId, ({ epoch, sequence }) => ({ kind: 'unknown', epoch, sequence })),
    settleable: (state) => {
      if (orders.size === 0) return []
      const unsettled = unsettledOrderIds(state)
      return [...orders].flatMap(([orderId, order]) =>
        order.kind === 'ended' && unsettled.has(orderId) ? [{ orderId, outcome: order.outcome, epoch: order.epoch }] : [])
    },
    prune: (state, epoch) => {
      if (orders.size === 0) return
      const unsettled = unsettledOrderIds(state)
      for (const [orderId, order] of orders) {
        const isIntentDecided = epoch > order.epoch || (state.decisionEpoch === order.epoch && state.decisionSequence >= order.sequence)
        if (order.kind !== 'open' && isIntentDecided && !unsettled.has(orderId)) orders.delete(orderId)
      }
    },
    size: () => orders.size
  }
}
