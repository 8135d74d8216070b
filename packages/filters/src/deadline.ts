import { withTimeout, type Clock } from '@fuchsiastage/clock'
import { createError } from '@fuchsiastage/errors'
import type { Filter, RequestContext } from './context.js'

const DEADLINE_HEADER = 'x-deadline-milliseconds'

/**
 * Sets the deadline of the request from its header, limited by the maximum of its caller. The
 * request's signal aborts when the deadline passes.
 *
 * @example
 * const filter = createDeadlineFilter(clock)
 */
export function createDeadlineFilter (clock: Clock): Filter {
  return async (context, next) => {
    const allowedMilliseconds = context.caller?.deadlineMilliseconds ?? 0
    const header = context.incoming.headers[DEADLINE_HEADER]
    const requestedMilliseconds = header === undefined ? allowedMilliseconds : Number(header)
    if (!Number.isFinite(requestedMilliseconds)) {
      return { kind: 'problem', error: createError({ code: 'deadline-invalid', message: `${DEADLINE_HEADER} is not a number of milliseconds: ${String(header)}`, step: 'deadline', status: 400 }) }
    }
    const deadline = context.receivedAt + Math.min(requestedMilliseconds, allowedMilliseconds)
    const remainingMilliseconds = deadline - clock.now()
    if (remainingMilliseconds <= 0) return { kind: 'problem', error: deadlineExceeded('deadline') }
    return await withTimeout(clock, remainingMilliseconds, [context.signal], (signal) => next({ ...context, deadline, signal }))
  }
}

/** Creates the error for a request whose deadline passed before any byte was sent to a target. */
export function deadlineExceeded (step: string, peer?: string): ReturnType<typeof createError> {
  return createError({ code: 'deadline-exceeded', message: 'the deadline passed before the request was sent to a target', step, peer, status: 504, retryAfterMilliseconds: RETRY_AFTER_DEADLINE_MILLISECONDS })
}

/** Creates the error for a request that was aborted, by its deadline or its caller, before any byte was sent to a target. */
export function endedBeforeSend (context: RequestContext, clock: Clock, step: string): ReturnType<typeof createError> {
  if (context.deadline !== undefined && clock.now() >= context.deadline) return deadlineExceeded(step)
  return createError({ code: 'cancelled', message: 'the caller closed its connection', step, status: 499 })
}

const RETRY_AFTER_DEADLINE_MILLISECONDS = 1_000
