import { fromUnknown } from '@fuchsiastage/errors'
import type { Answer, Filter, RequestContext } from './context.js'

/**
 * Composes filters into one function. Each filter decides whether the next one runs.
 *
 * @example
 * const handle = composeFilters([identify, parse, dispatch])
 */
export function composeFilters (filters: readonly Filter[]): (context: RequestContext) => Promise<Answer> {
  const runFrom = async (index: number, context: RequestContext): Promise<Answer> => {
    const filter = filters[index]
    if (filter === undefined) throw new Error('the last filter must answer the request')
    return await filter(context, (nextContext) => runFrom(index + 1, nextContext))
  }
  return async (context) => {
    try {
      return await runFrom(0, context)
    } catch (reason) {
      // An unexpected exception says nothing about whether a target has run the request.
      const error = fromUnknown(reason, { code: 'internal', step: 'filter-chain', outcome: 'unknown', status: 500 })
      context.logger.error('unexpected failure in the filter chain', { event: 'request-failed', reason: error.message })
      return { kind: 'problem', error }
    }
  }
}
