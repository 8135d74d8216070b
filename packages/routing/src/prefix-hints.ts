import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

interface Hint {
  readonly target: string
  readonly incarnation: string | undefined
  readonly sequence: number
  /** False after an eviction. */
  readonly stored: boolean
  readonly recordedAt: Milliseconds
}

export interface PrefixObservation {
  readonly target: string
  readonly incarnation: string | undefined
  /** Sequence number of the target's cache event; undefined when this daemon inferred the cached prefix from a request it sent. */
  readonly sequence?: number
  readonly stored: boolean
}

export interface PrefixHints {
  /** Records that a target has stored or evicted the prefix. */
  readonly record: (key: string, prefix: string, observation: PrefixObservation) => void
  /** Calls `visit` for each target that probably has the prefix in its cache. */
  readonly forEach: (key: string, prefix: string, visit: (target: string, incarnation: string | undefined) => void) => void
}

const MAXIMUM_HINTS_PER_PREFIX = 4

/**
 * Creates a bounded record of which targets have which prompt prefix in their cache. Cache events
 * can arrive late, out of order or not at all. Therefore an event with a lower sequence number than
 * the newest one of the same target and prefix is ignored, an eviction is stored so that a delayed
 * `stored` event does not undo it, and every hint expires.
 */
export function createPrefixHints (clock: Clock, maximumPrefixes: number, lifetimeMilliseconds: Milliseconds): PrefixHints {
  const hintsOf = new Map<string, readonly Hint[]>()

  const record: PrefixHints['record'] = (key, prefix, { target, incarnation, sequence, stored }) => {
    const id = `${key}\n${prefix}`
    const known = hintsOf.get(id) ?? []
    const previous = known.find((hint) => hint.target === target && hint.incarnation === incarnation)
    const newest = previous?.sequence ?? 0
    if (sequence !== undefined && sequence < newest) return
    const others = known.filter((hint) => hint.target !== target)
    // A Map keeps insertion order, so the least recently updated prefix comes first.
    hintsOf.delete(id)
    hintsOf.set(id, [{ target, incarnation, sequence: sequence ?? newest, stored, recordedAt: clock.now() }, ...others].slice(0, MAXIMUM_HINTS_PER_PREFIX))
    if (hintsOf.size <= maximumPrefixes) return
    const oldest = hintsOf.keys().next().value
    if (oldest !== undefined) hintsOf.delete(oldest)
  }

  const forEach: PrefixHints['forEach'] = (key, prefix, visit) => {
    const hints = hintsOf.get(`${key}\n${prefix}`)
    if (hints === undefined) return
    const now = clock.now()
    for (const { target, incarnation, stored, recordedAt } of hints) {
      if (stored && now - recordedAt < lifetimeMilliseconds) visit(target, incarnation)
    }
  }

  return { record, forEach }
}
