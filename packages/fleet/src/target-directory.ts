import type { Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import Emittery from 'emittery'
import { targetKeyOf, type TargetEntry, type TargetKey, type TargetLoad, type TargetPlacement } from './target.js'

/** State that this daemon keeps about one incarnation of a target. */
export interface KnownTarget {
  readonly key: TargetKey
  readonly entry: TargetEntry
  /** The newest known placement, from the target's entry, its reports or the holder of the order lease. */
  readonly placement: TargetPlacement
  readonly load: TargetLoad | undefined
  /** Monotonic time at which the load was measured. */
  readonly loadMeasuredAt: Milliseconds | undefined
  /** Monotonic time at which the target is removed, if it has announced its removal. */
  readonly leavesAt: Milliseconds | undefined
}

export interface TargetUpdate {
  readonly key: TargetKey
  /** Undefined if the placement has not changed. */
  readonly placement: TargetPlacement | undefined
  readonly load: TargetLoad | undefined
  /** Age of the update when this daemon received it. */
  readonly ageMilliseconds: Milliseconds
}

/** How this daemon has learned that a target leaves. */
export type LeavingStatement =
  /** From a response to this request, or to a request of this daemon for a report. */
  | { readonly source: 'response', readonly request: string | undefined }
  | { readonly source: 'peer', readonly ageMilliseconds: Milliseconds }

export interface TargetDirectoryEvents {
  /** Emitted when a target was added, updated or removed. */
  readonly changed: { readonly key: TargetKey }
}

export interface TargetDirectoryOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** Time after the recovery of the log service within which running targets register their lapsed entries again. */
  readonly lapseGraceMilliseconds: Milliseconds
}

export interface TargetDirectory {
  readonly events: Emittery<TargetDirectoryEvents>
  /** Replaces the entries of all targets; an undefined or missing entry counts as removed. */
  readonly applySnapshot: (entries: ReadonlyMap<string, TargetEntry | undefined>) => void
  /** Applies the newest entry of one target; undefined when the entry was removed or cannot be decoded. */
  readonly applyEntry: (id: string, entry: TargetEntry | undefined) => void
  /**
   * Applies an update from a report, from a response of the target or from the holder of the order
   * lease. An update for another incarnation is ignored.
   */
  readonly applyUpdate: (update: TargetUpdate) => void
  /**
   * Records a failed call to the log service. From then on until the grace time after its recovery, a
   * missing entry counts as lapsed because of the outage, not as removed.
   */
  readonly recordLogFailure: () => void
  /** Records a successful response of the log service and removes targets whose lapsed entries did not reappear within the grace time. */
  readonly recordLogContact: () => void
  /**
   * Records that the log service has returned to an older copy of its records. Until the grace time has passed,
   * a missing entry counts as lapsed; the next snapshot does not bring back targets that were removed recently.
   */
  readonly recordLogRestored: () => void
  /** Marks a target unusable until its address changes, because another target responds at the address. */
  readonly markMisplaced: (key: TargetKey) => void
  /**
   * Records that a target has stated that it leaves: in a response of it to this daemon, or to one of its
   * peers some time before. This incarnation gets no requests any more, whatever its entry states.
   */
  readonly recordLeaving: (key: TargetKey, statement: LeavingStatement) => void
  /** The targets that have stated recently that they leave, with the time since then; for gossip. */
  readonly recentlyLeaving: () => ReadonlyArray<readonly [key: TargetKey, ageMilliseconds: Milliseconds]>
  /** Removes a model or an adapter from the known placement after the target responded that it is not loaded. */
  readonly recordMissingModel: (key: TargetKey, model: string | undefined, adapter: string | undefined) => void
  /** Targets of a service that may receive new requests. */
  readonly usable: (service: string) => readonly KnownTarget[]
  readonly find: (key: TargetKey) => KnownTarget | undefined
  readonly all: () => readonly KnownTarget[]
  readonly isUsable: (key: TargetKey) => boolean
}

