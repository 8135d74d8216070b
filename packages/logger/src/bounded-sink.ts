import { write } from 'node:fs'
import type { LogSink } from './logger.js'

export interface BoundedSink {
  readonly sink: LogSink
  /** Number of lines dropped because the buffer was full, plus one for each failed write. */
  readonly dropped: () => number
  /** Resolves once all accepted lines have been written or lost to a write error. */
  readonly flush: () => Promise<void>
}

/** Limit on the total length of the lines that wait to be written. */
const MAXIMUM_PENDING_CHARACTERS = 512 * 1024

/**
 * Creates a sink that never blocks the process on a slow reader. Lines wait in a bounded buffer;
 * when it is full, further lines are dropped and counted.
 *
 * @example
 * const { sink } = createBoundedSink(1)
 * const logger = createLogger({ clock, process: 'entry-1', level: 'info', sink })
 */
export function createBoundedSink (descriptor: number): BoundedSink {
  let pending: string[] = []
  let pendingCharacters = 0
  let dropped = 0
  let reportedDropped = 0
  let isWriting = false
  let flushResolvers: Array<() => void> = []

  const finishWriting = (): void => {
    isWriting = false
    for (const resolve of flushResolvers) resolve()
    flushResolvers = []
  }

  const writeBuffer = (buffer: Buffer): void => {
    write(descriptor, buffer, 0, buffer.length, null, (error, written) => {
      // Any error except EAGAIN, for example after the reader closed the pipe, loses the whole batch and counts once.
      if (error !== null && error.code !== 'EAGAIN') dropped++
      const remaining = buffer.subarray(error === null ? written : error.code === 'EAGAIN' ? 0 : buffer.length)
      if (remaining.length > 0) setTimeout(() => writeBuffer(remaining), error === null ? 0 : 10)
      else writeNextBatch()
    })
  }

  const writeNextBatch = (): void => {
    if (pending.length === 0) {
      finishWriting()
      return
    }
    if (dropped > reportedDropped) {
      pending.push(JSON.stringify({ level: 'warn', event: 'log-lines-dropped', message: 'log lines were dropped because the output was not read fast enough or a write failed', dropped }))
      reportedDropped = dropped
    }
    const text = pending.join('\n') + '\n'
    pending = []
    pendingCharacters = 0
    isWriting = true
    writeBuffer(Buffer.from(text))
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
        setImmediate(writeNextBatch)
      }
    },
    dropped: () => dropped,
    flush: async () => {
      if (isWriting) await new Promise<void>((resolve) => flushResolvers.push(resolve))
    }
  }
}
