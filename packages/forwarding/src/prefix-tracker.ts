import type { TargetKey } from '@fuchsiastage/fleet'
import type { ModelDemand } from './request.js'

export interface PrefixTracker {
  readonly record: (target: TargetKey, demand: ModelDemand) => void
  /** Number of tokens at the start of the prompt that the target has probably cached, because it received the same prompt parts before. */
  readonly cachedTokens: (target: TargetKey, demand: ModelDemand) => number
}

/** Maximum number of prompt prefixes. The ones that were sent least recently are removed first. */
const MAXIMUM_PREFIXES = 20_000

/**
 * Creates the tracker of the prompt parts that were sent to each target. Its results are hints:
 * targets evict parts from their caches without reporting it.
 *
 * @example
 * prefixes.record(target.key, demand)
 * const tokens = prefixes.cachedTokens(target.key, demand)
 */
export function createPrefixTracker (): PrefixTracker {
  const sentPrefixes = new Map<string, true>()

  const keysOf = (target: TargetKey, { model, adapter, promptParts }: ModelDemand): readonly string[] => {
    const base = `${target} ${model}/${adapter ?? ''}`
    let prefixKey = base
    return promptParts.map(({ id }) => {
      prefixKey = `${prefixKey} ${id}`
      return prefixKey
    })
  }

  return {
    record: (target, demand) => {
      for (const key of keysOf(target, demand)) {
        sentPrefixes.delete(key)
        sentPrefixes.set(key, true)
      }
      for (const key of sentPrefixes.keys()) {
        if (sentPrefixes.size <= MAXIMUM_PREFIXES) break
        sentPrefixes.delete(key)
      }
    },
    cachedTokens: (target, demand) => {
      let tokens = 0
      const keys = keysOf(target, demand)
      for (const [index, part] of demand.promptParts.entries()) {
        if (!sentPrefixes.has(keys[index] ?? '')) break
        tokens += part.tokens
      }
      return tokens
    }
  }
}
