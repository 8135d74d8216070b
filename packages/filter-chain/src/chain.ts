import { toFuchsiastageError, type FuchsiastageError } from '@fuchsiastage/errors'

export type NextFilter<Context, Answer> = (context: Context) => Promise<Answer>

/** Returns an answer of its own, or calls the next filter and may change the answer that it returns. */
export type ChainFilter<Context, Answer> = (context: Context, next: NextFilter<Context, Answer>) => Promise<Answer>

/**
 * Composes filters into one function. Each filter decides whether the next one runs. When a filter
 * throws, `onFailure` converts the error into the answer.
 *
 * @example
 * const handle = composeChain([identify, parse, dispatch], (error) => ({ kind: 'problem', error }))
 */
export function composeChain<Context, Answer> (
  filters: ReadonlyArray<ChainFilter<Context, Answer>>,
  onFailure: (error: FuchsiastageError, context: Context) => Answer
): (context: Context) => Promise<Answer> {
  const runFrom = async (index: number, context: Context): Promise<Answer> => {
    const filter = filters[index]
    if (filter === undefined) throw new Error('the last filter called the next one; it must return an answer itself')
    return await filter(context, (nextContext) => runFrom(index + 1, nextContext))
  }
  return async (context) => {
    try {
      return await runFrom(0, context)
    } catch (reason) {
      // A filter may throw after a target has run the request, so the outcome is unknown.
      return onFailure(toFuchsiastageError(reason, { code: 'internal', step: 'filter-chain', outcome: 'unknown', status: 500 }), context)
    }
  }
}
