import { assertNever, type EngineState, type LoadOrder, type OrderOutcome, type UnloadOrder, type WeightsLocation } from '@fuchsiastage/types'
import { withTimeout, type PlacementContext } from './context.js'
import type { PlacementTarget } from './interfaces.js'
import type { OrderLedger } from './order-ledger.js'
import { drainedReplicaObservation } from './reconciliation.js'
import { RECORD_KINDS, type SettlementFields } from './records.js'
import { isSettled, reservationKey, reservationsOn, unsettledOrderIds, type Reservation } from './state.js'
import { isPermitted, subjectOf, type Subject } from './subject.js'
import { roleOf, type TargetReader } from './target-reader.js'

export interface LoadJob {
  readonly subject: Subject
  readonly target: PlacementTarget
  readonly location: WeightsLocation
}

/** Result of a load. `refused`: the intent was not accepted, the order was not sent, or the target refused it. `unknown`: the outcome was not received. */
export type LoadResult = 'loaded' | 'failed' | 'unknown' | 'refused'

export interface ReplicaOperations {
  /** Writes the intent, sends the load order and waits for its outcome. */
  readonly load: (epoch: number, job: LoadJob) => Promise<LoadResult>
  /** Unloads the replica and releases its reservation if it is settled. Resolves to true if the reservation no longer exists. */
  readonly remove: (epoch: number, reservation: Reservation, target: PlacementTarget, reason: string) => Promise<boolean>
  /** Stops waiting for the outcomes of load orders that are no longer unsettled in the placement state. */
  readonly abortSettledWaits: () => void
}

/** Maximum number of read and unload rounds before a removal is left to a later review. */
const MAXIMUM_REMOVAL_ROUNDS = 8

/** Interval between two reads of a target that is unloading the model. */
const UNLOAD_POLL_MILLISECONDS = 500

/**
 * Creates the operations that load and unload replicas. A load writes its intent, waits until the
 * local fold has accepted it, and only then sends the order. A removal ends routing, unloads the model
 * and writes the release only after a read has shown the model as not loaded (design document,
 * section 8.1).
 *
 * @example
 * const operations = createReplicaOperations(context, reader, ledger, settleOwnOrders, outageRepeater.hasPendingRepeat)
 */
