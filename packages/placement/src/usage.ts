import type { GapHistory, KeepWarmPolicy } from '@fuchsiastage/keep-warm'
import type { Milliseconds } from '@fuchsiastage/types'
import type { PlacementUsage } from './interfaces.js'

export interface UsageBook {
  /** Notes a request for the name, or one that had to wait for a replica. */
  readonly touch: (name: string) => void
  readonly report: (usage: PlacementUsage) => void
  readonly history: (name: string) => GapHistory | undefined
  readonly usedAt: (name: string) => Milliseconds | undefined
  readonly inFlight: (name: string) => number
  readonly forget: (isKept: (name: string) => boolean) => void
}

/** Reports of a daemon older than this no longer count as requests in flight. */
const REPORT_VALID_MILLISECONDS = 30_000

/**
 * Creates the record of requests for each model and adapter. It is kept in memory: a new holder
 * starts without it and treats every replica as used at the time of its election. A request for an
 * adapter counts for its model too, whose replica it runs on.
 *
 * @example
 * const usage = createUsageBook(policy, () => clock.now(), (name) => adapters.get(name)?.model)
 */
export function createUsageBook (policy: KeepWarmPolicy, now: () => Milliseconds, baseOf: (name: string) => string | undefined = () => undefined): UsageBook {
  const histories = new Map<string, GapHistory>()
  const used = new Map<string, Milliseconds>()
  const flights = new Map<string, Map<string, { readonly count: number, readonly at: Milliseconds }>>()
  /** Sums of requests in flight, which a review asks for once for each replica. */
  const sums = new Map<string, { readonly count: number, readonly at: Milliseconds }>()
  const sumOf = (name: string): number => {
    let sum = 0
    for (const { count, at } of flights.get(name)?.values() ?? []) if (now() - at < REPORT_VALID_MILLISECONDS) sum += count
    return sum
  }
  const remember = (name: string): void => {
    histories.set(name, policy.observe(histories.get(name), now()))
  }
  const touch = (name: string): void => {
    used.set(name, now())
    remember(name)
    // Only the history: a replica of the model that the adapter cannot run on may still be evicted.
    const base = baseOf(name)
    if (base !== undefined) remember(base)
  }
  return {
    touch,
    report: ({ name, daemon, requests, inFlight }) => {
      if (requests > 0) touch(name)
      else if (inFlight > 0) used.set(name, now())
      const byDaemon = flights.get(name) ?? new Map<string, { readonly count: number, readonly at: Milliseconds }>()
      flights.set(name, byDaemon)
      sums.delete(name)
      if (inFlight > 0) byDaemon.set(daemon, { count: inFlight, at: now() })
      else byDaemon.delete(daemon)
    },
    history: (name) => histories.get(name),
    usedAt: (name) => used.get(name),
    inFlight: (name) => {
      const known = sums.get(name)
      if (known?.at === now()) return known.count
      const count = sumOf(name)
      sums.set(name, { count, at: now() })
      return count
    },
    forget: (isKept) => {
      for (const map of [histories, used, flights, sums]) {
        for (const name of map.keys()) if (!isKept(name)) map.delete(name)
      }
    }
  }
}
