import type { Clock } from '@fuchsiastage/clock'
import type { TargetKey, TargetLoad, TargetPlacement, TargetUpdate } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'

/** Position in the changes of the targets: a term of the order lease, and the number of changes in it. */
export interface NewsVersion {
  readonly term: number
  readonly sequence: number
}

export interface TargetNewsMessage {
  readonly version: NewsVersion
  readonly updates: readonly TargetUpdate[]
}

export interface TargetNews {
  /** Replaces the known state of all targets at the lease holder. Only what differs counts as a change. */
  readonly publish: (term: number, updates: readonly TargetUpdate[]) => void
  /** Stores changes that another daemon sent, with their numbers, and returns those that are new. */
  readonly receive: (message: TargetNewsMessage) => readonly TargetUpdate[]
  readonly version: () => NewsVersion | undefined
  /** The changes after a version, or the whole state if the version belongs to another term. */
  readonly since: (version: NewsVersion | undefined) => TargetNewsMessage | undefined
}

interface Versioned<Value> {
  readonly value: Value
  readonly text: string
  readonly sequence: number
  /** Monotonic time at which the value was measured. */
  readonly at: Milliseconds
}

interface TrackedNews {
  placement: Versioned<TargetPlacement> | undefined
  load: Versioned<TargetLoad> | undefined
}

/** The time of a measurement is derived from its age, with rounding errors. */
const MEASUREMENT_TOLERANCE_MILLISECONDS = 1

/**
 * Creates the store of the changes of the targets, from which a daemon answers its peers. The lease
 * holder numbers the changes, and a daemon that relays them keeps the numbers, so each daemon asks for
 * the changes after the last one that it has received, whoever sent it.
 *
 * @example
 * news.publish(41, placement.targetUpdates())
 * const message = news.since({ term: 41, sequence: 17 })
 */
export function createTargetNews (clock: Clock): TargetNews {
  let tracked = new Map<TargetKey, TrackedNews>()
  let current: NewsVersion | undefined

  const beginTerm = (term: number): NewsVersion => {
    if (current !== undefined && current.term === term) return current
    tracked = new Map()
    current = { term, sequence: 0 }
    return current
  }

  const entryOf = (key: TargetKey): TrackedNews => {
    const known = tracked.get(key)
    if (known !== undefined) return known
    const created: TrackedNews = { placement: undefined, load: undefined }
    tracked.set(key, created)
    return created
  }

  return {
    version: () => current,
    publish: (term, updates) => {
      const { sequence: previous } = beginTerm(term)
      const sequence = previous + 1
      let hasChanged = false
      const change = <Value>(known: Versioned<Value> | undefined, value: Value | undefined, at: Milliseconds, isEachMeasurementNews: boolean): Versioned<Value> | undefined => {
        if (value === undefined) return known
        const text = JSON.stringify(value)
        if (known?.text === text && (!isEachMeasurementNews || at < known.at + MEASUREMENT_TOLERANCE_MILLISECONDS)) return known
        hasChanged = true
        return { value, text, sequence, at }
      }
      for (const { key, placement, load, ageMilliseconds } of updates) {
        const entry = entryOf(key)
        entry.placement = change(entry.placement, placement, clock.now(), false)
        // A daemon adds the requests that it has sent since the measurement, so an equal load of a busy target is news.
        entry.load = change(entry.load, load, clock.now() - ageMilliseconds, load !== undefined && load.running + load.waiting > 0)
      }
      const present = new Set(updates.map(({ key }) => key))
      for (const key of [...tracked.keys()]) if (!present.has(key)) tracked.delete(key)
      if (hasChanged) current = { term, sequence }
    },
    receive: ({ version, updates }) => {
      if (current !== undefined && (version.term < current.term || (version.term === current.term && version.sequence <= current.sequence))) return []
      beginTerm(version.term)
      current = version
      for (const { key, placement, load, ageMilliseconds } of updates) {
        const entry = entryOf(key)
        const at = clock.now() - ageMilliseconds
        // The message does not state the number of each change. With the highest one, some peers get a change twice.
        if (placement !== undefined) entry.placement = { value: placement, text: '', sequence: version.sequence, at }
        if (load !== undefined) entry.load = { value: load, text: '', sequence: version.sequence, at }
      }
      return updates
    },
    since: (version) => {
      if (current === undefined) return undefined
      const { term } = current
      const after = version === undefined || version.term !== term ? -1 : version.sequence
      const updates: TargetUpdate[] = []
      for (const [key, { placement, load }] of tracked) {
        const newPlacement = placement !== undefined && placement.sequence > after ? placement : undefined
        const newLoad = load !== undefined && load.sequence > after ? load : undefined
        if (newPlacement === undefined && newLoad === undefined) continue
        const measuredAt = newLoad?.at ?? newPlacement?.at ?? clock.now()
        updates.push({ key, placement: newPlacement?.value, load: newLoad?.value, ageMilliseconds: clock.now() - measuredAt })
      }
      return { version: current, updates }
    }
  }
}