export function createReplicaOperations (
  context: PlacementContext,
  reader: TargetReader,
  ledger: OrderLedger,
  settleOwnOrders: () => Promise<void>,
  /** Whether a repeated order without an intent may still take effect on the pair of target and model. */
  hasPendingRepeat: (target: string, model: string, engine: EngineState) => boolean
): ReplicaOperations {
  const { clock, decisions, engineClient, leased, logger, settings } = context
  const outcomeWaits = new Map<string, AbortController>()
  let unloadCount = 0

  const findReservation = (target: string, model: string): Reservation | undefined =>
    context.state().reservations.get(reservationKey(target, model))
  const isUnsettled = (target: string, model: string, orderId: string): boolean =>
    findReservation(target, model)?.unsettled.some((order) => order.orderId === orderId) === true

  const send = (target: PlacementTarget, incarnation: string, order: LoadOrder | UnloadOrder): Promise<OrderOutcome> => {
    const wait = new AbortController()
    outcomeWaits.set(order.orderId, wait)
    return withTimeout(context, settings.orderTimeoutMilliseconds, (signal) =>
      engineClient.sendOrder({ ...target, incarnation }, order, AbortSignal.any([signal, wait.signal])))
      .catch((reason: unknown): OrderOutcome => ({ kind: 'unknown', reason: String(reason) }))
      .finally(() => outcomeWaits.delete(order.orderId))
  }

  /** Writes the intent and returns the load order if the local fold has accepted the intent, otherwise undefined. */
  const writeIntent = async (epoch: number, job: LoadJob, incarnation: string): Promise<LoadOrder | undefined> => {
    const { target } = job
    let order: LoadOrder | undefined
    const isApplied = await decisions.write(epoch, RECORD_KINDS.intent, (sequence) => {
      const configuration = context.configuration()
      const subject = subjectOf(configuration, job.subject.name) ?? { ...job.subject, maximumReplicas: 0 }
      const orderId = `${leased.stream}.${epoch}.${sequence}`
      ledger.open(orderId, epoch, sequence)
      order = {
        kind: 'load',
        orderId,
        fencingToken: epoch,
        model: subject.name,
        ...(subject.baseModel === null ? {} : { baseModel: subject.baseModel }),
        memoryMegabytes: subject.memoryMegabytes,
        weightsMegabytes: subject.weightsMegabytes
      }
      return {
        orderId,
        target: target.name,
        targetIncarnation: incarnation,
        model: subject.name,
        baseModel: subject.baseModel,
        memoryMegabytes: subject.memoryMegabytes,
        replicaLimit: isPermitted(subject, target) ? subject.maximumReplicas : 0,
        configurationVersion: configuration.version
      }
    })
    if (order === undefined) return undefined
    // The order may be sent only if the local fold has processed the intent and lists the order as unsettled.
    if (isApplied && isUnsettled(target.name, order.model, order.orderId)) return order
    logger.warn('load intent was not accepted; the load order is not sent', { event: 'intent-rejected', peer: target.name, epoch, model: order.model, orderId: order.orderId, applied: isApplied })
    ledger.end(order.orderId, 'not-executed')
    return undefined
  }

  /** Final check before the order is sent: the lease, the rule and the target must still permit it. */
  const maySend = (epoch: number, job: LoadJob): boolean => {
    const subject = subjectOf(context.configuration(), job.subject.name)
    return context.decidingEpoch() === epoch && subject !== undefined && isPermitted(subject, job.target) &&
      context.targets().get(job.target.name)?.state === 'live'
  }

  const load = async (epoch: number, job: LoadJob): Promise<LoadResult> => {
    const { target } = job
    const reading = await reader.reconcile(epoch, target, true)
    const incarnation = reading?.engine.incarnation
    if (incarnation === undefined || reading?.engine.state !== 'live') return 'refused'
    const order = await writeIntent(epoch, job, incarnation)
    if (order === undefined) {
      await settleOwnOrders()
      return 'refused'
    }
    if (!maySend(epoch, job)) {
      ledger.end(order.orderId, 'not-executed')
      await settleOwnOrders()
      return 'refused'
    }
    logger.info('sending load order', { event: 'load-sent', peer: target.name, epoch, model: order.model, orderId: order.orderId })
    const outcome = await send(target, incarnation, order)
    logger.info('load order ended', { event: 'load-ended', peer: target.name, epoch, model: order.model, orderId: order.orderId, outcome: outcome.kind })
    const ended = settlementOf(outcome)
    if (ended === undefined) ledger.markUnknown(order.orderId)
    else ledger.end(order.orderId, ended)
    await settleOwnOrders()
    if (ended === undefined) return findReservation(target.name, order.model)?.isUsable === true ? 'loaded' : 'unknown'
    return ended === 'not-executed' ? 'refused' : ended
  }

  const drain = async (epoch: number, reservation: Reservation): Promise<boolean> => {
    const fields = drainedReplicaObservation(context.state(), reservation)
    if (fields === undefined) return true
    if (!await decisions.write(epoch, RECORD_KINDS.observed, () => fields)) return false
    await clock.sleep(settings.drainMilliseconds, context.stopping)
    return true
  }

  const unload = async (epoch: number, target: PlacementTarget, incarnation: string, model: string): Promise<void> => {
    if (context.decidingEpoch() !== epoch) return
    const orderId = `${leased.stream}.${epoch}.unload-${++unloadCount}`
    const outcome = await send(target, incarnation, { kind: 'unload', orderId, fencingToken: epoch, model })
    logger.info('unload order ended', { event: 'unload-ended', peer: target.name, epoch, model, orderId, outcome: outcome.kind })
  }

  const release = async (epoch: number, reservation: Reservation, fencingToken: number): Promise<boolean> => {
    const { target, model, reservationId, lastOrderId } = reservation
    await decisions.write(epoch, RECORD_KINDS.release, () => ({ target, model, reservationId, lastOrderId, fencingToken }))
    const isReleased = findReservation(target, model)?.reservationId !== reservationId
    if (isReleased) logger.info('reservation released', { event: 'reservation-released', peer: target, epoch, model })
    return isReleased
  }

  const remove = async (epoch: number, removed: Reservation, target: PlacementTarget, reason: string): Promise<boolean> => {
    const { model } = removed
    if (reservationsOn(context.state(), target.name).some(({ baseModel }) => baseModel === model)) return false
    logger.info('removing replica', { event: 'replica-removal', peer: target.name, epoch, model, reason })
    if (!await drain(epoch, removed)) return false
    for (let round = 0; round < MAXIMUM_REMOVAL_ROUNDS && context.decidingEpoch() === epoch; round++) {
      const reading = await reader.reconcile(epoch, target)
      // Uses the reservation from before the read: the read shows nothing about orders added since.
      const reservation = reading?.before.reservations.get(reservationKey(target.name, model))
      if (reading === undefined || reservation?.reservationId !== removed.reservationId) return reservation === undefined && reading !== undefined
      const reported = reading.engine.models.find((candidate) => candidate.model === model)
      const mustRaiseToken = roleOf(context, target)?.fencing === 'checked' && reading.engine.fencingToken < epoch
      // A load in progress is not interrupted; a later review removes the replica.
      if (reported?.state === 'loading') return false
      if (reported?.state === 'loaded' && reason === 'not-loaded') return false
      if (reported?.state === 'loaded' || mustRaiseToken) await unload(epoch, target, reading.engine.incarnation, model)
      else if (reported !== undefined) await clock.sleep(UNLOAD_POLL_MILLISECONDS, context.stopping)
      else return isSettled(reservation) && !hasPendingRepeat(target.name, model, reading.engine) && await release(epoch, reservation, reading.engine.fencingToken)
    }
    return false
  }

  return {
    load,
    remove,
    abortSettledWaits: () => {
      const unsettled = unsettledOrderIds(context.state())
      for (const [orderId, wait] of outcomeWaits) if (!orderId.includes('.unload-') && !unsettled.has(orderId)) wait.abort()
    }
  }
}

function settlementOf (outcome: OrderOutcome): SettlementFields['outcome'] | undefined {
  switch (outcome.kind) {
    case 'done': return 'loaded'
    case 'failed': return 'failed'
    case 'refused-token':
    case 'not-sent': return 'not-executed'
    case 'unknown': return undefined
    default: return assertNever(outcome)
  }
}
