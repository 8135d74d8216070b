import type { RandomSource } from '@fuchsiastage/membership'

/** Draws from the exponential distribution with the given mean. */
export function exponential (random: RandomSource, mean: number): number {
  return -Math.log(1 - random()) * mean
}

export function uniform (random: RandomSource, low: number, high: number): number {
  return low + random() * (high - low)
}

export function pick<Item> (random: RandomSource, items: readonly Item[]): Item {
  const item = items[Math.floor(random() * items.length)]
  if (item === undefined) throw new Error('cannot pick from an empty list')
  return item
}
