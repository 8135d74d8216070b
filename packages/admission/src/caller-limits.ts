import type { Clock } from '@fuchsiastage/clock'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import type { Milliseconds } from '@fuchsiastage/types'
import { err, ok, type Result } from 'true-myth/result'

export interface CallerLimit {
  readonly maximumConcurrent: number
  readonly requestsPerSecond: number
}

/** Permission to run one request of a caller. */
export interface CallerPermit {
  /** Ends the permit; further calls have no effect. */
  readonly release: () => void
}

export interface CallerLimits {
  /** The error is `caller-limit`, status 429, outcome `not-run`, with a retry delay. */
  readonly acquire: (caller: string, limit: CallerLimit) => Result<CallerPermit, FuchsiastageError>
  readonly inFlight: (caller: string) => number
}

export interface CallerLimitsOptions {
  readonly clock: Clock
  /** Time in which the caller's rate fills the token bucket, which holds at least one token; 1 by default. */
  readonly burstSeconds?: number
}

interface CallerState {
  inFlight: number
  /** Tokens in the bucket at the time of the last refill. */
  tokens: number
  refilledAt: Milliseconds
}

/** Retry delay after a concurrency refusal, which is fixed because it is unknown when a running request will end. */
const CONCURRENCY_RETRY_MILLISECONDS = 1_000
const MAXIMUM_RETRY_MILLISECONDS = 60_000

/**
 * Creates the per-caller limits on concurrency and rate (token bucket).
 *
 * @example
 * const permit = limits.acquire('renewals', { maximumConcurrent: 20, requestsPerSecond: 5 })
 * if (permit.isOk) permit.value.release()
 */
export function createCallerLimits (options: CallerLimitsOptions): CallerLimits {
  const { clock, burstSeconds = 1 } = options
  const states = new Map<string, CallerState>()

  const refuse = (caller: string, limitName: string, retryAfterMilliseconds: Milliseconds): Result<CallerPermit, FuchsiastageError> => err(createError({
    code: 'caller-limit',
    message: `caller ${caller} exceeds its ${limitName}`,
    step: 'limit',
    status: 429,
    retryAfterMilliseconds
  }))

  const acquire = (caller: string, limit: CallerLimit): Result<CallerPermit, FuchsiastageError> => {
    const now = clock.now()
    const capacity = Math.max(1, limit.requestsPerSecond * burstSeconds)
    let state = states.get(caller)
    if (state === undefined) {
      state = { inFlight: 0, tokens: capacity, refilledAt: now }
      states.set(caller, state)
    }
    const callerState = state
    callerState.tokens = Math.min(capacity, callerState.tokens + (now - callerState.refilledAt) / 1_000 * limit.requestsPerSecond)
    callerState.refilledAt = now
    if (callerState.inFlight >= limit.maximumConcurrent) return refuse(caller, 'concurrency limit', CONCURRENCY_RETRY_MILLISECONDS)
    // The sum of several refills is subject to rounding errors, so a token within the tolerance counts as available.
    if (callerState.tokens < 1 - 1e-9) {
      const wait = (1 - callerState.tokens) / limit.requestsPerSecond * 1_000
      return refuse(caller, 'rate limit', Math.min(MAXIMUM_RETRY_MILLISECONDS, wait))
    }
    callerState.tokens--
    callerState.inFlight++
    let released = false
    const release = (): void => {
      if (released) return
      released = true
      callerState.inFlight--
    }
    return ok({ release })
  }

  return { acquire, inFlight: (caller) => states.get(caller)?.inFlight ?? 0 }
}
