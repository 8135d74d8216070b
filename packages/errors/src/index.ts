/**
 * The error type of all packages: it carries the step and the peer at which the failure arose.
 */
import type { Milliseconds, RequestOutcome } from '@fuchsiastage/types'

export interface FuchsiastageError {
  readonly name: 'FuchsiastageError'
  /** Stable identifier in kebab-case, for example `deadline-exceeded`. */
  readonly code: string
  readonly message: string
  /** The operation in which the failure arose, for example `dispatch`. */
  readonly step: string
  /** Name or address of the other side, or `local`. */
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

/** Body of an `application/problem+json` answer (RFC 9457). */
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
 * Creates an error value. The outcome is `not-run` unless stated otherwise, so a step
 * that may already have reached a target must state `unknown`.
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
 * Converts an error into the body of a problem+json answer.
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
 * Tells whether a thrown value is already a project error.
 *
 * @example
 * if (isFuchsiastageError(reason)) log.warn(reason.message)
 */
export function isFuchsiastageError (value: unknown): value is FuchsiastageError {
  return typeof value === 'object' && value !== null && (value as { name?: unknown }).name === 'FuchsiastageError'
}

/**
 * Turns any thrown value into a project error, keeping it when it already is one.
 *
 * @example
 * fromUnknown(reason, { code: 'log-unavailable', step: 'append', peer: 'log-service' })
 */
export function fromUnknown (reason: unknown, fields: Omit<ErrorFields, 'message'>): FuchsiastageError {
  if (isFuchsiastageError(reason)) return reason
  const message = reason instanceof Error ? reason.message : String(reason)
  return createError({ ...fields, message, cause: reason })
}
