import { createHash } from 'node:crypto'

function score (key: string, member: string): number {
  return createHash('sha256').update(key).update('\u0000').update(member).digest().readUInt32BE(0)
}

/**
 * Orders members by their rendezvous hash for a key; a member that leaves does not change the
 * order of the others.
 *
 * @example
 * const [first, second] = rendezvousOrder('claims.7', ['entry-1', 'entry-2', 'entry-3'])
 */
export function rendezvousOrder (key: string, members: readonly string[]): readonly string[] {
  return members
    .map((member) => ({ member, score: score(key, member) }))
    .sort((left, right) => right.score - left.score || (left.member < right.member ? -1 : 1))
    .map(({ member }) => member)
}

/**
 * Position of a member in the rendezvous order, or undefined when it is not among the first `limit`.
 *
 * @example
 * const rank = rendezvousRank('claims.7', members, 'entry-1', 3)
 */
export function rendezvousRank (key: string, members: readonly string[], member: string, limit: number): number | undefined {
  const rank = rendezvousOrder(key, members).indexOf(member)
  return rank >= 0 && rank < limit ? rank : undefined
}
