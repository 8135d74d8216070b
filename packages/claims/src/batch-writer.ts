import type { Clock } from '@fuchsiastage/clock'
import type { LeasedStream } from '@fuchsiastage/leased-stream'
import type { JsonValue, Milliseconds } from '@fuchsiastage/types'
import { BATCH_KIND, type BatchEntry, type ClaimsState } from './claims-fold.js'

/**
 * `applied`: the local fold has processed the batch; the folded state shows which entries were valid.
 * `not-holder`: this daemon does not hold the lease of the partition.
 * `undecided`: the entries may already be in the stream or may still be appended.
 */
export type BatchResult = 'applied' | 'not-holder' | 'undecided'

export interface BatchWriterOptions {
  readonly stream: Pick<LeasedStream<ClaimsState>, 'append'>
  readonly clock: Clock
  /** Delay before a batch is closed, so that entries which arrive at about the same time share an append. */
  readonly lingerMilliseconds: Milliseconds
  readonly maximumAppendsPerSecond: number
  /** The fold deletes claims whose key timestamps are older than the newest one by more than this. */
  readonly retentionMilliseconds: Milliseconds
}

export interface BatchWriter {
  /** Appends the entries consecutively in the same batch. */
  readonly submit: (entries: readonly BatchEntry[], signal: AbortSignal) => Promise<BatchResult>
  /** Abandons the batch in flight and all pending entries. Called when the lease is lost, because the fold then rejects the batch, and on stop. */
  readonly abandon: () => void
}

interface PendingSubmission {
  readonly entries: readonly BatchEntry[]
  readonly bytes: number
  readonly finish: (result: BatchResult) => void
}

/** Maximum size of one batch, which is one record; a larger single submission forms a batch of its own. */
const MAXIMUM_BATCH_BYTES = 256 * 1024

/**
 * Creates the writer that groups the entries of one partition into batches and appends one batch at a time.
 *
 * @example
 * const result = await writer.submit([claimEntry], signal)
 */
export function createBatchWriter (options: BatchWriterOptions): BatchWriter {
  const { stream, clock } = options
  const appendIntervalMilliseconds = 1_000 / options.maximumAppendsPerSecond
  let pending: PendingSubmission[] = []
  let isWriting = false
  let sequence = 0
  let nextAppendAt = 0
  let abandonController = new AbortController()

  const takeBatch = (): readonly PendingSubmission[] => {
    const taken: PendingSubmission[] = []
    let bytes = 0
    for (const submission of pending) {
      if (taken.length > 0 && bytes + submission.bytes > MAXIMUM_BATCH_BYTES) break
      taken.push(submission)
      bytes += submission.bytes
    }
    pending = pending.slice(taken.length)
    return taken
  }

  const writePending = async (): Promise<void> => {
    while (pending.length > 0) {
      await clock.sleep(Math.max(options.lingerMilliseconds, nextAppendAt - clock.now()))
      const batch = takeBatch()
      if (batch.length === 0) continue
      nextAppendAt = clock.now() + appendIntervalMilliseconds
      const fields = {
        sequence: ++sequence,
        retentionMilliseconds: options.retentionMilliseconds,
        entries: batch.flatMap(({ entries }) => entries) as unknown as JsonValue
      }
      const { kind } = await stream.append(BATCH_KIND, fields, abandonController.signal)
      for (const { finish } of batch) finish(kind)
    }
    isWriting = false
  }

  const submit = (entries: readonly BatchEntry[], signal: AbortSignal): Promise<BatchResult> =>
    new Promise((resolve) => {
      const finish = (result: BatchResult): void => {
        signal.removeEventListener('abort', abort)
        resolve(result)
      }
      // Entries that are not yet part of a batch are removed. Entries of a batch in flight may still take effect.
      const abort = (): void => {
        pending = pending.filter((other) => other !== submission)
        finish('undecided')
      }
      const submission: PendingSubmission = { entries, bytes: Buffer.byteLength(JSON.stringify(entries)), finish }
      if (signal.aborted) {
        resolve('undecided')
        return
      }
      signal.addEventListener('abort', abort)
      pending.push(submission)
      if (isWriting) return
      isWriting = true
      void writePending()
    })

  return {
    submit,
    abandon: () => {
      abandonController.abort()
      abandonController = new AbortController()
      for (const { finish } of pending) finish('not-holder')
      pending = []
    }
  }
}
