import type { Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import Emittery from 'emittery'
import { targetKeyOf, type TargetEntry, type TargetKey, type TargetLoad, type TargetPlacement } from './target.js'

/** What the daemon believes of one life of a target. */
export interface KnownTarget {
  readonly key: TargetKey
  readonly entry: TargetEntry
  /** The newest placement that is known, from the list, a report or the holder of the order lease. */
  readonly placement: TargetPlacement
  readonly load: TargetLoad | undefined
  /** Monotonic time at which the load was observed. */
  readonly loadAt: Milliseconds | undefined
  /** Monotonic time at which the target is taken away, where it was announced. */
  readonly leavesAt: Milliseconds | undefined
}

export interface TargetNews {
  readonly key: TargetKey
  readonly placement: TargetPlacement
  readonly load: TargetLoad | undefined
  /** Age of the news when it arrived here. */
  readonly ageMilliseconds: Milliseconds
}

export interface TargetDirectoryEvents {
  /** The set of usable targets or what one of them holds has changed. */
  readonly changed: { readonly key: TargetKey }
}

export interface TargetDirectoryOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** Time after the return of the log service within which lapsed entries of living targets are back. */
  readonly lapseMilliseconds: Milliseconds
}

export interface TargetDirectory {
  readonly events: Emittery<TargetDirectoryEvents>
  readonly applySnapshot: (entries: ReadonlyMap<string, TargetEntry | undefined>) => void
  readonly applyEntry: (id: string, entry: TargetEntry | undefined) => void
  readonly applyNews: (update: TargetNews) => void
  /** Tells the directory that the log service failed to answer. */
  readonly recordLogFailure: () => void
  readonly recordLogContact: () => void
  /** Marks a target as one that another target or nobody answers for, until its entry changes. */
  readonly markMisplaced: (key: TargetKey) => void
  /** Notes that a target does not hold a model or an adapter that it was believed to hold. */
  readonly noteLacking: (key: TargetKey, model: string | undefined, adapter: string | undefined) => void
  /** Targets that may get new requests. */
  readonly usable: (service: string) => readonly KnownTarget[]
  readonly find: (key: TargetKey) => KnownTarget | undefined
  readonly all: () => readonly KnownTarget[]
  readonly isUsable: (key: TargetKey) => boolean
}

interface TrackedTarget {
  entry: TargetEntry
  placement: TargetPlacement
  load: TargetLoad | undefined
  loadAt: Milliseconds | undefined
  leavesAt: Milliseconds | undefined
  /** Set while the entry is missing for a reason that may be an outage of the log service. */
  lapsedAt: Milliseconds | undefined
}

/**
 * Creates the directory of targets. Leaving is final for one life of a target: an entry that
 * arrives late cannot make it usable again.
 *
 * @example
 * const directory = createTargetDirectory({ clock, logger, lapseMilliseconds: 2300 })
 * const candidates = directory.usable('drafter')
 */
