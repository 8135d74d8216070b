import type { Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import type { JsonValue, Milliseconds } from '@fuchsiastage/types'
import Emittery from 'emittery'
import type { LogRecord, LogService, ReadResult } from './log-service.js'
import type { StreamFold } from './stream-fold.js'
import { parseStreamRecord, SNAPSHOT_KIND, type SnapshotRecord, type StreamRecord } from './stream-record.js'

/**
 * `starting`: no read or snapshot has been applied yet. `current`: the state covers all records before
 * `nextOffset`. `incomplete`: records expired before they were read, and no snapshot covers them.
 * `unsupported-format`: the next record has a newer format than this code can read.
 */
export type FollowerStatus = 'starting' | 'current' | 'incomplete' | 'unsupported-format'

export interface FollowerView<State> {
  readonly status: FollowerStatus
  readonly state: State
  readonly nextOffset: number
  /** Local monotonic time at which the state was last known to cover the whole stream; undefined if that is not known. */
  readonly verifiedAt: Milliseconds | undefined
}

export interface AppliedRecord<State> {
  readonly offset: number
  readonly record: StreamRecord
  readonly state: State
}

/** Records that a peer read from the log service, with the same offsets and values as there. */
export interface PeerRecords {
  readonly records: readonly LogRecord[]
  readonly nextOffset: number
  /** Lower bound, on the local monotonic clock, of the time of the peer's verified read. */
  readonly verifiedAt: Milliseconds | undefined
}

export interface PeerSnapshot {
  readonly formatVersion: number
  readonly throughOffset: number
  readonly state: JsonValue
}

export interface FollowerEvents<State> {
  applied: AppliedRecord<State>
  verified: { readonly nextOffset: number }
  status: { readonly status: FollowerStatus }
}

export interface StreamFollower<State> {
  readonly stream: string
  readonly start: () => void
  readonly stop: () => Promise<void>
  readonly view: () => FollowerView<State>
  readonly events: Emittery<FollowerEvents<State>>
  /**
   * Applies records from a peer that continue the state at `nextOffset`; others are ignored. Unless the
   * status is `current`, it has an effect only if the first record is the next one of an `incomplete` state.
   */
  readonly offerRecords: (offer: PeerRecords) => void
  /** Replaces the state with a peer's snapshot if the status is `starting` or `incomplete` and the fold can read the snapshot. */
  readonly offerSnapshot: (snapshot: PeerSnapshot) => void
  /** Returns a snapshot of the state, or undefined unless the status is `current`. */
  readonly exportSnapshot: () => PeerSnapshot | undefined
  /** Returns the applied records from the offset on, or undefined when some are no longer in memory. */
  readonly recentRecords: (fromOffset: number) => readonly LogRecord[] | undefined
  /** Resolves to true once the state covers the offset, or to false when the signal aborts first. */
  readonly waitForOffset: (offset: number, signal: AbortSignal) => Promise<boolean>
  /** Resolves to the record's offset once the record has been applied, or to undefined when the signal aborts first. */
  readonly waitForRecord: (recordId: string, signal: AbortSignal) => Promise<number | undefined>
}

export interface StreamFollowerOptions<State> {
  readonly stream: string
  readonly fold: StreamFold<State>
  readonly logService: LogService
  readonly clock: Clock
  readonly logger: Logger
  /** Maximum time that a read waits for new records at the log service (long poll). */
  readonly waitMilliseconds: Milliseconds
  /** Delay after a failed read. */
  readonly retryMilliseconds: Milliseconds
}

const MAXIMUM_RECORDS_PER_READ = 500

/** Minimum number of recent records kept in memory for peers that cannot reach the log service. */
const MINIMUM_RECENT_RECORDS = 1_000

/**
 * Creates a follower that reads a stream continuously and folds its records into state.
 *
 * @example
 * const follower = createStreamFollower({ stream: 'configuration', fold, logService, clock, logger, waitMilliseconds: 2000, retryMilliseconds: 500 })
 * follower.start()
 */
export function createStreamFollower<State> (options: StreamFollowerOptions<State>): StreamFollower<State> {
  const { stream, fold, logService, clock, logger } = options
  const events = new Emittery<FollowerEvents<State>>()
  const stopping = new AbortController()
  let running: Promise<void> | undefined
  let status: FollowerStatus = 'starting'
  let state = fold.empty()
  let nextOffset = 0
  let verifiedAt: Milliseconds | undefined
  let recent: LogRecord[] = []
  const offsetsById = new Map<string, number>()
  const waiters = new Set<() => void>()

  const setStatus = (value: FollowerStatus): void => {
    if (status === value) return
    status = value
    logger.info('stream status changed', { event: 'stream-status', stream, status, offset: nextOffset })
    void events.emit('status', { status })
  }
  const wakeWaiters = (): void => {
    for (const wake of [...waiters]) wake()
  }

  const storeRecent = (logRecord: LogRecord, record: StreamRecord | undefined): void => {
    recent.push(logRecord)
    if (record !== undefined) offsetsById.set(record.recordId, logRecord.offset)
    if (recent.length <= MINIMUM_RECENT_RECORDS * 2) return
    for (const removed of recent.slice(0, MINIMUM_RECENT_RECORDS)) {
      const removedRecord = parseStreamRecord(removed.value)
      if (removedRecord !== undefined && offsetsById.get(removedRecord.recordId) === removed.offset) offsetsById.delete(removedRecord.recordId)
    }
    recent = recent.slice(MINIMUM_RECENT_RECORDS)
  }

  const checkSnapshot = (record: SnapshotRecord, offset: number): void => {
    if (record.throughOffset + 1 !== offset) return
    if (JSON.stringify(record.state) === JSON.stringify(fold.encode(state))) return
    logger.error('a snapshot in the stream differs from the state that this process computed from the same records', { event: 'snapshot-mismatch', stream, offset })
  }

  /** Returns false when the record has a newer format than the fold can apply. */
  const applyRecord = (logRecord: LogRecord): boolean => {
    const record = parseStreamRecord(logRecord.value)
    if (record !== undefined && record.formatVersion > fold.formatVersion) {
      setStatus('unsupported-format')
      return false
    }
    nextOffset = logRecord.offset + 1
    if (record?.kind === SNAPSHOT_KIND) checkSnapshot(record as SnapshotRecord, logRecord.offset)
    else if (record !== undefined) state = fold.apply(state, record, logRecord.offset)
    storeRecent(logRecord, record)
    if (record !== undefined) void events.emit('applied', { offset: logRecord.offset, record, state })
    return true
  }

  const applyRecords = (records: readonly LogRecord[]): void => {
    for (const logRecord of records) {
      if (logRecord.offset !== nextOffset) continue
      if (!applyRecord(logRecord)) break
    }
    wakeWaiters()
  }

  /** Returns false when the snapshot's state cannot be decoded. */
  const restoreSnapshot = (snapshot: PeerSnapshot): boolean => {
    try {
      state = fold.decode(snapshot.state)
    } catch (reason) {
      logger.error('a snapshot cannot be decoded and is not used', { event: 'snapshot-unreadable', stream, offset: snapshot.throughOffset, reason: String(reason) })
      return false
    }
    nextOffset = snapshot.throughOffset + 1
    recent = []
    verifiedAt = undefined
    setStatus('current')
    return true
  }

  /** Searches the stream for a snapshot that can be decoded and whose following records have not expired. */
  const recoverFromSnapshot = async (): Promise<boolean> => {
    const buffered: LogRecord[] = []
    let fromOffset = 0
    for (;;) {
      const result = await logService.read(stream, fromOffset, { limit: MAXIMUM_RECORDS_PER_READ, waitMilliseconds: 0 }, stopping.signal)
      if (result.isErr) return false
      buffered.push(...result.value.records)
      for (const snapshot of findSnapshots(result.value.records, buffered[0]?.offset ?? 0, fold.formatVersion)) {
        if (!restoreSnapshot({ formatVersion: snapshot.formatVersion, throughOffset: snapshot.throughOffset, state: snapshot.state })) continue
        applyRecords(buffered)
        return true
      }
      fromOffset = result.value.nextOffset
      if (fromOffset >= result.value.endOffset) break
    }
    setStatus('incomplete')
    return false
  }

  const applyReadResult = async (result: ReadResult, sentAt: Milliseconds): Promise<boolean> => {
    if (result.oldestOffset > nextOffset) {
      logger.warn('records expired before they were read; searching the stream for a snapshot', { event: 'stream-gap', stream, offset: nextOffset, oldestOffset: result.oldestOffset })
      verifiedAt = undefined
      return await recoverFromSnapshot()
    }
    if (status === 'unsupported-format') return false
    // No record was skipped, so the state covers all records since the start of the stream.
    if (status === 'starting' || status === 'incomplete') setStatus('current')
    applyRecords(result.records)
    if (nextOffset >= result.endOffset) {
      verifiedAt = sentAt
      void events.emit('verified', { nextOffset })
    }
    wakeWaiters()
    return true
  }

  const readContinuously = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const sentAt = clock.now()
      // An unverified state may be behind, so the read returns immediately instead of waiting for new records.
      const waitMilliseconds = verifiedAt === undefined ? 0 : options.waitMilliseconds
      const result = await logService.read(stream, nextOffset, { limit: MAXIMUM_RECORDS_PER_READ, waitMilliseconds }, stopping.signal)
      if (stopping.signal.aborted) return
      const progressed = result.isOk && await applyReadResult(result.value, sentAt)
      if (!progressed) await clock.sleep(options.retryMilliseconds, stopping.signal)
    }
  }

  const waitUntil = <Value> (findValue: () => Value | undefined, signal: AbortSignal): Promise<Value | undefined> =>
    new Promise((resolve) => {
      const finish = (value: Value | undefined): void => {
        waiters.delete(wake)
        signal.removeEventListener('abort', abort)
        resolve(value)
      }
      const abort = (): void => finish(undefined)
      const wake = (): void => {
        const value = findValue()
        if (value !== undefined) finish(value)
      }
      waiters.add(wake)
      signal.addEventListener('abort', abort)
      if (signal.aborted) abort()
      else wake()
    })

  return {
    stream,
    events,
    start: () => { running ??= readContinuously() },
    stop: async () => {
      stopping.abort()
      await running
    },
    view: () => ({ status, state, nextOffset, verifiedAt }),
    offerRecords: (offer) => {
      // The state before a gap covers all records before `nextOffset`, so a peer that still has the next records can close the gap.
      if (status === 'incomplete' && offer.records[0]?.offset === nextOffset) setStatus('current')
      if (status !== 'current') return
      applyRecords(offer.records)
      const isNewer = offer.verifiedAt !== undefined && (verifiedAt === undefined || offer.verifiedAt > verifiedAt)
      if (isNewer && status === 'current' && nextOffset >= offer.nextOffset) verifiedAt = offer.verifiedAt
    },
    offerSnapshot: (snapshot) => {
      if (status !== 'starting' && status !== 'incomplete') return
      if (snapshot.formatVersion > fold.formatVersion) return
      if (restoreSnapshot(snapshot)) wakeWaiters()
    },
    exportSnapshot: () => status === 'current'
      ? { formatVersion: fold.formatVersion, throughOffset: nextOffset - 1, state: fold.encode(state) }
      : undefined,
    recentRecords: (fromOffset) => {
      if (fromOffset >= nextOffset) return []
      const firstOffset = recent[0]?.offset
      return firstOffset === undefined || fromOffset < firstOffset ? undefined : recent.slice(fromOffset - firstOffset)
    },
    waitForOffset: async (offset, signal) => await waitUntil(() => nextOffset > offset ? true : undefined, signal) ?? false,
    waitForRecord: (recordId, signal) => waitUntil(() => offsetsById.get(recordId), signal)
  }
}

function findSnapshots (records: readonly LogRecord[], oldestOffset: number, formatVersion: number): readonly SnapshotRecord[] {
  return records.flatMap(({ value }) => {
    const record = parseStreamRecord(value)
    if (record?.kind !== SNAPSHOT_KIND || record.formatVersion > formatVersion) return []
    const snapshot = record as SnapshotRecord
    return snapshot.throughOffset + 1 >= oldestOffset ? [snapshot] : []
  })
}
