import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

export interface StoreLoadLimits {
  /** Number of loads from the weight store that may start within the window. */
  readonly perWindow: number
  readonly windowMilliseconds: Milliseconds
}

export interface StoreLoadLimiter {
  /** Whether a load from the store may start now. */
  readonly canStart: (limits: StoreLoadLimits) => boolean
  /** Number of further loads that could start without slowing down the running ones. */
  readonly freeFullSpeedLoads: () => number
  readonly recordStart: () => void
  /** Records the end of a load, with its duration and the duration that it would have had without concurrent loads. */
  readonly recordEnd: (durationMilliseconds: Milliseconds, unsharedMilliseconds: Milliseconds) => void
  /** Records the end of a load whose duration says nothing about the speed of the store. */
  readonly recordCancelled: () => void
  readonly runningLoads: () => number
  /** Factor by which one more load is expected to take longer than without concurrent loads. */
  readonly slowdown: () => number
}

/** Assumed number of concurrent loads that the store serves at full speed, until its limit has been observed. */
const INITIAL_FULL_SPEED_LOADS = 4
/** A load that takes longer than one without concurrent loads by more than this factor shows that concurrent loads share the bandwidth of the store. */
const SHARED_STORE_FACTOR = 1.25
/** Slowdown up to which further loads are started. Each load beyond the full-speed limit slows down all others. */
const MAXIMUM_SLOWDOWN = 1.5

/**
 * Creates the limit on loads from the weight store. The number of loads that run at full speed is learned from their durations.
 *
 * @example
 * if (limiter.canStart({ perWindow: 11, windowMilliseconds: 5000 })) limiter.recordStart()
 */
export function createStoreLoadLimiter (clock: Clock): StoreLoadLimiter {
  let startTimes: Milliseconds[] = []
  let runningLoads = 0
  let fullSpeedLoads = INITIAL_FULL_SPEED_LOADS
  let peakLoads = 0

  const slowdown = (): number => Math.max(1, (runningLoads + 1) / fullSpeedLoads)

  return {
    canStart: ({ perWindow, windowMilliseconds }) => {
      startTimes = startTimes.filter((at) => clock.now() - at < windowMilliseconds)
      return startTimes.length + 1 <= perWindow && (runningLoads === 0 || slowdown() <= MAXIMUM_SLOWDOWN)
    },
    recordStart: () => {
      startTimes.push(clock.now())
      runningLoads++
      peakLoads = Math.max(peakLoads, runningLoads)
    },
    recordEnd: (durationMilliseconds, unsharedMilliseconds) => {
      const factor = durationMilliseconds / Math.max(1, unsharedMilliseconds)
      if (factor > SHARED_STORE_FACTOR) fullSpeedLoads = Math.max(1, Math.min(fullSpeedLoads, Math.round(peakLoads / factor)))
      else fullSpeedLoads = Math.max(fullSpeedLoads, runningLoads)
      runningLoads = Math.max(0, runningLoads - 1)
      peakLoads = runningLoads
    },
    recordCancelled: () => {
      runningLoads = Math.max(0, runningLoads - 1)
      peakLoads = runningLoads
    },
    freeFullSpeedLoads: () => fullSpeedLoads - runningLoads,
    runningLoads: () => runningLoads,
    slowdown
  }
}
