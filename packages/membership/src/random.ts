/** Numbers from 0 up to but not including 1. */
export type RandomSource = () => number

/**
 * Creates a random source that repeats itself for the same seed (the generator mulberry32).
 *
 * @example
 * const random = createSeededRandom(7)
 */
export function createSeededRandom (seed: number): RandomSource {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6D2B79F5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
}

/** Returns up to `count` items in random order. */
export function sample<Item> (items: readonly Item[], count: number, random: RandomSource): readonly Item[] {
  const rest = [...items]
  const limit = Math.min(count, rest.length)
  for (let index = 0; index < limit; index++) {
    const other = index + Math.floor(random() * (rest.length - index))
    const picked = rest[other] as Item
    rest[other] = rest[index] as Item
    rest[index] = picked
  }
  return rest.slice(0, limit)
}
