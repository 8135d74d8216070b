import type { RetryBudget } from '@fuchsiastage/admission'
import { linkSignals } from '@fuchsiastage/clock'
import type { KnownTarget, ServingRoute, ServingService } from '@fuchsiastage/fleet'
import type { OriginAnswer, StreamOrigins } from '@fuchsiastage/stream-origins'
import type { Milliseconds } from '@fuchsiastage/types'
import type { ConfigurationState } from './configuration-state.js'
import { createCustomerRecheck, withKeyHidden } from './customer-filter.js'
import { beginProgress, NO_TARGET_RETRY_MILLISECONDS, refuse, requireVersion, type DispatchProgress } from './dispatch-progress.js'
import type { DaemonStop } from './daemon-stop.js'
import type { ForwardFilter } from './filters.js'
import { createPeerSends, type PeerSendsOptions } from './peer-sends.js'
import { timeLeft, type ForwardContext, type ForwardOutcome, type ModelDemand, type SendRecord } from './request.js'
import { resumptionOf } from './resumed-streams.js'
import { createTargetSearch, type TargetSearchOptions } from './target-search.js'
import { createTargetSends, type TargetSendsOptions } from './target-sends.js'

export interface DispatchOptions extends Omit<TargetSearchOptions, 'weight'>, TargetSendsOptions, PeerSendsOptions, ConfigurationState {
  readonly streamOrigins: Pick<StreamOrigins, 'begin' | 'find'>
  /** Decides which requests are refused because the daemon stops. */
  readonly stop: Pick<DaemonStop, 'isTooLate' | 'hasEnded' | 'retryDelay' | 'watch'>
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

/** A request with its route and its service. */
interface Dispatched {
  readonly context: ForwardContext
  readonly route: ServingRoute
  readonly service: ServingService
  readonly progress: DispatchProgress
}

/**
 * Creates the last filter of the chain. It finds a target, sends the request and handles failures. A
 * request that a target may have run is sent again only if its route allows it. A request whose targets
 * this daemon cannot connect to is handed over to a peer.
 *
 * @example
 * const handle = composeChain([routeFilter, deadlineFilter, createDispatchFilter(options)], onFailure)
 */
export function createDispatchFilter (options: DispatchOptions): ForwardFilter {
  const { clock, directory, quarantine, reachability, retries } = options
  const sends = createTargetSends(options)
  const search = createTargetSearch({ ...options, weight: sends.weight })
  const sendThroughPeer = createPeerSends(options)
  const recheckCustomer = createCustomerRecheck(options)

  const recordSend = (context: ForwardContext, target: KnownTarget, loadAge: Milliseconds | undefined, result: SendRecord['result'], reason: string): void => {
    context.trace.sends.push({ target: target.key, result, reason, at: Math.round(clock.now() - context.request.receivedAt), loadAge })
  }

  /** Whether a request that a target may have run is allowed to be sent again. */
  const mayResend = ({ context, route, progress }: Dispatched): boolean =>
    isResendable(route) && progress.requiredVersion.kind !== 'unknown' && progress.mayHaveRun.size < route.maximumTargets && progress.lostBeginnings < MAXIMUM_LOST_BEGINNINGS && !context.signal.aborted

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
    const hasEnded = options.stop.hasEnded()
    if (progress.mayHaveRun.size === 0) return hasEnded ? refuse(progress, 'daemon-stopping', options.stop.retryDelay()) : refuse(progress, progress.lastReason, NO_TARGET_RETRY_MILLISECONDS)
    return { kind: 'unknown', status: context.signal.aborted && !hasEnded ? 504 : 502, reason: progress.lastReason }
  }

  /** Ends a request that gets no response of a target, unless one may have run it or has already begun to respond. */
  const settle = ({ context, progress }: Dispatched, outcome: ForwardOutcome): ForwardOutcome => {
    if (outcome.kind === 'refused') progress.lastReason = outcome.reason
    return progress.mayHaveRun.size === 0 && !context.request.response.hasBegun() ? outcome : finalOutcome(context, progress)
  }

  /** Counts a request for the retry budget and as demand at the daemon that sends it to the targets. */
  const count = ({ context, service, progress }: Dispatched): void => {
    if (progress.isCounted) return
    progress.isCounted = true
    retries.recordRequest(service.name)
    const { demand } = context.request.description
    if (demand !== undefined && quarantine.check(context.traits).kind !== 'quarantined') options.onDemand(demand)
  }

