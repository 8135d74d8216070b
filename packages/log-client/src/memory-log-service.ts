import type { Clock } from '@fuchsiastage/clock'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import type { JsonValue } from '@fuchsiastage/types'
import { err, ok, type Result } from 'true-myth/result'
import type { LogRecord, LogService, ReadOptions, ReadResult } from './log-service.js'

interface StreamData {
  readonly records: LogRecord[]
  oldestOffset: number
  readonly waiters: Set<() => void>
}

/** An in-memory log service into which a test can inject faults. */
export interface MemoryLogService extends LogService {
  /** Makes all calls fail until it is set to false. */
  readonly setDown: (down: boolean) => void
  /** Makes the next `count` appends take effect but return an error with the outcome `unknown`. */
  readonly loseReplies: (count: number) => void
  /** Makes the next `count` appends fail with the outcome `unknown` without taking effect. */
  readonly loseRequests: (count: number) => void
  /** Removes all records before the offset. */
  readonly expire: (stream: string, beforeOffset: number) => void
  readonly contents: (stream: string) => readonly LogRecord[]
  /** Number of appends that took effect. */
  readonly appendCount: () => number
  /** Returns a client of the same streams that can be disconnected separately from other clients. */
  readonly connect: () => LogService & { readonly setCut: (cut: boolean) => void }
}

/**
 * Creates an in-memory log service.
 *
 * @example
 * const logService = createMemoryLogService(clock)
 * await logService.append('configuration', [{ kind: 'patch' }])
 */
export function createMemoryLogService (clock: Clock): MemoryLogService {
  const streams = new Map<string, StreamData>()
  let isDown = false
  let repliesToLose = 0
  let requestsToLose = 0
  let appliedAppends = 0

  const streamOf = (name: string): StreamData => {
    let data = streams.get(name)
    if (data === undefined) {
      data = { records: [], oldestOffset: 0, waiters: new Set() }
      streams.set(name, data)
    }
    return data
  }
  const endOf = (data: StreamData): number => data.oldestOffset + data.records.length

  const append = async (isDisconnected: () => boolean, stream: string, values: readonly JsonValue[]): Promise<Result<{ firstOffset: number }, FuchsiastageError>> => {
    if (isDown || isDisconnected()) return err(unavailable('append', 'unknown'))
    if (requestsToLose > 0) {
      requestsToLose--
      return err(unavailable('append', 'unknown'))
    }
    const data = streamOf(stream)
    const firstOffset = endOf(data)
    values.forEach((value, index) => data.records.push({ offset: firstOffset + index, value }))
    appliedAppends++
    for (const wake of [...data.waiters]) wake()
    if (repliesToLose > 0) {
      repliesToLose--
      return err(unavailable('append', 'unknown'))
    }
    return ok({ firstOffset })
  }

  const waitForRecords = (data: StreamData, waitMilliseconds: number, signal?: AbortSignal): Promise<void> =>
    new Promise((resolve) => {
      const wake = (): void => {
        data.waiters.delete(wake)
        timer.cancel()
        signal?.removeEventListener('abort', wake)
        resolve()
      }
      const timer = clock.setTimer(waitMilliseconds, wake)
      data.waiters.add(wake)
      signal?.addEventListener('abort', wake)
    })

  const read = async (isDisconnected: () => boolean, stream: string, fromOffset: number, options: ReadOptions, signal?: AbortSignal): Promise<Result<ReadResult, FuchsiastageError>> => {
    if (isDown || isDisconnected()) return err(unavailable('read', 'not-run'))
    const data = streamOf(stream)
    if (fromOffset >= endOf(data) && options.waitMilliseconds > 0) {
      await waitForRecords(data, options.waitMilliseconds, signal)
      if (isDown || isDisconnected()) return err(unavailable('read', 'not-run'))
    }
    const start = Math.max(fromOffset, data.oldestOffset)
    const records = data.records.slice(start - data.oldestOffset, start - data.oldestOffset + options.limit)
    return ok({ records, nextOffset: start + records.length, oldestOffset: data.oldestOffset, endOffset: endOf(data) })
  }

  const connect = (): LogService & { readonly setCut: (cut: boolean) => void } => {
    let disconnected = false
    const isDisconnected = (): boolean => disconnected
    return {
      append: (stream, values) => append(isDisconnected, stream, values),
      read: (stream, fromOffset, options, signal) => read(isDisconnected, stream, fromOffset, options, signal),
      setCut: (value) => { disconnected = value }
    }
  }

  const neverDisconnected = (): boolean => false
  return {
    append: (stream, values) => append(neverDisconnected, stream, values),
    read: (stream, fromOffset, options, signal) => read(neverDisconnected, stream, fromOffset, options, signal),
    connect,
    setDown: (value) => { isDown = value },
    loseReplies: (count) => { repliesToLose = count },
    loseRequests: (count) => { requestsToLose = count },
    expire: (stream, beforeOffset) => {
      const data = streamOf(stream)
      const dropped = Math.max(0, Math.min(beforeOffset, endOf(data)) - data.oldestOffset)
      data.records.splice(0, dropped)
      data.oldestOffset += dropped
    },
    contents: (stream) => [...streamOf(stream).records],
    appendCount: () => appliedAppends
  }
}

function unavailable (step: string, outcome: 'unknown' | 'not-run'): FuchsiastageError {
  return createError({ code: 'log-unavailable', message: 'the log service is unreachable', step, peer: 'log-service', outcome, status: 503 })
}
