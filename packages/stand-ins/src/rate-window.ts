import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

const WINDOW_MILLISECONDS = 1_000

/** Rate limiter that counts the events of the last second. */
export interface RateWindow {
  /** Records an event and returns true when the limit is not reached; otherwise returns false. */
  readonly tryAcquire: () => boolean
  /** Time until the next event is permitted; zero when one is permitted now. */
  readonly waitMilliseconds: () => Milliseconds
}

/**
 * Creates a rate limiter with a sliding window of one second.
 *
 * @example
 * const window = createRateWindow(clock, 300)
 * if (!window.tryAcquire()) reply.sendJson(429, { code: 'over-rate' })
 */
export function createRateWindow (clock: Clock, eventsPerSecond: number): RateWindow {
  const eventTimes: Milliseconds[] = []
  const waitMilliseconds = (): Milliseconds => {
    const now = clock.now()
    while (eventTimes[0] !== undefined && eventTimes[0] <= now - WINDOW_MILLISECONDS) eventTimes.shift()
    if (eventTimes.length < eventsPerSecond) return 0
    const oldest = eventTimes[0]
    return oldest === undefined ? WINDOW_MILLISECONDS : oldest + WINDOW_MILLISECONDS - now
  }
  return {
    waitMilliseconds,
    tryAcquire: () => {
      if (waitMilliseconds() > 0) return false
      eventTimes.push(clock.now())
      return true
    }
  }
}
