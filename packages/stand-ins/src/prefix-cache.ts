import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

/** A change of the prefix cache, as published to readers. */
export interface CacheEvent {
  readonly sequence: number
  readonly model: string
  readonly prefix: string
  readonly kind: 'stored' | 'evicted'
}

/** The prompt prefixes that an engine has cached, and the events that it publishes about them. */
export interface PrefixCache {
  /** Marks a prefix as used, caching it if necessary. Returns true if it was already cached. */
  readonly use: (model: string, prefix: string) => boolean
  /** Evicts all prefixes of a model. */
  readonly evictModel: (model: string) => void
  readonly events: (fromSequence: number) => { readonly events: readonly CacheEvent[], readonly nextSequence: number }
}

export interface PrefixCacheOptions {
  readonly clock: Clock
  /** Maximum number of cached prefixes. */
  readonly entries: number
  /** Delay after which an event becomes visible to readers. */
  readonly lagMilliseconds: Milliseconds
  /** Every n-th event is not published; 0 publishes all events. */
  readonly gapEvery: number
}

/** Maximum number of published events kept for readers. */
const MAXIMUM_EVENTS = 10_000

/**
 * Creates a bounded prefix cache that evicts the least recently used prefix.
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
    if (events.length > MAXIMUM_EVENTS) events.shift()
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
      for (const leastRecentlyUsed of cached.keys()) {
        if (cached.size <= entries) break
        evict(leastRecentlyUsed)
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
        // A `nextSequence` below the requested sequence number shows the reader that the engine has restarted.
        nextSequence: last === undefined ? Math.min(Math.max(fromSequence, 1), nextSequence) : last.sequence + 1
      }
    }
  }
}
