import { randomUUID } from 'node:crypto'
import { linkSignals, type Clock } from '@fuchsiastage/clock'
import { appendConfirmed, createStreamFollower, SNAPSHOT_KIND, type LogService, type StreamFollower, type StreamRecord } from '@fuchsiastage/log-client'
import type { Logger } from '@fuchsiastage/logger'
import type { JsonValue, Milliseconds } from '@fuchsiastage/types'
import Emittery from 'emittery'
import { createLeasedFold, LEASE_KINDS, type LeasedState, type PayloadFold } from './leased-fold.js'

export interface LeaseTiming {
  /** Interval between renewals by the holder. */
  readonly renewMilliseconds: Milliseconds
  /** Time without a record of the holder after which the daemon of rank 0 tries to acquire the lease. */
  readonly lapseMilliseconds: Milliseconds
  /** Additional waiting time per rank, so that daemons do not try to acquire the lease simultaneously. */
  readonly rankDelayMilliseconds: Milliseconds
  /** Time without a confirmed record after which the holder itself stops making decisions. */
  readonly doubtMilliseconds: Milliseconds
  /** Number of records after which the holder appends a snapshot. */
  readonly snapshotEveryRecords: number
  /** Time after which the holder appends a snapshot even if there were fewer records; a quarter of the retention time. */
  readonly snapshotEveryMilliseconds: Milliseconds
}

export interface LeasedStreamOptions<Payload> {
  readonly stream: string
  readonly daemon: string
  readonly fold: PayloadFold<Payload>
  readonly logService: LogService
  readonly clock: Clock
  readonly logger: Logger
  readonly timing: LeaseTiming
  readonly pollMilliseconds: Milliseconds
  readonly retryMilliseconds: Milliseconds
  /** Newest record format that the configuration permits for writing. Default: the format of the fold. */
  readonly permittedFormat?: () => number
  /** Rank of this daemon among those that may acquire the lease, starting at 0; undefined if it may not. */
  readonly rank: () => number | undefined
}

/** Result of an append. `applied`: the local fold has processed the record; only its state shows whether the record was valid. `undecided`: the record may be in the stream or may still arrive there. */
export type LeasedAppendResult =
  | { readonly kind: 'applied'; readonly offset: number; readonly epoch: number }
  | { readonly kind: 'not-holder' }
  | { readonly kind: 'undecided' }

interface LeasedStreamEvents {
  acquired: { readonly epoch: number }
  lost: { readonly epoch: number }
}

export interface LeasedStream<Payload> {
  readonly stream: string
  readonly start: () => void
  readonly stop: () => Promise<void>
  readonly follower: StreamFollower<LeasedState<Payload>>
  readonly events: Emittery<LeasedStreamEvents>
  /** Epoch of the lease that this daemon holds, or undefined if it must not make decisions now. */
  readonly currentEpoch: () => number | undefined
  readonly holder: () => string | undefined
  /** Appends a payload record under the current epoch of this daemon and waits until the local fold has processed it. */
  readonly append: (kind: string, fields: Readonly<Record<string, JsonValue>>, signal: AbortSignal, recordId?: string) => Promise<LeasedAppendResult>
  /** Appends a record under an epoch of this daemon that may have ended. Useful only for records that the fold accepts from former holders. */
  readonly appendAsFormerHolder: (epoch: number, kind: string, fields: Readonly<Record<string, JsonValue>>, signal: AbortSignal, recordId?: string) => Promise<LeasedAppendResult>
  /** Gives up the lease; this daemon never tries to acquire it again. */
  readonly resign: (signal: AbortSignal) => Promise<void>
}

/**
 * Follows a leased stream and takes part in the election of its holder. Correctness depends only on
 * the fold, which accepts one holder per epoch. The timings only determine when a daemon tries to
 * acquire the lease and when a holder without confirmed records stops making decisions.
 *
 * @example
 * const placement = createLeasedStream({ stream: 'placement.bc-coast', daemon: 'entry-1', fold, rank: () => 0, ...rest })
 * placement.start()
 */
