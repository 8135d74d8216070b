import type { Clock } from '@fuchsiastage/clock'
import type { JsonValue, Milliseconds } from '@fuchsiastage/types'

/** A record with the time of its append. */
interface StoredRecord {
  readonly offset: number
  readonly value: JsonValue
  readonly appendedAt: Milliseconds
}

/** Maximum age and number of the records that a stream keeps. */
export interface Retention {
  readonly milliseconds: Milliseconds
  readonly records: number
}

/** Result of one read. */
export interface StreamPage {
  readonly records: readonly { readonly offset: number, readonly value: JsonValue }[]
  readonly nextOffset: number
  readonly oldestOffset: number
  readonly endOffset: number
}

/** One stream of the log service. */
export interface LogStream {
  /** Appends the values and returns the offset of the first one. */
  readonly append: (values: readonly JsonValue[]) => number
  readonly read: (fromOffset: number, limit: number) => StreamPage
  readonly oldestOffset: () => number
  readonly endOffset: () => number
  /** Removes the records before the offset. */
  readonly expireBefore: (offset: number) => void
  /** Resolves at the next append, when the wait time has passed, when the signal aborts, or on `wakeWaiters`. */
  readonly waitForChange: (waitMilliseconds: Milliseconds, signal: AbortSignal) => Promise<void>
  /** Resolves all pending `waitForChange` calls. */
  readonly wakeWaiters: () => void
  /** Number of pending `waitForChange` calls. */
  readonly waiterCount: () => number
}

/**
 * Creates a stream that removes records by age and by count.
 *
 * @example
 * const stream = createLogStream(clock, { milliseconds: 60_000, records: 1_000 })
 * stream.append([{ kind: 'patch' }])
 */
export function createLogStream (clock: Clock, retention: Retention): LogStream {
  const records: StoredRecord[] = []
  const waiters = new Set<() => void>()
  let oldestOffset = 0

  const endOffset = (): number => oldestOffset + records.length
  const removeOldest = (count: number): void => {
    if (count <= 0) return
    records.splice(0, count)
    oldestOffset += count
  }
  const removeExpired = (): void => {
    const minimumAppendedAt = clock.now() - retention.milliseconds
    let expiredCount = Math.max(0, records.length - retention.records)
    while (expiredCount < records.length && (records[expiredCount]?.appendedAt ?? 0) < minimumAppendedAt) expiredCount++
    removeOldest(expiredCount)
  }
  const wakeWaiters = (): void => {
    for (const wake of [...waiters]) wake()
  }

  return {
    append: (values) => {
      const firstOffset = endOffset()
      values.forEach((value, index) => records.push({ offset: firstOffset + index, value, appendedAt: clock.now() }))
      removeExpired()
      wakeWaiters()
      return firstOffset
    },
    read: (fromOffset, limit) => {
      removeExpired()
      const startOffset = Math.min(Math.max(fromOffset, oldestOffset), endOffset())
      const page = records.slice(startOffset - oldestOffset, startOffset - oldestOffset + limit)
      return {
        records: page.map(({ offset, value }) => ({ offset, value })),
        nextOffset: startOffset + page.length,
        oldestOffset,
        endOffset: endOffset()
      }
    },
    oldestOffset: () => {
      removeExpired()
      return oldestOffset
    },
    endOffset,
    expireBefore: (offset) => removeOldest(Math.min(offset, endOffset()) - oldestOffset),
    waitForChange: (waitMilliseconds, signal) => new Promise((resolve) => {
      const finish = (): void => {
        waiters.delete(finish)
        timer.cancel()
        signal.removeEventListener('abort', finish)
        resolve()
      }
      const timer = clock.setTimer(waitMilliseconds, finish)
      waiters.add(finish)
      signal.addEventListener('abort', finish)
    }),
    wakeWaiters,
    waiterCount: () => waiters.size
  }
}
