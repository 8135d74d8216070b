import type { Clock } from '@fuchsiastage/clock'
import type { Member, MemberDirectory } from '@fuchsiastage/fleet'
import type { HolderGossip } from '@fuchsiastage/fleet-peer'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'

export interface LeaseHolder {
  readonly member: Member
  readonly term: number
}

export interface HolderTrackerOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly members: Pick<MemberDirectory, 'find'>
  readonly selfName: string
}

export interface HolderTracker {
  /** Records the term that a peer states to hold in a message of its own, or that it holds none. */
  readonly recordStatement: (member: Member, term: number | undefined) => void
  readonly applyGossip: (gossip: HolderGossip | undefined) => void
  readonly gossip: () => HolderGossip | undefined
  /** The peer that has recently stated that it holds the order lease, to this daemon or to one whose gossip arrived. */
  readonly holder: () => LeaseHolder | undefined
  /** Time since the last statement of a holder to any daemon, as far as known; infinite before the first one. */
  readonly sinceContact: () => Milliseconds
  /** Logs each change of the known holder since the last call; call it periodically. */
  readonly logChanges: () => void
}

/** Time for which a peer counts as the lease holder after it has stated so. */
const HOLDER_VALIDITY_MILLISECONDS = 1_500

/**
 * Creates the knowledge of a daemon about which peer holds the order lease. Gossip carries the time
 * since the holder's own statement, so it cannot keep a failed holder alive.
 *
 * @example
 * tracker.recordStatement(member, 41)
 * const address = tracker.holder()?.member.peerAddress
 */
export function createHolderTracker ({ clock, logger, members, selfName }: HolderTrackerOptions): HolderTracker {
  let known: { readonly name: string, readonly term: number, readonly lastContactAt: Milliseconds } | undefined
  let lastContactAt: Milliseconds = -Infinity
  /** Term that its holder has stated not to hold, and when. Gossip about an earlier contact is outdated. */
  let ended: { readonly term: number, readonly at: Milliseconds } | undefined
  let loggedName: string | undefined

  const record = (name: string, term: number, contactAt: Milliseconds): void => {
    lastContactAt = Math.max(lastContactAt, contactAt)
    const isNewer = known === undefined || term > known.term || (term === known.term && contactAt > known.lastContactAt)
    if (isNewer) known = { name, term, lastContactAt: contactAt }
  }

  const holder = (): LeaseHolder | undefined => {
    if (known === undefined || clock.now() - known.lastContactAt > HOLDER_VALIDITY_MILLISECONDS) return undefined
    const member = members.find(known.name)
    return member === undefined ? undefined : { member, term: known.term }
  }

  return {
    holder,
    sinceContact: () => clock.now() - lastContactAt,
    recordStatement: (member, term) => {
      if (term !== undefined) {
        record(member.name, term, clock.now())
      } else if (known?.name === member.name) {
        ended = { term: known.term, at: clock.now() }
        known = undefined
      }
    },
    applyGossip: (gossip) => {
      if (gossip === undefined || gossip.name === selfName) return
      const contactAt = clock.now() - gossip.heardAgoMilliseconds
      if (ended !== undefined && gossip.term <= ended.term && contactAt <= ended.at) return
      record(gossip.name, gossip.term, contactAt)
    },
    gossip: () => {
      const current = holder()
      if (current === undefined || known === undefined) return undefined
      return { name: current.member.name, term: current.term, heardAgoMilliseconds: clock.now() - known.lastContactAt }
    },
    logChanges: () => {
      const current = holder()
      if (current?.member.name === loggedName) return
      const previous = loggedName
      loggedName = current?.member.name
      if (current !== undefined) {
        logger.info('found the holder of the order lease', { event: 'holder-known', member: current.member.name, epoch: current.term })
      } else {
        logger.warn('lost contact with the holder of the order lease; placements have to wait', {
          event: 'holder-unknown', member: previous, sinceContact: Math.round(clock.now() - lastContactAt), reason: known === undefined ? 'it no longer holds the lease' : 'no message from it'
        })
      }
    }
  }
}
