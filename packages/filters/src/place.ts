import { withTimeout, type Clock } from '@fuchsiastage/clock'
import { createError } from '@fuchsiastage/errors'
import type { Milliseconds } from '@fuchsiastage/types'
import { type Filter, type PlacementView, type RequestContext, timeLeft } from './context.js'
import { endedBeforeSend } from './deadline.js'

export interface PlaceOptions {
  readonly clock: Clock
  readonly placement: PlacementView
  /** Maximum number of requests that may wait for cold starts at this daemon at the same time. */
  readonly maximumWaiting: number
  /** Interval at which a waiting request repeats its replica request, in case the placement leader has changed. */
  readonly requestIntervalMilliseconds: Milliseconds
}

/**
 * Waits until a replica of the model is loaded, and refuses the request if the cold start would exceed
 * its deadline. It must run before admission, so that requests that wait for a cold start do not
 * occupy the capacity of the admission queue.
 *
 * @example
 * const filter = createPlaceFilter({ clock, placement, maximumWaiting: 2000, requestIntervalMilliseconds: 2000 })
 */
export function createPlaceFilter (options: PlaceOptions): Filter {
  const { clock, placement } = options
  let waiting = 0

  const waitForReplica = async (context: RequestContext, model: string): Promise<ReturnType<typeof createError> | undefined> => {
    while (!placement.hasReplica(model)) {
      if (context.signal.aborted) return endedBeforeSend(context, clock, 'place')
      const remainingMilliseconds = timeLeft(context, clock)
      const priority = context.caller?.priority ?? 'normal'
      const expectation = await placement.wantReplica({ model, deadlineMilliseconds: remainingMilliseconds, priority, request: context.id }, context.signal)
      if (expectation.kind === 'refused') return expectation.error
      if (expectation.readyInMilliseconds > timeLeft(context, clock)) return coldStartTooSlow(model, expectation.readyInMilliseconds)
      await withTimeout(clock, options.requestIntervalMilliseconds, [context.signal], (signal) => placement.waitForReplica(model, signal))
    }
    return undefined
  }

  return async (context, next) => {
    if (context.route?.kind !== 'completion') return await next(context)
    const { model } = context.route
    placement.recordUse(model, 'begin')
    try {
      if (!placement.hasReplica(model)) {
        if (waiting >= options.maximumWaiting) return { kind: 'problem', error: tooManyWaiting(options.requestIntervalMilliseconds) }
        waiting++
        context.logger.info('waiting until a replica is loaded', { event: 'request-waiting', model })
        const failure = await waitForReplica(context, model).finally(() => { waiting-- })
        if (failure !== undefined) return { kind: 'problem', error: failure }
        for (const orderId of placement.ordersOf(model)) context.logger.info('replica is loaded; continuing the request', { event: 'replica-ready', model, orderId })
      }
      return await next(context)
    } finally {
      placement.recordUse(model, 'end')
    }
  }
}

function coldStartTooSlow (model: string, readyInMilliseconds: Milliseconds): ReturnType<typeof createError> {
  return createError({
    code: 'cold-start-too-slow',
    message: `a replica of ${model} is expected in ${Math.ceil(readyInMilliseconds)} ms, after the deadline`,
    step: 'place',
    status: 503,
    retryAfterMilliseconds: readyInMilliseconds
  })
}

function tooManyWaiting (retryAfterMilliseconds: Milliseconds): ReturnType<typeof createError> {
  return createError({ code: 'too-many-waiting', message: 'too many requests are waiting for cold starts at this daemon', step: 'place', status: 503, retryAfterMilliseconds })
}
