import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

export interface StoreLoadLimits {
  /** Loads from the weight store that may begin within the window. */
  readonly perWindow: number
  readonly windowMilliseconds: Milliseconds
}

export interface StoreLoadLimiter {
  /** Whether a load from the store may begin now. */
  readonly mayStart: (limits: StoreLoadLimits) => boolean
  /** Loads that could still start without slowing the others. */
  readonly freeAtFullSpeed: () => number
  readonly noteStart: () => void
  /** Notes the end of a load, and how long it took against the time that it takes alone. */
  readonly noteEnd: (milliseconds: Milliseconds, aloneMilliseconds: Milliseconds) => void
  /** A load that ended without telling anything about the store's speed. */
  readonly noteCancelled: () => void
  readonly running: () => number
  /** Factor by which one more load is expected to be slower than alone. */
  readonly slowdown: () => number
}

/**
 * Loads at once until the store's own limit has been observed: the store serves a few loads at full speed.
 */
const INITIAL_FULL_SPEED_LOADS = 4
/** A load that takes longer than alone by this factor shows that the store shares its speed. */
const SLOW_FACTOR = 1.25
/** Loads at once beyond the store's full speed that are still started: each of them slows all others. */
const MAXIMUM_SLOWDOWN = 1.5

/**
 * Creates the limit on loads from the weight store. How many run at full speed is learned from how long they take.
 *
 * @example
 * if (limiter.mayStart({ perWindow: 11, windowMilliseconds: 5000 })) limiter.noteStart()
 */
export function createStoreLoadLimiter (clock: Clock): StoreLoadLimiter {
  let starts: Milliseconds[] = []
  let running = 0
  let fullSpeedLoads = INITIAL_FULL_SPEED_LOADS
  let peak = 0

  const slowdown = (): number => Math.max(1, (running + 1) / fullSpeedLoads)

  return {
    mayStart: ({ perWindow, windowMilliseconds }) => {
      starts = starts.filter((at) => clock.now() - at < windowMilliseconds)
      return starts.length + 1 <= perWindow && (running === 0 || slowdown() <= MAXIMUM_SLOWDOWN)
    },
    noteStart: () => {
      starts.push(clock.now())
      running++
      peak = Math.max(peak, running)
    },
    noteEnd: (milliseconds, aloneMilliseconds) => {
      const factor = milliseconds / Math.max(1, aloneMilliseconds)
      if (factor > SLOW_FACTOR) fullSpeedLoads = Math.max(1, Math.min(fullSpeedLoads, Math.round(peak / factor)))
      else fullSpeedLoads = Math.max(fullSpeedLoads, running)
      running = Math.max(0, running - 1)
      peak = running
    },
    noteCancelled: () => {
      running = Math.max(0, running - 1)
      peak = running
    },
    freeAtFullSpeed: () => fullSpeedLoads - running,
    running: () => running,
    slowdown
  }
}
