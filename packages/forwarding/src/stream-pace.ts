import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

/** When the bytes of a stream came, for the log line of its request. */
export interface StreamPace {
  /** Returns the time since the bytes before; 0 for the first ones. */
  readonly noteBytes: () => Milliseconds
  /** Time from the arrival of the request to the first bytes; undefined before them. */
  readonly firstByteMilliseconds: () => Milliseconds | undefined
  /** Longest time between bytes; undefined before the second bytes. */
  readonly longestPauseMilliseconds: () => Milliseconds | undefined
}

/**
 * Creates the record of a stream's pace, over all sends of its request.
 *
 * @example
 * const pace = createStreamPace(clock, request.receivedAt)
 * for await (const chunk of body) pace.noteBytes()
 */
export function createStreamPace (clock: Clock, receivedAt: Milliseconds): StreamPace {
  let firstAt: Milliseconds | undefined
  let lastAt: Milliseconds | undefined
  let longest: Milliseconds | undefined

  return {
    noteBytes: () => {
      const now = clock.now()
      const pause = lastAt === undefined ? 0 : now - lastAt
      if (lastAt !== undefined) longest = Math.max(longest ?? 0, pause)
      firstAt ??= now
      lastAt = now
      return pause
    },
    firstByteMilliseconds: () => firstAt === undefined ? undefined : Math.round(firstAt - receivedAt),
    longestPauseMilliseconds: () => longest === undefined ? undefined : Math.round(longest)
  }
}
