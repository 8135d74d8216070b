import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import type { LogService } from './log-service.js'
import type { StreamFollower } from './stream-follower.js'
import type { StreamRecord } from './stream-record.js'

/** `undecided`: the record may be in the stream or may still get there. */
export type ConfirmedAppend =
  | { readonly kind: 'applied'; readonly offset: number }
  | { readonly kind: 'undecided' }

export interface AppendConfirmedOptions {
  readonly logService: LogService
  readonly follower: Pick<StreamFollower<unknown>, 'stream' | 'waitForRecord'>
  readonly clock: Clock
  readonly record: StreamRecord
  /** Pause before the same record is appended again. */
  readonly retryMilliseconds: Milliseconds
  readonly signal: AbortSignal
}

/**
 * Appends a record and resolves once the own fold has applied it. An append whose reply was lost is
 * repeated with the same record id; folds ignore the repetition. The caller reads the verdict on
 * the record from the folded state.
 *
 * @example
 * const appended = await appendConfirmed({ logService, follower, clock, record, retryMilliseconds: 500, signal })
 */
export async function appendConfirmed (options: AppendConfirmedOptions): Promise<ConfirmedAppend> {
  const { logService, follower, clock, record, signal } = options
  const seen = follower.waitForRecord(record.recordId, signal)
  let isSeen = false
  void seen.then(() => { isSeen = true })
  while (!signal.aborted && !isSeen) {
    const result = await logService.append(follower.stream, [record], signal)
    if (result.isOk) break
    await Promise.race([seen, clock.sleep(options.retryMilliseconds, signal)])
  }
  const offset = await seen
  return offset === undefined ? { kind: 'undecided' } : { kind: 'applied', offset }
}
