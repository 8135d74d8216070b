import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

export interface CacheEvent {
  readonly sequence: number
  readonly model: string
  readonly prefix: string
  readonly kind: 'stored' | 'evicted'
}

/** The prompt prefixes that an engine holds, and the events that it publishes about them. */
export interface PrefixCache {
  /** Notes the use of a prefix; true when it was cached. */
  readonly use: (model: string, prefix: string) => boolean
  readonly evictModel: (model: string) => void
  readonly events: (fromSequence: number) => { readonly events: readonly CacheEvent[], readonly nextSequence: number }
}

export interface PrefixCacheOptions {
  readonly clock: Clock
  readonly entries: number
  readonly lagMilliseconds: Milliseconds
  readonly gapEvery: number
}

/** Published events kept for readers. */
const KEPT_EVENTS = 10_000

/**
 * Creates a bounded prefix cache; the prefix used least recently is evicted.
 *
 * @example
 * const cache = createPrefixCache({ clock, entries: 64, lagMilliseconds: 1_000, gapEvery: 0 })
 */
export function createPrefixCache ({ clock, entries, lagMilliseconds, gapEvery }: PrefixCacheOptions): PrefixCache {
  const cached = new Map<string, { readonly model: string, readonly prefix: string }>()
  const events: (CacheEvent & { readonly visibleAt: Milliseconds })[] = []
  let nextSequence = 1

  const publish = (kind: CacheEvent['kind'], model: string, prefix: string): void => {
    const sequence = nextSequence++
    if (gapEvery > 0 && sequence % gapEvery === 0) return
    events.push({ sequence, model, prefix, kind, visibleAt: clock.now() + lagMilliseconds })
    if (events.length > KEPT_EVENTS) events.shift()
  }
  const evict = (key: string): void => {
    const entry = cached.get(key)
    if (entry === undefined) return
    cached.delete(key)
    publish('evicted', entry.model, entry.prefix)
  }

  return {
    use: (model, prefix) => {
      const key = `${model}/${prefix}`
      const isHit = cached.delete(key)
      cached.set(key, { model, prefix })
      if (!isHit) publish('stored', model, prefix)
      for (const oldest of cached.keys()) {
        if (cached.size <= entries) break
        evict(oldest)
      }
      return isHit
    },
    evictModel: (model) => {
      for (const [key, entry] of cached) if (entry.model === model) evict(key)
    },
    events: (fromSequence) => {
      const visible = events.filter(({ sequence, visibleAt }) => sequence >= fromSequence && visibleAt <= clock.now())
      const last = visible.at(-1)
      return {
        events: visible.map(({ sequence, model, prefix, kind }) => ({ sequence, model, prefix, kind })),
        // A sequence below the one asked for tells the reader that the engine started anew.
        nextSequence: last === undefined ? Math.min(Math.max(fromSequence, 1), nextSequence) : last.sequence + 1
      }
    }
  }
}
