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

/** A log service in memory whose faults a test can set. */
export interface MemoryLogService extends LogService {
  readonly setDown: (down: boolean) => void
  /** The next appends take effect but answer with an error of outcome `unknown`. */
  readonly loseReplies: (count: number) => void
  /** The next appends fail without taking effect, with outcome `unknown`. */
  readonly loseRequests: (count: number) => void
  /** Drops all records before the offset. */
  readonly expire: (stream: string, beforeOffset: number) => void
  readonly contents: (stream: string) => readonly LogRecord[]
  readonly appendCount: () => number
  /** A view of the same streams that one client can be cut off from. */
  readonly connect: () => LogService & { readonly setCut: (cut: boolean) => void }
}

/**
 * Creates a log service in memory.
 *
 * @example
 * const logService = createMemoryLogService(clock)
 * await logService.append('configuration', [{ kind: 'patch' }])
 */
export function createMemoryLogService (clock: Clock): MemoryLogService {
  const streams = new Map<string, StreamData>()
  let down = false
  let repliesToLose = 0
  let requestsToLose = 0
  let appends = 0

  const streamOf = (name: string): StreamData => {
    let data = streams.get(name)
    if (data === undefined) {
      data = { records: [], oldestOffset: 0, waiters: new Set() }
      streams.set(name, data)
    }
    return data
  }
  const endOf = (data: StreamData): number => data.oldestOffset + data.records.length

  const append = async (isCut: () => boolean, stream: string, values: readonly JsonValue[]): Promise<Result<{ firstOffset: number }, FuchsiastageError>> => {
    if (down || isCut()) return err(unavailable('append', 'unknown'))
    if (requestsToLose > 0) {
      requestsToLose--
      return err(unavailable('append', 'unknown'))
    }
    const data = streamOf(stream)
    const firstOffset = endOf(data)
    values.forEach((value, index) => data.records.push({ offset: firstOffset + index, value }))
    appends++
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

  const read = async (isCut: () => boolean, stream: string, fromOffset: number, options: ReadOptions, signal?: AbortSignal): Promise<Result<ReadResult, FuchsiastageError>> => {
    if (down || isCut()) return err(unavailable('read', 'not-run'))
    const data = streamOf(stream)
    if (fromOffset >= endOf(data) && options.waitMilliseconds > 0) {
      await waitForRecords(data, options.waitMilliseconds, signal)
      if (down || isCut()) return err(unavailable('read', 'not-run'))
    }
    const start = Math.max(fromOffset, data.oldestOffset)
    const records = data.records.slice(start - data.oldestOffset, start - data.oldestOffset + options.limit)
    return ok({ records, nextOffset: start + records.length, oldestOffset: data.oldestOffset, endOffset: endOf(data) })
  }

  const connect = (): LogService & { readonly setCut: (cut: boolean) => void } => {
    let cut = false
    const isCut = (): boolean => cut
    return {
      append: (stream, values) => append(isCut, stream, values),
      read: (stream, fromOffset, options, signal) => read(isCut, stream, fromOffset, options, signal),
      setCut: (value) => { cut = value }
    }
  }

  const neverCut = (): boolean => false
  return {
    append: (stream, values) => append(neverCut, stream, values),
    read: (stream, fromOffset, options, signal) => read(neverCut, stream, fromOffset, options, signal),
    connect,
    setDown: (value) => { down = value },
    loseReplies: (count) => { repliesToLose = count },
    loseRequests: (count) => { requestsToLose = count },
    expire: (stream, beforeOffset) => {
      const data = streamOf(stream)
      const dropped = Math.max(0, Math.min(beforeOffset, endOf(data)) - data.oldestOffset)
      data.records.splice(0, dropped)
      data.oldestOffset += dropped
    },
    contents: (stream) => [...streamOf(stream).records],
    appendCount: () => appends
  }
}

function unavailable (step: string, outcome: 'unknown' | 'not-run'): FuchsiastageError {
  return createError({ code: 'log-unavailable', message: 'the log service did not answer', step, peer: 'log-service', outcome, status: 503 })
}
