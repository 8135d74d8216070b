import type { RetryBudget } from '@fuchsiastage/admission'
import type { Clock } from '@fuchsiastage/clock'
import type { KnownTarget, ServingRoute, ServingService, TargetDirectory, TargetKey } from '@fuchsiastage/fleet'
import type { PromptQuarantine, QuarantineDecision } from '@fuchsiastage/prompt-quarantine'
import type { OutlierDetector } from '@fuchsiastage/routing'
import type { TargetLimits } from '@fuchsiastage/target-limits'
import type { Milliseconds } from '@fuchsiastage/types'
import { chooseTarget, hasLoadedModel } from './choose-target.js'
import { createCrashObserver } from './crash-observer.js'
import type { ForwardFilter } from './filters.js'
import type { InFlightTracker } from './in-flight.js'
import type { AcquirePermit, AcquireTrial, HeaderCodec, RequestPlacement, SendToTarget } from './ports.js'
import type { PrefixTracker } from './prefix-tracker.js'
import type { ProbeTarget } from './probe-target.js'
import { relayAnswer, type RelayOutcome } from './relay.js'
import { sharedPartIds, timeLeft, type ForwardContext, type ForwardOutcome, type ModelDemand, type SendRecord } from './request.js'
import type { OverloadedTargets } from './overloaded-targets.js'
import type { TargetReachability } from './target-reachability.js'

export interface DispatchOptions {
  readonly clock: Clock
  readonly dataCentre: string
  readonly directory: TargetDirectory
  readonly inFlight: InFlightTracker
  readonly prefixes: PrefixTracker
  readonly overloadedTargets: OverloadedTargets
  readonly targetLimits: TargetLimits
  readonly acquirePermit: AcquirePermit
  readonly outliers: OutlierDetector
  readonly reachability: TargetReachability
  readonly quarantine: PromptQuarantine
  readonly acquireTrial: AcquireTrial
  readonly retries: RetryBudget
  readonly codec: HeaderCodec
  readonly send: SendToTarget
  readonly probe: ProbeTarget
  readonly requestPlacement: RequestPlacement
  /** Called once for each request for a model, before the first send. */
  readonly onDemand: (demand: ModelDemand) => void
}

/** Time for which a target receives no requests after a failed connection; it doubles with each further failure. */
const UNREACHABLE_BACKOFF_MILLISECONDS = 1_000
/** Bounds the delay until a target that has become reachable again receives requests. */
const MAXIMUM_UNREACHABLE_BACKOFF_MILLISECONDS = 8_000
/** Retry delay for clients when all targets have refused the request or were unreachable. */
const NO_TARGET_RETRY_MILLISECONDS = 1_000
/** Delay before a request is sent again to the only candidate target, when it has refused the request without running it. */
const RESEND_DELAY_MILLISECONDS = 60
/** Time that a request needs at a target after its wait for a permit. */
const SERVING_MARGIN_MILLISECONDS = 150
/**
 * Number of engines whose connection may be lost before they have sent any of the response. After more,
 * the prompt itself may be the cause, and would take down further engines.
 */
const MAXIMUM_LOST_BEGINNINGS = 2
/** Maximum number of sends of one request, including refused ones. */
const MAXIMUM_SENDS = 4
/**
 * Clients give up on a stream when no event arrives for the longest of three times: a fixed minimum,
 * a multiple of the route's objective, and a multiple of the route's maximum pause.
 */
const MINIMUM_CLIENT_TIMEOUT_MILLISECONDS = 2_000
const CLIENT_TIMEOUT_OBJECTIVE_FACTOR = 4
const CLIENT_TIMEOUT_PAUSE_FACTOR = 8
/** A pause longer than this share of the route's maximum pause marks the target as overloaded: its batch is too slow for more requests. */
const OVERLOADED_PAUSE_SHARE = 0.6
/** An attempt that has not established a connection after this time shows that the target is unreachable, also if it was aborted. It takes a few milliseconds. */
const UNREACHED_AFTER_MILLISECONDS = 200
/** The address belongs to another target, or the target has not loaded the model. */
const STATUS_MISDIRECTED = 421

