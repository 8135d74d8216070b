import type { GapHistory, KeepWarmPolicy } from '@fuchsiastage/keep-warm'
import type { Milliseconds } from '@fuchsiastage/types'
import type { PlacementUsage } from './interfaces.js'

export interface UsageTracker {
  /** Records a request for the model or adapter, whether it is served or waits for a replica. */
  readonly recordRequest: (name: string) => void
  /** Records the usage report of a daemon. */
  readonly report: (usage: PlacementUsage) => void
  /** History of the gaps between requests, or undefined if there was no request. */
  readonly history: (name: string) => GapHistory | undefined
  /** Time of the last request or of the last report with requests in flight, or undefined if there was none. */
  readonly lastUsedAt: (name: string) => Milliseconds | undefined
  /** Number of requests in flight on all daemons, according to their current reports. */
  readonly inFlight: (name: string) => number
  /** Deletes the data of the names for which `isKept` returns false. */
  readonly prune: (isKept: (name: string) => boolean) => void
}

/** Age from which the requests in flight of a report are no longer counted. */
const REPORT_VALID_MILLISECONDS = 30_000

/**
 * Creates the tracker of requests for each model and adapter. The data is kept only in memory: a new
 * lease holder starts without it and treats every replica as last used when it took over. A request
 * for an adapter also counts in the history of its base model, on whose replica it runs.
 *
 * @example
 * const usage = createUsageTracker(policy, () => clock.now(), (name) => adapters.get(name)?.model)
 */
export function createUsageTracker (policy: KeepWarmPolicy, now: () => Milliseconds, baseOf: (name: string) => string | undefined = () => undefined): UsageTracker {
  const histories = new Map<string, GapHistory>()
  const lastUseTimes = new Map<string, Milliseconds>()
  const inFlightReports = new Map<string, Map<string, { readonly count: number, readonly at: Milliseconds }>>()
  /** Cached sums of requests in flight. A review queries the sum of a model once for each of its replicas. */
  const inFlightSums = new Map<string, { readonly count: number, readonly at: Milliseconds }>()
  const sumInFlight = (name: string): number => {
    let sum = 0
    for (const { count, at } of inFlightReports.get(name)?.values() ?? []) if (now() - at < REPORT_VALID_MILLISECONDS) sum += count
    return sum
  }
  const updateHistory = (name: string): void => {
    histories.set(name, policy.observe(histories.get(name), now()))
  }
  const recordRequest = (name: string): void => {
    lastUseTimes.set(name, now())
    updateHistory(name)
    // Updates only the history of the base model, not its time of last use: a replica of the base model
    // on a target where the adapter is not permitted may still be evicted.
    const base = baseOf(name)
    if (base !== undefined) updateHistory(base)
  }
  return {
    recordRequest,
    report: ({ name, daemon, requests, inFlight }) => {
      if (requests > 0) recordRequest(name)
      else if (inFlight > 0) lastUseTimes.set(name, now())
      const byDaemon = inFlightReports.get(name) ?? new Map<string, { readonly count: number, readonly at: Milliseconds }>()
      inFlightReports.set(name, byDaemon)
      inFlightSums.delete(name)
      if (inFlight > 0) byDaemon.set(daemon, { count: inFlight, at: now() })
      else byDaemon.delete(daemon)
    },
    history: (name) => histories.get(name),
    lastUsedAt: (name) => lastUseTimes.get(name),
    inFlight: (name) => {
      const known = inFlightSums.get(name)
      if (known?.at === now()) return known.count
      const count = sumInFlight(name)
      inFlightSums.set(name, { count, at: now() })
      return count
    },
    prune: (isKept) => {
      for (const map of [histories, lastUseTimes, inFlightReports, inFlightSums]) {
        for (const name of map.keys()) if (!isKept(name)) map.delete(name)
      }
    }
  }
}
