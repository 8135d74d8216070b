/**
 * The error type shared by all packages. Each error names the operation that failed and the peer
 * that was involved.
 */
import type { Milliseconds, RequestOutcome } from '@fuchsiastage/types'

export interface FuchsiastageError {
  readonly name: 'FuchsiastageError'
  /** Stable identifier in kebab-case, for example `deadline-exceeded`. */
  readonly code: string
  readonly message: string
  /** The operation that failed, for example `dispatch`. */
  readonly step: string
  /** Name or address of the remote peer, or `local` when the failure arose in this process. */
  readonly peer: string
  readonly outcome: RequestOutcome
  readonly status: number
  readonly retryAfterMilliseconds?: Milliseconds
  readonly details?: Readonly<Record<string, unknown>>
  readonly cause?: unknown
}

export interface ErrorFields {
  readonly code: string
  readonly message: string
  readonly step: string
  readonly peer?: string
  readonly outcome?: RequestOutcome
  readonly status?: number
  readonly retryAfterMilliseconds?: Milliseconds
  readonly details?: Readonly<Record<string, unknown>>
  readonly cause?: unknown
}

/** Body of an `application/problem+json` response (RFC 9457). */
export interface ProblemDocument {
  readonly type: string
  readonly title: string
  readonly status: number
  readonly detail: string
  readonly code: string
  readonly outcome: RequestOutcome
  readonly step: string
  readonly peer: string
  readonly request?: string
  readonly retryAfterMilliseconds?: Milliseconds
  readonly details?: Readonly<Record<string, unknown>>
}

const DEFAULT_STATUS = 500

/**
 * Creates an error value. The outcome defaults to `not-run`, so an operation whose request may
 * already have reached a target must pass `unknown`.
 *
 * @example
 * createError({ code: 'target-unreachable', message: 'connection refused', step: 'dispatch', peer: 'drafter-1', status: 503 })
 */
export function createError (fields: ErrorFields): FuchsiastageError {
  return {
    ...fields,
    name: 'FuchsiastageError',
    peer: fields.peer ?? 'local',
    outcome: fields.outcome ?? 'not-run',
    status: fields.status ?? DEFAULT_STATUS
  }
}

/**
 * Converts an error into the body of a problem+json response.
 *
 * @example
 * toProblem(createError({ code: 'model-unknown', message: 'no such model', step: 'authorise', status: 404 }), 'request-1')
 */
export function toProblem (error: FuchsiastageError, request?: string): ProblemDocument {
  return {
    type: `urn:fuchsiastage:problem:${error.code}`,
    title: error.code.replaceAll('-', ' '),
    status: error.status,
    detail: error.message,
    code: error.code,
    outcome: error.outcome,
    step: error.step,
    peer: error.peer,
    ...(request === undefined ? {} : { request }),
    ...(error.retryAfterMilliseconds === undefined ? {} : { retryAfterMilliseconds: error.retryAfterMilliseconds }),
    ...(error.details === undefined ? {} : { details: error.details })
  }
}

/**
 * Returns whether a thrown value is a `FuchsiastageError`.
 *
 * @example
 * if (isFuchsiastageError(reason)) log.warn(reason.message)
 */
export function isFuchsiastageError (value: unknown): value is FuchsiastageError {
  return typeof value === 'object' && value !== null && (value as { name?: unknown }).name === 'FuchsiastageError'
}

/**
 * Converts any thrown value into a `FuchsiastageError`. A value that already is one is returned unchanged.
 *
 * @example
 * toFuchsiastageError(reason, { code: 'log-unavailable', step: 'append', peer: 'log-service' })
 */
export function toFuchsiastageError (reason: unknown, fields: Omit<ErrorFields, 'message'>): FuchsiastageError {
  if (isFuchsiastageError(reason)) return reason
  const message = reason instanceof Error ? reason.message : String(reason)
  return createError({ ...fields, message, cause: reason })
}
