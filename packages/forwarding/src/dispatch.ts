import type { RetryBudget } from '@fuchsiastage/admission'
import type { Clock } from '@fuchsiastage/clock'
import type { KnownTarget, ServingRoute, ServingService, TargetDirectory, TargetKey } from '@fuchsiastage/fleet'
import type { OutlierDetector } from '@fuchsiastage/routing'
import type { Milliseconds } from '@fuchsiastage/types'
import { chooseTarget, holdsModel } from './choose-target.js'
import type { ForwardFilter } from './filters.js'
import type { InFlight } from './in-flight.js'
import type { HeaderCodec, RequestPlacement, SendToTarget } from './ports.js'
import type { PrefixMemory } from './prefix-memory.js'
import { relayAnswer, type RelayOutcome } from './relay.js'
import { timeLeft, type ForwardContext, type ForwardOutcome, type ModelDemand, type SendNote } from './request.js'
import type { StrainedTargets } from './strained-targets.js'

export interface DispatchOptions {
  readonly clock: Clock
  readonly dataCentre: string
  readonly directory: TargetDirectory
  readonly inFlight: InFlight
  readonly prefixes: PrefixMemory
  readonly strained: StrainedTargets
  readonly outliers: OutlierDetector
  readonly retries: RetryBudget
  readonly codec: HeaderCodec
  readonly send: SendToTarget
  readonly requestPlacement: RequestPlacement
  /** Called once for each request for a model. */
  readonly onDemand: (demand: ModelDemand) => void
}

/** Time for which a target gets nothing after it could not be connected to, doubled at each further time. */
const UNREACHABLE_MILLISECONDS = 1_000
/** Longest time for which a returning target goes unnoticed. */
const MAXIMUM_UNREACHABLE_MILLISECONDS = 8_000
/** When a client may come back after every target has refused or could not be reached. */
const NO_TARGET_RETRY_MILLISECONDS = 1_000
/** A target that refuses while it loads an adapter is asked again after this time. */
const RESEND_MILLISECONDS = 60
/** Most sends of one request, the refused ones included. */
const MAXIMUM_SENDS = 4
/**
 * Clients give a stream up after the longest of these without an event: a fixed time, a multiple of
 * the route's objective, a multiple of its longest pause.
 */
const MINIMUM_PATIENCE_MILLISECONDS = 2_000
const PATIENCE_OBJECTIVES = 4
const PATIENCE_PAUSES = 8
/** A pause of this part of what the route allows already tells of a batch that is too slow for more requests. */
const STRAINED_PAUSE_SHARE = 0.6
/** The target is another one, or does not hold the model. */
const STATUS_MISDIRECTED = 421

interface Progress {
  /** Targets that this request must not be sent to again. */
  readonly excluded: Set<TargetKey>
  /** Targets that may have run the request. */
  readonly ran: Set<TargetKey>
  lastReason: string
  /** The last event that the client has, when the stream is to be continued. */
  lastEventId: string | undefined
}

/**
 * Creates the last filter: it finds a target, sends the request, and decides what may follow when
 * the send fails. Nothing is sent again that may have run, unless its route allows it.
 *
 * @example
 * const handle = composeChain([routeFilter, deadlineFilter, createDispatchFilter(options)], onFailure)
 */
