const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** Computes a 32-bit FNV-1a hash over the code units of a text, starting from the hash of a prefix. */
function hashText (start: number, text: string): number {
  let hash = start
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  return hash
}

/**
 * Finalizer of MurmurHash3. Member names often differ only in their last characters, and FNV-1a
 * alone spreads a difference in the last characters too little.
 */
function finalizeHash (hash: number): number {
  let mixed = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

/**
 * Orders members by their rendezvous hash for a key. Removing a member does not change the order
 * of the others.
 *
 * @example
 * const [first, second] = rendezvousOrder('claims.7', ['entry-1', 'entry-2', 'entry-3'])
 */
export function rendezvousOrder (key: string, members: readonly string[]): readonly string[] {
  // A cryptographic hash would be too slow: after each membership change, a daemon ranks the members
  // for thousands of targets.
  const start = hashText(FNV_OFFSET, `${key}\u0000`)
  return members
    .map((member) => ({ member, score: finalizeHash(hashText(start, member)) }))
    .sort((left, right) => right.score - left.score || (left.member < right.member ? -1 : 1))
    .map(({ member }) => member)
}

/**
 * Returns the position of a member in the rendezvous order, or undefined if the member is not among
 * the first `limit`.
 *
 * @example
 * const rank = rendezvousRank('claims.7', members, 'entry-1', 3)
 */
export function rendezvousRank (key: string, members: readonly string[], member: string, limit: number): number | undefined {
  const rank = rendezvousOrder(key, members).indexOf(member)
  return rank >= 0 && rank < limit ? rank : undefined
}
