import type { CallerLimits } from '@fuchsiastage/admission'
import type { Filter } from './context.js'

/**
 * Enforces the concurrency limit and the rate limit of each caller.
 *
 * @example
 * const filter = createLimitFilter(callerLimits)
 */
export function createLimitFilter (limits: CallerLimits): Filter {
  return async (context, next) => {
    if (context.caller === undefined) throw new Error('the limit filter requires a caller; add the identify filter before it')
    const permit = limits.acquire(context.caller.name, context.caller)
    if (permit.isErr) return { kind: 'problem', error: permit.error }
    try {
      return await next(context)
    } finally {
      permit.value.release()
    }
  }
}
