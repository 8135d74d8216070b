import { composeChain } from '@fuchsiastage/filter-chain'
import type { Answer, Filter, RequestContext } from './context.js'

/**
 * Composes filters into one function. Each filter decides whether the next one runs. An error that a filter throws becomes a problem answer.
 *
 * @example
 * const handle = composeFilters([identify, parse, dispatch])
 */
export function composeFilters (filters: readonly Filter[]): (context: RequestContext) => Promise<Answer> {
  return composeChain<RequestContext, Answer>(filters, (error, context) => {
    context.logger.error('a filter threw an unexpected error', { event: 'request-failed', reason: error.message })
    return { kind: 'problem', error }
  })
}
