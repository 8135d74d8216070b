import type { TargetKey } from '@fuchsiastage/fleet'
import type { ModelDemand } from './request.js'

export interface PrefixMemory {
  readonly record: (target: TargetKey, demand: ModelDemand) => void
  /** Tokens of the prompt's beginning that the target probably keeps. */
  readonly keptTokens: (target: TargetKey, demand: ModelDemand) => number
}

/** Entries kept; the least recently used ones go first. */
const MAXIMUM_ENTRIES = 20_000

/**
 * Creates the memory of which targets were sent which prompt parts. It is a hint: targets forget
 * parts without saying so.
 *
 * @example
 * memory.record(target.key, demand)
 * const tokens = memory.keptTokens(target.key, demand)
 */
export function createPrefixMemory (): PrefixMemory {
  const seen = new Map<string, true>()

  const keysOf = (target: TargetKey, { model, adapter, promptParts }: ModelDemand): readonly string[] => {
    const base = `${target} ${model}/${adapter ?? ''}`
    let path = base
    return promptParts.map(({ id }) => {
      path = `${path} ${id}`
      return path
    })
  }

  return {
    record: (target, demand) => {
      for (const key of keysOf(target, demand)) {
        seen.delete(key)
        seen.set(key, true)
      }
      for (const key of seen.keys()) {
        if (seen.size <= MAXIMUM_ENTRIES) break
        seen.delete(key)
      }
    },
    keptTokens: (target, demand) => {
      let tokens = 0
      const keys = keysOf(target, demand)
      for (const [index, part] of demand.promptParts.entries()) {
        if (!seen.has(keys[index] ?? '')) break
        tokens += part.tokens
      }
      return tokens
    }
  }
}
