import type { Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import type { JsonValue, Milliseconds } from '@fuchsiastage/types'
import Emittery from 'emittery'
import type { LogRecord, LogService, ReadResult } from './log-service.js'
import type { StreamFold } from './stream-fold.js'
import { parseStreamRecord, SNAPSHOT_KIND, type SnapshotRecord, type StreamRecord } from './stream-record.js'

/**
 * `starting`: nothing complete yet. `current`: the state covers all records before `nextOffset`.
 * `incomplete`: records were lost to retention and no snapshot covers them.
 * `unsupported-format`: the next record needs newer code.
 */
export type FollowerStatus = 'starting' | 'current' | 'incomplete' | 'unsupported-format'

export interface FollowerView<State> {
  readonly status: FollowerStatus
  readonly state: State
  readonly nextOffset: number
  /** Local monotonic time at which the state was known to be the newest; undefined before that. */
  readonly verifiedAt: Milliseconds | undefined
}

export interface AppliedRecord<State> {
  readonly offset: number
  readonly record: StreamRecord
  readonly state: State
}

/** Records taken from a peer instead of the log service; they are the same wherever they come from. */
export interface PeerRecords {
  readonly records: readonly LogRecord[]
  readonly nextOffset: number
  /** Local time that the peer's verified read corresponds to, the round trip already subtracted. */
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
  /** Applies records that a peer holds; ignores what does not continue the own state. */
  readonly offerRecords: (offer: PeerRecords) => void
  /** Adopts a peer's state when this follower has no complete state yet. */
  readonly offerSnapshot: (snapshot: PeerSnapshot) => void
  readonly exportSnapshot: () => PeerSnapshot | undefined
  /** Recently applied records from the offset on, or undefined when they are no longer held. */
  readonly recentRecords: (fromOffset: number) => readonly LogRecord[] | undefined
  /** Resolves true once the state covers the offset, false when the signal aborts first. */
  readonly waitForOffset: (offset: number, signal: AbortSignal) => Promise<boolean>
  /** Resolves the record's offset once it has been applied, undefined when the signal aborts first. */
  readonly waitForRecord: (recordId: string, signal: AbortSignal) => Promise<number | undefined>
}

export interface StreamFollowerOptions<State> {
  readonly stream: string
  readonly fold: StreamFold<State>
  readonly logService: LogService
  readonly clock: Clock
  readonly logger: Logger
  readonly waitMilliseconds: Milliseconds
  /** Pause after a failed read. */
  readonly retryMilliseconds: Milliseconds
}

const READ_LIMIT = 500

/** Records kept for peers that are cut off from the log service. */
const RECENT_RECORDS = 1_000

/**
 * Follows a stream and folds it into state.
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

  const remember = (logRecord: LogRecord, record: StreamRecord | undefined): void => {
    recent.push(logRecord)
    if (record !== undefined) offsetsById.set(record.recordId, logRecord.offset)
    if (recent.length <= RECENT_RECORDS * 2) return
    for (const old of recent.slice(0, RECENT_RECORDS)) {
      const oldRecord = parseStreamRecord(old.value)
      if (oldRecord !== undefined && offsetsById.get(oldRecord.recordId) === old.offset) offsetsById.delete(oldRecord.recordId)
    }
    recent = recent.slice(RECENT_RECORDS)
  }

  const checkSnapshot = (record: SnapshotRecord, offset: number): void => {
    if (record.throughOffset + 1 !== offset) return
    if (JSON.stringify(record.state) === JSON.stringify(fold.encode(state))) return
    logger.error('a snapshot differs from the own state', { event: 'snapshot-mismatch', stream, offset })
  }

  /** Returns false when the record needs newer code. */
  const applyOne = (logRecord: LogRecord): boolean => {
    const record = parseStreamRecord(logRecord.value)
    if (record !== undefined && record.formatVersion > fold.formatVersion) {
      setStatus('unsupported-format')
      return false
    }
    nextOffset = logRecord.offset + 1
    if (record?.kind === SNAPSHOT_KIND) checkSnapshot(record as SnapshotRecord, logRecord.offset)
    else if (record !== undefined) state = fold.apply(state, record, logRecord.offset)
    remember(logRecord, record)
    if (record !== undefined) void events.emit('applied', { offset: logRecord.offset, record, state })
    return true
  }

  const applyAll = (records: readonly LogRecord[]): void => {
    for (const logRecord of records) {
      if (logRecord.offset !== nextOffset) continue
      if (!applyOne(logRecord)) break
    }
    wakeWaiters()
  }

  /** Returns false when the snapshot's state cannot be decoded. */
  const adopt = (snapshot: PeerSnapshot): boolean => {
    try {
      state = fold.decode(snapshot.state)
    } catch (reason) {
      logger.error('a snapshot cannot be decoded', { event: 'snapshot-unreadable', stream, offset: snapshot.throughOffset, reason: String(reason) })
      return false
    }
    nextOffset = snapshot.throughOffset + 1
    recent = []
    verifiedAt = undefined
    setStatus('current')
    return true
  }

  /** Searches the kept records for a snapshot whose following records are all kept. */
  const recoverFromSnapshot = async (): Promise<boolean> => {
    const buffered: LogRecord[] = []
    let from = 0
    for (;;) {
      const result = await logService.read(stream, from, { limit: READ_LIMIT, waitMilliseconds: 0 }, stopping.signal)
      if (result.isErr) return false
      buffered.push(...result.value.records)
      for (const snapshot of findSnapshots(result.value.records, buffered[0]?.offset ?? 0, fold.formatVersion)) {
        if (!adopt({ formatVersion: snapshot.formatVersion, throughOffset: snapshot.throughOffset, state: snapshot.state })) continue
        applyAll(buffered)
        return true
      }
      from = result.value.nextOffset
      if (from >= result.value.endOffset) break
    }
    setStatus('incomplete')
    return false
  }

  const accept = async (result: ReadResult, sentAt: Milliseconds): Promise<boolean> => {
    if (result.oldestOffset > nextOffset) {
      logger.warn('records expired before they were read', { event: 'stream-gap', stream, offset: nextOffset, oldestOffset: result.oldestOffset })
      verifiedAt = undefined
      return await recoverFromSnapshot()
    }
    if (status === 'unsupported-format') return false
    // A follower that skipped nothing holds every record since the start of the stream.
    if (status === 'starting' || status === 'incomplete') setStatus('current')
    applyAll(result.records)
    if (nextOffset >= result.endOffset) {
      verifiedAt = sentAt
      void events.emit('verified', { nextOffset })
    }
    wakeWaiters()
    return true
  }

  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const sentAt = clock.now()
      // The first read of a state that may be behind does not wait at the service.
      const waitMilliseconds = verifiedAt === undefined ? 0 : options.waitMilliseconds
      const result = await logService.read(stream, nextOffset, { limit: READ_LIMIT, waitMilliseconds }, stopping.signal)
      if (stopping.signal.aborted) return
      const progressed = result.isOk && await accept(result.value, sentAt)
      if (!progressed) await clock.sleep(options.retryMilliseconds, stopping.signal)
    }
  }

  const waitUntil = <Value> (check: () => Value | undefined, signal: AbortSignal): Promise<Value | undefined> =>
    new Promise((resolve) => {
      const finish = (value: Value | undefined): void => {
        waiters.delete(wake)
        signal.removeEventListener('abort', abort)
        resolve(value)
      }
      const abort = (): void => finish(undefined)
      const wake = (): void => {
        const value = check()
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
    start: () => { running ??= run() },
    stop: async () => {
      stopping.abort()
      await running
    },
    view: () => ({ status, state, nextOffset, verifiedAt }),
    offerRecords: (offer) => {
      // The state before a gap covers all records before `nextOffset`; a peer that still holds the next ones closes the gap.
      if (status === 'incomplete' && offer.records[0]?.offset === nextOffset) setStatus('current')
      if (status !== 'current') return
      applyAll(offer.records)
      const isNewer = offer.verifiedAt !== undefined && (verifiedAt === undefined || offer.verifiedAt > verifiedAt)
      if (isNewer && status === 'current' && nextOffset >= offer.nextOffset) verifiedAt = offer.verifiedAt
    },
    offerSnapshot: (snapshot) => {
      if (status !== 'starting' && status !== 'incomplete') return
      if (snapshot.formatVersion > fold.formatVersion) return
      if (adopt(snapshot)) wakeWaiters()
    },
    exportSnapshot: () => status === 'current'
      ? { formatVersion: fold.formatVersion, throughOffset: nextOffset - 1, state: fold.encode(state) }
      : undefined,
    recentRecords: (fromOffset) => {
      if (fromOffset >= nextOffset) return []
      const first = recent[0]?.offset
      return first === undefined || fromOffset < first ? undefined : recent.slice(fromOffset - first)
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
