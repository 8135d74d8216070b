import type { Milliseconds } from '@fuchsiastage/types'

/**
 * Features of the policy. Benchmarks turn them off one at a time to measure what each contributes.
 */
export interface KeepWarmFeatures {
  /** Learns the gaps between requests for each model. When off, every model is kept for `fixedIdleMilliseconds`. */
  readonly perModelGaps: boolean
  /** Gives recent gaps more weight. When off, old gaps weigh as much as new ones. */
  readonly decay: boolean
  /** Adds a prior distribution of the gaps. When off, a model with few requests is judged by these alone. */
  readonly prior: boolean
  /** Considers longer horizons before a replica is unloaded. When off, only the next interval counts. */
  readonly lookAhead: boolean
  /** Loads a model before its next expected request. When off, models are loaded only for requests. */
  readonly preload: boolean
  /** Makes the cost of a cold start grow with the square of its time. When off, it grows linearly. */
  readonly tailCost: boolean
}

export interface KeepWarmSettings {
  /** Cost of one millisecond for which callers wait for a cold start. */
  readonly coldStartWeight: number
  /** Cost of one millisecond for which the whole memory of a target is occupied without a request. */
  readonly idleWeight: number
  /** Interval at which the policy is evaluated for a replica. */
  readonly intervalMilliseconds: Milliseconds
  /**
   * Minimum time for which a replica stays loaded after its load or last use, because the requests that
   * waited for it and the reports of its use arrive with a delay.
   */
  readonly minimumIdleMilliseconds: Milliseconds
  /** Idle time after which a replica is unloaded when `perModelGaps` is off. */
  readonly fixedIdleMilliseconds: Milliseconds
  /** Number of subsequent gaps after which the weight of a gap has halved. */
  readonly halfLifeGaps: number
  /** Weight of the prior distribution, as a number of gaps. */
  readonly priorGaps: number
  /** Number of gaps that must have been observed before a model is preloaded. */
  readonly preloadMinimumGaps: number
  readonly features: KeepWarmFeatures
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
  features: { perModelGaps: true, decay: true, prior: true, lookAhead: true, preload: true, tailCost: true }
}
