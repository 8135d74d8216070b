import type { Clock } from '@fuchsiastage/clock'
import type { KeepWarmPolicy } from '@fuchsiastage/keep-warm'
import type { LeasedStream } from '@fuchsiastage/leased-stream'
import type { Logger } from '@fuchsiastage/logger'
import type { EngineState } from '@fuchsiastage/types'
import { createDecisionWriter, withTimeout, type PlacementContext } from './context.js'
import { createDecisions } from './decisions.js'
import { createReplicaDirectory, type ReplicaDirectory } from './directory.js'
import type {
  PlacementConfiguration, PlacementEngineClient, PlacementSettings, PlacementTarget, PlacementUsage, WantReplicaAnswer, WantReplicaRequest
} from './interfaces.js'
import { createOrderLedger } from './order-ledger.js'
import { createOutageRepeater } from './outage-repeater.js'
import { createPairOperationTracker } from './pair-operations.js'
import { RECORD_KINDS } from './records.js'
import { createReplicaOperations } from './replica-operations.js'
import type { PlacementState } from './state.js'
import { subjectOf } from './subject.js'
import { createTargetReader } from './target-reader.js'
import { createUsageTracker } from './usage.js'

export interface PlacementControllerOptions {
  /** Stream created with `foldPlacement`. The controller neither starts nor stops it. */
  readonly leased: LeasedStream<PlacementState>
  readonly engineClient: PlacementEngineClient
  readonly configuration: () => PlacementConfiguration
  /** Engines of this region by name; empty until a VM list has been read. */
  readonly targets: () => ReadonlyMap<string, PlacementTarget>
  readonly keepWarm: KeepWarmPolicy
  readonly clock: Clock
  readonly logger: Logger
  readonly settings: PlacementSettings
}

export interface PlacementController {
  readonly start: () => void
  /** Stops making decisions and waits for running operations. Orders without an outcome are left to the next lease holder. */
  readonly stop: () => Promise<void>
  /** Requests a replica. A daemon that does not hold the lease refuses with `not-holder`. */
  readonly wantReplica: (request: WantReplicaRequest) => WantReplicaAnswer
  /** Records the usage report of a daemon. */
  readonly reportUsage: (usage: PlacementUsage) => void
  /** Handles a change of a target that an observer reports: stores the engine state, if given, as a hint and schedules a read of the target. */
  readonly targetChanged: (target: string, engine?: EngineState) => void
  readonly directory: ReplicaDirectory
  readonly status: () => PlacementStatus
}

export interface PlacementStatus {
  /** Epoch under which this daemon makes placement decisions, or undefined. */
  readonly epoch: number | undefined
  /** Number of models and adapters in the load queue. */
  readonly queued: number
  /** Number of running loads and removals. */
  readonly operations: number
  /** Number of orders of this daemon that are not settled yet. */
  readonly ownOrders: number
}

/** Retry time returned by a daemon that may not make placement decisions. */
const NOT_HOLDER_RETRY_MILLISECONDS = 3_000

/**
 * Creates the controller that decides which models are loaded on which targets. Every daemon runs
 * one. Only the controller of the lease holder makes decisions. A former holder still settles its own
 * orders. During a log outage, the last holder also reloads the models of restarted targets.
 *
 * @example
 * const placement = createPlacementController({ leased, engineClient, configuration, targets, keepWarm, clock, logger, settings })
 * placement.start()
 */
