import { randomUUID } from 'node:crypto'
import { linkSignals, type Clock } from '@fuchsiastage/clock'
import { appendConfirmed, createStreamFollower, SNAPSHOT_KIND, type LogService, type StreamFollower, type StreamRecord } from '@fuchsiastage/log-client'
import type { Logger } from '@fuchsiastage/logger'
import type { JsonValue, Milliseconds } from '@fuchsiastage/types'
import Emittery from 'emittery'
import { createLeasedFold, LEASE_KINDS, type LeasedState, type PayloadFold } from './leased-fold.js'

export interface LeaseTiming {
  /** Interval between renewals. */
  readonly renewMilliseconds: Milliseconds
  /** Silence of the holder after which the first watcher tries to acquire. */
  readonly lapseMilliseconds: Milliseconds
  /** Further silence for each rank, so that watchers do not race. */
  readonly rankDelayMilliseconds: Milliseconds
  /** A holder without a confirmed record for this long stops deciding. */
  readonly doubtMilliseconds: Milliseconds
  /** Records after which the holder appends a snapshot. */
  readonly snapshotEveryRecords: number
  /** Time after which the holder appends a snapshot although fewer records came; a quarter of the retention time. */
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
  /** Record format that the configuration permits for writing; without it the newest that this code knows. */
  readonly permittedFormat?: () => number
  /** This daemon's rank among the watchers, or undefined when it must not acquire. */
  readonly rank: () => number | undefined
}

/** Verdict-free result of an append: the fold's state tells whether the record was valid. */
export type LeasedAppend =
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
  /** The epoch under which this daemon may decide now, or undefined. */
  readonly currentEpoch: () => number | undefined
  readonly holder: () => string | undefined
  /** Appends a payload record under the own epoch and waits until the own fold has passed it. */
  readonly append: (kind: string, fields: Readonly<Record<string, JsonValue>>, signal: AbortSignal, recordId?: string) => Promise<LeasedAppend>
  /** Appends under a former epoch of this daemon; only records that folds accept from former authors make sense here. */
  readonly appendAsFormer: (epoch: number, kind: string, fields: Readonly<Record<string, JsonValue>>, signal: AbortSignal, recordId?: string) => Promise<LeasedAppend>
  /** Gives up the lease and takes no part in later elections. */
  readonly resign: (signal: AbortSignal) => Promise<void>
}

