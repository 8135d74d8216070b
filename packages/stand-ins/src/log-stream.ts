import type { Clock } from '@fuchsiastage/clock'
import type { JsonValue, Milliseconds } from '@fuchsiastage/types'

interface StoredRecord {
  readonly offset: number
  readonly value: JsonValue
  readonly appendedAt: Milliseconds
}

export interface Retention {
  readonly milliseconds: Milliseconds
  readonly records: number
}

export interface StreamPage {
  readonly records: readonly { readonly offset: number, readonly value: JsonValue }[]
  readonly nextOffset: number
  readonly oldestOffset: number
  readonly endOffset: number
}

/** One stream of the log service. */
export interface LogStream {
  readonly append: (values: readonly JsonValue[]) => number
  readonly read: (fromOffset: number, limit: number) => StreamPage
  readonly oldestOffset: () => number
  readonly endOffset: () => number
  readonly expireBefore: (offset: number) => void
  /** Resolves at the next append, after the wait, or when the signal aborts. */
  readonly waitForChange: (waitMilliseconds: Milliseconds, signal: AbortSignal) => Promise<void>
  readonly wakeWaiters: () => void
  readonly waiting: () => number
}

/**
 * Creates a stream that drops records by age and by count.
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
  const drop = (count: number): void => {
    if (count <= 0) return
    records.splice(0, count)
    oldestOffset += count
  }
  const expire = (): void => {
    const oldestTime = clock.now() - retention.milliseconds
    let old = Math.max(0, records.length - retention.records)
    while (old < records.length && (records[old]?.appendedAt ?? 0) < oldestTime) old++
    drop(old)
  }
  const wakeWaiters = (): void => {
    for (const wake of [...waiters]) wake()
  }

  return {
    append: (values) => {
      const firstOffset = endOffset()
      values.forEach((value, index) => records.push({ offset: firstOffset + index, value, appendedAt: clock.now() }))
      expire()
      wakeWaiters()
      return firstOffset
    },
    read: (fromOffset, limit) => {
      expire()
      const start = Math.min(Math.max(fromOffset, oldestOffset), endOffset())
      const page = records.slice(start - oldestOffset, start - oldestOffset + limit)
      return {
        records: page.map(({ offset, value }) => ({ offset, value })),
        nextOffset: start + page.length,
        oldestOffset,
        endOffset: endOffset()
      }
    },
    oldestOffset: () => {
      expire()
      return oldestOffset
    },
    endOffset,
    expireBefore: (offset) => drop(Math.min(offset, endOffset()) - oldestOffset),
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
    waiting: () => waiters.size
  }
}
