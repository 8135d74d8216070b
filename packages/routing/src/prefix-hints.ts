import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

interface Hint {
  readonly target: string
  readonly incarnation: string | undefined
  readonly sequence: number
  readonly stored: boolean
  readonly at: Milliseconds
}

export interface PrefixObservation {
  readonly target: string
  readonly incarnation: string | undefined
  /** Number of the target's event; missing for the daemon's own observation. */
  readonly sequence?: number
  readonly stored: boolean
}

export interface PrefixHints {
  readonly record: (key: string, prefix: string, observation: PrefixObservation) => void
  /** Calls back for each target that is believed to hold the prefix. */
  readonly forEach: (key: string, prefix: string, visit: (target: string, incarnation: string | undefined) => void) => void
}

/** Targets that are remembered for one prefix. */
const HINTS_PER_PREFIX = 4

/**
 * Creates a bounded memory of which target holds which prompt prefix. Cache events arrive late and
 * with gaps, so an event with an older sequence number than the known one is dropped, an eviction
 * is remembered so that a late `stored` does not undo it, and each hint expires.
 */
export function createPrefixHints (clock: Clock, maximumPrefixes: number, lifetime: Milliseconds): PrefixHints {
  const hintsOf = new Map<string, readonly Hint[]>()

  const record: PrefixHints['record'] = (key, prefix, { target, incarnation, sequence, stored }) => {
    const id = `${key}\n${prefix}`
    const known = hintsOf.get(id) ?? []
    const previous = known.find((hint) => hint.target === target && hint.incarnation === incarnation)
    const newest = previous?.sequence ?? 0
    if (sequence !== undefined && sequence < newest) return
    const others = known.filter((hint) => hint.target !== target)
    // Map keeps insertion order, so the entry that was not touched for longest is the first.
    hintsOf.delete(id)
    hintsOf.set(id, [{ target, incarnation, sequence: sequence ?? newest, stored, at: clock.now() }, ...others].slice(0, HINTS_PER_PREFIX))
    if (hintsOf.size <= maximumPrefixes) return
    const oldest = hintsOf.keys().next().value
    if (oldest !== undefined) hintsOf.delete(oldest)
  }

  const forEach: PrefixHints['forEach'] = (key, prefix, visit) => {
    const hints = hintsOf.get(`${key}\n${prefix}`)
    if (hints === undefined) return
    const now = clock.now()
    for (const { target, incarnation, stored, at } of hints) {
      if (stored && now - at < lifetime) visit(target, incarnation)
    }
  }

  return { record, forEach }
}
