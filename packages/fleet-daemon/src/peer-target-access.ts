import type { Clock } from '@fuchsiastage/clock'
import type { Member, MemberDirectory } from '@fuchsiastage/fleet'
import type { TargetAccess } from '@fuchsiastage/fleet-peer'
import type { Milliseconds } from '@fuchsiastage/types'

export interface PeerTargetAccessOptions {
  readonly clock: Clock
  readonly members: Pick<MemberDirectory, 'others' | 'find' | 'isAlive' | 'sinceLastContact'>
  /** Source of random numbers from 0 to 1, for the choice of the peers that gossip names. */
  readonly random: () => number
}

/** Which peers reach targets, as they have stated themselves. */
export interface PeerTargetAccess {
  /** Records what a peer states in a message; undefined if it is of an earlier version. */
  readonly recordStatement: (peer: Member, access: TargetAccess | undefined, supportsCustomers?: boolean) => void
  /** Whether a peer has stated, to this daemon or to another one, that it keeps the keys of customers from targets. */
  readonly supportsCustomers: (peer: Member) => boolean
  /** Names and start times of the given members that support customers; for gossip. */
  readonly supportingMembers: (names: readonly string[]) => ReadonlyArray<readonly [name: string, startedAt: number]>
  /** Applies what another daemon knows of the peers that reach targets. */
  readonly applyGossip: (reachingMembers: ReadonlyArray<readonly [name: string, ageMilliseconds: Milliseconds]>, supportingMembers: ReadonlyArray<readonly [name: string, startedAt: number]>) => void
  /** Peers that are known to reach targets, with the time since their statements; for gossip. */
  readonly reachingMembers: () => ReadonlyArray<readonly [name: string, ageMilliseconds: Milliseconds]>
  /** Records that a peer declined a request or was lost; it is not asked for some time. */
  readonly recordFailure: (peer: Member) => void
  /** Peers that can take a request over now: those that are known to reach targets, those of which that is not known, and those that reach targets and are leaving. */
  readonly candidates: () => { readonly reaching: readonly Member[], readonly unknown: readonly Member[], readonly leaving: readonly Member[] }
  /** Whether a serving peer has recently stated that it reaches targets. */
  readonly isReachedByPeer: () => boolean
}

interface Statement {
  /** Start of the incarnation that made the statement. */
  readonly startedAt: number
  readonly access: TargetAccess
  readonly at: Milliseconds
}

/** Time for which the statement of a peer tells whether it reaches targets. An older one tells only that it understands the call. Gossip takes some exchange periods; a peer that reaches none any more declines at once. */
const STATEMENT_VALIDITY_MILLISECONDS = 3_000
/** Time for which a peer that declined a request, or was lost, is not asked. */
const FAILED_PEER_MILLISECONDS = 1_000
/** Maximum number of peers in one message. Each takes some 25 bytes, and a daemon needs a few. */
const MAXIMUM_GOSSIP_MEMBERS = 8
/** A peer without contact for this time may have ended, so it is asked only if it is known to reach targets. Two exchange periods fit in. */
const MAXIMUM_CONTACT_AGE_MILLISECONDS = 1_000

/**
 * Creates the record of the peers that can take over requests of a daemon that is cut off from all
 * targets. In a large fleet a daemon hears few peers directly, so gossip names some that reach targets.
 *
 * @example
 * const access = createPeerTargetAccess({ clock, members, random: Math.random })
 * const { reaching: [peer] } = access.candidates()
 */
export function createPeerTargetAccess ({ clock, members, random }: PeerTargetAccessOptions): PeerTargetAccess {
  const statements = new Map<string, Statement>()
  const avoidedUntil = new Map<string, Milliseconds>()
  /** Start times of the incarnations that support customers; the next one may be of an earlier version. */
  const supportingSince = new Map<string, number>()

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
    members.isAlive(peer.name) && (avoidedUntil.get(peer.name) ?? -Infinity) <= clock.now()

  const mayReach = (peer: Member): boolean =>
    statementOf(peer) !== undefined && !isKnownAs(peer, 'lost') && members.sinceLastContact(peer.name) < MAXIMUM_CONTACT_AGE_MILLISECONDS

  /** Forgets members that have left the fleet for good. */
  const forgetRemoved = (): void => {
    if (Math.max(statements.size, supportingSince.size) <= members.others().length) return
    for (const map of [statements, avoidedUntil, supportingSince]) for (const name of map.keys()) if (members.find(name) === undefined) map.delete(name)
  }

  const record = (name: string, statement: Statement): void => {
    const known = statements.get(name)
    if (known === undefined || known.startedAt !== statement.startedAt || statement.at > known.at) statements.set(name, statement)
    forgetRemoved()
  }

  return {
    recordStatement: (peer, access, supportsCustomers = false) => {
      if (supportsCustomers) supportingSince.set(peer.name, peer.startedAt)
      else supportingSince.delete(peer.name)
      if (access === undefined) statements.delete(peer.name)
      else record(peer.name, { startedAt: peer.startedAt, access, at: clock.now() })
    },
    supportsCustomers: ({ name, startedAt }) => supportingSince.get(name) === startedAt,
    supportingMembers: (names) => names.flatMap((name): ReadonlyArray<readonly [string, number]> => {
      const startedAt = supportingSince.get(name)
      return startedAt === undefined ? [] : [[name, startedAt]]
    }),
    applyGossip: (reachingMembers, supportingMembers) => {
      for (const [name, startedAt] of supportingMembers) {
        if (members.find(name) !== undefined && startedAt > (supportingSince.get(name) ?? -Infinity)) supportingSince.set(name, startedAt)
      }
      for (const [name, ageMilliseconds] of reachingMembers) {
        const member = members.find(name)
        if (member !== undefined) record(name, { startedAt: member.startedAt, access: 'reached', at: clock.now() - ageMilliseconds })
      }
    },
    reachingMembers: () => members.others()
      .filter((peer) => isKnownAs(peer, 'reached'))
      .map((peer) => ({ peer, order: random() }))
      .sort((one, other) => one.order - other.order)
      .slice(0, MAXIMUM_GOSSIP_MEMBERS)
      .map(({ peer }): readonly [string, Milliseconds] => [peer.name, Math.round(clock.now() - (statementOf(peer)?.at ?? 0))]),
    recordFailure: ({ name }) => { avoidedUntil.set(name, clock.now() + FAILED_PEER_MILLISECONDS) },
    candidates: () => {
      const peers = members.others().filter(canTakeOver)
      const serving = peers.filter(({ state }) => state === 'serving')
      return {
        reaching: serving.filter((peer) => isKnownAs(peer, 'reached')),
        unknown: serving.filter((peer) => !isKnownAs(peer, 'reached') && mayReach(peer)),
        leaving: peers.filter((peer) => peer.state === 'leaving' && isKnownAs(peer, 'reached'))
      }
    },
    isReachedByPeer: () => members.others().some((peer) => peer.state === 'serving' && members.isAlive(peer.name) && isKnownAs(peer, 'reached'))
  }
}
