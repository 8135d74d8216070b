import type { Milliseconds } from '@fuchsiastage/types'

/** What a request asks for; `call` is a call that must not be repeated. */
export type RequestKind = 'stream' | 'plain' | 'call'

/**
 * What the caller was told. `broken` means that the connection ended without a whole answer, and
 * `unreachable` that no connection was made.
 */
export type ReportedOutcome = 'done' | 'not-run' | 'unknown' | 'broken' | 'unreachable'

/** One request as its caller saw it. Times are those of the monotonic clock. */
export interface RequestRecord {
  readonly kind: RequestKind
  readonly daemon: string
  readonly sentAt: Milliseconds
  readonly deadlineMilliseconds: Milliseconds
  readonly endedAt: Milliseconds
  readonly outcome: ReportedOutcome
  readonly status: number | undefined
  readonly code: string
  readonly requestId: string | undefined
  readonly key: string | undefined
  /** Undefined when there is nothing to compare: a refusal, or a call. */
  readonly text: TextComparison | undefined
  /** Longest time by which the callers' own process ran late during the request. */
  readonly callerLagMilliseconds: Milliseconds
}

export interface TextComparison {
  readonly expected: string
  readonly received: string
  /** The end mark of a stream, or the whole body of a plain answer, has arrived. */
  readonly hasEnded: boolean
}

/** Time in which a daemon was paused or killed. */
export interface DaemonOutage {
  readonly daemon: string
  readonly kind: 'killed' | 'paused'
  readonly from: Milliseconds
  /** When the daemon ran again. */
  readonly to: Milliseconds
}
