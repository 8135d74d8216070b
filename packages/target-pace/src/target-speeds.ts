import type { Clock } from '@fuchsiastage/clock'
import type { TargetKey } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'
import { addSample, weightFactor, type DecayedMean } from './decayed-mean.js'

/** Time that a target took for one request. */
export interface TimeSample {
  /** What was measured, such as the first event of a route; times are compared only within a group. */
  readonly group: string
  readonly milliseconds: Milliseconds
  /** Prompt tokens that the target had to process; 0 for services without models. */
  readonly promptTokens: number
  /** Requests at the target when this one was sent, without this one. */
  readonly requests: number
}

/** How fast targets are compared with the other targets of their service, learned from their responses. */
export interface TargetSpeeds {
  /** Records a time and returns its ratio to the usual one of the group under the same conditions; 1 if none is known. */
  readonly recordTime: (target: TargetKey, sample: TimeSample) => number
  /** Records the figure by which a target states how long work takes now; 1 means as long as usual. */
  readonly recordStated: (target: TargetKey, relativeWorkTime: number) => void
  /** Expected ratio of a target's times to the usual ones; exactly 1 without evidence of a difference. */
  readonly relativeTime: (target: TargetKey) => number
  /** Mean time of a group for a number of prompt tokens, over all targets; undefined if there are too few samples. */
  readonly usualMilliseconds: (group: string, promptTokens: number) => Milliseconds | undefined
}

interface TargetTimes {
  /** Logarithms of the ratios of the target's times to the usual ones. */
  ratios: DecayedMean | undefined
  /** Logarithms of the figures that the target stated. */
  stated: DecayedMean | undefined
  lastStated: number
  lastStatedAt: Milliseconds
}

/** Half of the weight of a target's times is gone after this time; machines that are shared change within minutes. */
const TARGET_HALF_LIFE_MILLISECONDS = 30_000
/** The usual times follow changes of the load on all targets. */
const USUAL_HALF_LIFE_MILLISECONDS = 10_000
/** Weight of samples from which on a mean is used. */
const MINIMUM_WEIGHT = 3
/** Standard errors by which a mean must differ from the usual; equal targets differ by more in about one case of 20. */
const STANDARD_ERRORS = 2
/** Least deviation of the logarithms that is assumed, so that a few equal samples are no evidence. */
const MINIMUM_DEVIATION = 0.15
/** Bound of the logarithm of one ratio, so that a single lost second doesn't decide. */
const MAXIMUM_LOG_RATIO = Math.log(4)
/** Bound of the logarithm of the result: targets differ by a factor of about two, and slower ones are ejected at four. */
const MAXIMUM_LOG_RESULT = Math.log(4)
/** Time after which a stated figure has no effect; it changes many times a second. */
const STATED_MILLISECONDS = 300
/** Weight of the figure 1 in the mean of those that a target stated. */
const STATED_PRIOR_WEIGHT = 4
/** Prompt tokens of the first class; each further class has twice as many. */
const TOKENS_OF_CLASS = 128
/** Bounds the memory: some 100 bytes each. The oldest are discarded. */
const MAXIMUM_TARGETS = 12_000
const MAXIMUM_CONDITIONS = 10_000

const clamp = (value: number, bound: number): number => Math.max(-bound, Math.min(bound, value))

/**
 * Creates the estimate of the speeds of targets. A time is compared with the usual one of requests of the
 * same group with about as many prompt tokens at targets with about as many requests.
 *
 * @example
 * const speeds = createTargetSpeeds(clock)
 * speeds.recordTime(target.key, { group: 'chat', milliseconds: 180, promptTokens: 2_890, requests: 3 })
 * const ratio = speeds.relativeTime(target.key)
 */
