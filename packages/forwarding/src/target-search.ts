import type { Clock } from '@fuchsiastage/clock'
import type { KnownTarget, ServingRoute, ServingService, TargetDirectory, TargetKey } from '@fuchsiastage/fleet'
import type { RequestQuarantine, QuarantineDecision } from '@fuchsiastage/request-quarantine'
import type { TargetLimits, TargetPauses } from '@fuchsiastage/target-limits'
import type { TargetPaces, TargetSpeeds, UnevenServices } from '@fuchsiastage/target-pace'
import type { Milliseconds } from '@fuchsiastage/types'
import type { ChoiceSpread } from './choice-spread.js'
import { chooseTarget, hasLoadedModel } from './choose-target.js'
import { NO_TARGET_RETRY_MILLISECONDS, refuse, refuseWithoutPlacement, refuseWithoutTarget, type DispatchProgress } from './dispatch-progress.js'
import type { InFlightTracker } from './in-flight.js'
import type { OverloadedTargets } from './overloaded-targets.js'
import type { AcquireTurn, AcquireTrial, RequestPlacement, TargetRooms } from './ports.js'
import type { PrefixTracker } from './prefix-tracker.js'
import { isOfRequiredVersion } from './resumed-streams.js'
import { priorityOf, timeLeft, type ForwardContext, type ForwardOutcome } from './request.js'

export interface TargetSearchOptions {
  readonly clock: Clock
  readonly dataCentre: string
  readonly directory: TargetDirectory
  readonly inFlight: InFlightTracker
  readonly prefixes: PrefixTracker
  readonly overloadedTargets: OverloadedTargets
  readonly targetLimits: TargetLimits
  readonly targetPauses: TargetPauses
  readonly targetRooms: TargetRooms
  readonly acquireTurn: AcquireTurn
  readonly quarantine: RequestQuarantine
  readonly acquireTrial: AcquireTrial
  readonly requestPlacement: RequestPlacement
  /** Share of its usual requests that a target receives; 0 while it is ejected or unreachable. */
  readonly weight: (target: TargetKey) => number
  readonly speeds: TargetSpeeds
  readonly unevenServices: UnevenServices
  readonly targetPaces: TargetPaces
  readonly spread: ChoiceSpread
}

export interface TargetSearch {
  /** Finds a target to which the request may be sent now, or the outcome of the request if there is none. */
  readonly find: (context: ForwardContext, route: ServingRoute, service: ServingService, progress: DispatchProgress) => Promise<KnownTarget | ForwardOutcome>
  /** Whether the request may be sent to another target than the given one now. */
  readonly hasAlternative: (context: ForwardContext, service: ServingService, progress: DispatchProgress, target: TargetKey) => boolean
}

/** Time that a request needs at a target after its wait for a turn. */
const SERVING_MARGIN_MILLISECONDS = 150
/** Part of the usual wait that a request spends on the pace of a target, so that it can still be served within its objective. */
const PACE_WAIT_SHARE = 0.25
/**
 * Clients give up on a stream when no event arrives for the longest of three times: a fixed minimum,
 * a multiple of the route's objective, and a multiple of the route's maximum pause.
 */
const MINIMUM_CLIENT_TIMEOUT_MILLISECONDS = 2_000
const CLIENT_TIMEOUT_OBJECTIVE_FACTOR = 4
const CLIENT_TIMEOUT_PAUSE_FACTOR = 8

/**
 * Creates the search for a target: among those with the model, by a placement elsewhere, and only with a
 * turn and outside the quarantine.
 *
 * @example
 * const found = await search.find(context, route, service, progress)
 */