interface DispatchProgress {
  /** Targets to which this request must not be sent again. */
  readonly excluded: Set<TargetKey>
  /** Targets whose limit leaves no room for this request, with the time until it does. */
  readonly limited: Map<TargetKey, Milliseconds>
  /** Targets that may have run the request. */
  readonly mayHaveRun: Set<TargetKey>
  /** Whether the request is the one of its quarantined prompt parts that is tried. */
  isTrial: boolean
  /** Number of engines whose connection was lost before they had sent any of the response. */
  lostBeginnings: number
  lastReason: string
  /** Identifier of the last event that was relayed to the client; a resumed stream continues after it. */
  lastEventId: string | undefined
}

/**
 * Creates the last filter of the chain. It finds a target, sends the request and handles failures. A
 * request that a target may have run is sent again only if its route allows it.
 *
 * @example
 * const handle = composeChain([routeFilter, deadlineFilter, createDispatchFilter(options)], onFailure)
 */
export function createDispatchFilter (options: DispatchOptions): ForwardFilter {
  const { clock, directory, inFlight, prefixes, overloadedTargets, targetLimits, outliers, quarantine, retries, codec } = options
  const observeSend = createCrashObserver({ clock, directory, quarantine, probe: options.probe })
  const unreachableTargets = new Map<TargetKey, { until: Milliseconds, backoffMilliseconds: Milliseconds }>()

  const recordUnreachable = (key: TargetKey): void => {
    const backoffMilliseconds = Math.min(MAXIMUM_UNREACHABLE_BACKOFF_MILLISECONDS, (unreachableTargets.get(key)?.backoffMilliseconds ?? UNREACHABLE_BACKOFF_MILLISECONDS / 2) * 2)
    unreachableTargets.set(key, { until: clock.now() + backoffMilliseconds, backoffMilliseconds })
  }

  const weight = (key: TargetKey): number => (unreachableTargets.get(key)?.until ?? -Infinity) > clock.now() ? 0 : outliers.weight(key)

  const candidatesFor = (context: ForwardContext, service: ServingService, progress: DispatchProgress): readonly KnownTarget[] => {
    const { demand } = context.request.description
    const requiredModel = service.engine === undefined ? undefined : demand
    return directory.usable(service.name).filter((target) => !progress.excluded.has(target.key) && !progress.limited.has(target.key) && (requiredModel === undefined || hasLoadedModel(target, requiredModel)))
  }

  const findTarget = async (context: ForwardContext, service: ServingService, progress: DispatchProgress): Promise<KnownTarget | ForwardOutcome> => {
    const { description } = context.request
    const choose = (candidates: readonly KnownTarget[]) => chooseTarget({
      service, demand: description.demand, candidates, dataCentre: options.dataCentre, inFlight, prefixes, isOverloaded: overloadedTargets.has, isLimited: targetLimits.isRecentlyStated, weight
    })
    const candidates = candidatesFor(context, service, progress)
    const needsPlacement = service.engine !== undefined && description.demand !== undefined
    // For a request with a model, a placement on another target is preferred over an ejected or unreachable target.
    const healthy = needsPlacement ? candidates.filter(({ key }) => weight(key) > 0) : candidates
    const choice = choose(healthy)
    if (choice !== undefined) return choice.target
    if (!needsPlacement || description.demand === undefined) return refuseWithoutTarget(progress, 'no-target', NO_TARGET_RETRY_MILLISECONDS)
    const answer = await options.requestPlacement({
      service: service.name,
      model: description.demand.model,
      adapter: description.demand.adapter,
      request: description.id,
      priority: context.route?.priority ?? 0,
      remainingMilliseconds: timeUntilClientTimeout(context),
      avoid: [...progress.excluded, ...progress.limited.keys(), ...candidates.map(({ key }) => key)]
    }, context.signal)
    if (answer.kind === 'refused') return choose(candidates)?.target ?? refuseWithoutTarget(progress, answer.reason, answer.retryAfterMilliseconds)
    const placedTarget = directory.find(answer.target)
    if (placedTarget !== undefined && directory.isUsable(answer.target) && !progress.excluded.has(answer.target) && !progress.limited.has(answer.target)) return placedTarget
    return choose(candidatesFor(context, service, progress))?.target ?? refuse(progress, 'placed-target-unusable', NO_TARGET_RETRY_MILLISECONDS)
  }

  /**
   * Finds a target to which the request may be sent now. A target that limits its requests is used only
   * with a permit; without one, the request goes elsewhere.
   */
  const findPermittedTarget = async (context: ForwardContext, route: ServingRoute, service: ServingService, progress: DispatchProgress): Promise<KnownTarget | ForwardOutcome> => {
    for (;;) {
      const found = await findTarget(context, service, progress)
      if ('kind' in found || context.signal.aborted || targetLimits.limitOf(found.key) === undefined) return found
      const hasAlternative = candidatesFor(context, service, progress).length > 1
      const decision = await options.acquirePermit(found.key, hasAlternative ? 0 : maximumPermitWait(context, route), context.signal)
      context.trace.permits.push({ target: found.key, decision, at: Math.round(clock.now() - context.request.receivedAt) })
      if (decision.kind === 'granted') {
        if (decision.waitMilliseconds > 0) await clock.sleep(decision.waitMilliseconds, context.signal)
        if (directory.isUsable(found.key)) return found
        progress.excluded.add(found.key)
      } else {
        progress.limited.set(found.key, decision.retryAfterMilliseconds)
      }
    }
  }

  /** How long a request may wait for its turn at a limited target. Less urgent ones wait for less, so that a queue leaves room for urgent ones. */
  const maximumPermitWait = (context: ForwardContext, route: ServingRoute): Milliseconds =>
    Math.max(0, Math.min(route.objectiveMilliseconds, timeUntilClientTimeout(context) - SERVING_MARGIN_MILLISECONDS) / (1 + route.priority))

  /** Time until the client gives up: at its deadline, or earlier if no event of a stream arrives. A placement must be ready before then. */
  const timeUntilClientTimeout = (context: ForwardContext): Milliseconds => {
    const { route, request } = context
    const remainingMilliseconds = timeLeft(context, clock)
    if (route === undefined || route.requestKind.kind !== 'stream') return remainingMilliseconds
    const clientTimeout = Math.max(
      MINIMUM_CLIENT_TIMEOUT_MILLISECONDS,
      CLIENT_TIMEOUT_OBJECTIVE_FACTOR * route.objectiveMilliseconds,
      CLIENT_TIMEOUT_PAUSE_FACTOR * (route.requestKind.maximumPauseMilliseconds ?? 0)
    )
    return Math.min(remainingMilliseconds, request.receivedAt + clientTimeout - clock.now())
  }

  const sendOnce = async (context: ForwardContext, route: ServingRoute, target: KnownTarget, progress: DispatchProgress): Promise<RelayOutcome> => {
    const { request } = context
    const { demand } = request.description
    const endSend = inFlight.begin(target.key, demand === undefined ? 0 : demand.promptTokens + demand.maximumOutputTokens, demand)
    const startedAt = clock.now()
    const observation = observeSend(target, demand)
    const connection = new AbortController()
    const allowedPause = route.requestKind.kind === 'stream' ? route.requestKind.maximumPauseMilliseconds : undefined
    const onPause = (milliseconds: Milliseconds): void => {
      observation.recordBytes()
      if (allowedPause !== undefined && milliseconds > OVERLOADED_PAUSE_SHARE * allowedPause) overloadedTargets.record(target.key)
    }
    try {
      const answer = await options.send({
        address: target.entry.address,
        method: request.method,
        path: request.path,
        rawHeaders: codec.forwardedHeaders(request.rawHeaders, {
          remainingMilliseconds: Math.max(1, Math.floor(timeLeft(context, clock))),
          targetId: target.entry.id,
          priority: route.priority,
          lastEventId: progress.lastEventId
        }),
        body: request.body,
        signal: AbortSignal.any([context.signal, connection.signal])
      })
      if (answer.kind === 'answer') {
        const { load, requestsPerSecond, hasSeal, requestId, targetId } = codec.describeAnswer(answer.status, answer.rawHeaders)
        const isOfTarget = requestId === request.description.id && (targetId ?? target.entry.id) === target.entry.id
        // Responses to requests that were not executed may have neither a seal nor a limit.
        if (isOfTarget && (hasSeal || requestsPerSecond !== undefined)) targetLimits.recordAnswer(target.key, requestsPerSecond, startedAt)
        if (load !== undefined) {
          directory.applyUpdate({ key: target.key, placement: target.placement, load: { ...load, cacheTokensUsed: target.load?.cacheTokensUsed ?? 0, cacheTokens: target.load?.cacheTokens ?? 0 }, ageMilliseconds: 0 })
        }
      }
      const outcome = await relayAnswer({ clock, answer, codec, request, requestKind: route.requestKind, lastEventId: progress.lastEventId, timing: context.trace.timing, onPause })
      recordHealth(context, route, target, outcome, startedAt)
      observation.end(outcome, context.signal.aborted)
      if (demand !== undefined && outcome.kind === 'complete') prefixes.record(target.key, demand)
      return outcome
    } finally {
      connection.abort()
      endSend()
    }
  }

  const recordHealth = (context: ForwardContext, route: ServingRoute, target: KnownTarget, outcome: RelayOutcome, startedAt: Milliseconds): void => {
    const usableCount = directory.usable(target.entry.service).length
    if (outcome.kind !== 'not-sent') options.reachability.recordReached(startedAt)
    else if (!context.signal.aborted || clock.now() - startedAt >= UNREACHED_AFTER_MILLISECONDS) options.reachability.recordUnreached(target.key, startedAt)
    if (outcome.kind !== 'not-sent') unreachableTargets.delete(target.key)
    switch (outcome.kind) {
      case 'complete':
        outliers.record(target.key, { kind: 'success', firstByteMilliseconds: (outcome.firstByteAt ?? clock.now()) - startedAt, key: route.name }, usableCount)
        return
      case 'not-sent':
        if (!context.signal.aborted) recordUnreachable(target.key)
        return
      case 'failed':
      case 'broken':
      case 'server-error':
        // A client that disconnected is no failure of the target; an exceeded deadline is.
        if (!context.request.clientDisconnected.aborted) outliers.record(target.key, { kind: 'failure' }, usableCount)
        break
      case 'not-executed':
      case 'client-gone':
        break
    }
  }

  const refuseQuarantined = (context: ForwardContext, progress: DispatchProgress, { parts, retryAfterMilliseconds }: Exclude<QuarantineDecision, { kind: 'allowed' }>): ForwardOutcome => {
    context.trace.quarantinedParts = parts
    return refuse(progress, 'prompt-quarantined', retryAfterMilliseconds)
  }

  /** Finds a target for a request, unless its prompt is quarantined on arrival or has become so while the request waited. */
  const findTargetForPrompt = async (context: ForwardContext, route: ServingRoute, service: ServingService, progress: DispatchProgress): Promise<KnownTarget | ForwardOutcome> => {
    if (progress.isTrial) return await findPermittedTarget(context, route, service, progress)
    const parts = sharedPartIds(context.request.description.demand)
    const onArrival = quarantine.check(parts)
    if (onArrival.kind === 'quarantined') return refuseQuarantined(context, progress, onArrival)
    const found = await findPermittedTarget(context, route, service, progress)
    if ('kind' in found) return found
    const decision = quarantine.check(parts)
    switch (decision.kind) {
      case 'allowed':
        return found
      case 'quarantined':
        return refuseQuarantined(context, progress, decision)
      case 'trial':
        progress.isTrial = await options.acquireTrial(parts, context.signal)
        return progress.isTrial ? found : refuseQuarantined(context, progress, decision)
    }
  }

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
    const progress: DispatchProgress = { excluded: new Set(), limited: new Map(), mayHaveRun: new Set(), isTrial: false, lostBeginnings: 0, lastReason: 'no-target', lastEventId: request.description.lastEventId }
    retries.recordRequest(service.name)
    const { demand } = request.description
    if (demand !== undefined && quarantine.check(sharedPartIds(demand)).kind !== 'quarantined') options.onDemand(demand)
    let receivedSends = 0
    for (let sends = 0; sends < MAXIMUM_SENDS && !context.signal.aborted; sends++) {
      const found = await findTargetForPrompt(context, route, service, progress)
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
      const outcome = await sendOnce(context, route, found, progress)
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
          } else if (service.engine !== undefined || candidatesFor(context, service, progress).length > 1) {
            progress.excluded.add(found.key)
          } else {
            await clock.sleep(RESEND_DELAY_MILLISECONDS, context.signal)
          }
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

/** Refuses a request for which there is no target, or none whose limit leaves room for it. */
function refuseWithoutTarget (progress: DispatchProgress, reason: string, retryAfterMilliseconds: Milliseconds): ForwardOutcome {
  if (progress.limited.size === 0) return refuse(progress, reason, retryAfterMilliseconds)
  return refuse(progress, 'target-limit-reached', Math.min(retryAfterMilliseconds, ...progress.limited.values()))
}

function refuse (progress: DispatchProgress, reason: string, retryAfterMilliseconds: Milliseconds): ForwardOutcome {
  // A refusal states that no target has run the request, so it is not used once a target may have run it.
  return progress.mayHaveRun.size === 0 ? { kind: 'refused', reason, retryAfterMilliseconds } : { kind: 'unknown', status: 502, reason }
}
