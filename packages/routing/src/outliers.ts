import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import type { RequestResult } from './request-tracker.js'

export interface OutlierSettings {
  readonly ejectedShare: number
  readonly ejectionMilliseconds: Milliseconds
  readonly maximumEjectionMilliseconds: Milliseconds
  readonly readmissionMilliseconds: Milliseconds
  readonly consecutiveFailures: number
  readonly slowFactor: number
}

export interface OutlierDetector {
  readonly record: (target: string, result: RequestResult, knownTargets: number) => void
  /** Part of its requests that the target may get: 0 while ejected, growing to 1 afterwards. */
  readonly weight: (target: string) => number
  readonly ejected: () => readonly string[]
  readonly retain: (keep: (target: string) => boolean) => void
}

interface Health {
  failures: number
  /** Smoothed first-byte time relative to the median of the same key. */
  slowness: number
  samples: number
  ejections: number
  ejectedUntil: Milliseconds
}

/** Weight of the newest sample in the smoothed slowness. */
const SMOOTHING = 0.2
/** Samples before a target can count as slow; fewer would eject on one long prompt. */
const MINIMUM_SAMPLES = 5
/** Relative step of the running median: it moves up or down by this part at each sample. */
const MEDIAN_STEP = 0.05
const MAXIMUM_KEYS = 10_000
const FIRST_READMITTED_SHARE = 0.1

/**
 * Creates the detector of slow and failing targets. First-byte times are compared inside a key,
 * because models differ in size; the running median costs constant time for each answer.
 */
export function createOutlierDetector (clock: Clock, settings: OutlierSettings): OutlierDetector {
  const healthOf = new Map<string, Health>()
  const medians = new Map<string, number>()
  const ejectedTargets = new Set<string>()

  const prune = (): void => {
    const now = clock.now()
    for (const target of ejectedTargets) {
      if ((healthOf.get(target)?.ejectedUntil ?? 0) <= now) ejectedTargets.delete(target)
    }
  }

  const eject = (target: string, health: Health, knownTargets: number): void => {
    prune()
    const limit = knownTargets < 2 ? 0 : Math.max(1, Math.floor(knownTargets * settings.ejectedShare))
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

  const relativeTime = (key: string, time: Milliseconds): number => {
    const known = medians.get(key)
    if (known === undefined) {
      if (medians.size >= MAXIMUM_KEYS) medians.clear()
      medians.set(key, Math.max(1, time))
      return 1
    }
    medians.set(key, Math.max(1, known * (time > known ? 1 + MEDIAN_STEP : 1 - MEDIAN_STEP)))
    return time / known
  }

  const record = (target: string, result: RequestResult, knownTargets: number): void => {
    if (result.kind === 'refused' || result.kind === 'cancelled') return
    let health = healthOf.get(target)
    if (health === undefined) {
      health = { failures: 0, slowness: 1, samples: 0, ejections: 0, ejectedUntil: -Infinity }
      healthOf.set(target, health)
    }
    if (result.kind === 'failure') {
      health.failures++
      if (health.failures >= settings.consecutiveFailures) eject(target, health, knownTargets)
      return
    }
    health.failures = 0
    health.samples++
    health.slowness += SMOOTHING * (relativeTime(result.key, result.firstByteMilliseconds) - health.slowness)
    if (health.samples >= MINIMUM_SAMPLES && health.slowness > settings.slowFactor) eject(target, health, knownTargets)
  }

  const weight = (target: string): number => {
    const health = healthOf.get(target)
    if (health === undefined || health.ejectedUntil === -Infinity) return 1
    const since = clock.now() - health.ejectedUntil
    if (since < 0) return 0
    return Math.min(1, FIRST_READMITTED_SHARE + since / settings.readmissionMilliseconds)
  }

  return {
    record,
    weight,
    ejected: () => {
      prune()
      return [...ejectedTargets]
    },
    retain: (keep) => {
      for (const target of healthOf.keys()) if (!keep(target)) healthOf.delete(target)
    }
  }
}