export function createTargetSpeeds (clock: Clock): TargetSpeeds {
  const timesOf = new Map<TargetKey, TargetTimes>()
  const usualOf = new Map<string, DecayedMean>()

  const recordOf = (target: TargetKey): TargetTimes => {
    const times = timesOf.get(target) ?? { ratios: undefined, stated: undefined, lastStated: 0, lastStatedAt: -Infinity }
    // The order of a map is that of insertion, so the targets without responses for the longest time come first.
    timesOf.delete(target)
    timesOf.set(target, times)
    removeOldest(timesOf, MAXIMUM_TARGETS)
    return times
  }

  const recordUsual = (key: string, value: number): DecayedMean | undefined => {
    const known = usualOf.get(key)
    usualOf.delete(key)
    usualOf.set(key, addSample(known, value, clock.now(), USUAL_HALF_LIFE_MILLISECONDS))
    removeOldest(usualOf, MAXIMUM_CONDITIONS)
    return known !== undefined && known.weight >= MINIMUM_WEIGHT ? known : undefined
  }

  /** Logarithm of the lasting ratio, as far as the samples show one. */
  const lasting = ({ ratios }: TargetTimes): number => {
    if (ratios === undefined) return 0
    const weight = ratios.weight * weightFactor(ratios, clock.now(), TARGET_HALF_LIFE_MILLISECONDS)
    if (weight < MINIMUM_WEIGHT) return 0
    const deviation = Math.max(MINIMUM_DEVIATION, Math.sqrt(ratios.squares / ratios.weight))
    return Math.sign(ratios.mean) * Math.max(0, Math.abs(ratios.mean) - STANDARD_ERRORS * deviation / Math.sqrt(weight))
  }

  /** Logarithm of the last stated figure against the mean of the target's own ones; it fades within a short time. */
  const momentary = ({ stated, lastStated, lastStatedAt }: TargetTimes): number => {
    const validity = 1 - (clock.now() - lastStatedAt) / STATED_MILLISECONDS
    if (stated === undefined || validity <= 0) return 0
    return validity * (lastStated - stated.mean * stated.weight / (stated.weight + STATED_PRIOR_WEIGHT))
  }

  return {
    recordTime: (target, { group, milliseconds, promptTokens, requests }) => {
      const tokenClass = tokenClassOf(promptTokens)
      const time = Math.log(Math.max(1, milliseconds))
      recordUsual(`${group} ${tokenClass}`, time)
      const usual = recordUsual(`${group} ${tokenClass} ${Math.floor(Math.log2(1 + requests))}`, time)
      if (usual === undefined) return 1
      const ratio = time - usual.mean
      const times = recordOf(target)
      times.ratios = addSample(times.ratios, clamp(ratio, MAXIMUM_LOG_RATIO), clock.now(), TARGET_HALF_LIFE_MILLISECONDS)
      return Math.exp(ratio)
    },
    recordStated: (target, relativeWorkTime) => {
      const times = recordOf(target)
      times.lastStated = clamp(Math.log(relativeWorkTime), MAXIMUM_LOG_RATIO)
      times.lastStatedAt = clock.now()
      times.stated = addSample(times.stated, times.lastStated, clock.now(), TARGET_HALF_LIFE_MILLISECONDS)
    },
    relativeTime: (target) => {
      const times = timesOf.get(target)
      return times === undefined ? 1 : Math.exp(clamp(lasting(times) + momentary(times), MAXIMUM_LOG_RESULT))
    },
    usualMilliseconds: (group, promptTokens) => {
      const usual = usualOf.get(`${group} ${tokenClassOf(promptTokens)}`)
      return usual === undefined || usual.weight < MINIMUM_WEIGHT ? undefined : Math.exp(usual.mean)
    }
  }
}

function tokenClassOf (promptTokens: number): number {
  return Math.round(Math.log2(1 + promptTokens / TOKENS_OF_CLASS))
}

function removeOldest (map: Map<string, unknown>, maximum: number): void {
  const [oldest] = map.keys()
  if (map.size > maximum && oldest !== undefined) map.delete(oldest)
}
