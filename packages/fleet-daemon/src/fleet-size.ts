import type { Clock } from '@fuchsiastage/clock'
import type { MemberDirectory } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'

export interface FleetSizeOptions {
  readonly clock: Clock
  readonly members: Pick<MemberDirectory, 'others' | 'aliveCount' | 'isComplete'>
  /** Number of daemons that a holder of the order lease has stated last, if this daemon has read such a statement. */
  readonly statedCount: () => number | undefined
  /** Monotonic time since which this daemon holds the order lease; undefined while it does not. */
  readonly holdsLeaseSince: () => Milliseconds | undefined
}

/** How many daemons there are, as far as this one can tell. It may not have read the records of the members. */
export interface FleetSize {
  /**
   * Number of daemons, including this one and unresponsive ones, among which an amount is divided that all of them
   * together must not exceed; infinite while this daemon cannot tell.
   */
  readonly expected: () => number
  /** Number of daemons that are active at least, for amounts that may be exceeded for a time. */
  readonly active: () => number
  /**
   * Part of the fleet whose decisions this daemon may take: all of it once it knows the members, and before that the
   * part that it is in contact with.
   */
  readonly reachedShare: () => number
  /** Number of daemons to state to others; undefined while this daemon cannot tell. */
  readonly stated: () => number | undefined
  /** Records the number that a peer states. */
  readonly recordStatement: (count: number | undefined) => void
}

/** Time within which all daemons that can read the lease topic have contacted its holder. */
const INTRODUCTION_MILLISECONDS = 3_000

/**
 * Creates the number of daemons. While this daemon has not read the members, it relies on the numbers that a holder
 * of the order lease and its peers state. The first holder of a deployment counts the daemons that contact it.
 *
 * @example
 * const size = createFleetSize({ clock, members, statedCount, holdsLeaseSince })
 * const ownShare = amount / size.expected()
 */
export function createFleetSize ({ clock, members, statedCount, holdsLeaseSince }: FleetSizeOptions): FleetSize {
  let peerCount: number | undefined
  const knownCount = (): number => members.others().length + 1

  const stated = (): number | undefined => {
    if (members.isComplete()) return knownCount()
    const count = Math.max(statedCount() ?? 0, peerCount ?? 0)
    if (count > 0) return Math.max(count, knownCount())
    const heldSince = holdsLeaseSince()
    return heldSince !== undefined && clock.now() - heldSince >= INTRODUCTION_MILLISECONDS ? knownCount() : undefined
  }

  const expected = (): number => stated() ?? Infinity

  return {
    expected,
    active: () => members.isComplete() ? members.aliveCount() : Math.max(members.aliveCount(), stated() ?? 0),
    reachedShare: () => members.isComplete() ? 1 : Math.min(1, members.aliveCount() / expected()),
    stated,
    recordStatement: (count) => { peerCount = count ?? peerCount }
  }
}
