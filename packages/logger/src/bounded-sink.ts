import { write } from 'node:fs'
import type { LogSink } from './logger.js'

export interface BoundedSink {
  readonly sink: LogSink
  /** Lines that were dropped because the reader did not keep up. */
  readonly dropped: () => number
  /** Resolves when all that was accepted has been written. */
  readonly flush: () => Promise<void>
}

/** Lines that wait for the reader take at most this much memory. */
const MAXIMUM_PENDING_CHARACTERS = 512 * 1024

/**
 * Creates a sink that never blocks the process: lines wait in a bounded buffer and are dropped,
 * and counted, when it is full.
 *
 * @example
 * const { sink } = createBoundedSink(1)
 * const logger = createLogger({ clock, process: 'entry-1', level: 'info', sink })
 */
export function createBoundedSink (descriptor: number): BoundedSink {
  let pending: string[] = []
  let pendingCharacters = 0
  let dropped = 0
  let droppedReported = 0
  let isWriting = false
  let waiting: Array<() => void> = []

  const settle = (): void => {
    isWriting = false
    for (const resolve of waiting) resolve()
    waiting = []
  }

  const writeAll = (buffer: Buffer): void => {
    write(descriptor, buffer, 0, buffer.length, null, (error, written) => {
      // A reader that is gone cannot be told anything; the lines are lost like dropped ones.
      if (error !== null && error.code !== 'EAGAIN') dropped++
      const rest = buffer.subarray(error === null ? written : error.code === 'EAGAIN' ? 0 : buffer.length)
      if (rest.length > 0) setTimeout(() => writeAll(rest), error === null ? 0 : 10)
      else next()
    })
  }

  const next = (): void => {
    if (pending.length === 0) {
      settle()
      return
    }
    if (dropped > droppedReported) {
      pending.push(JSON.stringify({ level: 'warn', event: 'log-lines-dropped', message: 'log lines were dropped', dropped }))
      droppedReported = dropped
    }
    const text = pending.join('\n') + '\n'
    pending = []
    pendingCharacters = 0
    isWriting = true
    writeAll(Buffer.from(text))
  }

  return {
    sink: (line) => {
      if (pendingCharacters + line.length > MAXIMUM_PENDING_CHARACTERS) {
        dropped++
        return
      }
      pending.push(line)
      pendingCharacters += line.length
      if (!isWriting) {
        isWriting = true
        setImmediate(next)
      }
    },
    dropped: () => dropped,
    flush: async () => {
      if (isWriting) await new Promise<void>((resolve) => waiting.push(resolve))
    }
  }
}
