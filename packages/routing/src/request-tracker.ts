import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

/**
 * How a request at a target ended. `refused`: the target said that it had run nothing. The first-byte
 * time is compared with that of other requests of the same key (model or service).
 */
export type RequestResult =
  | { readonly kind: 'success', readonly firstByteMilliseconds: Milliseconds, readonly key: string }
  | { readonly kind: 'refused', readonly code: 'busy' | 'leaving' | 'model-not-loaded' }
  | { readonly kind: 'failure' }
  /** The caller went away, which says nothing about the target. */
  | { readonly kind: 'cancelled' }

export interface RequestTracker {
  readonly begin: (target: string) => void
  readonly end: (target: string, result: RequestResult) => void
  /** Own requests in flight at the target. */
  readonly inFlight: (target: string) => number
  /**
   * Own requests begun minus own requests ended at or after the given time. The time must not go
   * back between calls for one target.
   */
  readonly netSince: (target: string, time: Milliseconds) => number
  /** Time of the last `busy` refusal, or undefined. */
  readonly busyAt: (target: string) => Milliseconds | undefined
  readonly retain: (targets: ReadonlySet<string>) => void
  readonly onEnd: (listener: (target: string, result: RequestResult) => void) => void
}

interface Entry {
  inFlight: number
  busyAt: Milliseconds | undefined
  /** Begins (+1) and ends (-1) that no report covers yet; those before `head` are covered. */
  times: Milliseconds[]
  changes: number[]
  head: number
  net: number
}

/** Changes that are kept for a target whose reports have stopped; such a target gets no requests. */
const MAXIMUM_CHANGES = 4_096

/**
 * Creates the tracker of the daemon's own requests.
 *
 * @example
 * tracker.begin('drafter-1')
 * tracker.end('drafter-1', { kind: 'success', firstByteMilliseconds: 80, key: 'model/renewal-letter' })
 */
export function createRequestTracker (options: { readonly clock: Clock }): RequestTracker {
  const { clock } = options
  const entries = new Map<string, Entry>()
  const listeners: Array<(target: string, result: RequestResult) => void> = []

  const entryOf = (target: string): Entry => {
    let entry = entries.get(target)
    if (entry === undefined) {
      entry = { inFlight: 0, busyAt: undefined, times: [], changes: [], head: 0, net: 0 }
      entries.set(target, entry)
    }
    return entry
  }

  const dropFirst = (entry: Entry): void => {
    entry.net -= entry.changes[entry.head] ?? 0
    entry.head++
    if (entry.head < 64 || entry.head * 2 < entry.times.length) return
    entry.times = entry.times.slice(entry.head)
    entry.changes = entry.changes.slice(entry.head)
    entry.head = 0
  }

  const change = (entry: Entry, by: 1 | -1): void => {
    entry.inFlight += by
    entry.net += by
    entry.times.push(clock.now())
    entry.changes.push(by)
    if (entry.times.length - entry.head > MAXIMUM_CHANGES) dropFirst(entry)
  }

  const end = (target: string, result: RequestResult): void => {
    const entry = entries.get(target)
    if (entry !== undefined && entry.inFlight > 0) {
      change(entry, -1)
      if (result.kind === 'refused' && result.code === 'busy') entry.busyAt = clock.now()
    }
    for (const listener of listeners) listener(target, result)
  }

  const netSince = (target: string, time: Milliseconds): number => {
    const entry = entries.get(target)
    if (entry === undefined) return 0
    while (entry.head < entry.times.length && (entry.times[entry.head] ?? Infinity) < time) dropFirst(entry)
    return entry.net
  }

  return {
    begin: (target) => change(entryOf(target), 1),
    end,
    inFlight: (target) => entries.get(target)?.inFlight ?? 0,
    netSince,
    busyAt: (target) => entries.get(target)?.busyAt,
    retain: (targets) => {
      for (const [target, entry] of entries) if (entry.inFlight === 0 && !targets.has(target)) entries.delete(target)
    },
    onEnd: (listener) => { listeners.push(listener) }
  }
}
