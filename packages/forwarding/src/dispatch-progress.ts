import type { TargetKey } from '@fuchsiastage/fleet'
import type { TurnDecision } from '@fuchsiastage/target-limits'
import type { Milliseconds } from '@fuchsiastage/types'
import type { ForwardOutcome, HandoverProgress, InboundRequest, RequiredVersion } from './request.js'

/** Retry delay for clients when all targets have refused the request or were unreachable. */
export const NO_TARGET_RETRY_MILLISECONDS = 1_000

export type DeniedTurn = Extract<TurnDecision, { reason: 'limit' | 'pause' | 'room' }>

const REASONS: Readonly<Record<DeniedTurn['reason'], string>> = { limit: 'target-limit-reached', pause: 'target-paused', room: 'target-room-used-up' }

/** What has happened to a request in the dispatch filter so far. */
export interface DispatchProgress extends HandoverProgress {
  /** Whether the request counts as demand and for the retry budget. */
  isCounted: boolean
  /** Sends that have reached a target, or may have. */
  receivedSends: number
  /** Targets at which a limit, a pause or a room leaves no turn for this request. */
  readonly denied: Map<TargetKey, DeniedTurn>
  /** Time for which the request has waited for turns. */
  waitedMilliseconds: Milliseconds
  /** Whether the request has waited for the pace of targets as long as it can. */
  ignoresPace: boolean
  /** Whether the request is quarantined and is the one that is tried. */
  isTrial: boolean
  lastReason: string
}

/**
 * Begins the progress of a request, or continues that of a request that a peer has handed over.
 *
 * @example
 * const progress = beginProgress(context.request)
 */
export function beginProgress ({ description, handover }: InboundRequest): DispatchProgress {
  const before = handover?.progress ?? { excluded: new Set(), mayHaveRun: new Set(), lostBeginnings: 0, lastEventId: description.lastEventId, requiredVersion: { kind: 'any' } }
  return { ...before, denied: new Map(), waitedMilliseconds: 0, ignoresPace: false, isCounted: handover?.isCounted ?? false, receivedSends: 0, isTrial: false, lastReason: 'no-target' }
}

/** Returns which version may send the rest of a stream that a target of the given version began. */
export function requireVersion (softwareVersion: string | undefined): RequiredVersion {
  return softwareVersion === undefined ? { kind: 'unknown' } : { kind: 'exactly', softwareVersion }
}

/** Refuses a request for which there is no target. */
export function refuseWithoutTarget (progress: DispatchProgress): ForwardOutcome {
  return refuseWithoutTurn(progress) ?? refuse(progress, 'no-target', NO_TARGET_RETRY_MILLISECONDS)
}

/** Refuses a request for which no target with the model has a turn, and the model is not placed elsewhere. */
export function refuseWithoutPlacement (progress: DispatchProgress, reason: string, retryAfterMilliseconds: Milliseconds): ForwardOutcome {
  return refuseWithoutTurn(progress, retryAfterMilliseconds) ?? refuse(progress, reason, retryAfterMilliseconds)
}

/** Refuses a request with the time until the first of the denied turns, if there are any. */
function refuseWithoutTurn (progress: DispatchProgress, maximumRetryMilliseconds = Infinity): ForwardOutcome | undefined {
  const [first] = [...progress.denied.values()].sort((one, other) => one.retryAfterMilliseconds - other.retryAfterMilliseconds)
  if (first === undefined) return undefined
  return refuse(progress, REASONS[first.reason], Math.min(maximumRetryMilliseconds, first.retryAfterMilliseconds))
}

export function refuse (progress: DispatchProgress, reason: string, retryAfterMilliseconds: Milliseconds): ForwardOutcome {
  // A refusal states that no target has run the request, so it is not used once a target may have run it.
  return progress.mayHaveRun.size === 0 ? { kind: 'refused', reason, retryAfterMilliseconds } : { kind: 'unknown', status: 502, reason }
}