export function createLeasedStream<Payload> (options: LeasedStreamOptions<Payload>): LeasedStream<Payload> {
  const { stream, daemon, fold, logService, clock, logger, timing, retryMilliseconds } = options
  const events = new Emittery<LeasedStreamEvents>()
  const stopping = new AbortController()
  const follower = createStreamFollower({
    stream,
    fold: createLeasedFold(fold),
    logService,
    clock,
    logger,
    waitMilliseconds: options.pollMilliseconds,
    retryMilliseconds
  })

  let heldEpoch: number | undefined
  /** Time at which the newest confirmed record of the held epoch was sent. */
  let confirmedAt: Milliseconds = 0
  /** Local time at which the newest record of the current holder was read. */
  let holderLastSeenAt: Milliseconds = clock.now()
  let lastSeenEpoch = 0
  let lastSeenOffset = -1
  let hasResigned = false
  let recordsSinceSnapshot = 0
  let lastSnapshotAt: Milliseconds = clock.now()
  let isAcquiring = false

  const makeRecord = (kind: string, epoch: number, fields: Readonly<Record<string, JsonValue>>, recordId: string = randomUUID()): StreamRecord =>
    ({ ...fields, recordId, kind, formatVersion: Math.min(fold.formatVersion, options.permittedFormat?.() ?? fold.formatVersion), epoch, author: daemon })

  const loseLease = (): void => {
    if (heldEpoch === undefined) return
    const epoch = heldEpoch
    heldEpoch = undefined
    logger.warn('lease lost; this daemon no longer makes decisions on the stream', { event: 'lease-lost', stream, epoch })
    void events.emit('lost', { epoch })
  }

  const updateLeaseView = (): void => {
    const { lease } = follower.view().state
    if (lease.epoch !== lastSeenEpoch || lease.lastRecordOffset !== lastSeenOffset) {
      lastSeenEpoch = lease.epoch
      lastSeenOffset = lease.lastRecordOffset
      holderLastSeenAt = clock.now()
    }
    if (heldEpoch !== undefined && (lease.epoch !== heldEpoch || lease.holder !== daemon)) loseLease()
  }

  const appendRecord = async (record: StreamRecord, signal: AbortSignal): Promise<LeasedAppendResult> => {
    const sentAt = clock.now()
    const linked = linkSignals([signal, stopping.signal])
    const appended = await appendConfirmed({ logService, follower, clock, record, retryMilliseconds, signal: linked.signal })
    linked.release()
    if (appended.kind === 'undecided') return { kind: 'undecided' }
    const epoch = Number(record.epoch)
    if (epoch === heldEpoch && follower.view().state.lease.epoch === epoch) confirmedAt = Math.max(confirmedAt, sentAt)
    return { kind: 'applied', offset: appended.offset, epoch }
  }

  const tryAcquire = async (): Promise<void> => {
    const epoch = follower.view().state.lease.epoch + 1
    const record = makeRecord(LEASE_KINDS.acquire, epoch, {})
    const sentAt = clock.now()
    const timeout = new AbortController()
    const timer = clock.setTimer(timing.lapseMilliseconds, () => timeout.abort())
    const linked = linkSignals([timeout.signal, stopping.signal])
    await appendConfirmed({ logService, follower, clock, record, retryMilliseconds, signal: linked.signal })
    linked.release()
    timer.cancel()
    const { lease } = follower.view().state
    if (lease.epoch !== epoch || lease.acquireRecordId !== record.recordId || lease.holder !== daemon) return
    heldEpoch = epoch
    confirmedAt = sentAt
    lastSnapshotAt = clock.now()
    logger.info('lease acquired', { event: 'lease-acquired', stream, epoch })
    await events.emit('acquired', { epoch })
  }

  const acquireDelay = (): Milliseconds | undefined => {
    const rank = options.rank()
    if (rank === undefined || hasResigned) return undefined
    const { lease } = follower.view().state
    const lapseDelay = lease.epoch > 0 && lease.holder === undefined ? 0 : timing.lapseMilliseconds
    // If the stream never had a holder, the first acquire needs no waiting period.
    const baseDelay = lease.epoch === 0 ? 0 : lapseDelay
    return baseDelay + rank * timing.rankDelayMilliseconds
  }

  const mayAcquire = (): boolean => {
    const { status, verifiedAt } = follower.view()
    const delay = acquireDelay()
    if (status !== 'current' || verifiedAt === undefined || delay === undefined) return false
    // The time without a record is measured only up to the last successful read: while the stream
    // cannot be read, it may contain newer records of the holder.
    const lastContactAt = Math.max(holderLastSeenAt, 0)
    return verifiedAt - lastContactAt >= delay && clock.now() - verifiedAt < timing.doubtMilliseconds
  }

  const renew = async (epoch: number): Promise<void> => {
    const timeout = new AbortController()
    const timer = clock.setTimer(timing.doubtMilliseconds, () => timeout.abort())
    await appendRecord(makeRecord(LEASE_KINDS.renew, epoch, {}), timeout.signal)
    timer.cancel()
  }

  const writeSnapshotIfDue = async (epoch: number): Promise<void> => {
    const isDue = recordsSinceSnapshot >= timing.snapshotEveryRecords ||
      (recordsSinceSnapshot > 0 && clock.now() - lastSnapshotAt >= timing.snapshotEveryMilliseconds)
    const snapshot = follower.exportSnapshot()
    if (!isDue || snapshot === undefined) return
    lastSnapshotAt = clock.now()
    recordsSinceSnapshot = 0
    const record = makeRecord(SNAPSHOT_KIND, epoch, { throughOffset: snapshot.throughOffset, state: snapshot.state })
    await logService.append(stream, [record], stopping.signal)
    logger.info('snapshot written', { event: 'snapshot-written', stream, epoch, offset: snapshot.throughOffset })
  }

  const maintainLease = async (): Promise<void> => {
    const epoch = heldEpoch
    if (epoch === undefined) return
    // A holder that cannot read the stream cannot make decisions; renewing would only prevent other
    // daemons from acquiring the lease.
    const { verifiedAt } = follower.view()
    if (verifiedAt === undefined || clock.now() - verifiedAt >= timing.doubtMilliseconds) return
    if (clock.now() - confirmedAt >= timing.renewMilliseconds) await renew(epoch)
    if (heldEpoch === epoch) await writeSnapshotIfDue(epoch)
  }

  const watchLease = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      updateLeaseView()
      if (heldEpoch !== undefined) await maintainLease()
      else if (!isAcquiring && mayAcquire()) {
        isAcquiring = true
        await tryAcquire()
        isAcquiring = false
      }
      await clock.sleep(WATCH_INTERVAL_MILLISECONDS, stopping.signal)
    }
  }

  const currentEpoch = (): number | undefined => {
    updateLeaseView()
    if (heldEpoch === undefined || stopping.signal.aborted) return undefined
    return clock.now() - confirmedAt < timing.doubtMilliseconds ? heldEpoch : undefined
  }

  let watchLoop: Promise<void> | undefined
  return {
    stream,
    follower,
    events,
    start: () => {
      follower.events.on('applied', () => {
        recordsSinceSnapshot++
        updateLeaseView()
      })
      follower.start()
      watchLoop ??= watchLease()
    },
    stop: async () => {
      stopping.abort()
      await Promise.all([follower.stop(), watchLoop])
    },
    currentEpoch,
    holder: () => follower.view().state.lease.holder,
    append: async (kind, fields, signal, recordId) => {
      const epoch = currentEpoch()
      if (epoch === undefined) return { kind: 'not-holder' }
      return await appendRecord(makeRecord(kind, epoch, fields, recordId), signal)
    },
    appendAsFormerHolder: (epoch, kind, fields, signal, recordId) => appendRecord(makeRecord(kind, epoch, fields, recordId), signal),
    resign: async (signal) => {
      hasResigned = true
      const epoch = heldEpoch
      if (epoch === undefined) return
      loseLease()
      await appendRecord(makeRecord(LEASE_KINDS.resign, epoch, {}), signal)
    }
  }
}

/** Interval between two checks of the lease state. */
const WATCH_INTERVAL_MILLISECONDS = 250
