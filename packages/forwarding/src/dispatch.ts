import type { RetryBudget } from '@fuchsiastage/admission'
import type { KnownTarget, ServingRoute } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'
import { NO_TARGET_RETRY_MILLISECONDS, refuse, type DispatchProgress } from './dispatch-progress.js'
import type { ForwardFilter } from './filters.js'
import { type ForwardContext, type ForwardOutcome, type ModelDemand, type SendRecord } from './request.js'
import { createTargetSearch, type TargetSearchOptions } from './target-search.js'
import { createTargetSends, type TargetSendsOptions } from './target-sends.js'

export interface DispatchOptions extends Omit<TargetSearchOptions, 'weight'>, TargetSendsOptions {
  readonly retries: RetryBudget
  /** Called once for each request for a model, before the first send. */
  readonly onDemand: (demand: ModelDemand) => void
}

/** Delay before a request is sent again to the only candidate target, when it has refused the request without running it. */
const RESEND_DELAY_MILLISECONDS = 60
/**
 * Number of engines whose connection may be lost before they have sent any of the response. After more,
 * the prompt itself may be the cause, and would take down further engines.
 */
const MAXIMUM_LOST_BEGINNINGS = 2
/** Maximum number of sends of one request, including refused ones. */
const MAXIMUM_SENDS = 4
/** The address belongs to another target, or the target has not loaded the model. */
const STATUS_MISDIRECTED = 421

/**
 * Creates the last filter of the chain. It finds a target, sends the request and handles failures. A
 * request that a target may have run is sent again only if its route allows it.
 *
 * @example
 * const handle = composeChain([routeFilter, deadlineFilter, createDispatchFilter(options)], onFailure)
 */
export function createDispatchFilter (options: DispatchOptions): ForwardFilter {
  const { clock, directory, quarantine, retries } = options
  const sends = createTargetSends(options)
  const search = createTargetSearch({ ...options, weight: sends.weight })

  const recordSend = (context: ForwardContext, target: KnownTarget, loadAge: Milliseconds | undefined, result: SendRecord['result'], reason: string): void => {
    context.trace.sends.push({ target: target.key, result, reason, at: Math.round(clock.now() - context.request.receivedAt), loadAge })
  }

  /** Whether a request that a target may have run is allowed to be sent again. */
  const mayResend = (context: ForwardContext, route: ServingRoute, progress: DispatchProgress): boolean => {
    const { requestKind } = route
    const isResendable = requestKind.kind === 'safe' || (requestKind.kind === 'stream' && requestKind.isResumable)
    return isResendable && progress.mayHaveRun.size < route.maximumTargets && progress.lostBeginnings < MAXIMUM_LOST_BEGINNINGS && !context.signal.aborted
  }

  const finalOutcome = (context: ForwardContext, progress: DispatchProgress): ForwardOutcome => {
    const { request } = context
    if (request.clientDisconnected.aborted) {
      request.response.destroy()
      return { kind: 'abandoned', reason: 'client-gone' }
    }
    if (request.response.hasBegun()) {
      request.response.destroy()
      return { kind: 'broken', reason: progress.lastReason }
    }
    if (progress.mayHaveRun.size === 0) return refuse(progress, progress.lastReason, NO_TARGET_RETRY_MILLISECONDS)
    return { kind: 'unknown', status: context.signal.aborted ? 504 : 502, reason: progress.lastReason }
  }

  return async (context) => {
    const { request, route, service } = context
    if (route === undefined || service === undefined) throw new Error('the dispatch filter requires a route and a service; add the route filter before it')
    const progress: DispatchProgress = { excluded: new Set(), denied: new Map(), waitedMilliseconds: 0, mayHaveRun: new Set(), isTrial: false, lostBeginnings: 0, lastReason: 'no-target', lastEventId: request.description.lastEventId }
    retries.recordRequest(service.name)
    const { demand } = request.description
    if (demand !== undefined && quarantine.check(context.traits).kind !== 'quarantined') options.onDemand(demand)
    let receivedSends = 0
    for (let attempt = 0; attempt < MAXIMUM_SENDS && !context.signal.aborted; attempt++) {
      const found = await search.find(context, route, service, progress)
      if (context.signal.aborted) break
      if ('kind' in found) {
        if (found.kind === 'refused') progress.lastReason = found.reason
        return progress.mayHaveRun.size === 0 && !request.response.hasBegun() ? found : finalOutcome(context, progress)
      }
      if (receivedSends > 0 && !retries.tryRetry(service.name)) {
        progress.lastReason = `${progress.lastReason}, retry-budget-spent`
        break
      }
      const loadAge = found.loadMeasuredAt === undefined ? undefined : Math.round(clock.now() - found.loadMeasuredAt)
      const outcome = await sends.send(context, route, found, progress.lastEventId)
      switch (outcome.kind) {
        case 'complete':
          recordSend(context, found, loadAge, 'answered', String(outcome.status))
          return { kind: 'delivered', status: outcome.status }
        case 'client-gone':
          recordSend(context, found, loadAge, 'cancelled', 'client-gone')
          return { kind: 'abandoned', reason: 'client-gone' }
        case 'not-sent':
          recordSend(context, found, loadAge, 'not-sent', outcome.reason)
          progress.lastReason = 'target-unreachable'
          progress.excluded.add(found.key)
          break
        case 'not-executed':
          receivedSends++
          recordSend(context, found, loadAge, 'not-executed', `${outcome.status}`)
          progress.lastReason = `target-refused-${outcome.status}`
          if (outcome.status === STATUS_MISDIRECTED) {
            if (outcome.targetId !== undefined && outcome.targetId !== found.entry.id) directory.markMisplaced(found.key)
            else directory.recordMissingModel(found.key, request.description.demand?.model, request.description.demand?.adapter)
            progress.excluded.add(found.key)
            break
          }
          // The search chooses a target that asked for a pause only if the pause ends in time and there is no other one.
          if (options.targetPauses.remaining(found.key) > 0) break
          if (service.engine !== undefined || search.hasAlternative(context, service, progress, found.key)) progress.excluded.add(found.key)
          else await clock.sleep(RESEND_DELAY_MILLISECONDS, context.signal)
          break
        case 'server-error':
        case 'failed':
        case 'broken':
          receivedSends++
          progress.isTrial = false
          progress.mayHaveRun.add(found.key)
          progress.excluded.add(found.key)
          recordSend(context, found, loadAge, outcome.kind === 'broken' ? 'broken' : 'failed', outcome.reason)
          progress.lastReason = outcome.reason
          if (service.engine !== undefined && outcome.kind === 'failed' && outcome.failure.kind === 'connection-lost') progress.lostBeginnings++
          if (outcome.kind === 'broken') progress.lastEventId = outcome.lastEventId ?? progress.lastEventId
          if (!mayResend(context, route, progress)) {
            if (outcome.kind === 'server-error' && !request.response.hasBegun() && !context.signal.aborted) return outcome.deliver()
            return finalOutcome(context, progress)
          }
          break
      }
    }
    return finalOutcome(context, progress)
  }
}
