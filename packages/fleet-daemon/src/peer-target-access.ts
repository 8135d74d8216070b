import type { Clock } from '@fuchsiastage/clock'
import type { Member, MemberDirectory } from '@fuchsiastage/fleet'
import type { TargetAccess } from '@fuchsiastage/fleet-peer'
import type { Milliseconds } from '@fuchsiastage/types'

export interface PeerTargetAccessOptions {
  readonly clock: Clock
  readonly members: Pick<MemberDirectory, 'others' | 'isAlive' | 'sinceLastContact'>
}

/** Which peers reach targets, as they have stated themselves. */
export interface PeerTargetAccess {
  /** Records what a peer states in a message; undefined if it is of an earlier version. */
  readonly recordStatement: (peer: Member, access: TargetAccess | undefined) => void
  /** Records that a peer declined a request or was lost; it is not asked for some time. */
  readonly recordFailure: (peer: Member) => void
  /** Peers that can take a request over now: those that are known to reach targets, and those of which that is not known. */
  readonly candidates: () => { readonly reaching: readonly Member[], readonly unknown: readonly Member[] }
  /** Whether a peer has recently stated that it reaches targets. */
  readonly isReachedByPeer: () => boolean
}

interface Statement {
  /** Start of the incarnation that made the statement. */
  readonly startedAt: number
  readonly access: TargetAccess
  readonly at: Milliseconds
}

/** Time for which the statement of a peer tells whether it reaches targets. An older one tells only that it understands the call. */
const STATEMENT_VALIDITY_MILLISECONDS = 1_500
/** Time for which a peer that declined a request, or was lost, is not asked. */
const FAILED_PEER_MILLISECONDS = 1_000
/** A peer without contact for this time may have ended; two exchange periods fit in. */
const MAXIMUM_CONTACT_AGE_MILLISECONDS = 1_000

/**
 * Creates the record of the peers that can take over requests of a daemon that is cut off from all
 * targets. In a large fleet a daemon knows the statements of some peers only; these suffice, because
 * it needs a few of them.
 *
 * @example
 * const access = createPeerTargetAccess({ clock, members })
 * const { reaching: [peer] } = access.candidates()
 */
export function createPeerTargetAccess ({ clock, members }: PeerTargetAccessOptions): PeerTargetAccess {
  const statements = new Map<string, Statement>()
  const avoidedUntil = new Map<string, Milliseconds>()

  const statementOf = ({ name, startedAt }: Member): Statement | undefined => {
    const statement = statements.get(name)
    return statement?.startedAt === startedAt ? statement : undefined
  }

  const isRecent = (statement: Statement): boolean => clock.now() - statement.at < STATEMENT_VALIDITY_MILLISECONDS

  const isKnownAs = (peer: Member, access: TargetAccess): boolean => {
    const statement = statementOf(peer)
    return statement !== undefined && statement.access === access && isRecent(statement)
  }

  const canTakeOver = (peer: Member): boolean =>
    peer.state === 'serving' && members.isAlive(peer.name) && members.sinceLastContact(peer.name) < MAXIMUM_CONTACT_AGE_MILLISECONDS &&
    statementOf(peer) !== undefined && !isKnownAs(peer, 'lost') && (avoidedUntil.get(peer.name) ?? -Infinity) <= clock.now()

  return {
    recordStatement: (peer, access) => {
      if (access === undefined) statements.delete(peer.name)
      else statements.set(peer.name, { startedAt: peer.startedAt, access, at: clock.now() })
    },
    recordFailure: ({ name }) => { avoidedUntil.set(name, clock.now() + FAILED_PEER_MILLISECONDS) },
    candidates: () => {
      const peers = members.others().filter(canTakeOver)
      return { reaching: peers.filter((peer) => isKnownAs(peer, 'reached')), unknown: peers.filter((peer) => !isKnownAs(peer, 'reached')) }
    },
    isReachedByPeer: () => members.others().some((peer) => members.isAlive(peer.name) && isKnownAs(peer, 'reached'))
  }
}
