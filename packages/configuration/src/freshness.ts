import type { FollowerStatus } from '@fuchsiastage/log-client'
import type { Milliseconds } from '@fuchsiastage/types'

/** How a daemon behaves while it cannot verify its configuration. */
export type UnverifiedMode = 'refuse' | 'serve-with-majority'

/** Maximum age of the last verified read. A configuration that was verified earlier may lack a version that is in force. */
export const FRESHNESS_LIMIT_MILLISECONDS = 10_000

/** The position that a member reports for its own copy of the `configuration` stream. */
export interface MemberPosition {
  readonly nextOffset: number
  readonly version: number
  /** Time since the member's last verified read; undefined if it has had none. */
  readonly verifiedAgeMilliseconds?: Milliseconds
  /** Time since the member's process started. In a restart, a member may lose versions that it has confirmed. */
  readonly uptimeMilliseconds: Milliseconds
}

/** The position in a member's response, with the local send and receive times of the exchange. */
export interface MemberAnswer {
  readonly member: string
  readonly sentAt: Milliseconds
  readonly receivedAt: Milliseconds
  readonly position: MemberPosition
}

export interface FreshnessInput {
  readonly now: Milliseconds
  readonly mode: UnverifiedMode
  readonly daemon: string
  /** Local time at which this process started. */
  readonly startedAt: Milliseconds
  readonly status: FollowerStatus
  readonly nextOffset: number
  readonly verifiedAt: Milliseconds | undefined
  /** Names of all daemons in the member list, including this one and failed ones. */
  readonly members: readonly string[]
  readonly answers: Iterable<MemberAnswer>
  /** Maximum number of members by which the member lists of two daemons may differ. */
  readonly memberListDifference: number
}

export type FreshnessReason = 'incomplete' | 'unsupported-format' | 'unverified' | 'behind' | 'no-majority'

export type FreshnessDecision =
  | { readonly kind: 'serve'; readonly basis: 'verified' | 'majority' }
  | { readonly kind: 'refuse'; readonly reason: FreshnessReason; readonly detail: string }

/**
 * Returns the number of members that form a majority if the member lists of two daemons may differ. It
 * never exceeds the number of members, so that a deployment with few daemons can reach a majority.
 *
 * @example
 * majoritySize(370, 2) // 188
 */
export function majoritySize (memberCount: number, memberListDifference: number): number {
  return Math.max(1, Math.min(memberCount, Math.floor(memberCount / 2) + 1 + memberListDifference))
}

/**
 * Decides whether this daemon may currently act on its configuration.
 *
 * @example
 * const decision = decideFreshness({ ...view, now: clock.now(), mode: 'refuse', daemon, startedAt, members, answers: [], memberListDifference: 2 })
 */
export function decideFreshness (input: FreshnessInput): FreshnessDecision {
  const { now, status, verifiedAt } = input
  if (status === 'unsupported-format') return refuse('unsupported-format', 'the next configuration record has a format that this release does not support')
  if (status !== 'current') return refuse('incomplete', `the configuration is ${status}`)
  if (verifiedAt === undefined) return refuse('unverified', 'the configuration has not been verified yet')
  if (now - verifiedAt <= FRESHNESS_LIMIT_MILLISECONDS) return { kind: 'serve', basis: 'verified' }
  if (input.mode === 'refuse') return refuse('unverified', `the configuration was last verified ${now - verifiedAt} ms ago`)
  return decideByMajority(input)
}

/**
 * Decides from the responses of members whether this daemon may act on its configuration. If a
 * majority has responded, this daemon lacks no accepted version, because every accepted version was
 * confirmed by a majority and two majorities share at least one member.
 *
 * @example
 * decideByMajority({ ...input, answers: answersOfThisRound }).kind
 */
export function decideByMajority (input: FreshnessInput): FreshnessDecision {
  const { now, daemon, members, nextOffset, verifiedAt } = input
  if (verifiedAt === undefined) return refuse('unverified', 'the configuration has not been verified yet')
  // A process that obtained an old state from a peer during an outage must not serve until a recent
  // read has verified that state.
  if (verifiedAt <= input.startedAt - FRESHNESS_LIMIT_MILLISECONDS) return refuse('unverified', 'the configuration was not verified since this process started')
  const memberSet = new Set(members)
  // Only processes that started before the verified read count: a process loses its confirmations
  // in a restart, but the read covers those from before the read. The condition also applies to this
  // daemon, because its verified read may come from a peer and predate the start of this process.
  const countedMembers = new Set(memberSet.has(daemon) && input.startedAt < verifiedAt ? [daemon] : [])
  for (const { member, sentAt, receivedAt, position } of input.answers) {
    if (member === daemon || !memberSet.has(member) || now - sentAt > FRESHNESS_LIMIT_MILLISECONDS) continue
    if (position.nextOffset > nextOffset) return refuse('behind', `${member} is at offset ${position.nextOffset}, this daemon at offset ${nextOffset}`)
    if (receivedAt - position.uptimeMilliseconds < verifiedAt) countedMembers.add(member)
  }
  const requiredCount = majoritySize(members.length, input.memberListDifference)
  if (countedMembers.size < requiredCount) return refuse('no-majority', `${countedMembers.size} of the ${requiredCount} members required for a majority have responded`)
  return { kind: 'serve', basis: 'majority' }
}

function refuse (reason: FreshnessReason, detail: string): FreshnessDecision {
  return { kind: 'refuse', reason, detail }
}
