import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

const WINDOW_MILLISECONDS = 1_000

/** Counts events in the last second against a limit. */
export interface RateWindow {
  /** Takes a place in the window when one is free. */
  readonly tryTake: () => boolean
  /** Time until the next place is free; zero when one is free now. */
  readonly waitMilliseconds: () => Milliseconds
}

/**
 * Creates a sliding window of one second.
 *
 * @example
 * const window = createRateWindow(clock, 300)
 * if (!window.tryTake()) reply.sendJson(429, { code: 'over-rate' })
 */
export function createRateWindow (clock: Clock, eventsPerSecond: number): RateWindow {
  const times: Milliseconds[] = []
  const waitMilliseconds = (): Milliseconds => {
    const now = clock.now()
    while (times[0] !== undefined && times[0] <= now - WINDOW_MILLISECONDS) times.shift()
    if (times.length < eventsPerSecond) return 0
    const first = times[0]
    return first === undefined ? WINDOW_MILLISECONDS : first + WINDOW_MILLISECONDS - now
  }
  return {
    waitMilliseconds,
    tryTake: () => {
      if (waitMilliseconds() > 0) return false
      times.push(clock.now())
      return true
    }
  }
}