  const isWithinRetryBudget = ({ service, progress }: Dispatched): boolean => {
    if (progress.receivedSends === 0 || retries.tryRetry(service.name)) return true
    progress.lastReason = `${progress.lastReason}, retry-budget-spent`
    return false
  }

  /** Ends a request at once that no daemon known to this one can send. The probes of targets notice when connections succeed again. */
  const refuseUnreachable = (dispatched: Dispatched): ForwardOutcome => settle(dispatched, refuse(dispatched.progress, 'targets-unreachable', NO_TARGET_RETRY_MILLISECONDS))

  /** Hands the request over to a peer. Returns its outcome, or undefined if it may be sent again. A request that a peer has handed over is never handed on. */
  const dispatchThroughPeer = async (dispatched: Dispatched): Promise<ForwardOutcome | undefined> => {
    const { context, route, progress } = dispatched
    if (context.request.handover !== undefined) return refuseUnreachable(dispatched)
    const sent = await sendThroughPeer(context, route, progress)
    switch (sent.kind) {
      case 'relayed':
        return sent.outcome
      case 'ended':
        return settle(dispatched, sent.outcome)
      case 'declined':
        return reachability.isCutOff() ? refuseUnreachable(dispatched) : undefined
      case 'lost':
        progress.receivedSends++
        progress.lastReason = sent.reason
        progress.lastEventId = sent.lastEventId
        return mayResend(dispatched) ? undefined : finalOutcome(context, progress)
    }
  }

