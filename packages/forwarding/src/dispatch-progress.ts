import type { TargetKey } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'
import type { ForwardOutcome } from './request.js'

/** Retry delay for clients when all targets have refused the request or were unreachable. */
export const NO_TARGET_RETRY_MILLISECONDS = 1_000

/** What has happened to a request in the dispatch filter so far. */
export interface DispatchProgress {
  /** Targets to which this request must not be sent again. */
  readonly excluded: Set<TargetKey>
  /** Targets whose limit leaves no room for this request, with the time until it does. */
  readonly limited: Map<TargetKey, Milliseconds>
  /** Targets that may have run the request. */
  readonly mayHaveRun: Set<TargetKey>
  /** Whether the request is quarantined and is the one that is tried. */
  isTrial: boolean
  /** Number of engines whose connection was lost before they had sent any of the response. */
  lostBeginnings: number
  lastReason: string
  /** Identifier of the last event that was relayed to the client; a resumed stream continues after it. */
  lastEventId: string | undefined
}

/** Refuses a request for which there is no target, or none whose limit leaves room for it. */
export function refuseWithoutTarget (progress: DispatchProgress, reason: string, retryAfterMilliseconds: Milliseconds): ForwardOutcome {
  if (progress.limited.size === 0) return refuse(progress, reason, retryAfterMilliseconds)
  return refuse(progress, 'target-limit-reached', Math.min(retryAfterMilliseconds, ...progress.limited.values()))
}

export function refuse (progress: DispatchProgress, reason: string, retryAfterMilliseconds: Milliseconds): ForwardOutcome {
  // A refusal states that no target has run the request, so it is not used once a target may have run it.
  return progress.mayHaveRun.size === 0 ? { kind: 'refused', reason, retryAfterMilliseconds } : { kind: 'unknown', status: 502, reason }
}
