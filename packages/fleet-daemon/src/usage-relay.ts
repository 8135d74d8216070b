import type { Clock } from '@fuchsiastage/clock'
import type { TargetKey } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'

/** What daemons report to the lease holder about their requests. */
export interface UsageReport {
  /** Numbers of requests since the last report, by `model` and `model/adapter`. */
  readonly demand: ReadonlyArray<readonly [string, number]>
  /** Models and adapters that serve requests, as `target model` and `target model/adapter`. */
  readonly inUse: readonly string[]
  readonly overloaded: readonly TargetKey[]
}

export interface UsageRelay {
  /** Adds the report of another daemon. */
  readonly add: (report: UsageReport) => void
  /** Merges a report with those added since the last call, and resets them. */
  readonly merge: (own: UsageReport) => UsageReport
  /** Whether another daemon has recently reported to this one, which then must report to the lease holder itself. */
  readonly isActive: () => boolean
}

/** Two periods of the exchange. */
const ACTIVE_MILLISECONDS = 1_000

/**
 * Creates the collection of the reports that a daemon passes on to the lease holder for others.
 *
 * @example
 * relay.add({ demand: [['letters', 2]], inUse: ['e1@0 letters'], overloaded: [] })
 * const report = relay.merge(ownReport)
 */
export function createUsageRelay (clock: Clock): UsageRelay {
  let demand = new Map<string, number>()
  let inUse = new Set<string>()
  let overloaded = new Set<TargetKey>()
  let lastReportAt: Milliseconds = -Infinity

  const add = (report: UsageReport): void => {
    for (const [subject, count] of report.demand) demand.set(subject, (demand.get(subject) ?? 0) + count)
    for (const subject of report.inUse) inUse.add(subject)
    for (const target of report.overloaded) overloaded.add(target)
  }

  return {
    add: (report) => {
      lastReportAt = clock.now()
      add(report)
    },
    merge: (own) => {
      add(own)
      const merged: UsageReport = { demand: [...demand], inUse: [...inUse], overloaded: [...overloaded] }
      demand = new Map()
      inUse = new Set()
      overloaded = new Set()
      return merged
    },
    isActive: () => clock.now() - lastReportAt < ACTIVE_MILLISECONDS
  }
}
