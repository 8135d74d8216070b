import type { Milliseconds } from '@fuchsiastage/types'

/**
 * Parts of the policy that a benchmark can turn off one at a time. `perModelGaps`: without it every
 * model is kept for `fixedIdleMilliseconds`. `decay`: without it old gaps weigh as much as new ones.
 * `prior`: without it a model with few requests is judged by those alone. `lookAhead`: without it
 * only the next interval counts. `preload`: without it nothing is loaded ahead of a request.
 * `tailCost`: without it the cost of a cold start grows in proportion to its time.
 */
export interface KeepWarmParts {
  readonly perModelGaps: boolean
  readonly decay: boolean
  readonly prior: boolean
  readonly lookAhead: boolean
  readonly preload: boolean
  readonly tailCost: boolean
}

export interface KeepWarmSettings {
  /** Weight of a millisecond that callers wait for a cold start. */
  readonly coldStartWeight: number
  /** Weight of a millisecond that a whole target's memory stays occupied without a request. */
  readonly idleWeight: number
  /** Interval between two decisions on the same replica. */
  readonly intervalMilliseconds: Milliseconds
  /**
   * Shortest time that a replica stays after it was loaded or used: requests that waited for it and
   * reports of its use arrive with a delay.
   */
  readonly minimumIdleMilliseconds: Milliseconds
  /** How long a replica stays without a request when `perModelGaps` is off. */
  readonly fixedIdleMilliseconds: Milliseconds
  /** Number of later gaps after which a gap weighs half. */
  readonly halfLifeGaps: number
  /** Weight of the prior distribution, in gaps. */
  readonly priorGaps: number
  /** Gaps that must be known before a model is loaded ahead of a request. */
  readonly preloadMinimumGaps: number
  readonly parts: KeepWarmParts
}

export const DEFAULT_KEEP_WARM_SETTINGS: KeepWarmSettings = {
  coldStartWeight: 1,
  idleWeight: 0.05,
  intervalMilliseconds: 60_000,
  minimumIdleMilliseconds: 30_000,
  fixedIdleMilliseconds: 600_000,
  halfLifeGaps: 50,
  priorGaps: 2,
  preloadMinimumGaps: 4,
  parts: { perModelGaps: true, decay: true, prior: true, lookAhead: true, preload: true, tailCost: true }
}
