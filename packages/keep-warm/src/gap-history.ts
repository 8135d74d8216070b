import type { Milliseconds } from '@fuchsiastage/types'
import type { KeepWarmSettings } from './settings.js'

/** Decayed distribution of the gaps between one model's requests. */
export interface GapHistory {
  readonly lastRequestAt: Milliseconds
  /** Decayed number of gaps in each bucket. */
  readonly counts: Float32Array
  /** Decayed number of all gaps. */
  readonly total: number
  /** Number of all gaps ever, without decay; tells how much is known. */
  readonly gaps: number
}

/** Gaps shorter than a second end in the first bucket: no replica is unloaded within a second. */
const SMALLEST_GAP_MILLISECONDS: Milliseconds = 1_000

/** Two buckets for each doubling from one second to 6 days; 160 bytes a model. */
export const BUCKET_COUNT = 40

/** Gaps above the last bucket's lower bound end in the last bucket. */
export function bucketOf (gap: Milliseconds): number {
  if (gap <= SMALLEST_GAP_MILLISECONDS) return 0
  return Math.min(BUCKET_COUNT - 1, Math.floor(2 * Math.log2(gap / SMALLEST_GAP_MILLISECONDS)) + 1)
}

/** Lower bounds of all buckets and the end of the last; the policy reads them for each replica in each review. */
const BUCKET_STARTS: readonly Milliseconds[] = Array.from({ length: BUCKET_COUNT + 1 }, (_, bucket) => bucket === 0 ? 0 : SMALLEST_GAP_MILLISECONDS * 2 ** ((bucket - 1) / 2))

/** Lower bound of a bucket; the bucket's upper bound is the lower bound of the next one. */
export function bucketStart (bucket: number): Milliseconds {
  return BUCKET_STARTS[bucket] ?? Infinity
}

/**
 * Adds a request to a model's history. Requests that come at the same time count as one, since a
 * burst needs one replica.
 *
 * @example
 * const history = observeRequest(undefined, clock.now(), settings)
 */
export function observeRequest (history: GapHistory | undefined, at: Milliseconds, settings: KeepWarmSettings): GapHistory {
  if (history === undefined) return { lastRequestAt: at, counts: new Float32Array(BUCKET_COUNT), total: 0, gaps: 0 }
  const gap = at - history.lastRequestAt
  if (gap <= 0) return history
  const decayFactor = settings.parts.decay ? 2 ** (-1 / settings.halfLifeGaps) : 1
  const counts = history.counts.map((count) => count * decayFactor)
  const bucket = bucketOf(gap)
  counts[bucket] = (counts[bucket] ?? 0) + 1
  return { lastRequestAt: at, counts, total: history.total * decayFactor + 1, gaps: history.gaps + 1 }
}

/**
 * Probability that the gap is longer than the age. Inside a bucket gaps are taken as spread evenly.
 * The prior spreads its weight evenly over the buckets (log-uniform), which is the choice that
 * favours no time scale.
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
  // Without any gap there is nothing but the prior.
  if (!settings.parts.prior && history !== undefined && history.gaps > 0) return 0
  return settings.priorGaps
}

function shareAbove (bucket: number, age: Milliseconds): number {
  const start = bucketStart(bucket)
  const end = bucketStart(bucket + 1)
  if (age <= start) return 1
  if (age >= end) return 0
  return (end - age) / (end - start)
}
