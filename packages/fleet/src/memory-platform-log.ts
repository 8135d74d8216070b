import type { Clock } from '@fuchsiastage/clock'
import { createError } from '@fuchsiastage/errors'
import type { Milliseconds } from '@fuchsiastage/types'
import { err, ok } from 'true-myth/result'
import type { AppendOutcome, KeyedRecord, PlatformLog, ReadOutcome } from './platform-log.js'

/** In-memory log service for tests and demos, with conditional appends, newest records and simulated outages. */
export interface MemoryPlatformLog extends PlatformLog {
  /** While the service is down, every call fails without effect. */
  readonly setDown: (isDown: boolean) => void
  /** Makes the next append take effect but return an error with outcome `unknown`, as if its response were lost. */
  readonly loseNextResponse: () => void
  /** Expires all records of a topic; the newest record of each key stays readable with `readNewest`. */
  readonly expire: (topic: string) => void
  /** Returns a topic to an older copy: the records from an offset on are gone, their offsets are given out again, and the era rises. */
  readonly restore: (topic: string, endOffset: number) => void
}

const POLL_MILLISECONDS: Milliseconds = 20

interface Topic {
  readonly first: number
  readonly records: readonly Buffer[]
}

/**
 * Creates an in-memory log service.
 *
 * @example
 * const log = createMemoryPlatformLog(clock)
 * await log.append('orders', Buffer.from('{}'), 0)
 */
export function createMemoryPlatformLog (clock: Clock): MemoryPlatformLog {
  const topics = new Map<string, Topic>()
  const newest = new Map<string, Map<string, Buffer>>()
  /** The newest values of keyed topics when their records expired. */
  const newestAtExpiry = new Map<string, ReadonlyMap<string, Buffer>>()
  let era = 1
  let isDown = false
  let isNextResponseLost = false

  const failure = () => err(createError({ code: 'log-unavailable', message: 'the log service is unavailable', step: 'log', outcome: 'unknown', status: 503 }))
  const topicOf = (name: string): Topic => topics.get(name) ?? { first: 0, records: [] }
  const endOf = ({ first, records }: Topic): number => first + records.length

  const add = (name: string, value: Buffer): AppendOutcome => {
    const topic = topicOf(name)
    topics.set(name, { ...topic, records: [...topic.records, value] })
    return { kind: 'appended', offset: endOf(topic), era }
  }

  const respond = (outcome: AppendOutcome): ReturnType<PlatformLog['append']> => {
    if (!isNextResponseLost) return Promise.resolve(ok(outcome))
    isNextResponseLost = false
    return Promise.resolve(failure())
  }

  const readFrom = (name: string, from: number): ReadOutcome<Buffer> => {
    const topic = topicOf(name)
    if (from < topic.first || from > endOf(topic)) return { kind: 'expired', firstOffset: topic.first, era }
    return { kind: 'records', entries: topic.records.slice(from - topic.first), nextOffset: Math.max(from, endOf(topic)), era }
  }

  /** Waits for new records for at most the long-poll time, as the service does. */
  const awaitRecords = async (name: string, from: number, waitMilliseconds: Milliseconds, signal?: AbortSignal): Promise<void> => {
    const until = clock.now() + waitMilliseconds
    while (endOf(topicOf(name)) <= from && clock.now() < until && signal?.aborted !== true) await clock.sleep(POLL_MILLISECONDS, signal)
  }

  const keyedOf = (record: Buffer): KeyedRecord => JSON.parse(record.toString(), (key, value: unknown) =>
    key === 'value' && typeof value === 'string' ? Buffer.from(value, 'base64') : value) as KeyedRecord

  const applyKeyed = (name: string, { key, value }: KeyedRecord): void => {
    const keys = newest.get(name) ?? new Map<string, Buffer>()
    if (value === undefined) keys.delete(key)
    else keys.set(key, value)
    newest.set(name, keys)
  }

  return {
    setDown: (value) => { isDown = value },
    loseNextResponse: () => { isNextResponseLost = true },
    expire: (name) => {
      newestAtExpiry.set(name, new Map(newest.get(name)))
      topics.set(name, { first: endOf(topicOf(name)), records: [] })
    },
    restore: (name, endOffset) => {
      const { first, records } = topicOf(name)
      const kept = records.slice(0, Math.max(0, endOffset - first))
      topics.set(name, { first, records: kept })
      if (newest.has(name)) {
        newest.set(name, new Map(newestAtExpiry.get(name)))
        for (const record of kept) applyKeyed(name, keyedOf(record))
      }
      era++
    },
    readNewest: async (name) => isDown
      ? failure()
      : ok({ records: [...newest.get(name) ?? []].map(([key, value]) => ({ key, value })), endOffset: endOf(topicOf(name)), era }),
    read: async (name, from, waitMilliseconds, signal) => {
      await awaitRecords(name, from, waitMilliseconds, signal)
      return isDown ? failure() : ok(readFrom(name, from))
    },
    readKeyed: async (name, from, waitMilliseconds, signal) => {
      await awaitRecords(name, from, waitMilliseconds, signal)
      if (isDown) return failure()
      const outcome = readFrom(name, from)
      return ok(outcome.kind === 'expired' ? outcome : { ...outcome, entries: outcome.entries.map(keyedOf) })
    },
    append: async (name, value, expectedEndOffset) => {
      if (isDown) return failure()
      const end = endOf(topicOf(name))
      return await respond(expectedEndOffset === undefined || end === expectedEndOffset ? add(name, value) : { kind: 'conflict', endOffset: end, era })
    },
    appendKeyed: async (name, key, value) => {
      if (isDown) return failure()
      applyKeyed(name, { key, value })
      return await respond(add(name, Buffer.from(JSON.stringify({ key, value: value?.toString('base64') }))))
    }
  }
}
