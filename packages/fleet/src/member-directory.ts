import type { Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'

/** Description of a daemon, which it sends to its peers. */
export interface Member {
  readonly name: string
  /** Start of the process in Unix milliseconds; it identifies the incarnation. */
  readonly startedAt: number
  /** Address of the server for callers. */
  readonly frontAddress: string
  /** Address of the server for the other daemons. */
  readonly peerAddress: string
  readonly dataCentre: string
  readonly state: 'serving' | 'leaving'
  /** Whether the daemon issues allowances of customers; absent for earlier versions, which do not know the call. */
  readonly issuesAllowances?: boolean | undefined
}

/** Gossip about one member, sent from one daemon to another. */
export interface MemberUpdate {
  readonly member: Member
  /** Time since the last contact of any daemon with the member, as far as the sender knows. */
  readonly heardAgoMilliseconds: Milliseconds
}

export interface MemberList {
  readonly members: readonly Member[]
  /** Whether no member is missing that the log had when the list was read. */
  readonly isComplete: boolean
}

/** Name of a member, its start time, and the milliseconds since the last contact of any daemon with it. */
export type MemberContact = readonly [name: string, startedAt: number, heardAgoMilliseconds: Milliseconds]

export interface MemberDirectoryOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly self: () => Member
  /** A member without contact for this time counts as unresponsive and is not returned as an entry. */
  readonly livenessTimeoutMilliseconds: Milliseconds
}

export interface MemberDirectory {
  /** Adds a member from a record of the log. The record does not prove that the member is alive. */
  readonly applyRecord: (member: Member) => void
  /** Adds the members that the log had at one time, as read by this daemon or by a peer. */
  readonly applyList: (list: MemberList) => void
  /** The members that are known here, including this daemon, for a peer that cannot read the log. */
  readonly list: () => MemberList
  /** Whether all members that the log had at some time since the start of this daemon are known here. */
  readonly isComplete: () => boolean
  readonly remove: (name: string) => void
  /** Applies gossip that another daemon sent. */
  readonly applyUpdates: (updates: readonly MemberUpdate[]) => void
  /** Records a message that the member sent itself. */
  readonly recordContact: (member: Member) => void
  /** All members except this daemon, including unresponsive ones. */
  readonly others: () => readonly Member[]
  readonly find: (name: string) => Member | undefined
  /** Whether the last contact with the member, direct or by gossip, is within the liveness timeout. */
  readonly isAlive: (name: string) => boolean
  /** Time since the last contact with the member, direct or by gossip; infinite if there was none. */
  readonly sinceLastContact: (name: string) => Milliseconds
  /** Front addresses of the serving members that are alive, including this daemon; callers may connect to them. */
  readonly entryAddresses: () => readonly string[]
  /** Number of members that are alive, including this daemon. */
  readonly aliveCount: () => number
  /** Gossip about this daemon and the members that are alive and were discovered or changed recently, the newest first. */
  readonly recentUpdates: (maximum: number) => readonly MemberUpdate[]
  /** The last contacts with the members that are alive, the newest first. */
  readonly recentContacts: (maximum: number) => readonly MemberContact[]
  /** Applies contacts that another daemon sent. Contacts with members or incarnations that are not known here are ignored. */
  readonly applyContacts: (contacts: readonly MemberContact[]) => void
  /** Logs each member that became unresponsive or responsive since the last call; call it periodically. */
  readonly logLivenessChanges: () => void
}

interface TrackedMember {
  member: Member
  lastContactAt: Milliseconds
  /** Monotonic time of the last message from the member itself. */
  lastDirectContactAt: Milliseconds
  /** Monotonic time at which this daemon learned of the incarnation or of its leaving. */
  changedAt: Milliseconds
  isLoggedUnresponsive: boolean
}

/** Time for which gossip describes a change of a member. Members also appear in the log, and each exchange reaches several peers. */
const RECENT_CHANGE_MILLISECONDS = 10_000

/**
 * Creates the directory of the daemons of this deployment.
 *
 * @example
 * const members = createMemberDirectory({ clock, logger, self, livenessTimeoutMilliseconds: 2500 })
 * const addresses = members.entryAddresses()
 */
