import type { Milliseconds } from '@fuchsiastage/types'

/** Mean and deviation of samples whose weight halves with time. */
export interface DecayedMean {
  /** Sum of the weights of the samples; each counts 1 when it is recorded. */
  readonly weight: number
  readonly mean: number
  /** Weighted sum of the squared deviations from the mean. */
  readonly squares: number
  readonly at: Milliseconds
}

/**
 * Adds a sample to a mean.
 *
 * @example
 * const mean = addSample(undefined, 0.4, clock.now(), 30_000)
 */
export function addSample (known: DecayedMean | undefined, value: number, now: Milliseconds, halfLifeMilliseconds: Milliseconds): DecayedMean {
  if (known === undefined) return { weight: 1, mean: value, squares: 0, at: now }
  const kept = weightFactor(known, now, halfLifeMilliseconds)
  const weight = kept * known.weight + 1
  const difference = value - known.mean
  const mean = known.mean + difference / weight
  return { weight, mean, squares: kept * known.squares + difference * (value - mean), at: now }
}

/**
 * Part of the original weight that samples have at a time.
 *
 * @example
 * const weight = mean.weight * weightFactor(mean, clock.now(), 30_000)
 */
export function weightFactor ({ at }: Pick<DecayedMean, 'at'>, now: Milliseconds, halfLifeMilliseconds: Milliseconds): number {
  return 2 ** (-Math.max(0, now - at) / halfLifeMilliseconds)
}
