import type { WeightsLocation } from '@fuchsiastage/types'

export interface WeightsCacheOptions {
  readonly hostMemoryMegabytes: number
  readonly diskMegabytes: number
  readonly initial: Readonly<Record<string, WeightsLocation>>
}

/** Where the weights of models are kept on the engine's VM, beside the accelerators. */
export interface WeightsCache {
  readonly locate: (model: string) => WeightsLocation
  /** Notes that the weights are now in host memory and on disk. */
  readonly keep: (model: string, weightsMegabytes: number) => void
  /** Empties the host memory, as a restart does. */
  readonly clearMemory: () => void
  readonly entries: () => Readonly<Record<string, WeightsLocation>>
}

/**
 * Creates the cache of weights; the weights used least recently leave host memory, then the disk.
 *
 * @example
 * const weights = createWeightsCache({ hostMemoryMegabytes: 200_000, diskMegabytes: 1_000_000, initial: {} })
 */
export function createWeightsCache (options: WeightsCacheOptions): WeightsCache {
  // Maps keep the order of insertion, so the first key is the one used least recently.
  const memory = new Map<string, number>()
  const disk = new Map<string, number>()
  for (const [model, location] of Object.entries(options.initial)) {
    if (location === 'memory') memory.set(model, 0)
    if (location !== 'remote') disk.set(model, 0)
  }

  const insert = (cache: Map<string, number>, limit: number, model: string, megabytes: number): void => {
    cache.delete(model)
    if (megabytes > limit) return
    cache.set(model, megabytes)
    let used = [...cache.values()].reduce((sum, size) => sum + size, 0)
    for (const [oldest, size] of cache) {
      if (used <= limit) return
      cache.delete(oldest)
      used -= size
    }
  }
  const locate = (model: string): WeightsLocation => {
    if (memory.has(model)) return 'memory'
    return disk.has(model) ? 'disk' : 'remote'
  }

  return {
    locate,
    keep: (model, weightsMegabytes) => {
      insert(memory, options.hostMemoryMegabytes, model, weightsMegabytes)
      insert(disk, options.diskMegabytes, model, weightsMegabytes)
    },
    clearMemory: () => memory.clear(),
    entries: () => Object.fromEntries([...new Set([...memory.keys(), ...disk.keys()])].map((model) => [model, locate(model)]))
  }
}
