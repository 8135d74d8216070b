import type { Clock } from '@fuchsiastage/clock'
import type { LoadReport, Milliseconds, VmState } from '@fuchsiastage/types'

/** News of a target's state, from the target itself or through an observer. */
export interface TargetNews {
  readonly target: string
  readonly incarnation: string
  readonly state: VmState
  readonly load: LoadReport
  /**
   * Time since the target produced the state: zero for an own observation, otherwise the age
   * at the observer plus the whole round trip to it, because clocks are not compared.
   */
  readonly ageMilliseconds: Milliseconds
  readonly source: 'own' | 'observer'
}

/** What is known of one target. Times are those of the daemon's own monotonic clock. */
export interface KnownTarget {
  readonly target: string
  readonly incarnation: string
  readonly leaving: boolean
  readonly load: LoadReport
  /** When the target produced the newest state. */
  readonly newsAt: Milliseconds
  /** When the load in the report was measured; earlier than `newsAt` by the report's lag. */
  readonly loadMeasuredAt: Milliseconds
}

export interface ReportStore {
  /** Takes news unless newer news is known; tells whether it was taken. */
  readonly record: (news: TargetNews) => boolean
  /**
   * Marks a target as leaving, from the VM list or a peer. With an incarnation, as after the
   * target's own refusal, a later incarnation of the same target is not leaving.
   */
  readonly markLeaving: (target: string, incarnation?: string) => void
  readonly get: (target: string) => KnownTarget | undefined
  readonly isLeaving: (target: string) => boolean
  /** Forgets targets that no list names any more. */
  readonly retain: (targets: ReadonlySet<string>) => void
  /** News in the form in which an observer passes it on, aged to the present. */
  readonly export: (targets: readonly string[]) => readonly TargetNews[]
}

interface Entry {
  known: KnownTarget | undefined
  /** Set by the VM list or a peer; it lasts until the target is forgotten. */
  leavingForGood: boolean
  leavingIncarnation: string | undefined
}

/**
 * Creates the store of load reports. It merges own observations with those of observers and never
 * goes back in time: an older state, and a load measured earlier than the known one, are dropped.
 * Only `leaving` is taken from older news, because an incarnation never returns from it.
 *
 * @example
 * const reports = createReportStore({ clock })
 * reports.record({ target: 'drafter-1', incarnation, state: 'live', load, ageMilliseconds: 0, source: 'own' })
 */
export function createReportStore (options: { readonly clock: Clock }): ReportStore {
  const { clock } = options
  const entries = new Map<string, Entry>()

  const entryOf = (target: string): Entry => {
    let entry = entries.get(target)
    if (entry === undefined) {
      entry = { known: undefined, leavingForGood: false, leavingIncarnation: undefined }
      entries.set(target, entry)
    }
    return entry
  }

  const leaves = (entry: Entry): boolean =>
    entry.leavingForGood || (entry.leavingIncarnation !== undefined && (entry.known === undefined || entry.known.incarnation === entry.leavingIncarnation))

  const refreshLeaving = (entry: Entry): void => {
    const leaving = leaves(entry)
    if (entry.known !== undefined && entry.known.leaving !== leaving) entry.known = { ...entry.known, leaving }
  }

  const markLeaving = (target: string, incarnation?: string): void => {
    const entry = entryOf(target)
    if (incarnation === undefined) entry.leavingForGood = true
    else if (entry.known === undefined || entry.known.incarnation === incarnation) entry.leavingIncarnation = incarnation
    refreshLeaving(entry)
  }

  const record = (news: TargetNews): boolean => {
    const entry = entryOf(news.target)
    const { known } = entry
    const newsAt = clock.now() - Math.max(0, news.ageMilliseconds)
    const sameIncarnation = known?.incarnation === news.incarnation
    const newer = known === undefined || newsAt > known.newsAt
    if (news.state === 'leaving' && (newer || sameIncarnation)) entry.leavingIncarnation = news.incarnation
    if (!newer) {
      refreshLeaving(entry)
      return false
    }
    const measuredAt = newsAt - Math.max(0, news.load.ageMilliseconds)
    const keepLoad = known !== undefined && sameIncarnation && measuredAt < known.loadMeasuredAt
    entry.known = {
      target: news.target,
      incarnation: news.incarnation,
      leaving: false,
      load: keepLoad ? known.load : news.load,
      newsAt,
      // The tracker forgets what happened before this time, so it must not go back either.
      loadMeasuredAt: Math.max(measuredAt, known?.loadMeasuredAt ?? -Infinity)
    }
    refreshLeaving(entry)
    return true
  }

  const exportNews = (targets: readonly string[]): readonly TargetNews[] => {
    const now = clock.now()
    const news: TargetNews[] = []
    for (const target of targets) {
      const known = entries.get(target)?.known
      if (known === undefined) continue
      news.push({
        target,
        incarnation: known.incarnation,
        state: known.leaving ? 'leaving' : 'live',
        load: { ...known.load, ageMilliseconds: known.newsAt - known.loadMeasuredAt },
        ageMilliseconds: now - known.newsAt,
        source: 'observer'
      })
    }
    return news
  }

  return {
    record,
    markLeaving,
    get: (target) => entries.get(target)?.known,
    isLeaving: (target) => {
      const entry = entries.get(target)
      return entry !== undefined && leaves(entry)
    },
    retain: (targets) => {
      for (const target of entries.keys()) if (!targets.has(target)) entries.delete(target)
    },
    export: exportNews
  }
}
