import { createSeededRandom } from '@fuchsiastage/membership'
import { createManualClock, createSystemClock } from '@fuchsiastage/clock'
import { createReportStore, createRequestTracker, createRouter, type ReportStore } from '@fuchsiastage/routing'
import { quantile, round } from '../statistics.js'

export interface DecisionCost {
  readonly targets: number
  /** Mean number of reports that one decision looks up. */
  readonly lookups: number
  readonly maximumLookups: number
  /** Measured in real time, so it depends on the machine. */
  readonly medianMicroseconds: number
}

export const TARGET_COUNTS: readonly number[] = [60, 600, 5_900]
const DECISION_COUNT = 2_000
const KEY = 'model/measured'

/**
 * Measures the cost of one routing decision at several numbers of targets.
 *
 * @example
 * const costs = measureDecisionCosts(1)
 */
export function measureDecisionCosts (seed: number): readonly DecisionCost[] {
  return TARGET_COUNTS.map((targetCount) => {
    const clock = createManualClock()
    const systemClock = createSystemClock()
    const random = createSeededRandom(seed)
    let lookups = 0
    const store = createReportStore({ clock })
    const reports: ReportStore = {
      ...store,
      get: (target) => {
        lookups++
        return store.get(target)
      }
    }
    const tracker = createRequestTracker({ clock })
    const router = createRouter({ clock, random, daemon: 'entry-1', reports, tracker, latency: () => 1, daemonsRouting: () => 2 })
    const targets = Array.from({ length: targetCount }, (_, index) => ({ name: `t${index}`, address: '127.0.0.1:1', dataCentre: 'a', maximumConcurrent: 64 }))
    router.setCandidates(KEY, targets)
    targets.forEach(({ name }, index) => store.record({
      target: name, incarnation: 'i', state: 'live', load: { running: index % 20, waiting: 0, capacity: 64, ageMilliseconds: 0 }, ageMilliseconds: 0, source: 'observer'
    }))
    const lookupCounts: number[] = []
    const durations: number[] = []
    for (let index = 0; index < DECISION_COUNT; index++) {
      const prefix = `prefix-${index % 100}`
      lookups = 0
      const startedAt = systemClock.now()
      const decision = router.choose({ key: KEY, prefix })
      durations.push(systemClock.now() - startedAt)
      lookupCounts.push(lookups)
      if (decision.isOk) router.recordPrefix(decision.value.target.name, KEY, prefix)
    }
    return {
      targets: targetCount,
      lookups: round(lookupCounts.reduce((sum, count) => sum + count, 0) / DECISION_COUNT, 2),
      maximumLookups: Math.max(...lookupCounts),
      medianMicroseconds: round(quantile(durations, 0.5) * 1_000, 2)
    }
  })
}