export function createTargetSearch (options: TargetSearchOptions): TargetSearch {
  const { clock, directory, inFlight, prefixes, overloadedTargets, targetLimits, targetPauses, targetPaces, targetRooms, quarantine, weight } = options

  /** Targets to which the request may be sent now or, if there are none, the one whose pause ends first. */
  const candidatesFor = (context: ForwardContext, service: ServingService, progress: DispatchProgress): readonly KnownTarget[] => {
    const { demand } = context.request.description
    const requiredModel = service.engine === undefined ? undefined : demand
    const candidates = directory.usable(service.name).filter((target) => !progress.excluded.has(target.key) && !progress.denied.has(target.key) && isOfRequiredVersion(progress, target.entry.softwareVersion) && (requiredModel === undefined || hasLoadedModel(target, requiredModel)))
    const open = candidates.filter(({ key }) => targetPauses.remaining(key) === 0)
    if (open.length > 0) return preferThoseWithRoom(open)
    return [...candidates].sort((one, other) => targetPauses.remaining(one.key) - targetPauses.remaining(other.key)).slice(0, 1)
  }

  /** Leaves out the targets whose pace has no room now, unless no other one is healthy. */
  const preferThoseWithRoom = (targets: readonly KnownTarget[]): readonly KnownTarget[] => {
    if (targets.every(targetPaces.hasRoom)) return targets
    const withRoom = targets.filter((target) => weight(target.key) > 0 && targetPaces.hasRoom(target))
    return withRoom.length > 0 ? withRoom : targets
  }

  const findTarget = async (context: ForwardContext, route: ServingRoute, service: ServingService, progress: DispatchProgress): Promise<KnownTarget | ForwardOutcome> => {
    const { description } = context.request
    const otherVersions = progress.requiredVersion.kind === 'any' ? [] : directory.usable(service.name).filter(({ entry }) => !isOfRequiredVersion(progress, entry.softwareVersion))
    // No target can serve the rest of the stream, however long the client waits.
    if (otherVersions.length > 0 && otherVersions.length === directory.usable(service.name).length) return refuse(progress, 'stream-version-gone', timeLeft(context, clock))
    const isUneven = options.unevenServices.has(service.name)
    const choose = (candidates: readonly KnownTarget[]) => chooseTarget({
      service,
      demand: description.demand,
      candidates,
      dataCentre: options.dataCentre,
      inFlight,
      prefixes,
      isOverloaded: overloadedTargets.has,
      isLimited: targetLimits.isRecentlyStated,
      weight,
      clock,
      speeds: isUneven ? options.speeds : undefined,
      spread: isUneven ? options.spread : undefined,
      route: route.name,
      objectiveMilliseconds: route.objectiveMilliseconds
    })
    const candidates = candidatesFor(context, service, progress)
    const needsPlacement = service.engine !== undefined && description.demand !== undefined
    // For a request with a model, a placement on another target is preferred over an ejected or unreachable target.
    const healthy = needsPlacement ? candidates.filter(({ key }) => weight(key) > 0) : candidates
    const choice = choose(healthy)
    if (choice !== undefined) return choice.target
    if (!needsPlacement || description.demand === undefined) return refuseWithoutTarget(progress)
    const answer = await options.requestPlacement({
      service: service.name,
      model: description.demand.model,
      adapter: description.demand.adapter,
      request: description.id,
      priority: context.route === undefined ? 0 : priorityOf(context, context.route),
      remainingMilliseconds: timeUntilClientTimeout(context),
      avoid: [...new Set([...progress.excluded, ...progress.denied.keys(), ...targetPauses.list(), ...candidates.map(({ key }) => key), ...otherVersions.map(({ key }) => key)])]
    }, context.signal)
    // The request has waited, so other targets may be usable now.
    const remaining = (): KnownTarget | undefined => choose(candidatesFor(context, service, progress))?.target
    if (answer.kind === 'refused') return remaining() ?? refuseWithoutPlacement(progress, answer.reason, answer.retryAfterMilliseconds)
    const placedTarget = directory.find(answer.target)
    if (placedTarget !== undefined && directory.isUsable(answer.target) && !progress.excluded.has(answer.target) && !progress.denied.has(answer.target) && isOfRequiredVersion(progress, placedTarget.entry.softwareVersion)) return placedTarget
    return remaining() ?? refuse(progress, 'placed-target-unusable', NO_TARGET_RETRY_MILLISECONDS)
  }

  /**
   * Finds a target to which the request may be sent now. A target that limits its requests or has asked
   * for a pause gets it only when it has a turn; without one, the request goes elsewhere.
   */
  const findTargetWithTurn = async (context: ForwardContext, route: ServingRoute, service: ServingService, progress: DispatchProgress): Promise<KnownTarget | ForwardOutcome> => {
    for (;;) {
      const found = await findTarget(context, route, service, progress)
      if ('kind' in found || context.signal.aborted || (targetLimits.limitOf(found.key) === undefined && !targetPauses.has(found.key) && !targetPaces.has(found.key) && !targetRooms.isBrittle(found.key))) return found
      const isOnlyPaced = targetLimits.limitOf(found.key) === undefined && !targetPauses.has(found.key)
      // A target without room is chosen only if no healthy one has room.
      const hasOther = targetPaces.hasRoomAt(found.key) && hasAlternative(context, service, progress, found.key)
      const maximumWait = hasOther ? 0 : maximumTurnWait(context, route, progress, isOnlyPaced ? PACE_WAIT_SHARE : 1)
      const decision = await options.acquireTurn(found.key, maximumWait, context.signal, progress.ignoresPace)
      context.trace.turns.push({ target: found.key, decision, at: Math.round(clock.now() - context.request.receivedAt) })
      if (decision.kind === 'denied') {
        // A request is never rejected for the pace: it is sent elsewhere, or after its wait to this target.
        if (decision.reason === 'pace') progress.ignoresPace = true
        else progress.denied.set(found.key, decision)
        continue
      }
      progress.waitedMilliseconds += decision.waitMilliseconds
      if (decision.waitMilliseconds > 0) await clock.sleep(decision.waitMilliseconds, context.signal)
      if (!directory.isUsable(found.key)) progress.excluded.add(found.key)
      else if (decision.waitMilliseconds === 0 || !(targetPauses.has(found.key) || targetPaces.has(found.key))) return found
    }
  }

  const hasAlternative: TargetSearch['hasAlternative'] = (context, service, progress, target) => candidatesFor(context, service, progress).some(({ key }) => key !== target)

  /** How long a request may wait for its turn at a target. Less urgent ones wait for less, so that a queue leaves room for urgent requests. */
  const maximumTurnWait = (context: ForwardContext, route: ServingRoute, { waitedMilliseconds }: DispatchProgress, share: number): Milliseconds =>
    Math.max(0, share * Math.min(route.objectiveMilliseconds, timeUntilClientTimeout(context) - SERVING_MARGIN_MILLISECONDS) / (1 + priorityOf(context, route)) - waitedMilliseconds)

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

  const refuseQuarantined = (context: ForwardContext, progress: DispatchProgress, { cause, retryAfterMilliseconds }: Exclude<QuarantineDecision, { kind: 'allowed' }>): ForwardOutcome => {
    context.trace.quarantinedFor = cause
    return refuse(progress, `${cause.kind}-quarantined`, retryAfterMilliseconds)
  }

  /** Finds a target for a request, unless it is quarantined on arrival or has become so while it waited. */
  const find = async (context: ForwardContext, route: ServingRoute, service: ServingService, progress: DispatchProgress): Promise<KnownTarget | ForwardOutcome> => {
    if (progress.isTrial) return await findTargetWithTurn(context, route, service, progress)
    const onArrival = quarantine.check(context.traits)
    if (onArrival.kind === 'quarantined') return refuseQuarantined(context, progress, onArrival)
    const found = await findTargetWithTurn(context, route, service, progress)
    if ('kind' in found) return found
    const decision = quarantine.check(context.traits)
    switch (decision.kind) {
      case 'allowed':
        return found
      case 'quarantined':
        return refuseQuarantined(context, progress, decision)
      case 'trial':
        progress.isTrial = await options.acquireTrial(context.traits, context.signal)
        if (!progress.isTrial) return refuseQuarantined(context, progress, decision)
        return directory.isUsable(found.key) ? found : await findTargetWithTurn(context, route, service, progress)
    }
  }

  return { find, hasAlternative }
}
