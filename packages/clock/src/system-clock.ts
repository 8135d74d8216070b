import { performance } from 'node:perf_hooks'
import type { Clock, Timer } from './clock.js'
import { sleepWith } from './sleep.js'

/**
 * Creates a clock that reads the time of the operating system.
 *
 * @example
 * const clock = createSystemClock()
 * await clock.sleep(100)
 */
export function createSystemClock (): Clock {
  const setTimer = (delayMilliseconds: number, callback: () => void): Timer => {
    const handle = setTimeout(callback, delayMilliseconds)
    return { cancel: () => clearTimeout(handle) }
  }
  return {
    now: () => performance.now(),
    wallNow: () => Date.now(),
    setTimer,
    sleep: (delayMilliseconds, signal) => sleepWith(setTimer, delayMilliseconds, signal)
  }
}
