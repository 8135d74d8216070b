import type { Milliseconds } from '@fuchsiastage/types'
import { observeRequest, survivalAt, type GapHistory } from './gap-history.js'
import type { KeepWarmSettings } from './settings.js'

/** Input of the policy for one model or adapter. */
export interface KeepWarmSubject {
  readonly history: GapHistory | undefined
  /** Time of the last use of the replica, or of its load if it was never used. */
  readonly idleSince: Milliseconds
  /** Estimated time from the decision to load to the first response. */
  readonly coldStartMilliseconds: Milliseconds
  /** Share of the memory of a target that the replica occupies, from 0 to 1. */
  readonly memoryShare: number
}

export interface KeepWarmPolicy {
  readonly settings: KeepWarmSettings
  /** Returns the history of a model with one more request. */
  readonly observe: (history: GapHistory | undefined, at: Milliseconds) => GapHistory
  /** Expected cost of the cold start that unloading the replica now would cause. Replicas with the lowest value are evicted first. */
  readonly retentionValue: (subject: KeepWarmSubject, now: Milliseconds) => number
  readonly shouldUnload: (subject: KeepWarmSubject, now: Milliseconds) => boolean
  readonly shouldPreload: (subject: KeepWarmSubject, now: Milliseconds) => boolean
}

/** The look-ahead covers 1, 2, 4, … 64 intervals. Longer patterns, such as daily ones, are handled by the preload. */
const LOOK_AHEAD_DOUBLINGS = 6

/**
 * Duration of a cold start that costs the same with and without `tailCost`. With `tailCost` the cost
 * grows with the square of the duration, because the objective is the tail latency and not the mean.
 */
const TYPICAL_COLD_START_MILLISECONDS: Milliseconds = 10_000

/** Survival probability below which the history says nothing about further requests, so their probability is taken as zero. */
const SMALLEST_SURVIVAL = 1e-6

/** Horizon of the retention value, in intervals: the longest look-ahead, which is about an hour with intervals of 60 s. */
const RETENTION_VALUE_INTERVALS = 2 ** LOOK_AHEAD_DOUBLINGS

/**
 * Creates the policy that weighs the expected cost of a cold start against the cost of idle memory.
 *
 * @example
 * const policy = createKeepWarmPolicy(DEFAULT_KEEP_WARM_SETTINGS)
 * const unload = policy.shouldUnload({ history, idleSince, coldStartMilliseconds: 20_000, memoryShare: 0.5 }, clock.now())
 */
export function createKeepWarmPolicy (settings: KeepWarmSettings): KeepWarmPolicy {
  const { features, intervalMilliseconds } = settings
  const coldStartCost = ({ coldStartMilliseconds }: KeepWarmSubject): number =>
    coldStartMilliseconds * settings.coldStartWeight * (features.tailCost ? coldStartMilliseconds / TYPICAL_COLD_START_MILLISECONDS : 1)
  const ageOf = (subject: KeepWarmSubject, now: Milliseconds): Milliseconds => Math.max(0, now - subject.idleSince)

  const retentionValue = (subject: KeepWarmSubject, now: Milliseconds): number => {
    const age = ageOf(subject, now)
    // Without gap histories, the least recently used replica has the lowest value.
    const probability = features.perModelGaps
      ? probabilityWithin(subject.history, age, RETENTION_VALUE_INTERVALS * intervalMilliseconds, settings)
      : settings.fixedIdleMilliseconds / (settings.fixedIdleMilliseconds + age)
    return probability * coldStartCost(subject)
  }

  /** Expected gain of keeping the replica loaded until the end of the horizon, or until the next request if that comes first. */
  const expectedGain = (subject: KeepWarmSubject, age: Milliseconds, horizon: Milliseconds): number => {
    const probability = probabilityWithin(subject.history, age, horizon, settings)
    // A request within the horizon is assumed to end the idle time halfway through it.
    const idleTime = horizon * (1 - probability / 2)
    return probability * coldStartCost(subject) - idleTime * subject.memoryShare * settings.idleWeight
  }

  const shouldUnload = (subject: KeepWarmSubject, now: Milliseconds): boolean => {
    const age = ageOf(subject, now)
    if (age < settings.minimumIdleMilliseconds) return false
    if (!features.perModelGaps) return age >= settings.fixedIdleMilliseconds
    const doublings = features.lookAhead ? LOOK_AHEAD_DOUBLINGS : 0
    for (let doubling = 0; doubling <= doublings; doubling++) {
      if (expectedGain(subject, age, intervalMilliseconds * 2 ** doubling) > 0) return false
    }
    return true
  }

  const shouldPreload = (subject: KeepWarmSubject, now: Milliseconds): boolean => {
    if (!features.preload || !features.perModelGaps) return false
    const { history } = subject
    if (history === undefined || history.gaps < settings.preloadMinimumGaps) return false
    const age = Math.max(0, now - history.lastRequestAt)
    // The horizon covers the interval until the next evaluation and the cold start, because a load that
    // starts only then would be too late for a request within this time.
    return expectedGain(subject, age, subject.coldStartMilliseconds + intervalMilliseconds) > 0
  }

  return {
    settings,
    observe: (history, at) => observeRequest(history, at, settings),
    retentionValue,
    shouldUnload,
    shouldPreload
  }
}

/**
 * Probability that a request arrives within the horizon, given that none has arrived for the given age.
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
