import type { WeightsLocation } from '@fuchsiastage/types'

export interface WeightsCacheOptions {
  readonly hostMemoryMegabytes: number
  readonly diskMegabytes: number
  readonly initial: Readonly<Record<string, WeightsLocation>>
}

/** Tracks which models' weights are cached in host memory and on disk of the engine's VM. */
export interface WeightsCache {
  readonly locate: (model: string) => WeightsLocation
  /** Records that the weights are now in host memory and on disk. */
  readonly store: (model: string, weightsMegabytes: number) => void
  /** Clears the host memory, as a restart of the engine does. */
  readonly clearMemory: () => void
  readonly entries: () => Readonly<Record<string, WeightsLocation>>
}

/**
 * Creates the cache of weights. Host memory and disk each evict the least recently loaded weights.
 *
 * @example
 * const weights = createWeightsCache({ hostMemoryMegabytes: 200_000, diskMegabytes: 1_000_000, initial: {} })
 */
export function createWeightsCache (options: WeightsCacheOptions): WeightsCache {
  // A Map keeps the insertion order, and each load inserts its model again, so the first key is the least recently loaded model.
  const memory = new Map<string, number>()
  const disk = new Map<string, number>()
  for (const [model, location] of Object.entries(options.initial)) {
    if (location === 'memory') memory.set(model, 0)
    if (location !== 'remote') disk.set(model, 0)
  }

  const insert = (cache: Map<string, number>, limitMegabytes: number, model: string, megabytes: number): void => {
    cache.delete(model)
    if (megabytes > limitMegabytes) return
    cache.set(model, megabytes)
    let usedMegabytes = [...cache.values()].reduce((sum, size) => sum + size, 0)
    for (const [leastRecentlyLoaded, size] of cache) {
      if (usedMegabytes <= limitMegabytes) return
      cache.delete(leastRecentlyLoaded)
      usedMegabytes -= size
    }
  }
  const locate = (model: string): WeightsLocation => {
    if (memory.has(model)) return 'memory'
    return disk.has(model) ? 'disk' : 'remote'
  }

  return {
    locate,
    store: (model, weightsMegabytes) => {
      insert(memory, options.hostMemoryMegabytes, model, weightsMegabytes)
      insert(disk, options.diskMegabytes, model, weightsMegabytes)
    },
    clearMemory: () => memory.clear(),
    entries: () => Object.fromEntries([...new Set([...memory.keys(), ...disk.keys()])].map((model) => [model, locate(model)]))
  }
}
