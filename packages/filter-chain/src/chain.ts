import { toFuchsiastageError, type FuchsiastageError } from '@fuchsiastage/errors'

export type NextFilter<Context, Answer> = (context: Context) => Promise<Answer>

/** Answers the request itself, or passes it on and may change the answer. */
export type ChainFilter<Context, Answer> = (context: Context, next: NextFilter<Context, Answer>) => Promise<Answer>

/**
 * Composes filters into one function. Each filter decides whether the next one runs; an exception
 * becomes the answer that `onFailure` makes of it.
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
    if (filter === undefined) throw new Error('the last filter must answer the request')
    return await filter(context, (nextContext) => runFrom(index + 1, nextContext))
  }
  return async (context) => {
    try {
      return await runFrom(0, context)
    } catch (reason) {
      // An unexpected exception says nothing about whether a target has run the request.
      return onFailure(toFuchsiastageError(reason, { code: 'internal', step: 'filter-chain', outcome: 'unknown', status: 500 }), context)
    }
  }
}
