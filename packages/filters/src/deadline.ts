import { withTimeout, type Clock } from '@fuchsiastage/clock'
import { createError } from '@fuchsiastage/errors'
import type { Filter, RequestContext } from './context.js'

const HEADER = 'x-deadline-milliseconds'

/**
 * Fixes the request's deadline from its header, bounded by the caller's rule, and makes the
 * request's signal abort when the deadline passes.
 *
 * @example
 * const filter = createDeadlineFilter(clock)
 */
export function createDeadlineFilter (clock: Clock): Filter {
  return async (context, next) => {
    const allowed = context.caller?.deadlineMilliseconds ?? 0
    const header = context.incoming.headers[HEADER]
    const asked = header === undefined ? allowed : Number(header)
    if (!Number.isFinite(asked)) {
      return { kind: 'problem', error: createError({ code: 'deadline-invalid', message: `${HEADER} is not a number of milliseconds: ${String(header)}`, step: 'deadline', status: 400 }) }
    }
    const deadline = context.receivedAt + Math.min(asked, allowed)
    const left = deadline - clock.now()
    if (left <= 0) return { kind: 'problem', error: deadlineExceeded('deadline') }
    return await withTimeout(clock, left, [context.signal], (signal) => next({ ...context, deadline, signal }))
  }
}

/** The error of a request whose time is over before any byte was sent to a target. */
export function deadlineExceeded (step: string, peer?: string): ReturnType<typeof createError> {
  return createError({ code: 'deadline-exceeded', message: 'no time is left until the deadline', step, peer, status: 504, retryAfterMilliseconds: RETRY_AFTER_DEADLINE_MILLISECONDS })
}

/** The error of a request that ended without an answer before any byte was sent. */
export function endedBeforeSend (context: RequestContext, clock: Clock, step: string): ReturnType<typeof createError> {
  if (context.deadline !== undefined && clock.now() >= context.deadline) return deadlineExceeded(step)
  return createError({ code: 'cancelled', message: 'the caller closed its connection', step, status: 499 })
}

const RETRY_AFTER_DEADLINE_MILLISECONDS = 1_000
