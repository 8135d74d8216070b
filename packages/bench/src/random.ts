/** Uniform in [0, 1). */
export type Random = () => number

/**
 * Creates a seeded generator (mulberry32), so that a run can be repeated exactly.
 *
 * @example
 * const random = createRandom(7)
 */
export function createRandom (seed: number): Random {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6D2B79F5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296
  }
}

/** Exponentially distributed with the given mean. */
export function exponential (random: Random, mean: number): number {
  return -Math.log(1 - random()) * mean
}

export function uniform (random: Random, low: number, high: number): number {
  return low + random() * (high - low)
}

export function pick<Item> (random: Random, items: readonly Item[]): Item {
  const item = items[Math.floor(random() * items.length)]
  if (item === undefined) throw new Error('cannot pick from an empty list')
  return item
}
