import type { Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'

/** What a daemon says of itself to its peers. */
export interface Member {
  readonly name: string
  /** Start of the process in Unix milliseconds: a higher value replaces a lower one. */
  readonly startedAt: number
  readonly frontAddress: string
  readonly peerAddress: string
  readonly dataCentre: string
  readonly state: 'serving' | 'leaving'
}

/** A member as one daemon tells another about it. */
export interface MemberUpdate {
  readonly member: Member
  /** Time since anyone was known to have heard from the member. */
  readonly heardAgoMilliseconds: Milliseconds
}

export interface MemberDirectoryOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly self: () => Member
  /** A member that nobody heard from for this time is not handed out. */
  readonly livenessTimeoutMilliseconds: Milliseconds
}

export interface MemberDirectory {
  /** Notes a record of the log: the member may exist, but only word from itself shows that it lives. */
  readonly applyRecord: (member: Member) => void
  readonly remove: (name: string) => void
  readonly applyUpdates: (updates: readonly MemberUpdate[]) => void
  readonly recordContact: (member: Member) => void
  /** Members without this daemon, the silent ones included. */
  readonly others: () => readonly Member[]
  readonly find: (name: string) => Member | undefined
  readonly isAlive: (name: string) => boolean
  /** Time since the member was heard of. */
  readonly sinceLastContact: (name: string) => Milliseconds
  /** Addresses that customers may connect to. */
  readonly entryAddresses: () => readonly string[]
  /** Members that are heard, this daemon included. */
  readonly aliveCount: () => number
  readonly updates: () => readonly MemberUpdate[]
  /** Logs once for each member that has fallen silent or is heard again; to be called regularly. */
  readonly logLivenessChanges: () => void
}

interface TrackedMember {
  member: Member
  lastContactAt: Milliseconds
  /** Monotonic time of the last word from the member itself. */
  lastDirectContactAt: Milliseconds
  isLoggedUnresponsive: boolean
}

/**
 * Creates the directory of the daemons of this deployment.
 *
 * @example
 * const members = createMemberDirectory({ clock, logger, self, silenceMilliseconds: 2500 })
 * const addresses = members.entryAddresses()
 */
export function createMemberDirectory (options: MemberDirectoryOptions): MemberDirectory {
  const { clock, logger, self, livenessTimeoutMilliseconds } = options
  const tracked = new Map<string, TrackedMember>()

  /** A start time is a time of day, which may have been set back: the member's own word counts first. */
  const isNewIncarnation = (member: Member, known: TrackedMember, isDirect: boolean): boolean => {
    if (isDirect) return member.startedAt !== known.member.startedAt
    return member.startedAt > known.member.startedAt && clock.now() - known.lastDirectContactAt >= livenessTimeoutMilliseconds
  }

  const update = (member: Member, lastContactAt: Milliseconds, isDirect: boolean): void => {
    if (member.name === self().name) return
    const known = tracked.get(member.name)
    const lastDirectContactAt = isDirect ? lastContactAt : known?.lastDirectContactAt ?? -Infinity
    if (known === undefined || isNewIncarnation(member, known, isDirect)) {
      tracked.set(member.name, { member, lastContactAt, lastDirectContactAt, isLoggedUnresponsive: lastContactAt === -Infinity })
      logger.info('member is known', { event: 'member-known', peer: member.peerAddress, member: member.name, state: member.state })
      return
    }
    if (member.startedAt !== known.member.startedAt) return
    known.lastDirectContactAt = lastDirectContactAt
    // Leaving is final for one life of a process.
    if (known.member.state === 'serving' && member.state === 'leaving') {
      known.member = member
      logger.info('member is leaving', { event: 'member-leaving', member: member.name })
    }
    known.lastContactAt = Math.max(known.lastContactAt, lastContactAt)
  }

  const isAlive = (name: string): boolean => {
    const known = tracked.get(name)
    return known !== undefined && clock.now() - known.lastContactAt < livenessTimeoutMilliseconds
  }

  return {
    applyRecord: (member) => update(member, -Infinity, false),
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
        if (isUnresponsive) logger.warn('member is silent', { event: 'member-silent', peer: known.member.peerAddress, member: name, silentFor: Math.round(clock.now() - known.lastContactAt) })
        else logger.info('member is heard', { event: 'member-heard', peer: known.member.peerAddress, member: name })
      }
    },
    aliveCount: () => 1 + [...tracked.keys()].filter(isAlive).length,
    updates: () => [
      { member: self(), heardAgoMilliseconds: 0 },
      ...[...tracked.values()].filter(({ member }) => isAlive(member.name)).map(({ member, lastContactAt: heardAt }) => ({ member, heardAgoMilliseconds: clock.now() - heardAt }))
    ]
  }
}
