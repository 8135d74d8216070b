import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

export interface DemandTracker {
  /** Records requests for a subject, which is a model or `model/adapter`. */
  readonly record: (subject: string, requests: number) => void
  /** Smoothed rate of the requests for a subject, per second. */
  readonly rate: (subject: string) => number
  readonly lastUsedAt: (subject: string) => Milliseconds
  /** Whether any request was recorded within the last few seconds. */
  readonly isActive: () => boolean
}

/** Half-life of the weight of a recorded request. It is short because demand shifts between models within seconds. */
export const DEMAND_HALF_LIFE_MILLISECONDS = 8_000

/** Time without any request after which demand counts as inactive. */
const ACTIVE_MILLISECONDS = 3_000

/**
 * Creates the tracker of the request rates of models and adapters. Rates decay exponentially.
 *
 * @example
 * demand.record('letters-7b', 3)
 * const perSecond = demand.rate('letters-7b')
 */
export function createDemandTracker (clock: Clock): DemandTracker {
  const entries = new Map<string, { sum: number, at: Milliseconds }>()
  let latestAt: Milliseconds = -Infinity
  const decay = (from: Milliseconds, to: Milliseconds): number => 2 ** (-(to - from) / DEMAND_HALF_LIFE_MILLISECONDS)

  return {
    record: (subject, requests) => {
      const now = clock.now()
      latestAt = now
      const entry = entries.get(subject)
      if (entry === undefined) {
        entries.set(subject, { sum: requests, at: now })
        return
      }
      entry.sum = entry.sum * decay(entry.at, now) + requests
      entry.at = now
    },
    rate: (subject) => {
      const entry = entries.get(subject)
      if (entry === undefined) return 0
      return entry.sum * decay(entry.at, clock.now()) * Math.LN2 / (DEMAND_HALF_LIFE_MILLISECONDS / 1000)
    },
    isActive: () => clock.now() - latestAt < ACTIVE_MILLISECONDS,
    lastUsedAt: (subject) => entries.get(subject)?.at ?? -Infinity
  }
}
