import { requestFingerprint, type ClaimClient, type StoredAnswer } from '@fuchsiastage/claims'
import type { Clock } from '@fuchsiastage/clock'
import { createError } from '@fuchsiastage/errors'
import { assertNever, type RequestOutcome } from '@fuchsiastage/types'
import { timeLeft, type Answer, type Filter } from './context.js'

/** Response headers of a service that are stored with the answer and returned when it is replayed. */
const REPLAYED_ANSWER_HEADERS = ['content-type', 'location', 'etag']

/** Response header that marks a replayed answer. */
export const REPLAYED_HEADER = 'idempotent-replayed'

/**
 * Requires a granted claim for each call that must not be repeated, and settles the claim with the
 * outcome of the call.
 *
 * @example
 * const filter = createClaimFilter(claimClient, clock)
 */
export function createClaimFilter (claims: ClaimClient, clock: Clock): Filter {
  return async (context, next) => {
    const { route, caller } = context
    if (route?.kind !== 'service' || route.idempotencyKey === undefined || caller === undefined) return await next(context)
    const fingerprint = requestFingerprint(context.incoming.method, `${route.service}${route.path}`, route.body)
    const claimed = await claims.claim({ caller: caller.name, key: route.idempotencyKey, fingerprint, waitMilliseconds: timeLeft(context, clock) }, context.signal)
    switch (claimed.kind) {
      case 'granted': {
        context.logger.info('claim granted', { event: 'claim-granted', claimId: claimed.claimId })
        const answer = await next({ ...context, claimId: claimed.claimId })
        const settlement = settlementOf(answer)
        // The caller does not wait for the settlement; the claim client retries it until it is confirmed.
        void claims.settle(claimed.claimId, settlement.outcome, settlement.storedAnswer)
        context.logger.info('settling the claim with the outcome of the call', { event: 'claim-settled', claimId: claimed.claimId, outcome: settlement.outcome })
        return answer
      }
      case 'replay':
        context.logger.info('returned the stored answer of an earlier call with the same idempotency key', { event: 'claim-replayed' })
        return replay(claimed.answer)
      case 'already-done':
      case 'mismatch':
      case 'unknown':
      case 'refused':
        return { kind: 'problem', error: claimed.error }
      default:
        return assertNever(claimed)
    }
  }
}

function replay (answer: StoredAnswer): Answer {
  return { kind: 'plain', status: answer.status, headers: { ...answer.headers, [REPLAYED_HEADER]: 'true' }, body: Buffer.from(answer.body, 'base64') }
}

function settlementOf (answer: Answer): { readonly outcome: RequestOutcome, readonly storedAnswer?: StoredAnswer } {
  switch (answer.kind) {
    case 'plain': {
      const headers: Record<string, string> = {}
      for (const name of REPLAYED_ANSWER_HEADERS) {
        const value = answer.headers[name]
        if (value !== undefined) headers[name] = value
      }
      return { outcome: 'done', storedAnswer: { status: answer.status, headers, body: answer.body.toString('base64') } }
    }
    case 'problem':
      return { outcome: answer.error.outcome }
    case 'streamed':
      throw new Error(createError({ code: 'internal', message: 'a claimed call cannot be streamed', step: 'claim' }).message)
    default:
      return assertNever(answer)
  }
}
