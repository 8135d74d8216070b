import type { Clock } from '@fuchsiastage/clock'
import type { LoadReport, Milliseconds, VmState } from '@fuchsiastage/types'

/** State of a target, as read from the target itself or received from an observer. */
export interface TargetUpdate {
  readonly target: string
  readonly incarnation: string
  readonly state: VmState
  readonly load: LoadReport
  /**
   * Time since the target produced the state: zero when this daemon read it from the target,
   * otherwise the age at the observer plus the full round-trip time to the observer. Clocks of
   * different machines are never compared, so the one-way delay is unknown.
   */
  readonly ageMilliseconds: Milliseconds
  readonly source: 'own' | 'observer'
}

/** Newest known state of a target. Times are on this daemon's monotonic clock. */
export interface KnownTarget {
  readonly target: string
  readonly incarnation: string
  /** The target is draining and accepts no new requests. */
  readonly leaving: boolean
  readonly load: LoadReport
  /** Time at which the target produced this state. */
  readonly producedAt: Milliseconds
  /** Time at which the reported load was measured; earlier than `producedAt` by the report's lag. */
  readonly loadMeasuredAt: Milliseconds
}

export interface ReportStore {
  /** Stores the update unless a newer one is known; returns whether it was stored. */
  readonly record: (update: TargetUpdate) => boolean
  /**
   * Marks a target as leaving. Without an incarnation (from the VM list or a peer) the mark lasts
   * until the target is removed. With an incarnation (after the target itself refused a request)
   * the mark applies to that incarnation only.
   */
  readonly markLeaving: (target: string, incarnation?: string) => void
  readonly get: (target: string) => KnownTarget | undefined
  readonly isLeaving: (target: string) => boolean
  /** Removes all targets that are not in the set. */
  readonly retain: (targets: ReadonlySet<string>) => void
  /** Returns updates to forward to other daemons, with ages as of the present. */
  readonly export: (targets: readonly string[]) => readonly TargetUpdate[]
}

interface TargetEntry {
  known: KnownTarget | undefined
  /** Whether the VM list or a peer has marked the target; remains set until the target is removed. */
  permanentlyLeaving: boolean
  leavingIncarnation: string | undefined
}

/**
 * Creates the store of load reports. It merges the daemon's own observations with those of
 * observers and ignores outdated data: a state that is not newer than the known one, or a load that
 * was measured earlier in the same incarnation. The exception is `leaving`, which is also taken from
 * an older update of the known incarnation, because an incarnation that is leaving never becomes
 * live again.
 *
 * @example
 * const reports = createReportStore({ clock })
 * reports.record({ target: 'drafter-1', incarnation, state: 'live', load, ageMilliseconds: 0, source: 'own' })
 */
export function createReportStore (options: { readonly clock: Clock }): ReportStore {
  const { clock } = options
  const entries = new Map<string, TargetEntry>()

  const entryOf = (target: string): TargetEntry => {
    let entry = entries.get(target)
    if (entry === undefined) {
      entry = { known: undefined, permanentlyLeaving: false, leavingIncarnation: undefined }
      entries.set(target, entry)
    }
    return entry
  }

  const isEntryLeaving = (entry: TargetEntry): boolean =>
    entry.permanentlyLeaving || (entry.leavingIncarnation !== undefined && (entry.known === undefined || entry.known.incarnation === entry.leavingIncarnation))

  const updateLeaving = (entry: TargetEntry): void => {
    const leaving = isEntryLeaving(entry)
    if (entry.known !== undefined && entry.known.leaving !== leaving) entry.known = { ...entry.known, leaving }
  }

  const markLeaving = (target: string, incarnation?: string): void => {
    const entry = entryOf(target)
    if (incarnation === undefined) entry.permanentlyLeaving = true
    else if (entry.known === undefined || entry.known.incarnation === incarnation) entry.leavingIncarnation = incarnation
    updateLeaving(entry)
  }

  const record = (update: TargetUpdate): boolean => {
    const entry = entryOf(update.target)
    const { known } = entry
    const producedAt = clock.now() - Math.max(0, update.ageMilliseconds)
    const isSameIncarnation = known?.incarnation === update.incarnation
    const isNewer = known === undefined || producedAt > known.producedAt
    if (update.state === 'leaving' && (isNewer || isSameIncarnation)) entry.leavingIncarnation = update.incarnation
    if (!isNewer) {
      updateLeaving(entry)
      return false
    }
    const measuredAt = producedAt - Math.max(0, update.load.ageMilliseconds)
    const keepsKnownLoad = known !== undefined && isSameIncarnation && measuredAt < known.loadMeasuredAt
    entry.known = {
      target: update.target,
      incarnation: update.incarnation,
      leaving: false,
      load: keepsKnownLoad ? known.load : update.load,
      producedAt,
      // The request tracker discards changes before this time, so it must not decrease.
      loadMeasuredAt: Math.max(measuredAt, known?.loadMeasuredAt ?? -Infinity)
    }
    updateLeaving(entry)
    return true
  }

  const exportUpdates = (targets: readonly string[]): readonly TargetUpdate[] => {
    const now = clock.now()
    const updates: TargetUpdate[] = []
    for (const target of targets) {
      const known = entries.get(target)?.known
      if (known === undefined) continue
      updates.push({
        target,
        incarnation: known.incarnation,
        state: known.leaving ? 'leaving' : 'live',
        load: { ...known.load, ageMilliseconds: known.producedAt - known.loadMeasuredAt },
        ageMilliseconds: now - known.producedAt,
        source: 'observer'
      })
    }
    return updates
  }

  return {
    record,
    markLeaving,
    get: (target) => entries.get(target)?.known,
    isLeaving: (target) => {
      const entry = entries.get(target)
      return entry !== undefined && isEntryLeaving(entry)
    },
    retain: (targets) => {
      for (const target of entries.keys()) if (!targets.has(target)) entries.delete(target)
    },
    export: exportUpdates
  }
}
