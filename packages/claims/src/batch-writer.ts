import type { Clock } from '@fuchsiastage/clock'
import type { LeasedStream } from '@fuchsiastage/leased-stream'
import type { JsonValue, Milliseconds } from '@fuchsiastage/types'
import { BATCH_KIND, type BatchEntry, type ClaimsState } from './claims-fold.js'

/**
 * `applied`: the own fold has passed the batch; only the folded state tells whether it was valid.
 * `undecided`: the entries may be in the stream or may still get there.
 */
export type BatchResult = 'applied' | 'not-holder' | 'undecided'

export interface BatchWriterOptions {
  readonly stream: Pick<LeasedStream<ClaimsState>, 'append'>
  readonly clock: Clock
  /** Pause before a batch is closed, so that entries that arrive together share an append. */
  readonly lingerMilliseconds: Milliseconds
  readonly maximumAppendsPerSecond: number
  readonly retentionMilliseconds: Milliseconds
}

export interface BatchWriter {
  /** Writes the entries next to each other in one batch. */
  readonly submit: (entries: readonly BatchEntry[], signal: AbortSignal) => Promise<BatchResult>
  /** Abandons the batch in flight, whose record the fold would reject, and all waiting entries. */
  readonly abandon: () => void
}

interface WaitingEntries {
  readonly entries: readonly BatchEntry[]
  readonly bytes: number
  readonly finish: (result: BatchResult) => void
}

/** Bounds the size of one record. */
const MAXIMUM_BATCH_BYTES = 256 * 1024

/**
 * Creates the writer that collects the entries of one partition into batches, one append at a time.
 *
 * @example
 * const result = await writer.submit([claimEntry], signal)
 */
export function createBatchWriter (options: BatchWriterOptions): BatchWriter {
  const { stream, clock } = options
  const intervalMilliseconds = 1_000 / options.maximumAppendsPerSecond
  let waiting: WaitingEntries[] = []
  let isRunning = false
  let sequence = 0
  let nextAppendAt = 0
  let abandonment = new AbortController()

  const takeBatch = (): readonly WaitingEntries[] => {
    const taken: WaitingEntries[] = []
    let bytes = 0
    for (const item of waiting) {
      if (taken.length > 0 && bytes + item.bytes > MAXIMUM_BATCH_BYTES) break
      taken.push(item)
      bytes += item.bytes
    }
    waiting = waiting.slice(taken.length)
    return taken
  }

  const write = async (): Promise<void> => {
    while (waiting.length > 0) {
      await clock.sleep(Math.max(options.lingerMilliseconds, nextAppendAt - clock.now()))
      const batch = takeBatch()
      if (batch.length === 0) continue
      nextAppendAt = clock.now() + intervalMilliseconds
      const fields = {
        sequence: ++sequence,
        retentionMilliseconds: options.retentionMilliseconds,
        entries: batch.flatMap(({ entries }) => entries) as unknown as JsonValue
      }
      const { kind } = await stream.append(BATCH_KIND, fields, abandonment.signal)
      for (const { finish } of batch) finish(kind)
    }
    isRunning = false
  }

  const submit = (entries: readonly BatchEntry[], signal: AbortSignal): Promise<BatchResult> =>
    new Promise((resolve) => {
      const finish = (result: BatchResult): void => {
        signal.removeEventListener('abort', abort)
        resolve(result)
      }
      // Entries that are not in a batch yet are withdrawn; the others may take effect later.
      const abort = (): void => {
        waiting = waiting.filter((other) => other !== item)
        finish('undecided')
      }
      const item: WaitingEntries = { entries, bytes: Buffer.byteLength(JSON.stringify(entries)), finish }
      if (signal.aborted) {
        resolve('undecided')
        return
      }
      signal.addEventListener('abort', abort)
      waiting.push(item)
      if (isRunning) return
      isRunning = true
      void write()
    })

  return {
    submit,
    abandon: () => {
      abandonment.abort()
      abandonment = new AbortController()
      for (const { finish } of waiting) finish('not-holder')
      waiting = []
    }
  }
}