interface TrackedTarget {
  entry: TargetEntry
  placement: TargetPlacement
  load: TargetLoad | undefined
  loadMeasuredAt: Milliseconds | undefined
  leavesAt: Milliseconds | undefined
  /** Set while the entry is missing and an outage of the log service may be the reason. */
  lapsedAt: Milliseconds | undefined
}

/** Maximum number of incarnations that are known to leave. They are forgotten after some days, when none of them can come back. */
const MAXIMUM_DRAINING_KEYS = 16_384
/** Time for which removed incarnations are known: longer than the age of a copy to which the log service returns. */
const REMOVAL_MEMORY_MILLISECONDS = 60_000
/** Time for which gossip repeats that a target leaves; it reaches all daemons within a few periods of the exchange. */
const LEAVING_GOSSIP_MILLISECONDS = 5_000
/** Maximum number of leaving targets in one message. Each takes some 30 bytes. */
const MAXIMUM_GOSSIP_LEAVING = 32

/**
 * Creates the directory of targets. An incarnation that is draining never becomes usable again, even
 * if an older entry of it arrives late.
 *
 * @example
 * const directory = createTargetDirectory({ clock, logger, lapseGraceMilliseconds: 2300 })
 * const candidates = directory.usable('drafter')
 */
export function createTargetDirectory (options: TargetDirectoryOptions): TargetDirectory {
  const { clock, logger, lapseGraceMilliseconds } = options
  const events = new Emittery<TargetDirectoryEvents>()
  const trackedById = new Map<string, TrackedTarget>()
  const drainingKeys = new Set<TargetKey>()
  /** Identifiers of the targets of these incarnations. */
  const drainingIds = new Set<string>()
  const misplacedKeys = new Set<TargetKey>()
  /** Monotonic times at which targets stated recently that they leave. */
  const leavingStatedAt = new Map<TargetKey, Milliseconds>()
  /** Monotonic times at which incarnations were removed. */
  const removedAt = new Map<TargetKey, Milliseconds>()
  let isNextSnapshotRestored = false
  let isLogDown = false
  let logRecoveredAt: Milliseconds = -Infinity

  const emitChanged = (key: TargetKey): void => { void events.emit('changed', { key }) }

  const isLapsePossible = (): boolean => isLogDown || clock.now() - logRecoveredAt < lapseGraceMilliseconds

  const removeLapsed = (): void => {
    if (isLogDown || clock.now() - logRecoveredAt < lapseGraceMilliseconds) return
    for (const [id, tracked] of trackedById) if (tracked.lapsedAt !== undefined) remove(id, 'entry was not registered again after the log service recovered')
  }

  const remove = (id: string, reason: string): void => {
    const tracked = trackedById.get(id)
    if (tracked === undefined) return
    trackedById.delete(id)
    const key = targetKeyOf(tracked.entry)
    for (const [removedKey, at] of removedAt) if (clock.now() - at > REMOVAL_MEMORY_MILLISECONDS) removedAt.delete(removedKey)
    removedAt.set(key, clock.now())
    logger.info('target was removed', { event: 'target-gone', peer: tracked.entry.address, target: key, reason })
    emitChanged(key)
  }

  const addDraining = (key: TargetKey): void => {
    drainingKeys.add(key)
    drainingIds.add(idOf(key))
    for (const oldest of drainingKeys) {
      if (drainingKeys.size <= MAXIMUM_DRAINING_KEYS) break
      drainingKeys.delete(oldest)
      drainingIds.delete(idOf(oldest))
    }
  }

  /** Whether an incarnation leaves. One without a stated start may be any of those that left. */
  const isDraining = ({ id, startedAt }: TargetEntry): boolean => drainingKeys.has(targetKeyOf({ id, startedAt })) || (startedAt === 0 && drainingIds.has(id))

  const applyEntry = (id: string, entry: TargetEntry | undefined): void => {
    const tracked = trackedById.get(id)
    if (entry === undefined) {
      if (tracked === undefined) return
      if (!isLapsePossible()) {
        remove(id, 'entry removed')
      } else if (tracked.lapsedAt === undefined) {
        tracked.lapsedAt = clock.now()
        logger.info('entry of a target is missing during or after an outage of the log service; keeping the target until the grace time after the outage has passed', { event: 'target-lapsed', target: targetKeyOf(tracked.entry) })
      }
      return
    }
    if (tracked !== undefined && entry.startedAt < tracked.entry.startedAt) {
      logger.info('ignored an entry of an earlier incarnation of a target', { event: 'target-entry-stale', target: targetKeyOf(entry) })
      return
    }
    const key = targetKeyOf(entry)
    removedAt.delete(key)
    const isSameIncarnation = tracked !== undefined && targetKeyOf(tracked.entry) === key
    if (entry.isDraining && !drainingKeys.has(key)) {
      addDraining(key)
      logger.info('target is draining; it gets no new requests', { event: 'target-leaving', peer: entry.address, target: key, source: 'list', leavesIn: entry.leavesInMilliseconds })
    }
    if (!isSameIncarnation) logger.info('discovered a target or a new incarnation of it', { event: 'target-known', peer: entry.address, target: key, service: entry.service, draining: entry.isDraining })
    const isPlacementNewer = !isSameIncarnation || entry.placement.orderCount >= tracked.placement.orderCount
    trackedById.set(id, {
      entry,
      placement: isPlacementNewer ? mergePlacement(entry.placement, isSameIncarnation ? tracked.placement : undefined) : tracked.placement,
      load: isSameIncarnation ? tracked.load : undefined,
      loadMeasuredAt: isSameIncarnation ? tracked.loadMeasuredAt : undefined,
      leavesAt: entry.leavesInMilliseconds === undefined ? (isSameIncarnation ? tracked.leavesAt : undefined) : clock.now() + entry.leavesInMilliseconds,
      lapsedAt: undefined
    })
    if (!isSameIncarnation || tracked.entry.address !== entry.address) misplacedKeys.delete(key)
    emitChanged(key)
  }

  const applySnapshot = (entries: ReadonlyMap<string, TargetEntry | undefined>): void => {
    for (const id of [...trackedById.keys()]) if (entries.get(id) === undefined) applyEntry(id, undefined)
    for (const [id, entry] of entries) if (entry !== undefined && !(isNextSnapshotRestored && isRemoved(entry))) applyEntry(id, entry)
    isNextSnapshotRestored = false
  }

  /** Whether an entry of an older copy is of an incarnation that was removed after the copy. If it still runs, its next record brings it back. */
  const isRemoved = (entry: TargetEntry): boolean => {
    const key = targetKeyOf(entry)
    if (!removedAt.has(key)) return false
    logger.info('ignored the entry of a removed target in an older copy of the list', { event: 'target-entry-stale', target: key })
    return true
  }

  const applyUpdate = (update: TargetUpdate): void => {
    const tracked = trackedById.get(idOf(update.key))
    if (tracked === undefined || targetKeyOf(tracked.entry) !== update.key) return
    const measuredAt = clock.now() - update.ageMilliseconds
    if (update.placement !== undefined && update.placement.orderCount >= tracked.placement.orderCount) tracked.placement = update.placement
    if (update.load !== undefined && measuredAt > (tracked.loadMeasuredAt ?? -Infinity)) {
      tracked.load = update.load
      tracked.loadMeasuredAt = measuredAt
    }
    emitChanged(update.key)
  }

  const recordLeaving: TargetDirectory['recordLeaving'] = (key, statement) => {
    if (drainingKeys.has(key)) return
    addDraining(key)
    const ageMilliseconds = statement.source === 'peer' ? statement.ageMilliseconds : 0
    leavingStatedAt.set(key, clock.now() - ageMilliseconds)
    const details = statement.source === 'peer' ? { age: Math.round(ageMilliseconds) } : { request: statement.request }
    logger.info('target has stated that it leaves; it gets no new requests', { event: 'target-leaving', target: key, source: statement.source, ...details })
    emitChanged(key)
  }

  const recentlyLeaving: TargetDirectory['recentlyLeaving'] = () => {
    const now = clock.now()
    for (const [key, at] of leavingStatedAt) if (now - at >= LEAVING_GOSSIP_MILLISECONDS) leavingStatedAt.delete(key)
    return [...leavingStatedAt].sort(([, one], [, other]) => other - one).slice(0, MAXIMUM_GOSSIP_LEAVING).map(([key, at]): readonly [TargetKey, Milliseconds] => [key, Math.round(now - at)])
  }

  const recordMissingModel = (key: TargetKey, model: string | undefined, adapter: string | undefined): void => {
    const tracked = trackedById.get(idOf(key))
    if (tracked === undefined || targetKeyOf(tracked.entry) !== key || model === undefined) return
    logger.info('target responded that a model or adapter is not loaded; corrected its known placement', { event: 'target-lacks-model', target: key, model, adapter: adapter ?? null })
    const models = adapter === undefined
      ? tracked.placement.models.filter(({ name }) => name !== model)
      : tracked.placement.models.map((loaded) => loaded.name === model ? { ...loaded, adapters: loaded.adapters.filter((name) => name !== adapter) } : loaded)
    tracked.placement = { ...tracked.placement, models }
    emitChanged(key)
  }

  const isUsableTracked = (tracked: TrackedTarget): boolean => {
    return !isDraining(tracked.entry) && !misplacedKeys.has(targetKeyOf(tracked.entry))
  }

  const toKnownTarget = (tracked: TrackedTarget): KnownTarget => ({
    key: targetKeyOf(tracked.entry),
    entry: tracked.entry,
    placement: tracked.placement,
    load: tracked.load,
    loadMeasuredAt: tracked.loadMeasuredAt,
    leavesAt: tracked.leavesAt
  })

  const find = (key: TargetKey): KnownTarget | undefined => {
    const tracked = trackedById.get(idOf(key))
    return tracked !== undefined && targetKeyOf(tracked.entry) === key ? toKnownTarget(tracked) : undefined
  }

  return {
    events,
    applyEntry,
    applySnapshot,
    applyUpdate,
    recordLogFailure: () => { isLogDown = true },
    recordLogContact: () => {
      if (isLogDown) logRecoveredAt = clock.now()
      isLogDown = false
      removeLapsed()
    },
    recordLogRestored: () => {
      logRecoveredAt = clock.now()
      isNextSnapshotRestored = true
    },
    recordMissingModel,
    recordLeaving,
    recentlyLeaving,
    markMisplaced: (key) => {
      misplacedKeys.add(key)
      logger.warn('another instance responded at the address of a target; the target is not used until its address changes', { event: 'target-misplaced', target: key })
      emitChanged(key)
    },
    usable: (service) => [...trackedById.values()].filter((tracked) => tracked.entry.service === service && isUsableTracked(tracked)).map(toKnownTarget),
    find,
    all: () => [...trackedById.values()].map(toKnownTarget),
    isUsable: (key) => {
      const tracked = trackedById.get(idOf(key))
      return tracked !== undefined && targetKeyOf(tracked.entry) === key && isUsableTracked(tracked)
    }
  }
}

function idOf (key: TargetKey): string {
  return key.slice(0, key.lastIndexOf('@'))
}

/**
 * Adds the known adapters to the placement of an entry if both have the same order count. An entry may
 * lack adapters that were loaded after it was written.
 */
function mergePlacement (listed: TargetPlacement, known: TargetPlacement | undefined): TargetPlacement {
  return known !== undefined && known.orderCount === listed.orderCount ? { ...listed, models: mergeAdapters(listed, known), pendingAdapters: known.pendingAdapters } : listed
}

function mergeAdapters (listed: TargetPlacement, known: TargetPlacement): TargetPlacement['models'] {
  return listed.models.map((model) => ({
    name: model.name,
    adapters: [...new Set([...model.adapters, ...known.models.find(({ name }) => name === model.name)?.adapters ?? []])]
  }))
}
