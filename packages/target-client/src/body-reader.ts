import type { Clock, Timer } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import type { SourceChunk } from './outcomes.js'

export interface BodyReader {
  readonly push: (chunk: Buffer) => void
  readonly end: () => void
  readonly close: (reason: string) => void
  /** Resolves with everything queued, or with the next bytes. Only one read may be pending; Infinity disables the timeout. */
  readonly read: (timeoutMilliseconds: Milliseconds) => Promise<SourceChunk>
}

/** Flow control of the connection whose bytes are queued. */
export interface FlowControl {
  readonly pause: () => void
  readonly resume: () => void
}

/** Number of queued bytes at which the connection is paused. */
const HIGH_WATER_MARK_BYTES = 65_536

/**
 * Queues the chunks of a response for one reader. A read returns everything that has arrived, so that
 * a fast stream needs one promise for many chunks.
 */
export function createBodyReader (clock: Clock, flow: FlowControl): BodyReader {
  let chunks: Buffer[] = []
  let queuedBytes = 0
  let isPaused = false
  let endChunk: SourceChunk | undefined
  let resolveRead: ((chunk: SourceChunk) => void) | undefined
  let readStartedAt = 0
  let readTimeoutMilliseconds = Infinity
  let readTimer: Timer | undefined

  const takeQueued = (): SourceChunk | undefined => {
    if (chunks.length === 0) return endChunk
    const taken: SourceChunk = { kind: 'bytes', chunks }
    chunks = []
    queuedBytes = 0
    return taken
  }

  const completeRead = (chunk: SourceChunk): void => {
    const resolve = resolveRead
    resolveRead = undefined
    resolve?.(chunk)
  }

  const deliverQueued = (): void => {
    if (resolveRead === undefined) return
    const chunk = takeQueued()
    if (chunk !== undefined) completeRead(chunk)
  }

  // One timer serves many reads, because setting and cancelling a timer for each token costs more than relaying the token.
  // A timer that is already running is not shortened, so a timeout that is shorter than the previous one can expire late.
  const startReadTimer = (delay: Milliseconds): void => {
    readTimer = clock.setTimer(delay, () => {
      readTimer = undefined
      if (endChunk !== undefined || resolveRead === undefined) return
      const remainingMilliseconds = readStartedAt + readTimeoutMilliseconds - clock.now()
      if (remainingMilliseconds > 0) startReadTimer(remainingMilliseconds)
      else completeRead({ kind: 'silent' })
    })
  }

  const finish = (chunk: SourceChunk): void => {
    if (endChunk !== undefined) return
    endChunk = chunk
    readTimer?.cancel()
    readTimer = undefined
    deliverQueued()
  }

  const push = (chunk: Buffer): void => {
    if (endChunk !== undefined) return
    chunks.push(chunk)
    queuedBytes += chunk.length
    if (resolveRead !== undefined) {
      deliverQueued()
    } else if (queuedBytes >= HIGH_WATER_MARK_BYTES && !isPaused) {
      isPaused = true
      flow.pause()
    }
  }

  const read = (timeoutMilliseconds: Milliseconds): Promise<SourceChunk> => {
    const ready = takeQueued()
    if (isPaused) {
      isPaused = false
      flow.resume()
    }
    if (ready !== undefined) return Promise.resolve(ready)
    return new Promise((resolve) => {
      resolveRead = resolve
      readStartedAt = clock.now()
      readTimeoutMilliseconds = timeoutMilliseconds
      if (readTimer === undefined && readTimeoutMilliseconds !== Infinity) startReadTimer(readTimeoutMilliseconds)
      deliverQueued()
    })
  }

  return {
    push,
    end: () => finish({ kind: 'end' }),
    close: (reason) => finish({ kind: 'closed', reason }),
    read
  }
}
