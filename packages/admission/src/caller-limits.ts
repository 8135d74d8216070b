import type { Clock } from '@fuchsiastage/clock'
import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { Result } from 'true-myth/result'

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

export declare function createCallerLimits (options: { readonly clock: Clock, readonly burstSeconds?: number }): CallerLimits
