import type { FollowerStatus } from '@fuchsiastage/log-client'
import type { Milliseconds } from '@fuchsiastage/types'

/** What a daemon does when it cannot verify its configuration. */
export type UnverifiedMode = 'refuse' | 'serve-with-majority'

/** A configuration verified longer ago than this may miss a version that is in force. */
export const FRESHNESS_LIMIT_MILLISECONDS = 10_000

/** What a member says about its own copy of the stream. */
export interface MemberPosition {
  readonly nextOffset: number
  readonly version: number
  /** Time since the member's verified read; undefined when it has none. */
  readonly verifiedAgeMilliseconds?: Milliseconds
  /** Time since the member's process started; it remembers no confirmation from before. */
  readonly uptimeMilliseconds: Milliseconds
}

/** A member's answer with the local times of the exchange. */
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
  /** Names of all daemons, this one and failed ones included. */
  readonly members: readonly string[]
  readonly answers: Iterable<MemberAnswer>
  /** Number by which two daemons' member lists may differ. */
  readonly memberListDifference: number
}

export type FreshnessReason = 'incomplete' | 'unsupported-format' | 'unverified' | 'behind' | 'no-majority'

export type FreshnessDecision =
  | { readonly kind: 'serve'; readonly basis: 'verified' | 'majority' }
  | { readonly kind: 'refuse'; readonly reason: FreshnessReason; readonly detail: string }

/**
 * Number of members that make a majority. Never more than all members, so that a deployment of few
 * daemons can have one.
 *
 * @example
 * majoritySize(370, 2) // 188
 */
export function majoritySize (memberCount: number, memberListDifference: number): number {
  return Math.max(1, Math.min(memberCount, Math.floor(memberCount / 2) + 1 + memberListDifference))
}

/**
 * Decides whether this daemon may act on its configuration now.
 *
 * @example
 * const decision = decideFreshness({ ...view, now: clock.now(), mode: 'refuse', daemon, startedAt, members, answers: [], memberListDifference: 2 })
 */
export function decideFreshness (input: FreshnessInput): FreshnessDecision {
  const { now, status, verifiedAt } = input
  if (status === 'unsupported-format') return refuse('unsupported-format', 'the next configuration record needs newer code')
  if (status !== 'current') return refuse('incomplete', `the configuration is ${status}`)
  if (verifiedAt === undefined) return refuse('unverified', 'the configuration was never verified')
  if (now - verifiedAt <= FRESHNESS_LIMIT_MILLISECONDS) return { kind: 'serve', basis: 'verified' }
  if (input.mode === 'refuse') return refuse('unverified', `the configuration was verified ${now - verifiedAt} ms ago`)
  return decideByMajority(input)
}

/**
 * The part of `decideFreshness` that counts answers. No accepted version is missed when a majority
 * has answered, because every accepted version was confirmed by a majority and two majorities share
 * a member.
 *
 * @example
 * decideByMajority({ ...input, answers: answersOfThisRound }).kind
 */
export function decideByMajority (input: FreshnessInput): FreshnessDecision {
  const { now, daemon, members, nextOffset, verifiedAt } = input
  if (verifiedAt === undefined) return refuse('unverified', 'the configuration was never verified')
  // A process that took over an old state during an outage serves only once a recent read has verified it.
  if (verifiedAt <= input.startedAt - FRESHNESS_LIMIT_MILLISECONDS) return refuse('unverified', 'the configuration was not verified since this process started')
  const memberSet = new Set(members)
  // A process that started before the verified read has forgotten nothing that the read does not
  // show. This holds for this daemon too: it may have taken over a peer's older verified read.
  const counted = new Set(memberSet.has(daemon) && input.startedAt < verifiedAt ? [daemon] : [])
  for (const { member, sentAt, receivedAt, position } of input.answers) {
    if (member === daemon || !memberSet.has(member) || now - sentAt > FRESHNESS_LIMIT_MILLISECONDS) continue
    if (position.nextOffset > nextOffset) return refuse('behind', `${member} holds records up to ${position.nextOffset}, this daemon up to ${nextOffset}`)
    if (receivedAt - position.uptimeMilliseconds < verifiedAt) counted.add(member)
  }
  const needed = majoritySize(members.length, input.memberListDifference)
  if (counted.size < needed) return refuse('no-majority', `${counted.size} of ${needed} members needed have answered`)
  return { kind: 'serve', basis: 'majority' }
}

function refuse (reason: FreshnessReason, detail: string): FreshnessDecision {
  return { kind: 'refuse', reason, detail }
}