export function createMemberDirectory (options: MemberDirectoryOptions): MemberDirectory {
  const { clock, logger, self, livenessTimeoutMilliseconds } = options
  const tracked = new Map<string, TrackedMember>()
  let isComplete = false

  /**
   * Start times are wall-clock times, and the clock of a VM may have been set back. A message from
   * the member itself therefore identifies a new incarnation by any other start time. Gossip and
   * records of the log do so only by a later one, and only when no message from the member itself has
   * arrived for the liveness timeout.
   */
  const isNewIncarnation = (member: Member, known: TrackedMember, isDirect: boolean): boolean => {
    if (isDirect) return member.startedAt !== known.member.startedAt
    return member.startedAt > known.member.startedAt && clock.now() - known.lastDirectContactAt >= livenessTimeoutMilliseconds
  }

  const update = (member: Member, lastContactAt: Milliseconds, isDirect: boolean): void => {
    if (member.name === self().name) return
    const known = tracked.get(member.name)
    const lastDirectContactAt = isDirect ? lastContactAt : known?.lastDirectContactAt ?? -Infinity
    if (known === undefined || isNewIncarnation(member, known, isDirect)) {
      tracked.set(member.name, { member, lastContactAt, lastDirectContactAt, changedAt: clock.now(), isLoggedUnresponsive: lastContactAt === -Infinity })
      logger.info('discovered a member or a new incarnation of it', { event: 'member-known', peer: member.peerAddress, member: member.name, state: member.state })
      return
    }
    if (member.startedAt !== known.member.startedAt) return
    known.lastDirectContactAt = lastDirectContactAt
    // A daemon of an earlier version relays descriptions without this field.
    if (member.issuesAllowances === true && known.member.issuesAllowances !== true) known.member = { ...known.member, issuesAllowances: true }
    // An incarnation that is leaving never returns to serving.
    if (known.member.state === 'serving' && member.state === 'leaving') {
      known.member = member
      known.changedAt = clock.now()
      logger.info('member is leaving the fleet', { event: 'member-leaving', member: member.name })
    }
    known.lastContactAt = Math.max(known.lastContactAt, lastContactAt)
  }

  const isAlive = (name: string): boolean => {
    const known = tracked.get(name)
    return known !== undefined && clock.now() - known.lastContactAt < livenessTimeoutMilliseconds
  }

  return {
    applyRecord: (member) => update(member, -Infinity, false),
    applyList: (list) => {
      for (const member of list.members) update(member, -Infinity, false)
      if (isComplete || !list.isComplete) return
      isComplete = true
      logger.info('knows all members of the fleet', { event: 'members-complete', members: tracked.size + 1 })
    },
    list: () => ({ members: [self(), ...[...tracked.values()].map(({ member }) => member)], isComplete }),
    isComplete: () => isComplete,
    remove: (name) => { tracked.delete(name) },
    applyUpdates: (updates) => {
      for (const { member, heardAgoMilliseconds } of updates) update(member, clock.now() - heardAgoMilliseconds, false)
    },
    recordContact: (member) => update(member, clock.now(), true),
    others: () => [...tracked.values()].map(({ member }) => member),
    find: (name) => tracked.get(name)?.member,
    isAlive,
    sinceLastContact: (name) => clock.now() - (tracked.get(name)?.lastContactAt ?? -Infinity),
    entryAddresses: () => {
      const own = self()
      const others = [...tracked.values()].filter(({ member }) => member.state === 'serving' && isAlive(member.name)).map(({ member }) => member.frontAddress)
      return own.state === 'serving' ? [own.frontAddress, ...others] : others
    },
    logLivenessChanges: () => {
      for (const [name, known] of tracked) {
        const isUnresponsive = !isAlive(name)
        if (isUnresponsive === known.isLoggedUnresponsive) continue
        known.isLoggedUnresponsive = isUnresponsive
        if (isUnresponsive) logger.warn('member is unresponsive; it is no longer returned as an entry', { event: 'member-silent', peer: known.member.peerAddress, member: name, silentFor: Math.round(clock.now() - known.lastContactAt) })
        else logger.info('member is responsive', { event: 'member-heard', peer: known.member.peerAddress, member: name })
      }
    },
    aliveCount: () => 1 + [...tracked.keys()].filter(isAlive).length,
    recentUpdates: (maximum) => {
      const now = clock.now()
      const changed = [...tracked.values()]
        .filter(({ member, changedAt }) => now - changedAt < RECENT_CHANGE_MILLISECONDS && isAlive(member.name))
        .sort((one, other) => other.changedAt - one.changedAt)
        .slice(0, Math.max(0, maximum - 1))
      return [{ member: self(), heardAgoMilliseconds: 0 }, ...changed.map(({ member, lastContactAt }) => ({ member, heardAgoMilliseconds: now - lastContactAt }))]
    },
    recentContacts: (maximum) => {
      const now = clock.now()
      return [...tracked.values()]
        .filter(({ member }) => isAlive(member.name))
        .sort((one, other) => other.lastContactAt - one.lastContactAt)
        .slice(0, maximum)
        .map(({ member, lastContactAt }): MemberContact => [member.name, member.startedAt, Math.round(now - lastContactAt)])
    },
    applyContacts: (contacts) => {
      for (const [name, startedAt, heardAgoMilliseconds] of contacts) {
        const known = tracked.get(name)
        if (known?.member.startedAt === startedAt) known.lastContactAt = Math.max(known.lastContactAt, clock.now() - heardAgoMilliseconds)
      }
    }
  }
}
