import type { EngineState, LoadOrder, Milliseconds, OrderOutcome } from '@fuchsiastage/types'
import { withTimeout, type PlacementContext } from './context.js'
import type { PlacementTarget } from './interfaces.js'
import type { PairTable } from './pairs.js'
import { reservationKey, reservationsOn, type Reservation } from './state.js'
import { isPermitted, isSameDefinition, subjectOf } from './subject.js'

export interface OutageRepeater {
  /** Looks for restarted targets; the epoch is the one that this daemon held when the log stopped to answer. */
  readonly step: (epoch: number) => void
  /** Whether an order without an intent may still have an effect on the pair, judged by a fresh read. */
  readonly isPending: (target: string, model: string, engine: EngineState) => boolean
}

interface PendingRepeat {
  readonly orderId: string
  readonly incarnation: string
  readonly epoch: number
}

/**
 * Creates the part that loads a replica again within its reservation while the log is down and its
 * target has restarted. No intent can be written then, so another holder may have released the
 * reservation unnoticed. The repeat is therefore sent only if the restarted target checks tokens and
 * still shows this daemon's epoch as its token: a successor raises the token before it releases, and
 * a target that forgets its token in a restart is left alone.
 *
 * @example
 * const outage = createOutageRepeater(context, pairs, () => epoch)
 */
export function createOutageRepeater (
  context: PlacementContext,
  pairs: PairTable,
  /** Epoch that this daemon held when the log stopped to answer, or undefined when there is no outage. */
  outageEpoch: () => number | undefined
): OutageRepeater {
  const { clock, engineClient, logger, settings } = context
  const pending = new Map<string, PendingRepeat>()
  const tried = new Map<string, Milliseconds>()
  let repeatCount = 0

  const repeat = async (epoch: number, target: PlacementTarget, incarnation: string, reservation: Reservation): Promise<boolean> => {
    const subject = subjectOf(context.configuration(), reservation.model)
    if (outageEpoch() !== epoch || subject === undefined || !isPermitted(subject, target) || !isSameDefinition(subject, reservation)) return false
    // The id names the intent that the order repeats.
    const orderId = `${reservation.lastOrderId}.repeat-${++repeatCount}`
    const order: LoadOrder = {
      kind: 'load', orderId, fencingToken: epoch, model: subject.name, memoryMegabytes: subject.memoryMegabytes, weightsMegabytes: subject.weightsMegabytes
    }
    const key = reservationKey(target.name, reservation.model)
    pending.set(key, { orderId, incarnation, epoch })
    logger.info('load order repeated without an intent while the log is down', { event: 'load-repeated', peer: target.name, epoch, model: subject.name, orderId })
    const outcome = await withTimeout(context, settings.orderTimeoutMilliseconds, (signal) => engineClient.sendOrder({ ...target, incarnation }, order, signal))
      .catch((reason: unknown): OrderOutcome => ({ kind: 'unknown', reason: String(reason) }))
    if (outcome.kind !== 'unknown') pending.delete(key)
    return outcome.kind === 'done'
  }

  const inspect = async (epoch: number, target: PlacementTarget): Promise<void> => {
    const before = context.state()
    const known = before.targets.get(target.name)
    const result = await withTimeout(context, settings.readTimeoutMilliseconds, (signal) => engineClient.readState(target, signal))
    if (result.isErr || known === undefined) return
    const engine = result.value
    if (engine.incarnation === known.incarnation || engine.fencingToken !== epoch || engine.state !== 'live') return
    for (const reservation of reservationsOn(before, target.name)) {
      const { model } = reservation
      const isLost = reservation.isUsable && reservation.baseModel === null && engine.models.every((shown) => shown.model !== model)
      if (!isLost || pairs.isCooling('load', target.name, model) || hasPending(target.name, model, engine)) continue
      pairs.run('load', target.name, model, () => repeat(epoch, target, engine.incarnation, reservation))
    }
  }

  const hasPending = (target: string, model: string, engine: EngineState): boolean => {
    const key = reservationKey(target, model)
    const order = pending.get(key)
    if (order === undefined) return false
    const hasEnded = order.incarnation !== engine.incarnation || engine.executedOrders.includes(order.orderId) || engine.fencingToken > order.epoch
    if (hasEnded) pending.delete(key)
    return !hasEnded
  }

  return {
    step: (epoch) => {
      const now = clock.now()
      for (const { target: name, fencing } of context.state().targets.values()) {
        const target = context.targets().get(name)
        if (fencing !== 'checked' || target?.state !== 'live' || now - (tried.get(name) ?? -Infinity) < settings.reconcileMilliseconds) continue
        tried.set(name, now)
        void inspect(epoch, target).catch((reason: unknown) => logger.error('a target could not be read during a log outage', { event: 'reconcile-failed', peer: name, epoch, reason: String(reason) }))
      }
      for (const name of tried.keys()) if (!context.state().targets.has(name)) tried.delete(name)
    },
    isPending: hasPending
  }
}
