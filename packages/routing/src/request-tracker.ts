import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

/**
 * Result of a request to a target. `refused` means that the target reported that it did not run the
 * request. `firstByteMilliseconds` is compared with other requests of the same key (model or service).
 */
export type RequestResult =
  | { readonly kind: 'success', readonly firstByteMilliseconds: Milliseconds, readonly key: string }
  | { readonly kind: 'refused', readonly code: 'busy' | 'leaving' | 'model-not-loaded' }
  | { readonly kind: 'failure' }
  /** The caller disconnected, so the result does not indicate the target's health. */
  | { readonly kind: 'cancelled' }

export interface RequestTracker {
  readonly begin: (target: string) => void
  readonly end: (target: string, result: RequestResult) => void
  /** This daemon's requests in flight at the target. */
  readonly inFlight: (target: string) => number
  /**
   * Number of this daemon's requests that began at or after the given time, minus the number that
   * ended at or after it. The time must not decrease between calls for the same target, because each
   * call discards the changes before its time.
   */
  readonly netRequestsSince: (target: string, time: Milliseconds) => number
  /** Time of the target's last `busy` refusal. */
  readonly lastBusyAt: (target: string) => Milliseconds | undefined
  /** Removes targets that are not in the set and have no request in flight. */
  readonly retain: (targets: ReadonlySet<string>) => void
  readonly onEnd: (listener: (target: string, result: RequestResult) => void) => void
}

interface TargetEntry {
  inFlight: number
  lastBusyAt: Milliseconds | undefined
  /** Times at which requests began or ended, oldest first. Those before `head` are discarded, normally because a load report includes them. */
  changeTimes: Milliseconds[]
  /** +1 for a begin and -1 for an end, at the same index as in `changeTimes`. */
  changes: number[]
  head: number
  /** Sum of the changes from `head` on. */
  netRequests: number
}

/** Maximum number of changes stored for a target. It is reached when the target's load reports stop; such a target receives no new requests. */
const MAXIMUM_CHANGES = 4_096

/**
 * Creates the tracker of this daemon's requests to each target.
 *
 * @example
 * tracker.begin('drafter-1')
 * tracker.end('drafter-1', { kind: 'success', firstByteMilliseconds: 80, key: 'model/renewal-letter' })
 */
export function createRequestTracker (options: { readonly clock: Clock }): RequestTracker {
  const { clock } = options
  const entries = new Map<string, TargetEntry>()
  const listeners: Array<(target: string, result: RequestResult) => void> = []

  const entryOf = (target: string): TargetEntry => {
    let entry = entries.get(target)
    if (entry === undefined) {
      entry = { inFlight: 0, lastBusyAt: undefined, changeTimes: [], changes: [], head: 0, netRequests: 0 }
      entries.set(target, entry)
    }
    return entry
  }

  const dropOldestChange = (entry: TargetEntry): void => {
    entry.netRequests -= entry.changes[entry.head] ?? 0
    entry.head++
    if (entry.head < 64 || entry.head * 2 < entry.changeTimes.length) return
    entry.changeTimes = entry.changeTimes.slice(entry.head)
    entry.changes = entry.changes.slice(entry.head)
    entry.head = 0
  }

  const recordChange = (entry: TargetEntry, change: 1 | -1): void => {
    entry.inFlight += change
    entry.netRequests += change
    entry.changeTimes.push(clock.now())
    entry.changes.push(change)
    if (entry.changeTimes.length - entry.head > MAXIMUM_CHANGES) dropOldestChange(entry)
  }

  const end = (target: string, result: RequestResult): void => {
    const entry = entries.get(target)
    if (entry !== undefined && entry.inFlight > 0) {
      recordChange(entry, -1)
      if (result.kind === 'refused' && result.code === 'busy') entry.lastBusyAt = clock.now()
    }
    for (const listener of listeners) listener(target, result)
  }

  const netRequestsSince = (target: string, time: Milliseconds): number => {
    const entry = entries.get(target)
    if (entry === undefined) return 0
    while (entry.head < entry.changeTimes.length && (entry.changeTimes[entry.head] ?? Infinity) < time) dropOldestChange(entry)
    return entry.netRequests
  }

  return {
    begin: (target) => recordChange(entryOf(target), 1),
    end,
    inFlight: (target) => entries.get(target)?.inFlight ?? 0,
    netRequestsSince,
    lastBusyAt: (target) => entries.get(target)?.lastBusyAt,
    retain: (targets) => {
      for (const [target, entry] of entries) if (entry.inFlight === 0 && !targets.has(target)) entries.delete(target)
    },
    onEnd: (listener) => { listeners.push(listener) }
  }
}
