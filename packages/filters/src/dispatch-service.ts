import { createError } from '@fuchsiastage/errors'
import { assertNever } from '@fuchsiastage/types'
import { routeKeyOf, timeLeft, type Answer, type RequestContext, type ServiceRoute } from './context.js'
import { mayHaveRunError, notRunError, relayedHeaders, withEarlierAttempts, type Attempts, type DispatchOptions } from './dispatch.js'

/** Request headers of the caller that are forwarded to a plain service. */
const FORWARDED_HEADERS = ['content-type', 'accept', 'accept-language', 'if-match', 'if-none-match']

/** Sends a call to a plain service. A call that may have run is retried only if it is idempotent. */
export async function dispatchService (options: DispatchOptions, context: RequestContext, route: ServiceRoute, attempts: Attempts): Promise<Answer> {
  const { clock, services } = options
  let hasUnknownAttempt = false
  const refuse = (error: ReturnType<typeof createError>): Answer => ({ kind: 'problem', error: withEarlierAttempts(error, hasUnknownAttempt) })
  for (;;) {
    const decision = attempts.next()
    if (decision.isErr) return refuse(decision.error)
    const { name, address } = decision.value.target
    const sentAt = clock.now()
    const outcome = await services.call(address, {
      requestId: context.id,
      method: context.incoming.method,
      path: route.path,
      headers: forwardedHeaders(context),
      body: route.body,
      idempotencyKey: route.idempotencyKey,
      timeoutMilliseconds: Math.max(1, timeLeft(context, clock))
    }, context.signal)
    switch (outcome.kind) {
      case 'answered':
        attempts.end(name, { kind: 'success', key: routeKeyOf(route), firstByteMilliseconds: clock.now() - sentAt })
        return { kind: 'plain', status: outcome.status, headers: relayedHeaders(outcome.headers), body: outcome.body }
      case 'not-sent':
        attempts.end(name, { kind: 'failure' })
        if (!await attempts.mayRetry()) return refuse(notRunError('target-unreachable', outcome.reason, name))
        break
      case 'refused':
        attempts.end(name, { kind: 'refused', code: outcome.code })
        if (outcome.code === 'leaving') options.onTargetDraining(name)
        if (!await attempts.mayRetry()) return refuse(notRunError(`target-${outcome.code}`, `the target refused the request: ${outcome.code}`, name, outcome.retryAfterMilliseconds))
        break
      case 'unknown':
        attempts.end(name, context.signal.aborted ? { kind: 'cancelled' } : { kind: 'failure' })
        hasUnknownAttempt = true
        if (route.idempotencyKey !== undefined || !await attempts.mayRetry()) return { kind: 'problem', error: unknownOutcomeError(context, outcome.reason, name) }
        break
      default:
        assertNever(outcome)
    }
  }
}

function unknownOutcomeError (context: RequestContext, reason: string, peer: string): ReturnType<typeof createError> {
  if (!context.signal.aborted) return mayHaveRunError(reason, peer)
  return createError({ code: 'deadline-exceeded', message: 'the target did not respond before the deadline', step: 'dispatch', peer, outcome: 'unknown', status: 504 })
}

function forwardedHeaders (context: RequestContext): Readonly<Record<string, string | readonly string[]>> {
  const forwarded: Record<string, string | readonly string[]> = {}
  for (const name of FORWARDED_HEADERS) {
    const value = context.incoming.headers[name]
    if (value !== undefined) forwarded[name] = value
  }
  return forwarded
}
