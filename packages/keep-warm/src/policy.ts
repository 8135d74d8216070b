import type { Milliseconds } from '@fuchsiastage/types'
import { observeRequest, survivalAt, type GapHistory } from './gap-history.js'
import type { KeepWarmSettings } from './settings.js'

/** What the policy needs to know of one model or adapter. */
export interface KeepWarmSubject {
  readonly history: GapHistory | undefined
  /** When its replica was last used or, without any use, when it was loaded. */
  readonly idleSince: Milliseconds
  /** Estimated time from the decision to load to the first answer. */
  readonly coldStartMilliseconds: Milliseconds
  /** Share of a target's memory that the replica occupies, between 0 and 1. */
  readonly memoryShare: number
}

export interface KeepWarmPolicy {
  readonly settings: KeepWarmSettings
  /** Adds a request to a model's history. */
  readonly observe: (history: GapHistory | undefined, at: Milliseconds) => GapHistory
  /** Expected cost of the cold start that unloading the replica now would cause. */
  readonly valueOf: (subject: KeepWarmSubject, now: Milliseconds) => number
  readonly shouldUnload: (subject: KeepWarmSubject, now: Milliseconds) => boolean
  readonly shouldPreload: (subject: KeepWarmSubject, now: Milliseconds) => boolean
}

/** Look-ahead of 1, 2, 4, … 64 intervals: a daily pattern is left to the preload. */
const LOOK_AHEAD_DOUBLINGS = 6

/**
 * A cold start of this time costs the same with and without `tailCost`; the cost grows with the square
 * of the time, because the metric is the tail and not the mean.
 */
const TYPICAL_COLD_START_MILLISECONDS: Milliseconds = 10_000

/** Ages beyond which nothing is known of a model: the probability is then taken as zero. */
const SMALLEST_SURVIVAL = 1e-6

/** Intervals over which a replica's value for eviction is counted: one look-ahead of an hour at 60 s. */
const RETENTION_VALUE_INTERVALS = 2 ** LOOK_AHEAD_DOUBLINGS

/**
 * Creates the policy that weighs the cost of a cold start against the cost of idle memory.
 *
 * @example
 * const policy = createKeepWarmPolicy(DEFAULT_KEEP_WARM_SETTINGS)
 * const unload = policy.shouldUnload({ history, idleSince, coldStartMilliseconds: 20_000, memoryShare: 0.5 }, clock.now())
 */
export function createKeepWarmPolicy (settings: KeepWarmSettings): KeepWarmPolicy {
  const { parts, intervalMilliseconds } = settings
  const coldStartCost = ({ coldStartMilliseconds }: KeepWarmSubject): number =>
    coldStartMilliseconds * settings.coldStartWeight * (parts.tailCost ? coldStartMilliseconds / TYPICAL_COLD_START_MILLISECONDS : 1)
  const ageOf = (subject: KeepWarmSubject, now: Milliseconds): Milliseconds => Math.max(0, now - subject.idleSince)

  const valueOf = (subject: KeepWarmSubject, now: Milliseconds): number => {
    const age = ageOf(subject, now)
    // Without histories the least recently used replica has the lowest value.
    const probability = parts.perModelGaps
      ? probabilityWithin(subject.history, age, RETENTION_VALUE_INTERVALS * intervalMilliseconds, settings)
      : settings.fixedIdleMilliseconds / (settings.fixedIdleMilliseconds + age)
    return probability * coldStartCost(subject)
  }

  /** Expected gain of staying loaded for the horizon, or until the next request if that comes first. */
  const expectedGain = (subject: KeepWarmSubject, age: Milliseconds, horizon: Milliseconds): number => {
    const probability = probabilityWithin(subject.history, age, horizon, settings)
    // The request ends the idle time about half way through the horizon.
    const idleTime = horizon * (1 - probability / 2)
    return probability * coldStartCost(subject) - idleTime * subject.memoryShare * settings.idleWeight
  }

  const shouldUnload = (subject: KeepWarmSubject, now: Milliseconds): boolean => {
    const age = ageOf(subject, now)
    if (age < settings.minimumIdleMilliseconds) return false
    if (!parts.perModelGaps) return age >= settings.fixedIdleMilliseconds
    const doublings = parts.lookAhead ? LOOK_AHEAD_DOUBLINGS : 0
    for (let doubling = 0; doubling <= doublings; doubling++) {
      if (expectedGain(subject, age, intervalMilliseconds * 2 ** doubling) > 0) return false
    }
    return true
  }

  const shouldPreload = (subject: KeepWarmSubject, now: Milliseconds): boolean => {
    if (!parts.preload || !parts.perModelGaps) return false
    const { history } = subject
    if (history === undefined || history.gaps < settings.preloadMinimumGaps) return false
    const age = Math.max(0, now - history.lastRequestAt)
    // The replica must be ready one interval before the request, hence the lead of a cold start.
    return expectedGain(subject, age, subject.coldStartMilliseconds + intervalMilliseconds) > 0
  }

  return {
    settings,
    observe: (history, at) => observeRequest(history, at, settings),
    valueOf,
    shouldUnload,
    shouldPreload
  }
}

/**
 * Probability of a request within the horizon, given that none came for the age.
 *
 * @example
 * const probability = probabilityWithin(history, 120_000, 60_000, settings)
 */
export function probabilityWithin (
  history: GapHistory | undefined,
  age: Milliseconds,
  horizon: Milliseconds,
  settings: KeepWarmSettings
): number {
  const survival = survivalAt(history, age, settings)
  if (survival < SMALLEST_SURVIVAL) return 0
  return (survival - survivalAt(history, age + horizon, settings)) / survival
}
