import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import type { LogService } from './log-service.js'
import type { StreamFollower } from './stream-follower.js'
import type { StreamRecord } from './stream-record.js'

/** `undecided`: the signal aborted first; the record may be in the stream or may still be appended to it. */
export type ConfirmedAppend =
  | { readonly kind: 'applied'; readonly offset: number }
  | { readonly kind: 'undecided' }

export interface AppendConfirmedOptions {
  readonly logService: LogService
  readonly follower: Pick<StreamFollower<unknown>, 'stream' | 'waitForRecord'>
  readonly clock: Clock
  readonly record: StreamRecord
  /** Delay before a failed append of the record is retried. */
  readonly retryMilliseconds: Milliseconds
  readonly signal: AbortSignal
}

/**
 * Appends a record and resolves once the follower has applied it. A failed append is retried with the
 * same record id, because its response may have been lost although it took effect; folds ignore the
 * duplicate. Whether the record was accepted has to be read from the folded state.
 *
 * @example
 * const appended = await appendConfirmed({ logService, follower, clock, record, retryMilliseconds: 500, signal })
 */
export async function appendConfirmed (options: AppendConfirmedOptions): Promise<ConfirmedAppend> {
  const { logService, follower, clock, record, signal } = options
  const applied = follower.waitForRecord(record.recordId, signal)
  let isApplied = false
  void applied.then(() => { isApplied = true })
  while (!signal.aborted && !isApplied) {
    const result = await logService.append(follower.stream, [record], signal)
    if (result.isOk) break
    await Promise.race([applied, clock.sleep(options.retryMilliseconds, signal)])
  }
  const offset = await applied
  return offset === undefined ? { kind: 'undecided' } : { kind: 'applied', offset }
}
