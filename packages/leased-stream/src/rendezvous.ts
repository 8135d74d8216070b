const FNV_OFFSET = 0x811c9dc5
const FNV_PRIME = 0x01000193

/** Continues a 32-bit FNV-1a hash over the code units of a text. */
function hashText (start: number, text: string): number {
  let hash = start
  for (let index = 0; index < text.length; index++) hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME)
  return hash
}

/** Finalizer of MurmurHash3: FNV-1a alone spreads the last characters, in which names differ, too little. */
function mix (hash: number): number {
  let mixed = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35)
  return (mixed ^ (mixed >>> 16)) >>> 0
}

/**
 * Orders members by their rendezvous hash for a key; a member that leaves does not change the
 * order of the others.
 *
 * @example
 * const [first, second] = rendezvousOrder('claims.7', ['entry-1', 'entry-2', 'entry-3'])
 */
export function rendezvousOrder (key: string, members: readonly string[]): readonly string[] {
  // Not a cryptographic hash: after a change of the members each daemon ranks them for thousands of targets.
  const start = hashText(FNV_OFFSET, `${key}\u0000`)
  return members
    .map((member) => ({ member, score: mix(hashText(start, member)) }))
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
