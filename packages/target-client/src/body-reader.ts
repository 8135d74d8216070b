import type { Clock, Timer } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import type { SourceChunk } from './outcomes.js'

export interface BodyReader {
  readonly push: (chunk: Buffer) => void
  readonly end: () => void
  readonly close: (reason: string) => void
  /** At most one read may wait at a time. Infinity waits without a bound. */
  readonly read: (silenceMilliseconds: Milliseconds) => Promise<SourceChunk>
}

/** Flow control of the connection that feeds the reader. */
export interface FlowControl {
  readonly pause: () => void
  readonly resume: () => void
}

/** Bytes that may wait for the reader before the connection is paused. */
const HIGH_WATER_BYTES = 65_536

/**
 * Queues the chunks of an answer for one reader. A read takes everything that has arrived, so
 * that a fast stream costs one promise for many chunks.
 */
export function createBodyReader (clock: Clock, flow: FlowControl): BodyReader {
  let chunks: Buffer[] = []
  let queuedBytes = 0
  let paused = false
  let ending: SourceChunk | undefined
  let waiting: ((chunk: SourceChunk) => void) | undefined
  let waitingSince = 0
  let silence = Infinity
  let timer: Timer | undefined

  const take = (): SourceChunk | undefined => {
    if (chunks.length === 0) return ending
    const taken: SourceChunk = { kind: 'bytes', chunks }
    chunks = []
    queuedBytes = 0
    return taken
  }

  const answer = (chunk: SourceChunk): void => {
    const resolve = waiting
    waiting = undefined
    resolve?.(chunk)
  }

  const deliver = (): void => {
    if (waiting === undefined) return
    const chunk = take()
    if (chunk !== undefined) answer(chunk)
  }

  // One timer serves many reads: setting and cancelling one for each token costs more than the relay.
  const watchSilence = (delay: Milliseconds): void => {
    timer = clock.setTimer(delay, () => {
      timer = undefined
      if (ending !== undefined || waiting === undefined) return
      const left = waitingSince + silence - clock.now()
      if (left > 0) watchSilence(left)
      else answer({ kind: 'silent' })
    })
  }

  const finish = (chunk: SourceChunk): void => {
    if (ending !== undefined) return
    ending = chunk
    timer?.cancel()
    timer = undefined
    deliver()
  }

  const push = (chunk: Buffer): void => {
    if (ending !== undefined) return
    chunks.push(chunk)
    queuedBytes += chunk.length
    if (waiting !== undefined) {
      deliver()
    } else if (queuedBytes >= HIGH_WATER_BYTES && !paused) {
      paused = true
      flow.pause()
    }
  }

  const read = (silenceMilliseconds: Milliseconds): Promise<SourceChunk> => {
    const ready = take()
    if (paused) {
      paused = false
      flow.resume()
    }
    if (ready !== undefined) return Promise.resolve(ready)
    return new Promise((resolve) => {
      waiting = resolve
      waitingSince = clock.now()
      silence = silenceMilliseconds
      if (timer === undefined && silence !== Infinity) watchSilence(silence)
      deliver()
    })
  }

  return {
    push,
    end: () => finish({ kind: 'end' }),
    close: (reason) => finish({ kind: 'closed', reason }),
    read
  }
}