export function createTargetDirectory (options: TargetDirectoryOptions): TargetDirectory {
  const { clock, logger, lapseMilliseconds } = options
  const events = new Emittery<TargetDirectoryEvents>()
  const trackedById = new Map<string, TrackedTarget>()
  const drainingKeys = new Set<TargetKey>()
  const misplacedKeys = new Set<TargetKey>()
  let isLogDown = false
  let logRecoveredAt: Milliseconds = -Infinity

  const emitChanged = (key: TargetKey): void => { void events.emit('changed', { key }) }

  const isLapsePossible = (): boolean => isLogDown || clock.now() - logRecoveredAt < lapseMilliseconds

  const removeLapsed = (): void => {
    if (isLogDown || clock.now() - logRecoveredAt < lapseMilliseconds) return
    for (const [id, tracked] of trackedById) if (tracked.lapsedAt !== undefined) remove(id, 'entry missing after the log service returned')
  }

  const remove = (id: string, reason: string): void => {
    const tracked = trackedById.get(id)
    if (tracked === undefined) return
    trackedById.delete(id)
    const key = targetKeyOf(tracked.entry)
    logger.info('target is gone', { event: 'target-gone', peer: tracked.entry.address, target: key, reason })
    emitChanged(key)
  }

  const applyEntry = (id: string, entry: TargetEntry | undefined): void => {
    const tracked = trackedById.get(id)
    if (entry === undefined) {
      if (tracked === undefined) return
      if (!isLapsePossible()) {
        remove(id, 'entry removed')
      } else if (tracked.lapsedAt === undefined) {
        tracked.lapsedAt = clock.now()
        logger.info('entry of a target lapsed around an outage of the log service', { event: 'target-lapsed', target: targetKeyOf(tracked.entry) })
      }
      return
    }
    if (tracked !== undefined && entry.startedAt < tracked.entry.startedAt) {
      logger.info('ignored an entry of an earlier life of a target', { event: 'target-entry-stale', target: targetKeyOf(entry) })
      return
    }
    const key = targetKeyOf(entry)
    const isSameIncarnation = tracked !== undefined && targetKeyOf(tracked.entry) === key
    if (entry.isDraining && !drainingKeys.has(key)) {
      drainingKeys.add(key)
      logger.info('target is leaving', { event: 'target-leaving', peer: entry.address, target: key, leavesIn: entry.leavesInMilliseconds })
    }
    if (!isSameIncarnation) logger.info('target is known', { event: 'target-known', peer: entry.address, target: key, service: entry.service, draining: entry.isDraining })
    const isPlacementNewer = !isSameIncarnation || entry.placement.orderCount >= tracked.placement.orderCount
    trackedById.set(id, {
      entry,
      placement: isPlacementNewer ? mergePlacement(entry.placement, isSameIncarnation ? tracked.placement : undefined) : tracked.placement,
      load: isSameIncarnation ? tracked.load : undefined,
      loadAt: isSameIncarnation ? tracked.loadAt : undefined,
      leavesAt: entry.leavesInMilliseconds === undefined ? (isSameIncarnation ? tracked.leavesAt : undefined) : clock.now() + entry.leavesInMilliseconds,
      lapsedAt: undefined
    })
    if (!isSameIncarnation || tracked.entry.address !== entry.address) misplacedKeys.delete(key)
    emitChanged(key)
  }

  const applySnapshot = (entries: ReadonlyMap<string, TargetEntry | undefined>): void => {
    for (const id of [...trackedById.keys()]) if (entries.get(id) === undefined) applyEntry(id, undefined)
    for (const [id, entry] of entries) if (entry !== undefined) applyEntry(id, entry)
  }

  const applyNews = (update: TargetNews): void => {
    const id = update.key.slice(0, update.key.lastIndexOf('@'))
    const tracked = trackedById.get(id)
    if (tracked === undefined || targetKeyOf(tracked.entry) !== update.key) return
    const measuredAt = clock.now() - update.ageMilliseconds
    if (update.placement.orderCount >= tracked.placement.orderCount) tracked.placement = update.placement
    if (update.load !== undefined && measuredAt > (tracked.loadAt ?? -Infinity)) {
      tracked.load = update.load
      tracked.loadAt = measuredAt
    }
    emitChanged(update.key)
  }

  const noteLacking = (key: TargetKey, model: string | undefined, adapter: string | undefined): void => {
    const tracked = trackedById.get(key.slice(0, key.lastIndexOf('@')))
    if (tracked === undefined || targetKeyOf(tracked.entry) !== key || model === undefined) return
    logger.info('target does not hold what it was believed to hold', { event: 'target-lacks-model', target: key, model, adapter: adapter ?? null })
    const models = adapter === undefined
      ? tracked.placement.models.filter(({ name }) => name !== model)
      : tracked.placement.models.map((loaded) => loaded.name === model ? { ...loaded, adapters: loaded.adapters.filter((name) => name !== adapter) } : loaded)
    tracked.placement = { ...tracked.placement, models }
    emitChanged(key)
  }

  const isUsableTracked = (tracked: TrackedTarget): boolean => {
    const key = targetKeyOf(tracked.entry)
    return !drainingKeys.has(key) && !misplacedKeys.has(key)
  }

  const toKnownTarget = (tracked: TrackedTarget): KnownTarget => ({
    key: targetKeyOf(tracked.entry),
    entry: tracked.entry,
    placement: tracked.placement,
    load: tracked.load,
    loadAt: tracked.loadAt,
    leavesAt: tracked.leavesAt
  })

  const find = (key: TargetKey): KnownTarget | undefined => {
    const tracked = trackedById.get(key.slice(0, key.lastIndexOf('@')))
    return tracked !== undefined && targetKeyOf(tracked.entry) === key ? toKnownTarget(tracked) : undefined
  }

  return {
    events,
    applyEntry,
    applySnapshot,
    applyNews,
    recordLogFailure: () => { isLogDown = true },
    recordLogContact: () => {
      if (isLogDown) logRecoveredAt = clock.now()
      isLogDown = false
      removeLapsed()
    },
    noteLacking,
    markMisplaced: (key) => {
      misplacedKeys.add(key)
      logger.warn('target answered for another instance', { event: 'target-misplaced', target: key })
      emitChanged(key)
    },
    usable: (service) => [...trackedById.values()].filter((tracked) => tracked.entry.service === service && isUsableTracked(tracked)).map(toKnownTarget),
    find,
    all: () => [...trackedById.values()].map(toKnownTarget),
    isUsable: (key) => {
      const tracked = trackedById.get(key.slice(0, key.lastIndexOf('@')))
      return tracked !== undefined && targetKeyOf(tracked.entry) === key && isUsableTracked(tracked)
    }
  }
}

/** Entries in the list say nothing of adapters loaded since the last change; the count tells whether they still hold. */
function mergePlacement (listed: TargetPlacement, known: TargetPlacement | undefined): TargetPlacement {
  return known !== undefined && known.orderCount === listed.orderCount ? { ...listed, models: mergeAdapters(listed, known), pendingAdapters: known.pendingAdapters } : listed
}

function mergeAdapters (listed: TargetPlacement, known: TargetPlacement): TargetPlacement['models'] {
  return listed.models.map((model) => ({
    name: model.name,
    adapters: [...new Set([...model.adapters, ...known.models.find(({ name }) => name === model.name)?.adapters ?? []])]
  }))
}
