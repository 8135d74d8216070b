import type { Milliseconds } from '@fuchsiastage/types'

/** A connection of a client. */
export interface ConnectionState {
  /** Number of its requests whose responses are not complete. */
  readonly activeRequests: number
  /** Time at which it was opened, or at which its last request ended. */
  readonly waitingSince: Milliseconds
  /** Whether it has brought a complete head of a request. */
  readonly hasServed: boolean
  /** Bytes of the next head that have arrived. */
  readonly headBytes: number
}

/** Clients reuse a connection that has been idle for up to this part of the idle time. */
const REUSED_IDLE_SHARE = 0.8
/** Under pressure a connection that has brought no request for this long is closed; clients allow a daemon one second to read a request. */
const FIRST_HEAD_MILLISECONDS = 1_000
/** Without others, connections that have been idle for this long are closed: a new one brings a request, and one of these rarely just now. */
const IDLE_MILLISECONDS = 1_000

/**
 * Chooses up to `maximumCount` connections that are closed in favour of new ones when too many are open: those that have been
 * idle for longer than clients reuse them, the longest first, then those that have never brought a request. Without
 * any, those that have been idle the longest.
 *
 * @example
 * const chosen = chooseConnectionsToClose(states, clock.now(), { idleMilliseconds: 15000, maximumCount: 16 })
 */
export function chooseConnectionsToClose<Key> (connections: Iterable<readonly [Key, Omit<ConnectionState, 'headBytes'>]>, now: Milliseconds, { idleMilliseconds, maximumCount }: { readonly idleMilliseconds: Milliseconds, readonly maximumCount: number }): readonly Key[] {
  const idle: Array<readonly [Key, Milliseconds]> = []
  const reusable: Array<readonly [Key, Milliseconds]> = []
  const unused: Array<readonly [Key, Milliseconds]> = []
  for (const [key, { activeRequests, waitingSince, hasServed }] of connections) {
    if (activeRequests > 0) continue
    const waited = now - waitingSince
    if (hasServed && waited > idleMilliseconds * REUSED_IDLE_SHARE) idle.push([key, waited])
    else if (hasServed && waited > IDLE_MILLISECONDS) reusable.push([key, waited])
    if (!hasServed && waited > FIRST_HEAD_MILLISECONDS) unused.push([key, waited])
  }
  const byWait = (one: readonly [Key, Milliseconds], other: readonly [Key, Milliseconds]): number => other[1] - one[1]
  const chosen = idle.length + unused.length > 0 ? [...idle.sort(byWait), ...unused.sort(byWait)] : reusable.sort(byWait)
  return chosen.slice(0, maximumCount).map(([key]) => key)
}

/**
 * Chooses the connections to close so that the unfinished heads of requests take up no more than the maximum, the largest heads first.
 *
 * @example
 * const chosen = chooseHeadsToClose([...states.entries()], 4194304)
 */
export function chooseHeadsToClose<Key> (connections: ReadonlyArray<readonly [Key, Pick<ConnectionState, 'headBytes'>]>, maximumBytes: number): readonly Key[] {
  let total = connections.reduce((sum, [, { headBytes }]) => sum + headBytes, 0)
  if (total <= maximumBytes) return []
  const chosen: Key[] = []
  for (const [key, { headBytes }] of [...connections].sort(([, one], [, other]) => other.headBytes - one.headBytes)) {
    if (total <= maximumBytes) break
    total -= headBytes
    chosen.push(key)
  }
  return chosen
}
