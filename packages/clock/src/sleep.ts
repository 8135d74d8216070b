import type { Timer } from './clock.js'

/** Builds `sleep` on top of `setTimer`, shared by the system and the manual clock. */
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
