import type { CallerLimits } from '@fuchsiastage/admission'
import type { Filter } from './context.js'

/**
 * Holds a caller to its concurrency and its rate.
 *
 * @example
 * const filter = createLimitFilter(callerLimits)
 */
export function createLimitFilter (limits: CallerLimits): Filter {
  return async (context, next) => {
    if (context.caller === undefined) throw new Error('limit needs a caller')
    const permit = limits.acquire(context.caller.name, context.caller)
    if (permit.isErr) return { kind: 'problem', error: permit.error }
    try {
      return await next(context)
    } finally {
      permit.value.release()
    }
  }
}
