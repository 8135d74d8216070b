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
export interface MemberRumour {
  readonly member: Member
  /** Time since anyone was known to have heard from the member. */
  readonly heardAgoMilliseconds: Milliseconds
}

export interface MemberDirectoryOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly self: () => Member
  /** A member that nobody heard from for this time is not handed out. */
  readonly silenceMilliseconds: Milliseconds
}

export interface MemberDirectory {
  /** Notes a record of the log: the member may exist, but only word from itself shows that it lives. */
  readonly applyRecord: (member: Member) => void
  readonly remove: (name: string) => void
  readonly applyRumours: (rumours: readonly MemberRumour[]) => void
  readonly noteHeard: (member: Member) => void
  /** Members without this daemon, the silent ones included. */
  readonly others: () => readonly Member[]
  readonly find: (name: string) => Member | undefined
  readonly isHeard: (name: string) => boolean
  /** Time since the member was heard of. */
  readonly heardAgo: (name: string) => Milliseconds
  /** Addresses that customers may connect to. */
  readonly entryAddresses: () => readonly string[]
  /** Members that are heard, this daemon included. */
  readonly livingCount: () => number
  readonly rumours: () => readonly MemberRumour[]
  /** Logs once for each member that has fallen silent or is heard again; to be called regularly. */
  readonly logSilences: () => void
}

interface Tracked {
  member: Member
  heardAt: Milliseconds
  /** Monotonic time of the last word from the member itself. */
  toldAt: Milliseconds
  isLoggedSilent: boolean
}

/**
 * Creates the directory of the daemons of this deployment.
 *
 * @example
 * const members = createMemberDirectory({ clock, logger, self, silenceMilliseconds: 2500 })
 * const addresses = members.entryAddresses()
 */
export function createMemberDirectory (options: MemberDirectoryOptions): MemberDirectory {
  const { clock, logger, self, silenceMilliseconds } = options
  const tracked = new Map<string, Tracked>()

  /** A start time is a time of day, which may have been set back: the member's own word counts first. */
  const isNewLife = (member: Member, known: Tracked, isOwnWord: boolean): boolean => {
    if (isOwnWord) return member.startedAt !== known.member.startedAt
    return member.startedAt > known.member.startedAt && clock.now() - known.toldAt >= silenceMilliseconds
  }

  const update = (member: Member, heardAt: Milliseconds, isOwnWord: boolean): void => {
    if (member.name === self().name) return
    const known = tracked.get(member.name)
    const toldAt = isOwnWord ? heardAt : known?.toldAt ?? -Infinity
    if (known === undefined || isNewLife(member, known, isOwnWord)) {
      tracked.set(member.name, { member, heardAt, toldAt, isLoggedSilent: heardAt === -Infinity })
      logger.info('member is known', { event: 'member-known', peer: member.peerAddress, member: member.name, state: member.state })
      return
    }
    if (member.startedAt !== known.member.startedAt) return
    known.toldAt = toldAt
    // Leaving is final for one life of a process.
    if (known.member.state === 'serving' && member.state === 'leaving') {
      known.member = member
      logger.info('member is leaving', { event: 'member-leaving', member: member.name })
    }
    known.heardAt = Math.max(known.heardAt, heardAt)
  }

  const isHeard = (name: string): boolean => {
    const known = tracked.get(name)
    return known !== undefined && clock.now() - known.heardAt < silenceMilliseconds
  }

  return {
    applyRecord: (member) => update(member, -Infinity, false),
    remove: (name) => { tracked.delete(name) },
    applyRumours: (rumours) => {
      for (const { member, heardAgoMilliseconds } of rumours) update(member, clock.now() - heardAgoMilliseconds, false)
    },
    noteHeard: (member) => update(member, clock.now(), true),
    others: () => [...tracked.values()].map(({ member }) => member),
    find: (name) => tracked.get(name)?.member,
    isHeard,
    heardAgo: (name) => clock.now() - (tracked.get(name)?.heardAt ?? -Infinity),
    entryAddresses: () => {
      const own = self()
      const others = [...tracked.values()].filter(({ member }) => member.state === 'serving' && isHeard(member.name)).map(({ member }) => member.frontAddress)
      return own.state === 'serving' ? [own.frontAddress, ...others] : others
    },
    logSilences: () => {
      for (const [name, known] of tracked) {
        const isSilent = !isHeard(name)
        if (isSilent === known.isLoggedSilent) continue
        known.isLoggedSilent = isSilent
        if (isSilent) logger.warn('member is silent', { event: 'member-silent', peer: known.member.peerAddress, member: name, silentFor: Math.round(clock.now() - known.heardAt) })
        else logger.info('member is heard', { event: 'member-heard', peer: known.member.peerAddress, member: name })
      }
    },
    livingCount: () => 1 + [...tracked.keys()].filter(isHeard).length,
    rumours: () => [
      { member: self(), heardAgoMilliseconds: 0 },
      ...[...tracked.values()].filter(({ member }) => isHeard(member.name)).map(({ member, heardAt }) => ({ member, heardAgoMilliseconds: clock.now() - heardAt }))
    ]
  }
}
