import type { EngineState, LoadOrder, Milliseconds, OrderOutcome } from '@fuchsiastage/types'
import { withTimeout, type PlacementContext } from './context.js'
import type { PlacementTarget } from './interfaces.js'
import type { PairOperationTracker } from './pair-operations.js'
import { reservationKey, reservationsOn, type Reservation } from './state.js'
import { isPermitted, matchesDefinition, subjectOf } from './subject.js'

export interface OutageRepeater {
  /** Starts a read of each target that is due and reloads models on restarted ones. `epoch` is the last epoch that this daemon held before the log outage. */
  readonly checkTargets: (epoch: number) => void
  /** Whether a repeated order, which has no intent of its own, may still take effect, given the state that the target just reported. */
  readonly hasPendingRepeat: (target: string, model: string, engine: EngineState) => boolean
}

interface PendingRepeat {
  readonly orderId: string
  readonly incarnation: string
  readonly epoch: number
}

/**
 * Creates the component that reloads a replica within its reservation if its target restarts during
 * a log outage. No intent can be written then, and another holder may have released the reservation
 * without this daemon seeing the record. The load order is therefore repeated only if the restarted
 * target checks fencing tokens and still reports this daemon's epoch as its token: a new holder raises
 * the token before it releases a reservation. No order is sent to a target that lost its token in the
 * restart.
 *
 * @example
 * const outageRepeater = createOutageRepeater(context, pairs, () => epoch)
 */
export function createOutageRepeater (
  context: PlacementContext,
  pairs: PairOperationTracker,
  /** Last epoch that this daemon held before the log outage, or undefined if there is no outage. */
  outageEpoch: () => number | undefined
): OutageRepeater {
  const { clock, engineClient, logger, settings } = context
  const pendingRepeats = new Map<string, PendingRepeat>()
  const lastReadTimes = new Map<string, Milliseconds>()
  let repeatCount = 0

  const repeat = async (epoch: number, target: PlacementTarget, incarnation: string, reservation: Reservation): Promise<boolean> => {
    const subject = subjectOf(context.configuration(), reservation.model)
    if (outageEpoch() !== epoch || subject === undefined || !isPermitted(subject, target) || !matchesDefinition(subject, reservation)) return false
    // The id starts with the id of the repeated order, which its intent in the log contains.
    const orderId = `${reservation.lastOrderId}.repeat-${++repeatCount}`
    const order: LoadOrder = {
      kind: 'load', orderId, fencingToken: epoch, model: subject.name, memoryMegabytes: subject.memoryMegabytes, weightsMegabytes: subject.weightsMegabytes
    }
    const key = reservationKey(target.name, reservation.model)
    pendingRepeats.set(key, { orderId, incarnation, epoch })
    logger.info('target restarted during a log outage; repeating the load order without an intent', { event: 'load-repeated', peer: target.name, epoch, model: subject.name, orderId })
    const outcome = await withTimeout(context, settings.orderTimeoutMilliseconds, (signal) => engineClient.sendOrder({ ...target, incarnation }, order, signal))
      .catch((reason: unknown): OrderOutcome => ({ kind: 'unknown', reason: String(reason) }))
    if (outcome.kind !== 'unknown') pendingRepeats.delete(key)
    return outcome.kind === 'done'
  }

  const checkRestart = async (epoch: number, target: PlacementTarget): Promise<void> => {
    const before = context.state()
    const known = before.targets.get(target.name)
    const result = await withTimeout(context, settings.readTimeoutMilliseconds, (signal) => engineClient.readState(target, signal))
    if (result.isErr || known === undefined) return
    const engine = result.value
    if (engine.incarnation === known.incarnation || engine.fencingToken !== epoch || engine.state !== 'live') return
    for (const reservation of reservationsOn(before, target.name)) {
      const { model } = reservation
      const isMissing = reservation.isUsable && reservation.baseModel === null && engine.models.every((reported) => reported.model !== model)
      if (!isMissing || pairs.isInCooldown('load', target.name, model) || hasPendingRepeat(target.name, model, engine)) continue
      pairs.run('load', target.name, model, () => repeat(epoch, target, engine.incarnation, reservation))
    }
  }

  const hasPendingRepeat = (target: string, model: string, engine: EngineState): boolean => {
    const key = reservationKey(target, model)
    const pendingRepeat = pendingRepeats.get(key)
    if (pendingRepeat === undefined) return false
    const hasEnded = pendingRepeat.incarnation !== engine.incarnation || engine.executedOrders.includes(pendingRepeat.orderId) || engine.fencingToken > pendingRepeat.epoch
    if (hasEnded) pendingRepeats.delete(key)
    return !hasEnded
  }

  return {
    checkTargets: (epoch) => {
      const now = clock.now()
      for (const { target: name, fencing } of context.state().targets.values()) {
        const target = context.targets().get(name)
        if (fencing !== 'checked' || target?.state !== 'live' || now - (lastReadTimes.get(name) ?? -Infinity) < settings.reconcileMilliseconds) continue
        lastReadTimes.set(name, now)
        void checkRestart(epoch, target).catch((reason: unknown) => logger.error('could not check a target for a restart during a log outage', { event: 'reconcile-failed', peer: name, epoch, reason: String(reason) }))
      }
      for (const name of lastReadTimes.keys()) if (!context.state().targets.has(name)) lastReadTimes.delete(name)
    },
    hasPendingRepeat
  }
}
