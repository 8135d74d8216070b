import type { Clock } from '@fuchsiastage/clock'
import type { TargetKey } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'

export interface PermitRequest {
  readonly target: TargetKey
  readonly requestsPerSecond: number
  /** How long the request can wait before it is sent. */
  readonly maximumWaitMilliseconds: Milliseconds
}

export type PermitDecision =
  /** One request may be sent after the wait. */
  | { readonly kind: 'granted', readonly waitMilliseconds: Milliseconds }
  /** No request may be sent now; a permit is free after the retry time at the earliest. */
  | { readonly kind: 'denied', readonly retryAfterMilliseconds: Milliseconds }

export interface PermitIssuer {
  readonly issue: (request: PermitRequest) => PermitDecision
}

/** Requests that may follow each other without a gap after a time without requests. */
const BURST_REQUESTS = 2
/** A target that states a lower rate still gets this one, so that one of its responses can end the limit. */
const MINIMUM_REQUESTS_PER_SECOND = 0.1
const MILLISECONDS_PER_SECOND = 1_000
/** Number of tracked targets from which on those without recent permits are forgotten. */
const MAXIMUM_TRACKED_TARGETS = 64

/**
 * Creates the issuer of permits for targets that limit their requests. It reserves evenly spaced times
 * for the requests to each target (the generic cell rate algorithm).
 *
 * @example
 * const permits = createPermitIssuer(clock)
 * const decision = permits.issue({ target, requestsPerSecond: 2, maximumWaitMilliseconds: 500 })
 */
export function createPermitIssuer (clock: Clock): PermitIssuer {
  /** Earliest regular time of the next request, by target. */
  const nextAt = new Map<TargetKey, Milliseconds>()

  const forgetIdleTargets = (): void => {
    for (const [target, at] of nextAt) if (at < clock.now() - BURST_REQUESTS * MILLISECONDS_PER_SECOND / MINIMUM_REQUESTS_PER_SECOND) nextAt.delete(target)
  }

  const issue: PermitIssuer['issue'] = ({ target, requestsPerSecond, maximumWaitMilliseconds }) => {
    const now = clock.now()
    const interval = MILLISECONDS_PER_SECOND / Math.max(MINIMUM_REQUESTS_PER_SECOND, requestsPerSecond)
    const sendAt = Math.max(nextAt.get(target) ?? now, now - (BURST_REQUESTS - 1) * interval)
    const waitMilliseconds = Math.max(0, sendAt - now)
    if (waitMilliseconds > maximumWaitMilliseconds) return { kind: 'denied', retryAfterMilliseconds: waitMilliseconds }
    nextAt.set(target, sendAt + interval)
    if (nextAt.size > MAXIMUM_TRACKED_TARGETS) forgetIdleTargets()
    return { kind: 'granted', waitMilliseconds }
  }

  return { issue }
}