/**
 * Follows a leased stream and takes part in the election of its holder. Safety comes from the
 * fold alone; all times here only decide when a daemon tries.
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
  /** Time at which the newest confirmed record of the own epoch was sent. */
  let confirmedAt: Milliseconds = 0
  /** Local time at which the newest record of the current holder was read. */
  let holderSeenAt: Milliseconds = clock.now()
  let seenEpoch = 0
  let seenOffset = -1
  let hasResigned = false
  let recordsSinceSnapshot = 0
  let snapshotAt: Milliseconds = clock.now()
  let isAcquiring = false

  const makeRecord = (kind: string, epoch: number, fields: Readonly<Record<string, JsonValue>>, recordId: string = randomUUID()): StreamRecord =>
    ({ ...fields, recordId, kind, formatVersion: Math.min(fold.formatVersion, options.permittedFormat?.() ?? fold.formatVersion), epoch, author: daemon })

  const loseLease = (): void => {
    if (heldEpoch === undefined) return
    const epoch = heldEpoch
    heldEpoch = undefined
    logger.warn('lease lost', { event: 'lease-lost', stream, epoch })
    void events.emit('lost', { epoch })
  }

  const observe = (): void => {
    const { lease } = follower.view().state
    if (lease.epoch !== seenEpoch || lease.lastRecordOffset !== seenOffset) {
      seenEpoch = lease.epoch
      seenOffset = lease.lastRecordOffset
      holderSeenAt = clock.now()
    }
    if (heldEpoch !== undefined && (lease.epoch !== heldEpoch || lease.holder !== daemon)) loseLease()
  }

  const appendRecord = async (record: StreamRecord, signal: AbortSignal): Promise<LeasedAppend> => {
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
    const limit = new AbortController()
    const timer = clock.setTimer(timing.lapseMilliseconds, () => limit.abort())
    const linked = linkSignals([limit.signal, stopping.signal])
    await appendConfirmed({ logService, follower, clock, record, retryMilliseconds, signal: linked.signal })
    linked.release()
    timer.cancel()
    const { lease } = follower.view().state
    if (lease.epoch !== epoch || lease.acquireRecordId !== record.recordId || lease.holder !== daemon) return
    heldEpoch = epoch
    confirmedAt = sentAt
    snapshotAt = clock.now()
    logger.info('lease acquired', { event: 'lease-acquired', stream, epoch })
    await events.emit('acquired', { epoch })
  }

  const acquireDelay = (): Milliseconds | undefined => {
    const rank = options.rank()
    if (rank === undefined || hasResigned) return undefined
    const { lease } = follower.view().state
    const base = lease.epoch > 0 && lease.holder === undefined ? 0 : timing.lapseMilliseconds
    // A stream that never had a holder needs no silence before the first acquire.
    const silence = lease.epoch === 0 ? 0 : base
    return silence + rank * timing.rankDelayMilliseconds
  }

  const mayAcquire = (): boolean => {
    const { status, verifiedAt } = follower.view()
    const delay = acquireDelay()
    if (status !== 'current' || verifiedAt === undefined || delay === undefined) return false
    // The silence counts only while the stream was readable; otherwise the holder may just be unheard.
    const heardAt = Math.max(holderSeenAt, 0)
    return verifiedAt - heardAt >= delay && clock.now() - verifiedAt < timing.doubtMilliseconds
  }

  const renew = async (epoch: number): Promise<void> => {
    const limit = new AbortController()
    const timer = clock.setTimer(timing.doubtMilliseconds, () => limit.abort())
    await appendRecord(makeRecord(LEASE_KINDS.renew, epoch, {}), limit.signal)
    timer.cancel()
  }

  const writeSnapshotIfDue = async (epoch: number): Promise<void> => {
    const isDue = recordsSinceSnapshot >= timing.snapshotEveryRecords ||
      (recordsSinceSnapshot > 0 && clock.now() - snapshotAt >= timing.snapshotEveryMilliseconds)
    const snapshot = follower.exportSnapshot()
    if (!isDue || snapshot === undefined) return
    snapshotAt = clock.now()
    recordsSinceSnapshot = 0
    const record = makeRecord(SNAPSHOT_KIND, epoch, { throughOffset: snapshot.throughOffset, state: snapshot.state })
    await logService.append(stream, [record], stopping.signal)
    logger.info('snapshot written', { event: 'snapshot-written', stream, epoch, offset: snapshot.throughOffset })
  }

  const holdRole = async (): Promise<void> => {
    const epoch = heldEpoch
    if (epoch === undefined) return
    // A holder that cannot read cannot decide either; its renewals would only keep others from the lease.
    const { verifiedAt } = follower.view()
    if (verifiedAt === undefined || clock.now() - verifiedAt >= timing.doubtMilliseconds) return
    if (clock.now() - confirmedAt >= timing.renewMilliseconds) await renew(epoch)
    if (heldEpoch === epoch) await writeSnapshotIfDue(epoch)
  }

  const watch = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      observe()
      if (heldEpoch !== undefined) await holdRole()
      else if (!isAcquiring && mayAcquire()) {
        isAcquiring = true
        await tryAcquire()
        isAcquiring = false
      }
      await clock.sleep(WATCH_INTERVAL_MILLISECONDS, stopping.signal)
    }
  }

  const currentEpoch = (): number | undefined => {
    observe()
    if (heldEpoch === undefined || stopping.signal.aborted) return undefined
    return clock.now() - confirmedAt < timing.doubtMilliseconds ? heldEpoch : undefined
  }

  let watching: Promise<void> | undefined
  return {
    stream,
    follower,
    events,
    start: () => {
      follower.events.on('applied', () => {
        recordsSinceSnapshot++
        observe()
      })
      follower.start()
      watching ??= watch()
    },
    stop: async () => {
      stopping.abort()
      await Promise.all([follower.stop(), watching])
    },
    currentEpoch,
    holder: () => follower.view().state.lease.holder,
    append: async (kind, fields, signal, recordId) => {
      const epoch = currentEpoch()
      if (epoch === undefined) return { kind: 'not-holder' }
      return await appendRecord(makeRecord(kind, epoch, fields, recordId), signal)
    },
    appendAsFormer: (epoch, kind, fields, signal, recordId) => appendRecord(makeRecord(kind, epoch, fields, recordId), signal),
    resign: async (signal) => {
      hasResigned = true
      const epoch = heldEpoch
      if (epoch === undefined) return
      loseLease()
      await appendRecord(makeRecord(LEASE_KINDS.resign, epoch, {}), signal)
    }
  }
}

/** How often a watcher looks at the state of the lease. */
const WATCH_INTERVAL_MILLISECONDS = 250