export function createDispatchFilter (options: DispatchOptions): ForwardFilter {
  const { clock, directory, inFlight, prefixes, strained, outliers, retries, codec } = options
  const unreachable = new Map<TargetKey, { until: Milliseconds, span: Milliseconds }>()

  const noteUnreachable = (key: TargetKey): void => {
    const span = Math.min(MAXIMUM_UNREACHABLE_MILLISECONDS, (unreachable.get(key)?.span ?? UNREACHABLE_MILLISECONDS / 2) * 2)
    unreachable.set(key, { until: clock.now() + span, span })
  }

  const weight = (key: TargetKey): number => (unreachable.get(key)?.until ?? -Infinity) > clock.now() ? 0 : outliers.weight(key)

  const candidatesFor = (context: ForwardContext, service: ServingService, progress: Progress): readonly KnownTarget[] => {
    const { demand } = context.request.description
    const needed = service.engine === undefined ? undefined : demand
    return directory.usable(service.name).filter((target) => !progress.excluded.has(target.key) && (needed === undefined || holdsModel(target, needed)))
  }

  const findTarget = async (context: ForwardContext, service: ServingService, progress: Progress): Promise<KnownTarget | ForwardOutcome> => {
    const { description } = context.request
    const choose = (candidates: readonly KnownTarget[]) => chooseTarget({
      service, demand: description.demand, candidates, dataCentre: options.dataCentre, inFlight, prefixes, isStrained: strained.has, weight
    })
    const candidates = candidatesFor(context, service, progress)
    const needsPlacement = service.engine !== undefined && description.demand !== undefined
    // With a model, the last resort of a target that is left out is worse than a placement elsewhere.
    const trusted = needsPlacement ? candidates.filter(({ key }) => weight(key) > 0) : candidates
    const choice = choose(trusted)
    if (choice !== undefined) return choice.target
    if (!needsPlacement || description.demand === undefined) return refuse(progress, 'no-target', NO_TARGET_RETRY_MILLISECONDS)
    const answer = await options.requestPlacement({
      service: service.name,
      model: description.demand.model,
      adapter: description.demand.adapter,
      request: description.id,
      priority: context.route?.priority ?? 0,
      remainingMilliseconds: patienceLeft(context),
      avoid: [...progress.excluded, ...candidates.map(({ key }) => key)]
    }, context.signal)
    if (answer.kind === 'refused') return choose(candidates)?.target ?? refuse(progress, answer.reason, answer.retryAfterMilliseconds)
    const placed = directory.find(answer.target)
    if (placed !== undefined && directory.isUsable(answer.target) && !progress.excluded.has(answer.target)) return placed
    return choose(candidatesFor(context, service, progress))?.target ?? refuse(progress, 'placed-target-unusable', NO_TARGET_RETRY_MILLISECONDS)
  }

  /** Clients of streams leave before their deadline when no event comes; a placement must be there before. */
  const patienceLeft = (context: ForwardContext): Milliseconds => {
    const { route, request } = context
    const left = timeLeft(context, clock)
    if (route === undefined || route.requestKind.kind !== 'stream') return left
    const patience = Math.max(
      MINIMUM_PATIENCE_MILLISECONDS,
      PATIENCE_OBJECTIVES * route.objectiveMilliseconds,
      PATIENCE_PAUSES * (route.requestKind.maximumPauseMilliseconds ?? 0)
    )
    return Math.min(left, request.receivedAt + patience - clock.now())
  }

  const sendOnce = async (context: ForwardContext, route: ServingRoute, target: KnownTarget, progress: Progress): Promise<RelayOutcome> => {
    const { request } = context
    const { demand } = request.description
    const endSend = inFlight.begin(target.key, demand === undefined ? 0 : demand.promptTokens + demand.maximumOutputTokens, demand)
    const startedAt = clock.now()
    const connection = new AbortController()
    const allowedPause = route.requestKind.kind === 'stream' ? route.requestKind.maximumPauseMilliseconds : undefined
    const onPause = (milliseconds: Milliseconds): void => {
      if (allowedPause !== undefined && milliseconds > STRAINED_PAUSE_SHARE * allowedPause) strained.note(target.key)
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
        const { load } = codec.describeAnswer(answer.status, answer.rawHeaders)
        if (load !== undefined) {
          directory.applyUpdate({ key: target.key, placement: target.placement, load: { ...load, cacheTokensUsed: target.load?.cacheTokensUsed ?? 0, cacheTokens: target.load?.cacheTokens ?? 0 }, ageMilliseconds: 0 })
        }
      }
      const outcome = await relayAnswer({ clock, answer, codec, request, requestKind: route.requestKind, lastEventId: progress.lastEventId, pace: context.trace.pace, onPause })
      recordHealth(context, route, target, outcome, startedAt)
      if (demand !== undefined && outcome.kind === 'complete') prefixes.record(target.key, demand)
      return outcome
    } finally {
      connection.abort()
      endSend()
    }
  }

  const recordHealth = (context: ForwardContext, route: ServingRoute, target: KnownTarget, outcome: RelayOutcome, startedAt: Milliseconds): void => {
    const known = directory.usable(target.entry.service).length
    if (outcome.kind !== 'not-sent') unreachable.delete(target.key)
    switch (outcome.kind) {
      case 'complete':
        outliers.record(target.key, { kind: 'success', firstByteMilliseconds: (outcome.firstByteAt ?? clock.now()) - startedAt, key: route.name }, known)
        return
      case 'not-sent':
        if (!context.signal.aborted) noteUnreachable(target.key)
        return
      case 'failed':
      case 'broken':
      case 'server-error':
        // A client that left says nothing about the target; an exceeded deadline does.
        if (!context.request.clientGone.aborted) outliers.record(target.key, { kind: 'failure' }, known)
        break
      case 'not-executed':
      case 'client-gone':
        break
    }
  }

  const note = (context: ForwardContext, target: KnownTarget, loadAge: Milliseconds | undefined, result: SendNote['result'], reason: string): void => {
    context.trace.sends.push({ target: target.key, result, reason, at: Math.round(clock.now() - context.request.receivedAt), loadAge })
  }

  /** Whether the request may be sent once more after it may have run. */
  const mayRepeat = (context: ForwardContext, route: ServingRoute, progress: Progress): boolean => {
    const { requestKind } = route
    const isRepeatable = requestKind.kind === 'safe' || (requestKind.kind === 'stream' && requestKind.isResumable)
    return isRepeatable && progress.ran.size < route.maximumTargets && !context.signal.aborted
  }

  const finalOutcome = (context: ForwardContext, progress: Progress): ForwardOutcome => {
    const { request } = context
    if (request.clientGone.aborted) {
      request.response.destroy()
      return { kind: 'abandoned', reason: 'client-gone' }
    }
    if (request.response.hasBegun()) {
      request.response.destroy()
      return { kind: 'broken', reason: progress.lastReason }
    }
    if (progress.ran.size === 0) return refuse(progress, progress.lastReason, NO_TARGET_RETRY_MILLISECONDS)
    return { kind: 'unknown', status: context.signal.aborted ? 504 : 502, reason: progress.lastReason }
  }

  return async (context) => {
    const { request, route, service } = context
    if (route === undefined || service === undefined) throw new Error('the route filter must run first')
    const progress: Progress = { excluded: new Set(), ran: new Set(), lastReason: 'no-target', lastEventId: request.description.lastEventId }
    retries.recordRequest(service.name)
    if (request.description.demand !== undefined) options.onDemand(request.description.demand)
    let arrivals = 0
    for (let sends = 0; sends < MAXIMUM_SENDS && !context.signal.aborted; sends++) {
      const found = await findTarget(context, service, progress)
      if (context.signal.aborted) break
      if ('kind' in found) {
        if (found.kind === 'refused') progress.lastReason = found.reason
        return progress.ran.size === 0 && !request.response.hasBegun() ? found : finalOutcome(context, progress)
      }
      if (arrivals > 0 && !retries.tryRetry(service.name)) {
        progress.lastReason = `${progress.lastReason}, retry-budget-spent`
        break
      }
      const loadAge = found.loadMeasuredAt === undefined ? undefined : Math.round(clock.now() - found.loadMeasuredAt)
      const outcome = await sendOnce(context, route, found, progress)
      switch (outcome.kind) {
        case 'complete':
          note(context, found, loadAge, 'answered', String(outcome.status))
          return { kind: 'delivered', status: outcome.status }
        case 'client-gone':
          note(context, found, loadAge, 'cancelled', 'client-gone')
          return { kind: 'abandoned', reason: 'client-gone' }
        case 'not-sent':
          note(context, found, loadAge, 'not-sent', outcome.reason)
          progress.lastReason = 'target-unreachable'
          progress.excluded.add(found.key)
          break
        case 'not-executed':
          arrivals++
          note(context, found, loadAge, 'not-executed', `${outcome.status}`)
          progress.lastReason = `target-refused-${outcome.status}`
          if (outcome.status === STATUS_MISDIRECTED) {
            if (outcome.targetId !== undefined && outcome.targetId !== found.entry.id) directory.markMisplaced(found.key)
            else directory.recordMissingModel(found.key, request.description.demand?.model, request.description.demand?.adapter)
            progress.excluded.add(found.key)
          } else if (service.engine !== undefined || candidatesFor(context, service, progress).length > 1) {
            progress.excluded.add(found.key)
          } else {
            await clock.sleep(RESEND_MILLISECONDS, context.signal)
          }
          break
        case 'server-error':
        case 'failed':
        case 'broken':
          arrivals++
          progress.ran.add(found.key)
          progress.excluded.add(found.key)
          note(context, found, loadAge, outcome.kind === 'broken' ? 'broken' : 'failed', outcome.reason)
          progress.lastReason = outcome.reason
          if (outcome.kind === 'broken') progress.lastEventId = outcome.lastEventId ?? progress.lastEventId
          if (!mayRepeat(context, route, progress)) {
            if (outcome.kind === 'server-error' && !request.response.hasBegun() && !context.signal.aborted) return outcome.deliver()
            return finalOutcome(context, progress)
          }
          break
      }
    }
    return finalOutcome(context, progress)
  }
}

function refuse (progress: Progress, reason: string, retryAfterMilliseconds: Milliseconds): ForwardOutcome {
  // A request that may have run is never refused as one that has not.
  return progress.ran.size === 0 ? { kind: 'refused', reason, retryAfterMilliseconds } : { kind: 'unknown', status: 502, reason }
}
