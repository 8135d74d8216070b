import { laterBy, momentOf, type Clock, type Moment } from '@fuchsiastage/clock'
import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import { relateEra } from './log-era.js'
import type { KeyedRecord, LogState, PlatformLog } from './platform-log.js'

export interface KeyedFollowerSettings {
  /** Long-poll time of a read. A stalled connection is detected only after this time. */
  readonly pollMilliseconds: Milliseconds
  /** Minimum time between the starts of two reads. Calls are billed, and one read returns many records. */
  readonly minimumIntervalMilliseconds: Milliseconds
  readonly retryMilliseconds: Milliseconds
}

export interface KeyedFollowerOptions {
  readonly log: PlatformLog
  readonly clock: Clock
  readonly logger: Logger
  readonly topic: string
  readonly settings: KeyedFollowerSettings
  /** Called with the complete state of the topic; a key that is not in it no longer exists. */
  readonly onSnapshot: (records: readonly KeyedRecord[]) => void
  readonly onRecord: (record: KeyedRecord) => void
  /** Called after each successful response of the service, before its records are applied. */
  readonly onContact?: () => void
  readonly onFailure?: (error: FuchsiastageError) => void
  /** Called when the service has returned to an older copy of its records, before the snapshot of that copy. */
  readonly onRestored?: () => void
}

export interface KeyedFollower {
  /** Follows the topic until the signal aborts. */
  readonly run: (signal: AbortSignal) => Promise<void>
  /** Monotonic time of the last successful response; undefined before the first one. */
  readonly lastContactAt: () => Milliseconds | undefined
  /**
   * Moment at which the service had no newer records than those that were applied; undefined before
   * the first response. It is earlier than the last contact if a response was received late, for example
   * after the process was suspended.
   */
  readonly completeAt: () => Moment | undefined
}

/** Bounds the size of a log line. */
const MAXIMUM_LOGGED_KEYS = 20
/** Maximum random addition to the retry delay, as a fraction of it, so that daemons do not retry simultaneously. */
const RETRY_JITTER = 0.5

/**
 * Follows a keyed topic. It reads a snapshot first, then single records, and a snapshot again when
 * records that it has not read yet have expired, or when the service has returned to an older copy.
 *
 * @example
 * const follower = createKeyedFollower({ log, clock, logger, topic, settings, onSnapshot, onRecord })
 * await follower.run(stopping.signal)
 */
export function createKeyedFollower (options: KeyedFollowerOptions): KeyedFollower {
  const { log, clock, topic, settings } = options
  const logger = options.logger.child({ topic })
  let offset: number | undefined
  let lastContact: Milliseconds | undefined
  let lastComplete: Moment | undefined
  let isUnavailable = false
  /** Era of `offset`. */
  let era: number | undefined

  /** Returns whether the offset still holds after a response. If not, the response is not applied. */
  const holdsOffset = ({ era: stated }: LogState, step: string): boolean => {
    const relation = relateEra(era, stated)
    switch (relation) {
      case 'same':
        era ??= stated
        return true
      case 'earlier':
        logger.info('ignored a response of the log service from an earlier era', { event: 'log-response-stale', step, era, stated })
        return false
      case 'later':
        logger.warn('the log service returned to an older copy of its records; reading the topic again', { event: 'log-restored', step, before: era, era: stated, offset })
        era = stated
        offset = undefined
        options.onRestored?.()
        return false
    }
  }

  const recordContact = (): void => {
    lastContact = clock.now()
    if (isUnavailable) logger.info('the log service is available again', { event: 'dependency-regained', peer: 'log-service' })
    isUnavailable = false
    options.onContact?.()
  }

  const recordFailure = (error: FuchsiastageError): void => {
    if (!isUnavailable) logger.warn('call to the log service failed; retrying until it succeeds', { event: 'dependency-lost', peer: 'log-service', step: error.step, reason: error.message })
    isUnavailable = true
    options.onFailure?.(error)
  }

  /** Applies records. An unexpected error does not keep the follower from the records after them. */
  const apply = (keys: readonly string[], run: () => void): void => {
    try {
      run()
    } catch (reason) {
      logger.error('cannot apply records of the topic', { event: 'record-failed', keys, reason: reason instanceof Error ? reason.stack ?? reason.message : String(reason) })
    }
  }

  const readSnapshot = async (signal: AbortSignal): Promise<boolean> => {
    const startedAt = momentOf(clock)
    const answer = await log.readNewest(topic, signal)
    if (answer.isErr) {
      recordFailure(answer.error)
      return false
    }
    recordContact()
    if (!holdsOffset(answer.value, 'log-newest')) return true
    offset = answer.value.endOffset
    logger.info('read a snapshot of the topic', { event: 'snapshot-read', keys: answer.value.records.length, offset })
    apply(answer.value.records.map(({ key }) => key).slice(0, MAXIMUM_LOGGED_KEYS), () => options.onSnapshot(answer.value.records))
    lastComplete = startedAt
    return true
  }

  const readRecords = async (from: number, signal: AbortSignal): Promise<boolean> => {
    // A long poll can't distinguish an unresponsive service from one without new records, so reads
    // return immediately until the service responds again.
    const startedAt = momentOf(clock)
    const pollMilliseconds = isUnavailable ? 0 : settings.pollMilliseconds
    const answer = await log.readKeyed(topic, from, pollMilliseconds, signal)
    if (answer.isErr) {
      recordFailure(answer.error)
      return false
    }
    recordContact()
    const outcome = answer.value
    if (!holdsOffset(outcome, 'log-read')) return true
    switch (outcome.kind) {
      case 'expired':
        logger.warn('the records to read next have expired; reading a new snapshot', { event: 'history-expired', offset: from, first: outcome.firstOffset })
        offset = undefined
        return true
      case 'records':
        offset = outcome.nextOffset
        for (const record of outcome.entries) apply([record.key], () => options.onRecord(record))
        // A response without records was made at the end of the poll at the latest; when one with records was made is not known.
        lastComplete = outcome.entries.length > 0 ? startedAt : laterBy(clock, startedAt, pollMilliseconds)
        return true
    }
  }

  const run = async (signal: AbortSignal): Promise<void> => {
    while (!signal.aborted) {
      const startedAt = clock.now()
      const hasSucceeded = offset === undefined ? await readSnapshot(signal) : await readRecords(offset, signal)
      if (!hasSucceeded) {
        await clock.sleep(settings.retryMilliseconds * (1 + Math.random() * RETRY_JITTER), signal)
        continue
      }
      const remainingInterval = settings.minimumIntervalMilliseconds - (clock.now() - startedAt)
      if (offset !== undefined && remainingInterval > 0) await clock.sleep(remainingInterval, signal)
    }
  }

  return { run, lastContactAt: () => lastContact, completeAt: () => lastComplete }
}