  /** Sends the request to a target. Returns its outcome, or undefined if it may be sent again. */
  const dispatchToTarget = async (dispatched: Dispatched, found: KnownTarget): Promise<ForwardOutcome | undefined> => {
    const { context, route, service, progress } = dispatched
    const { request } = context
    const loadAge = found.loadMeasuredAt === undefined ? undefined : Math.round(clock.now() - found.loadMeasuredAt)
    const isMovable = isResendable(route) && progress.mayHaveRun.size + 1 < route.maximumTargets
    const outcome = await sends.send(context, route, found, progress.lastEventId, isMovable)
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
        // Without another target, a placement would be requested, which a daemon that is cut off does not need.
        if (!search.hasAlternative(context, service, progress, found.key)) await options.probes.verify()
        return undefined
      case 'not-executed':
        progress.receivedSends++
        recordSend(context, found, loadAge, 'not-executed', `${outcome.status}`)
        progress.lastReason = `target-refused-${outcome.status}`
        if (outcome.status === STATUS_MISDIRECTED) {
          if (outcome.targetId !== undefined && outcome.targetId !== found.entry.id) directory.markMisplaced(found.key)
          else directory.recordMissingModel(found.key, request.description.demand?.model, request.description.demand?.adapter)
          progress.excluded.add(found.key)
          return undefined
        }
        // The search chooses a target that asked for a pause only if the pause ends in time and there is no other one.
        if (options.targetPauses.remaining(found.key) > 0) return undefined
        if (service.engine !== undefined || search.hasAlternative(context, service, progress, found.key)) progress.excluded.add(found.key)
        else await clock.sleep(RESEND_DELAY_MILLISECONDS, context.signal)
        return undefined
      case 'server-error':
      case 'failed':
      case 'broken':
        progress.receivedSends++
        progress.isTrial = false
        progress.mayHaveRun.add(found.key)
        progress.excluded.add(found.key)
        recordSend(context, found, loadAge, outcome.kind === 'broken' ? 'broken' : 'failed', outcome.reason)
        progress.lastReason = outcome.reason
        if (service.engine !== undefined && outcome.kind === 'failed' && outcome.failure.kind === 'connection-lost' && !reachability.isCutOff()) progress.lostBeginnings++
        if (outcome.kind === 'broken') {
          progress.lastEventId = outcome.lastEventId ?? progress.lastEventId
          if (!outcome.canContinue) progress.requiredVersion = { kind: 'unknown' }
          else if (progress.requiredVersion.kind === 'any') progress.requiredVersion = requireVersion(versionThatBegan(found))
        }
        if (mayResend(dispatched)) return undefined
        if (outcome.kind === 'server-error' && !request.response.hasBegun() && !context.signal.aborted) return outcome.deliver()
        return finalOutcome(context, progress)
    }
  }

  /**
   * Software version of the target that has sent the first events of a stream. If the target has restarted,
   * the stream may have been sent by either incarnation, so both must have the same version.
   */
  const versionThatBegan = ({ entry }: KnownTarget): string | undefined => {
    const present = directory.all().find((target) => target.entry.id === entry.id)?.entry ?? entry
    return present.softwareVersion === entry.softwareVersion ? entry.softwareVersion : undefined
  }

  /** Finds out which software version must send the rest of a stream that a client takes up. Returns the outcome of the request if that is not known. */
  const requireOrigin = async ({ context, service, progress }: Dispatched): Promise<ForwardOutcome | undefined> => {
    const resumption = resumptionOf(context, service, progress)
    if (resumption === undefined) return undefined
    const origin = await options.streamOrigins.find(resumption, context.signal)
    switch (origin.kind) {
      case 'known':
        progress.requiredVersion = { kind: 'exactly', softwareVersion: origin.softwareVersion }
        return undefined
      case 'unknown':
        progress.requiredVersion = { kind: 'unknown' }
        return refuse(progress, `stream-origin-${origin.reason}`, retryDelayFor(origin.reason, timeLeft(context, clock)))
    }
  }

  /** Whether the daemon may end before the request has its answer. A stream that has begun goes on at other targets as long as it can. */
  const isTooLate = ({ context }: Dispatched): boolean => !context.request.response.hasBegun() && options.stop.isTooLate(context.deadlineAt ?? Infinity)

  /** Ends a request at once that another daemon can serve. */
  const refuseStopping = (dispatched: Dispatched): ForwardOutcome => settle(dispatched, refuse(dispatched.progress, 'daemon-stopping', options.stop.retryDelay()))

  /** Finds a target, unless the daemon stops before there is one. */
  const findTarget = async ({ context, route, service, progress }: Dispatched): Promise<KnownTarget | ForwardOutcome> => {
    const stopping = options.stop.watch(context.deadlineAt ?? Infinity)
    const waiting = linkSignals([context.signal, stopping.signal])
    try {
      const found = await search.find({ ...context, signal: waiting.signal }, route, service, progress)
      return stopping.signal.aborted && !context.signal.aborted ? refuse(progress, 'daemon-stopping', options.stop.retryDelay()) : found
    } finally {
      waiting.release()
      stopping.release()
    }
  }

  /**
   * Checks before a send that the customer may still send the request; returns its outcome if not. A request
   * that a target has begun to run goes on as it was identified.
   */
  const recheck = (dispatched: Dispatched): Dispatched | ForwardOutcome => {
    const { context, route, progress } = dispatched
    if (progress.mayHaveRun.size > 0 || context.request.response.hasBegun()) return { ...dispatched, context: withKeyHidden(context, options.configuration()) }
    const checked = recheckCustomer(context, route)
    return 'kind' in checked ? settle(dispatched, checked) : { ...dispatched, context: checked }
  }

  return async (context) => {
    const { route, service } = context
    if (route === undefined || service === undefined) throw new Error('the dispatch filter requires a route and a service; add the route filter before it')
    let dispatched: Dispatched = { context, route, service, progress: beginProgress(context.request) }
    const { progress } = dispatched
    const refusal = await requireOrigin(dispatched)
    if (refusal !== undefined) return settle(dispatched, refusal)
    for (let attempt = 0; attempt < MAXIMUM_SENDS && !context.signal.aborted; attempt++) {
      if (isTooLate(dispatched)) return refuseStopping(dispatched)
      if (reachability.isCutOff()) {
        if (!isWithinRetryBudget(dispatched)) break
        const checked = recheck(dispatched)
        if ('kind' in checked) return checked
        dispatched = checked
        const outcome = await dispatchThroughPeer(dispatched)
        if (outcome !== undefined) return outcome
        continue
      }
      count(dispatched)
      const found = await findTarget(dispatched)
      if (context.signal.aborted) break
      if ('kind' in found) return settle(dispatched, found)
      if (!isWithinRetryBudget(dispatched)) break
      const checked = recheck(dispatched)
      if ('kind' in checked) return checked
      dispatched = checked
      const outcome = await dispatchToTarget(dispatched, found)
      if (outcome !== undefined) return outcome
    }
    return finalOutcome(context, progress)
  }
}

/** Time after which the origin of a stream may be known. */
function retryDelayFor (reason: Extract<OriginAnswer, { kind: 'unknown' }>['reason'], timeLeftMilliseconds: Milliseconds): Milliseconds {
  switch (reason) {
    // Another daemon may be about to record it, or the log service about to come back.
    case 'not-recorded':
    case 'log-unavailable':
      return NO_TARGET_RETRY_MILLISECONDS
    case 'request-not-named':
    case 'of-another-caller':
      return timeLeftMilliseconds
  }
}

function isResendable ({ requestKind }: ServingRoute): boolean {
  return requestKind.kind === 'safe' || (requestKind.kind === 'stream' && requestKind.isResumable)
}
