import type { Clock } from '@fuchsiastage/clock'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import type { Milliseconds } from '@fuchsiastage/types'
import { err, ok, type Result } from 'true-myth/result'

export interface CallerLimit {
  readonly maximumConcurrent: number
  readonly requestsPerSecond: number
}

/** Gives the caller's place back; a second call has no effect. */
export interface CallerPermit {
  readonly release: () => void
}

export interface CallerLimits {
  /** The error is `caller-limit`, status 429, outcome `not-run`, with the time to come back. */
  readonly acquire: (caller: string, limit: CallerLimit) => Result<CallerPermit, FuchsiastageError>
  readonly inFlight: (caller: string) => number
}

export interface CallerLimitsOptions {
  readonly clock: Clock
  /** Seconds of its rate that a caller may send at once after a pause; 1 by default. */
  readonly burstSeconds?: number
}

interface CallerState {
  inFlight: number
  tokens: number
  refilledAt: Milliseconds
}

const CONCURRENCY_RETRY_MILLISECONDS = 1_000
const MAXIMUM_RETRY_MILLISECONDS = 60_000

/**
 * Creates the limits on concurrency and rate (token bucket) of each caller.
 *
 * @example
 * const permit = limits.acquire('renewals', { maximumConcurrent: 20, requestsPerSecond: 5 })
 * if (permit.isOk) permit.value.release()
 */
export function createCallerLimits (options: CallerLimitsOptions): CallerLimits {
  const { clock, burstSeconds = 1 } = options
  const states = new Map<string, CallerState>()

  const refuse = (caller: string, what: string, retryAfterMilliseconds: Milliseconds): Result<CallerPermit, FuchsiastageError> => err(createError({
    code: 'caller-limit',
    message: `the caller ${caller} exceeds its ${what}`,
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
    const used = state
    used.tokens = Math.min(capacity, used.tokens + (now - used.refilledAt) / 1_000 * limit.requestsPerSecond)
    used.refilledAt = now
    if (used.inFlight >= limit.maximumConcurrent) return refuse(caller, 'concurrency limit', CONCURRENCY_RETRY_MILLISECONDS)
    // Sums of refills are inexact, so a token that is full but for rounding counts as full.
    if (used.tokens < 1 - 1e-9) {
      const wait = (1 - used.tokens) / limit.requestsPerSecond * 1_000
      return refuse(caller, 'rate limit', Math.min(MAXIMUM_RETRY_MILLISECONDS, wait))
    }
    used.tokens--
    used.inFlight++
    let released = false
    const release = (): void => {
      if (released) return
      released = true
      used.inFlight--
    }
    return ok({ release })
  }

  return { acquire, inFlight: (caller) => states.get(caller)?.inFlight ?? 0 }
}
