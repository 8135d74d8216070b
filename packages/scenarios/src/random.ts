/**
 * Creates a reproducible source of numbers in [0, 1) (mulberry32).
 *
 * @example
 * const random = createRandom(7)
 */
export function createRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32
  }
}

/** A seed for one of several parts of a run. */
export function seedOf (seed: number, part: string): number {
  let hash = seed ^ 0x811c9dc5
  for (const character of part) hash = Math.imul(hash ^ character.charCodeAt(0), 0x01000193)
  return hash >>> 0
}
