import type { Timer } from './clock.js'

/** Implements `Clock.sleep` on top of `setTimer`, for both the system clock and the manual clock. */
export function sleepWith (
  setTimer: (delayMilliseconds: number, callback: () => void) => Timer,
  delayMilliseconds: number,
  signal?: AbortSignal
): Promise<void> {
  return new Promise((resolve) => {
    if (signal?.aborted === true) {
      resolve()
      return
    }
    const finish = (): void => {
      timer.cancel()
      signal?.removeEventListener('abort', finish)
      resolve()
    }
    const timer = setTimer(delayMilliseconds, finish)
    signal?.addEventListener('abort', finish)
  })
}
