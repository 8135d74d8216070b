import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

/** Arrival times of the bytes of a stream, for the log line of its request. */
export interface StreamTiming {
  /** Records the arrival of bytes and returns the time since the previous ones; 0 for the first bytes. */
  readonly recordBytes: () => Milliseconds
  /** Time from the arrival of the request to the first bytes; undefined until they arrive. */
  readonly firstByteMilliseconds: () => Milliseconds | undefined
  /** Longest time between two arrivals; undefined until the second one. */
  readonly longestPauseMilliseconds: () => Milliseconds | undefined
}

/**
 * Creates the timing record of a stream. It covers all sends of the request.
 *
 * @example
 * const timing = createStreamTiming(clock, request.receivedAt)
 * for await (const chunk of body) timing.recordBytes()
 */
export function createStreamTiming (clock: Clock, receivedAt: Milliseconds): StreamTiming {
  let firstAt: Milliseconds | undefined
  let lastAt: Milliseconds | undefined
  let longest: Milliseconds | undefined

  return {
    recordBytes: () => {
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
