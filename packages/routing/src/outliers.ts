import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import type { RequestResult } from './request-tracker.js'

export interface OutlierSettings {
  /** Largest share of the targets in use that may be ejected at the same time. If there are two or more, one may always be ejected. */
  readonly maximumEjectedShare: number
  /** Duration of a target's first ejection; it doubles with each further ejection up to the maximum. */
  readonly ejectionMilliseconds: Milliseconds
  readonly maximumEjectionMilliseconds: Milliseconds
  /** Time over which a target returns to its full share of requests after an ejection. */
  readonly readmissionMilliseconds: Milliseconds
  /** Number of consecutive failures after which a target is ejected. */
  readonly consecutiveFailures: number
  /** A target is ejected as slow when its smoothed first-byte time exceeds the median by this factor. */
  readonly slowFactor: number
}

export interface OutlierDetector {
  /** Records the result of a request. `targetsInUse` is the number of targets in use, which limits how many may be ejected. */
  readonly record: (target: string, result: RequestResult, targetsInUse: number) => void
  /** Share of its normal requests that the target may receive: 0 while ejected, then rising to 1. */
  readonly weight: (target: string) => number
  readonly ejected: () => readonly string[]
  /** Deletes the records of the targets for which `keep` returns false. */
  readonly retain: (keep: (target: string) => boolean) => void
}

interface TargetHealth {
  /** Consecutive failures. */
  failures: number
  /** Smoothed ratio of the target's first-byte time to the median of the same key. */
  slowness: number
  samples: number
  /** Number of consecutive ejections; reset when the previous one ended longer ago than the maximum ejection duration. */
  ejections: number
  ejectedUntil: Milliseconds
}

/** Weight of the newest sample in the smoothed slowness. */
const SLOWNESS_SMOOTHING_FACTOR = 0.2
/** Samples required before a target can count as slow; with fewer, one long prompt could eject it. */
const MINIMUM_SAMPLES = 5
/** Relative amount by which each sample moves the running median up or down. */
const MEDIAN_STEP = 0.05
/** Maximum number of keys with a running median; when it is reached, all medians are discarded. */
const MAXIMUM_KEYS = 10_000
/** Share of its requests that a target receives right after an ejection. */
const INITIAL_READMISSION_SHARE = 0.1

/**
 * Creates the detector that ejects slow and failing targets. First-byte times are compared only
 * between requests of the same key, because models differ in size. Updating the running median
 * takes constant time per response.
 */
export function createOutlierDetector (clock: Clock, settings: OutlierSettings): OutlierDetector {
  const healthOf = new Map<string, TargetHealth>()
  const medianOfKey = new Map<string, number>()
  const ejectedTargets = new Set<string>()

  const removeExpiredEjections = (): void => {
    const now = clock.now()
    for (const target of ejectedTargets) {
      if ((healthOf.get(target)?.ejectedUntil ?? 0) <= now) ejectedTargets.delete(target)
    }
  }

  const eject = (target: string, health: TargetHealth, targetsInUse: number): void => {
    removeExpiredEjections()
    const limit = targetsInUse < 2 ? 0 : Math.max(1, Math.floor(targetsInUse * settings.maximumEjectedShare))
    if (ejectedTargets.has(target) || ejectedTargets.size >= limit) return
    const now = clock.now()
    if (now - health.ejectedUntil > settings.maximumEjectionMilliseconds) health.ejections = 0
    health.ejections++
    health.ejectedUntil = now + Math.min(settings.maximumEjectionMilliseconds, settings.ejectionMilliseconds * 2 ** (health.ejections - 1))
    health.failures = 0
    health.slowness = 1
    health.samples = 0
    ejectedTargets.add(target)
  }

  const relativeFirstByteTime = (key: string, firstByteMilliseconds: Milliseconds): number => {
    const median = medianOfKey.get(key)
    if (median === undefined) {
      if (medianOfKey.size >= MAXIMUM_KEYS) medianOfKey.clear()
      medianOfKey.set(key, Math.max(1, firstByteMilliseconds))
      return 1
    }
    medianOfKey.set(key, Math.max(1, median * (firstByteMilliseconds > median ? 1 + MEDIAN_STEP : 1 - MEDIAN_STEP)))
    return firstByteMilliseconds / median
  }

  const record = (target: string, result: RequestResult, targetsInUse: number): void => {
    if (result.kind === 'refused' || result.kind === 'cancelled') return
    let health = healthOf.get(target)
    if (health === undefined) {
      health = { failures: 0, slowness: 1, samples: 0, ejections: 0, ejectedUntil: -Infinity }
      healthOf.set(target, health)
    }
    if (result.kind === 'failure') {
      health.failures++
      if (health.failures >= settings.consecutiveFailures) eject(target, health, targetsInUse)
      return
    }
    health.failures = 0
    health.samples++
    health.slowness += SLOWNESS_SMOOTHING_FACTOR * (relativeFirstByteTime(result.key, result.firstByteMilliseconds) - health.slowness)
    if (health.samples >= MINIMUM_SAMPLES && health.slowness > settings.slowFactor) eject(target, health, targetsInUse)
  }

  const weight = (target: string): number => {
    const health = healthOf.get(target)
    if (health === undefined || health.ejectedUntil === -Infinity) return 1
    const sinceReadmission = clock.now() - health.ejectedUntil
    if (sinceReadmission < 0) return 0
    return Math.min(1, INITIAL_READMISSION_SHARE + sinceReadmission / settings.readmissionMilliseconds)
  }

  return {
    record,
    weight,
    ejected: () => {
      removeExpiredEjections()
      return [...ejectedTargets]
    },
    retain: (keep) => {
      for (const target of healthOf.keys()) if (!keep(target)) healthOf.delete(target)
    }
  }
}
