import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

export interface StoreLoadLimits {
  /** Loads from the weight store that may begin within the window. */
  readonly perWindow: number
  readonly windowMilliseconds: Milliseconds
}

export interface StoreLoadLimiter {
  /** Whether a load from the store may begin now. */
  readonly canStart: (limits: StoreLoadLimits) => boolean
  /** Loads that could still start without slowing the others. */
  readonly freeFullSpeedLoads: () => number
  readonly recordStart: () => void
  /** Notes the end of a load, and how long it took against the time that it takes alone. */
  readonly recordEnd: (milliseconds: Milliseconds, unsharedMilliseconds: Milliseconds) => void
  /** A load that ended without telling anything about the store's speed. */
  readonly recordCancelled: () => void
  readonly runningLoads: () => number
  /** Factor by which one more load is expected to be slower than alone. */
  readonly slowdown: () => number
}

/**
 * Loads at once until the store's own limit has been observed: the store serves a few loads at full speed.
 */
const INITIAL_FULL_SPEED_LOADS = 4
/** A load that takes longer than alone by this factor shows that the store shares its speed. */
const SHARED_STORE_FACTOR = 1.25
/** Loads at once beyond the store's full speed that are still started: each of them slows all others. */
const MAXIMUM_SLOWDOWN = 1.5

/**
 * Creates the limit on loads from the weight store. How many run at full speed is learned from how long they take.
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
    recordEnd: (milliseconds, unsharedMilliseconds) => {
      const factor = milliseconds / Math.max(1, unsharedMilliseconds)
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
