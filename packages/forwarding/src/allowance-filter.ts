import type { Clock } from '@fuchsiastage/clock'
import type { AllowanceClient } from '@fuchsiastage/customer-allowances'
import type { CustomerAllowance } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'
import type { ForwardFilter } from './filters.js'
import { priorityOf, timeLeft, type ForwardContext, type ForwardOutcome, type RequestDescription } from './request.js'

/** Part of the time left that a request may wait for its allowance; it needs the rest at a target. */
const WAIT_SHARE = 0.5

/**
 * Charges each request to the allowance of its customer. A request over the allowance is refused at once, with
 * the time until there is room. The cost is returned if the request has reached no target. A request that a
 * peer has handed over was charged there.
 *
 * @example
 * const filter = createAllowanceFilter(clock, allowances)
 */
export function createAllowanceFilter (clock: Clock, allowances: Pick<AllowanceClient, 'acquire' | 'refund'> | undefined): ForwardFilter {
  return async (context, next) => {
    const { customer, request, signal, trace } = context
    if (allowances === undefined || customer?.allowance === undefined || request.handover !== undefined) return await next(context)
    const cost = costOf(customer.allowance, request.description)
    const decision = await allowances.acquire(customer, cost, longestWait(context, clock), signal)
    switch (decision.kind) {
      case 'denied':
        return { kind: 'limited', reason: 'allowance-exceeded', retryAfterMilliseconds: decision.retryAfterMilliseconds }
      case 'unavailable':
        return { kind: 'refused', reason: 'allowance-unavailable', retryAfterMilliseconds: decision.retryAfterMilliseconds }
      case 'granted': {
        if (decision.waitMilliseconds > 0) {
          trace.allowanceWait = Math.round(decision.waitMilliseconds)
          await clock.sleep(decision.waitMilliseconds, signal)
        }
        const outcome = await next(context)
        if (hasReachedNoTarget(outcome, context)) allowances.refund(customer, cost)
        return outcome
      }
    }
  }
}

function costOf ({ unit, plainTokens }: CustomerAllowance, { tokens }: Pick<RequestDescription, 'tokens'>): number {
  switch (unit) {
    case 'requests':
      return 1
    case 'tokens':
      return tokens ?? plainTokens
  }
}

/** The more urgent a request is, the longer it may wait for room that others would take. */
function longestWait (context: ForwardContext, clock: Clock): Milliseconds {
  const { route } = context
  const objective = route === undefined ? Infinity : route.objectiveMilliseconds / (1 + priorityOf(context, route))
  return Math.max(0, Math.min(objective, WAIT_SHARE * timeLeft(context, clock)))
}

function hasReachedNoTarget ({ kind }: ForwardOutcome, { trace }: ForwardContext): boolean {
  switch (kind) {
    case 'refused':
    case 'rejected':
    case 'limited':
      return true
    case 'abandoned':
    case 'unknown':
      return trace.sends.every(({ result }) => result === 'not-sent') && trace.handovers.every(({ result }) => result === 'declined')
    case 'delivered':
    case 'broken':
      return false
  }
}