export function createPlacementController (options: PlacementControllerOptions): PlacementController {
  const { leased, clock, settings, keepWarm } = options
  // Epochs are numbered separately for each stream, so every log line names the stream.
  const logger = options.logger.child({ stream: leased.stream })
  const stopping = new AbortController()
  const state = (): PlacementState => leased.follower.view().state.payload
  let electedAt = clock.now()
  let actingEpoch: number | undefined
  let lastEpoch: number | undefined
  let lastReviewAt = -Infinity
  let passLoop: Promise<void> | undefined

  const context: PlacementContext = {
    ...options,
    logger,
    stopping: stopping.signal,
    state,
    decidingEpoch: () => !stopping.signal.aborted && options.configuration().isFresh ? leased.currentEpoch() : undefined,
    decisions: createDecisionWriter({ clock, leased, settings, stopping: stopping.signal })
  }
  const pairs = createPairOperationTracker(clock.now, settings.cooldownMilliseconds, (reason) =>
    logger.error('load or removal of a replica failed with an unexpected error', { event: 'placement-operation-failed', reason: String(reason) }))
  const ledger = createOrderLedger()
  const usage = createUsageTracker(keepWarm, clock.now, (name) => options.configuration().adapters.get(name)?.model)
  const reader = createTargetReader(context, pairs.lastOperationNumber)

  const settlements = new Map<string, Promise<void>>()
  const settleOrder = async (orderId: string, epoch: number, outcome: string): Promise<void> => {
    await withTimeout(context, settings.appendTimeoutMilliseconds, (signal) =>
      leased.appendAsFormerHolder(epoch, RECORD_KINDS.settlement, { orderId, outcome }, signal))
    settlements.delete(orderId)
  }
  /** Settles the ended orders of this daemon, whether or not it still holds the lease. */
  const settleOwnOrders = async (): Promise<void> => {
    for (const { orderId, epoch, outcome } of ledger.settleable(state())) {
      if (!settlements.has(orderId)) settlements.set(orderId, settleOrder(orderId, epoch, outcome))
    }
    ledger.prune(state(), leased.follower.view().state.lease.epoch)
    await Promise.all(settlements.values())
  }

  /**
   * Last epoch of this daemon during a log outage, otherwise undefined. An outage is assumed if this
   * daemon cannot confirm its lease while the local fold still shows its epoch as the current one.
   * Also undefined if the configuration is not fresh.
   */
  const outageEpoch = (): number | undefined => {
    const { lease } = leased.follower.view().state
    const isOutage = leased.currentEpoch() === undefined && lease.epoch === lastEpoch && lease.holder !== undefined
    return isOutage && options.configuration().isFresh && !stopping.signal.aborted ? lastEpoch : undefined
  }
  const outageRepeater = createOutageRepeater(context, pairs, outageEpoch)
  const operations = createReplicaOperations(context, reader, ledger, settleOwnOrders, outageRepeater.hasPendingRepeat)

  const { scheduler, keeper } = createDecisions({ context, pairs, reader, operations, usage, policy: keepWarm, electedAt: () => electedAt })

  /** Stores the epoch under which this daemon makes decisions. If the epoch is new, clears the load queue and restarts reconciliation. */
  const updateEpoch = (epoch: number | undefined): void => {
    actingEpoch = epoch
    // The queue is kept if decisions are only interrupted within one epoch, for example while the log is unreachable.
    if (epoch === undefined || epoch === lastEpoch) return
    lastEpoch = epoch
    scheduler.clear()
    electedAt = clock.now()
    keeper.reset()
    logger.info('this daemon took over placement decisions', { event: 'placement-taken-over', epoch, reservations: state().reservations.size })
  }

  const runPass = (): void => {
    const epoch = context.decidingEpoch()
    updateEpoch(epoch)
    void settleOwnOrders()
    if (epoch === undefined) {
      const lastHeldEpoch = outageEpoch()
      if (lastHeldEpoch !== undefined) outageRepeater.checkTargets(lastHeldEpoch)
      return
    }
    keeper.reconcile(epoch)
    if (clock.now() - lastReviewAt >= settings.reviewMilliseconds) {
      lastReviewAt = clock.now()
      keeper.review(epoch)
    }
    scheduler.schedule(epoch)
  }

  const runPassLoop = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      try {
        runPass()
      } catch (reason) {
        logger.error('placement pass failed; retrying at the next interval', { event: 'placement-pass-failed', reason: String(reason) })
      }
      await clock.sleep(settings.scheduleMilliseconds, stopping.signal)
    }
  }

  const wantReplica = (request: WantReplicaRequest): WantReplicaAnswer => {
    const epoch = context.decidingEpoch()
    const name = request.adapter ?? request.model
    if (epoch === undefined) {
      const code = leased.currentEpoch() === undefined ? 'not-holder' : 'configuration-unverified'
      return { kind: 'refused', code, retryAfterMilliseconds: NOT_HOLDER_RETRY_MILLISECONDS }
    }
    updateEpoch(epoch)
    // Names without a placement rule are not recorded: callers choose them, so their number is unbounded.
    if (subjectOf(options.configuration(), name) !== undefined) usage.recordRequest(name)
    return scheduler.requestReplica(epoch, request)
  }

  return {
    start: () => { passLoop ??= runPassLoop() },
    stop: async () => {
      stopping.abort()
      await Promise.all([passLoop, pairs.idle(), keeper.idle(), ...settlements.values()])
    },
    wantReplica,
    reportUsage: usage.report,
    targetChanged: (target, engine) => {
      if (engine !== undefined) reader.updateHint(target, engine)
      keeper.markChanged(target)
    },
    directory: createReplicaDirectory(state),
    status: () => ({ epoch: actingEpoch, queued: scheduler.queueLength(), operations: pairs.busyCount(), ownOrders: ledger.size() })
  }
}
