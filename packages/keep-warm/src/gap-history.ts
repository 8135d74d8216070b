import type { Milliseconds } from '@fuchsiastage/types'
import type { KeepWarmSettings } from './settings.js'

/** Histogram of the gaps (inter-arrival times) between the requests for one model, with exponential decay. */
export interface GapHistory {
  readonly lastRequestAt: Milliseconds
  /** Decayed number of gaps in each bucket. */
  readonly counts: Float32Array
  /** Decayed number of gaps in all buckets. */
  readonly total: number
  /** Number of all gaps without decay, which shows how much evidence the history contains. */
  readonly gaps: number
}

/** Upper bound of the first bucket. Shorter gaps need no finer resolution, because no replica is unloaded within a second. */
const SMALLEST_GAP_MILLISECONDS: Milliseconds = 1_000

/** Two buckets for each doubling, from one second to 6 days. The histogram takes 160 bytes per model. */
export const BUCKET_COUNT = 40

/** Returns the index of the bucket of a gap. The last bucket has no upper bound. */
export function bucketOf (gap: Milliseconds): number {
  if (gap <= SMALLEST_GAP_MILLISECONDS) return 0
  return Math.min(BUCKET_COUNT - 1, Math.floor(2 * Math.log2(gap / SMALLEST_GAP_MILLISECONDS)) + 1)
}

/** Lower bounds of all buckets and the end of the last one. Precomputed, because the policy reads them in each evaluation of each replica. */
const BUCKET_STARTS: readonly Milliseconds[] = Array.from({ length: BUCKET_COUNT + 1 }, (_, bucket) => bucket === 0 ? 0 : SMALLEST_GAP_MILLISECONDS * 2 ** ((bucket - 1) / 2))

/** Returns the lower bound of a bucket, which is the upper bound of the bucket before. */
export function bucketStart (bucket: number): Milliseconds {
  return BUCKET_STARTS[bucket] ?? Infinity
}

/**
 * Returns the history of a model with one more request. Simultaneous requests count as one, because
 * a burst needs a single replica.
 *
 * @example
 * const history = observeRequest(undefined, clock.now(), settings)
 */
export function observeRequest (history: GapHistory | undefined, at: Milliseconds, settings: KeepWarmSettings): GapHistory {
  if (history === undefined) return { lastRequestAt: at, counts: new Float32Array(BUCKET_COUNT), total: 0, gaps: 0 }
  const gap = at - history.lastRequestAt
  if (gap <= 0) return history
  const decayFactor = settings.features.decay ? 2 ** (-1 / settings.halfLifeGaps) : 1
  const counts = history.counts.map((count) => count * decayFactor)
  const bucket = bucketOf(gap)
  counts[bucket] = (counts[bucket] ?? 0) + 1
  return { lastRequestAt: at, counts, total: history.total * decayFactor + 1, gaps: history.gaps + 1 }
}

/**
 * Survival function: the probability that a gap is longer than the given age. Gaps are assumed to be
 * distributed uniformly within a bucket. The prior gives all buckets the same weight (log-uniform
 * distribution), because that favours no time scale.
 *
 * @example
 * const survival = survivalAt(history, 60_000, settings)
 */
export function survivalAt (history: GapHistory | undefined, age: Milliseconds, settings: KeepWarmSettings): number {
  const prior = priorWeight(history, settings) / BUCKET_COUNT
  let weightAbove = 0
  let totalWeight = 0
  for (let bucket = 0; bucket < BUCKET_COUNT; bucket++) {
    const weight = (history?.counts[bucket] ?? 0) + prior
    totalWeight += weight
    weightAbove += weight * shareAbove(bucket, age)
  }
  return totalWeight === 0 ? 1 : weightAbove / totalWeight
}

function priorWeight (history: GapHistory | undefined, settings: KeepWarmSettings): number {
  // Before the first observed gap there is only the prior, so it applies even if it is turned off.
  if (!settings.features.prior && history !== undefined && history.gaps > 0) return 0
  return settings.priorGaps
}

function shareAbove (bucket: number, age: Milliseconds): number {
  const start = bucketStart(bucket)
  const end = bucketStart(bucket + 1)
  if (age <= start) return 1
  if (age >= end) return 0
  return (end - age) / (end - start)
}
