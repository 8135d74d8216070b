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
  /** Marks a target as leaving, from the VM list, a peer or the target's refusal. */
  readonly markLeaving: (target: string) => void
  readonly get: (target: string) => KnownTarget | undefined
  readonly isLeaving: (target: string) => boolean
  /** Forgets targets that no list names any more. */
  readonly retain: (targets: ReadonlySet<string>) => void
  /** News in the form in which an observer passes it on, aged to the present. */
  readonly export: (targets: readonly string[]) => readonly TargetNews[]
}

export declare function createReportStore (options: { readonly clock: Clock }): ReportStore
