import type { Clock } from './clock.js'

/** A point in time on both clocks of a process. */
export interface Moment {
  /** Monotonic time in milliseconds. */
  readonly monotonic: number
  /** Wall-clock time in milliseconds since the Unix epoch. */
  readonly wall: number
}

/**
 * Returns the present moment, or one before it.
 *
 * @example
 * const askedAt = momentOf(clock)
 */
export function momentOf (clock: Pick<Clock, 'now' | 'wallNow'>, millisecondsAgo = 0): Moment {
  return { monotonic: clock.now() - millisecondsAgo, wall: clock.wallNow() - millisecondsAgo }
}

/**
 * Returns an upper bound of the time since a moment. The monotonic clock stands still while a VM is suspended, and
 * the wall clock may have been set back; the longer time counts.
 *
 * @example
 * if (elapsedSince(clock, confirmedAt) > 2_000) askAgain()
 */
export function elapsedSince (clock: Pick<Clock, 'now' | 'wallNow'>, { monotonic, wall }: Moment): number {
  return Math.max(clock.now() - monotonic, clock.wallNow() - wall)
}

/**
 * Returns the moment that is a time after another one, but not after the present.
 *
 * @example
 * const completeAt = laterBy(clock, startedAt, 1_500)
 */
export function laterBy (clock: Pick<Clock, 'now' | 'wallNow'>, { monotonic, wall }: Moment, milliseconds: number): Moment {
  return { monotonic: Math.min(clock.now(), monotonic + milliseconds), wall: Math.min(clock.wallNow(), wall + milliseconds) }
}
