/** Returns a random number from 0 (inclusive) to 1 (exclusive). */
export type RandomSource = () => number

/**
 * Creates a pseudorandom source that returns the same sequence for the same seed (mulberry32).
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
  const shuffled = [...items]
  const limit = Math.min(count, shuffled.length)
  for (let index = 0; index < limit; index++) {
    const pickedIndex = index + Math.floor(random() * (shuffled.length - index))
    const picked = shuffled[pickedIndex] as Item
    shuffled[pickedIndex] = shuffled[index] as Item
    shuffled[index] = picked
  }
  return shuffled.slice(0, limit)
}
