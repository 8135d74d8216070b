import type { WeightsLocation } from '@fuchsiastage/types'

/** Weights cached in the host memory and on the disk of a target's VM. The least recently loaded weights are evicted first. */
export interface WeightsCache {
  readonly locate: (name: string) => WeightsLocation
  readonly store: (name: string, megabytes: number) => void
  readonly entries: () => Readonly<Record<string, WeightsLocation>>
}

/**
 * Creates the empty cache of one target.
 *
 * @example
 * const cache = createWeightsCache(40_000, 160_000)
 */
export function createWeightsCache (memoryMegabytes: number, diskMegabytes: number): WeightsCache {
  const memory = new Map<string, number>()
  const disk = new Map<string, number>()
  let entries: Readonly<Record<string, WeightsLocation>> = {}

  const insert = (cache: Map<string, number>, limitMegabytes: number, name: string, megabytes: number): void => {
    cache.delete(name)
    cache.set(name, megabytes)
    let usedMegabytes = [...cache.values()].reduce((sum, size) => sum + size, 0)
    for (const [leastRecentlyLoaded, size] of cache) {
      if (usedMegabytes <= limitMegabytes) return
      cache.delete(leastRecentlyLoaded)
      usedMegabytes -= size
    }
  }
  const locate = (name: string): WeightsLocation => memory.has(name) ? 'memory' : disk.has(name) ? 'disk' : 'remote'

  return {
    locate,
    store: (name, megabytes) => {
      insert(memory, memoryMegabytes, name, megabytes)
      insert(disk, diskMegabytes, name, megabytes)
      entries = Object.fromEntries([...new Set([...memory.keys(), ...disk.keys()])].map((cachedName) => [cachedName, locate(cachedName)]))
    },
    entries: () => entries
  }
}
