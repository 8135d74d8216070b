import type { Clock } from '@fuchsiastage/clock'
import type { KnownTarget, ServingRoute, TargetDirectory, TargetKey } from '@fuchsiastage/fleet'
import type { RequestQuarantine } from '@fuchsiastage/request-quarantine'
import type { OutlierDetector } from '@fuchsiastage/routing'
import type { StreamOrigins } from '@fuchsiastage/stream-origins'
import type { TargetLimits, TargetPauses } from '@fuchsiastage/target-limits'
import type { TargetPaces, TargetSpeeds, UnevenServices } from '@fuchsiastage/target-pace'
import type { Milliseconds } from '@fuchsiastage/types'
import { firstResponseGroup } from './choose-target.js'
import { recordOrigin } from './resumed-streams.js'
import { watchConnection } from './connection-watch.js'
import { createCrashObserver } from './crash-observer.js'
import type { InFlightTracker } from './in-flight.js'
import type { OverloadedTargets } from './overloaded-targets.js'
import type { HeaderCodec, SendToTarget, TargetRooms } from './ports.js'
import type { PrefixTracker } from './prefix-tracker.js'
import type { ProbeTarget } from './probe-target.js'
import { relayAnswer, type RelayOutcome } from './relay.js'
import { priorityOf, timeLeft, type ForwardContext } from './request.js'
import type { TargetProbes } from './target-probes.js'
import type { TargetReachability } from './target-reachability.js'
import { withVerifiedEnd } from './verified-end.js'

export interface TargetSendsOptions {
  readonly clock: Clock
  readonly directory: TargetDirectory
  readonly inFlight: InFlightTracker
  readonly prefixes: PrefixTracker
  readonly overloadedTargets: OverloadedTargets
  readonly targetLimits: TargetLimits
  readonly targetPauses: TargetPauses
  readonly targetRooms: TargetRooms
  readonly outliers: OutlierDetector
  readonly reachability: TargetReachability
  readonly probes: TargetProbes
  readonly quarantine: RequestQuarantine
  readonly codec: HeaderCodec
  readonly streamOrigins: Pick<StreamOrigins, 'begin'>
  readonly speeds: TargetSpeeds
  readonly unevenServices: UnevenServices
  readonly targetPaces: TargetPaces
  readonly send: SendToTarget
  readonly probe: ProbeTarget
  /** Whether a peer states that it reaches targets. */
  readonly isReachedByPeer: () => boolean
}

export interface TargetSends {
  /**
   * Sends a request to a target once and relays the response; a resumed stream continues after the given
   * event. A movable request is broken off if its connection falls silent while this daemon is cut off.
   */
  readonly send: (context: ForwardContext, route: ServingRoute, target: KnownTarget, lastEventId: string | undefined, isMovable: boolean) => Promise<RelayOutcome>
  /** Share of its usual requests that a target receives; 0 while it is ejected or unreachable. */
  readonly weight: (target: TargetKey) => number
}

/** Time for which a target receives no requests after a failed connection; it doubles with each further failure. */
const UNREACHABLE_BACKOFF_MILLISECONDS = 1_000
/** Bounds the delay until a target that has become reachable again receives requests. */
const MAXIMUM_UNREACHABLE_BACKOFF_MILLISECONDS = 8_000
/** A pause longer than this share of the route's maximum pause marks the target as overloaded: its batch is too slow for more requests. */
const OVERLOADED_PAUSE_SHARE = 0.6
/** An attempt that has not established a connection after this time shows that the target is unreachable, also if it was aborted. It takes a few milliseconds. */
const UNREACHED_AFTER_MILLISECONDS = 200
/** Responses with this status or a higher one may need no work of the target. */
const MINIMUM_UNSUCCESSFUL_STATUS = 300
/** Arrivals of bytes of a stream above which its pace tells about the target. */
const MINIMUM_ARRIVALS = 4
/** Longest time without bytes, while this daemon is cut off, after which another one is to serve the request. Streams may wait for a batch of prompts. */
const MAXIMUM_SILENCE_MILLISECONDS = 1_000
/** The same as a multiple of the route's objective, if that is shorter. */
const MAXIMUM_SILENCE_OBJECTIVES = 2

/**
 * Creates the sends of requests to targets, with what each of them tells about the health, the load and
 * the limits of its target.
 *
 * @example
 * const outcome = await sends.send(context, route, target, undefined, true)
 */
export function createTargetSends (options: TargetSendsOptions): TargetSends {
  const { clock, directory, inFlight, prefixes, overloadedTargets, targetLimits, targetPauses, outliers, reachability, probes, quarantine, codec, speeds, targetPaces } = options
  const observeSend = createCrashObserver({ clock, directory, quarantine, probe: options.probe, probes, reachability, isReachedByPeer: options.isReachedByPeer })
  /** Targets that are not used, and why. */
  const unusedTargets = new Map<TargetKey, 'readmitted' | 'reachable'>()
  const unreachableTargets = new Map<TargetKey, { until: Milliseconds, backoffMilliseconds: Milliseconds }>()

  // The failed connections were those of this daemon, not of the targets.
  reachability.events.on('regained', () => {
    unreachableTargets.clear()
    unusedTargets.clear()
  })

  const recordUnreachable = (key: TargetKey): void => {
    const backoffMilliseconds = Math.min(MAXIMUM_UNREACHABLE_BACKOFF_MILLISECONDS, (unreachableTargets.get(key)?.backoffMilliseconds ?? UNREACHABLE_BACKOFF_MILLISECONDS / 2) * 2)
    unreachableTargets.set(key, { until: clock.now() + backoffMilliseconds, backoffMilliseconds })
  }

  const weight = (key: TargetKey): number => {
    const isUnreachable = (unreachableTargets.get(key)?.until ?? -Infinity) > clock.now()
    const share = isUnreachable ? 0 : outliers.weight(key)
    const reason = unusedTargets.get(key)
    if (share === 0) unusedTargets.set(key, isUnreachable ? 'reachable' : 'readmitted')
    else if (reason !== undefined) {
      unusedTargets.delete(key)
      const target = directory.find(key)
      if (target !== undefined && !targetPaces.has(key)) targetPaces.begin(target, reason)
    }
    return share
  }

  /** Whether a target still accepts connections. A daemon that is cut off from all targets cannot tell, and assumes that it does. */
  const isRunning = async ({ key, entry }: KnownTarget): Promise<boolean> => {
    const startedAt = clock.now()
    if (await options.probe(entry.address)) return true
    reachability.recordUnreached(key, startedAt)
    await probes.verify()
    return reachability.isCutOff()
  }

  const send: TargetSends['send'] = async (context, route, target, lastEventId, isMovable) => {
    const { request } = context
    const { demand } = request.description
    const requestsBefore = inFlight.estimate(target).requests
    const cachedTokens = demand === undefined ? 0 : prefixes.cachedTokens(target.key, demand)
    const endSend = inFlight.begin(target.key, demand === undefined ? 0 : demand.promptTokens + demand.maximumOutputTokens, demand)
    const pacedSend = targetPaces.beginSend(target)
    const sendInRoom = options.targetRooms.beginSend(target)
    const startedAt = clock.now()
    const observation = observeSend(target, context.traits)
    const connection = new AbortController()
    const allowedPause = route.requestKind.kind === 'stream' ? route.requestKind.maximumPauseMilliseconds : undefined
    const watch = watchConnection({
      clock,
      reachability,
      maximumSilenceMilliseconds: isMovable ? Math.min(MAXIMUM_SILENCE_MILLISECONDS, MAXIMUM_SILENCE_OBJECTIVES * route.objectiveMilliseconds) : undefined,
      onSlowConnect: () => {
        reachability.recordUnreached(target.key, startedAt)
        void probes.verify()
      },
      onCutOff: () => connection.abort(new Error('cut off from the targets'))
    })
    /** Records the time until the first event of a stream, or until another response is complete. */
    const recordFirst = (): void => {
      const promptTokens = demand === undefined ? 0 : Math.max(0, demand.promptTokens - cachedTokens)
      const relativeTime = speeds.recordTime(target.key, { group: firstResponseGroup(target.entry.service, route.name, demand?.model), milliseconds: clock.now() - startedAt, promptTokens, requests: requestsBefore })
      pacedSend.record({ kind: 'answer', relativeTime })
    }
    let arrivals = 0
    let eventMilliseconds: Milliseconds = 0
    const onPause = (milliseconds: Milliseconds): void => {
      observation.recordBytes()
      watch.recordBytes()
      if (arrivals++ > 0) eventMilliseconds += milliseconds
      if (allowedPause !== undefined && milliseconds > OVERLOADED_PAUSE_SHARE * allowedPause) overloadedTargets.record(target.key)
    }
    try {
      let answer = await options.send({
        address: target.entry.address,
        method: request.method,
        path: request.path,
        rawHeaders: codec.forwardedHeaders(request.rawHeaders, {
          remainingMilliseconds: Math.max(1, Math.floor(timeLeft(context, clock))),
          targetId: target.entry.id,
          priority: priorityOf(context, route),
          customer: context.customer?.name,
          hidesKey: context.configuration?.customers !== undefined,
          lastEventId
        }),
        body: request.body,
        signal: AbortSignal.any([context.signal, connection.signal]),
        onConnected: () => {
          watch.recordConnected()
          reachability.recordReached(target.key, startedAt)
        }
      })
      if (answer.kind === 'answer') {
        const { load, requestsPerSecond, brittleRejections, pauseMilliseconds, isFramed, isLeaving, isNotExecuted, hasSeal, requestId, targetId } = codec.describeAnswer(answer.status, answer.rawHeaders)
        const isOfTarget = requestId === request.description.id && (targetId ?? target.entry.id) === target.entry.id
        // Responses to requests that were not executed may have neither a seal nor a limit.
        if (isOfTarget && (hasSeal || requestsPerSecond !== undefined)) targetLimits.recordAnswer(target.key, requestsPerSecond, startedAt)
        if (isOfTarget && (hasSeal || brittleRejections !== undefined)) sendInRoom.recordAnswer(brittleRejections, isNotExecuted)
        // Responses that turn a request away may lack its identifier.
        const isOfAnother = (requestId ?? request.description.id) !== request.description.id || (targetId ?? target.entry.id) !== target.entry.id
        if (!isOfAnother && pauseMilliseconds !== undefined) {
          targetPauses.recordPause(target.key, { milliseconds: pauseMilliseconds, request: request.description.id })
          targetPaces.begin(target, 'paused', targetPauses.remaining(target.key))
        }
        if (!isOfAnother && pauseMilliseconds === undefined && !isNotExecuted) targetPauses.recordAnswer(target.key, startedAt)
        if (!isOfAnother && isLeaving) directory.recordLeaving(target.key, { source: 'response', request: request.description.id })
        if (load !== undefined) {
          if (!isOfAnother && load.relativeWorkTime !== undefined) {
            speeds.recordStated(target.key, load.relativeWorkTime)
            options.unevenServices.record(target.entry.service)
          }
          directory.applyUpdate({ key: target.key, placement: target.placement, load: { running: load.running, waiting: load.waiting, cacheTokensUsed: target.load?.cacheTokensUsed ?? 0, cacheTokens: target.load?.cacheTokens ?? 0 }, ageMilliseconds: 0 })
        }
        if (!isFramed) answer = withVerifiedEnd(answer, async () => await isRunning(target))
      }
      const outcome = await relayAnswer({ clock, answer, target: target.key, codec, request, requestKind: route.requestKind, lastEventId, timing: context.trace.timing, onStreamBegun: () => { recordOrigin(options.streamOrigins, context, target.entry.softwareVersion); recordFirst() }, onPause })
      recordHealth(context, route, target, outcome, startedAt)
      // Notes an ejection, also if no other request looks at the target meanwhile.
      weight(target.key)
      if (outcome.kind === 'complete' && outcome.status < MINIMUM_UNSUCCESSFUL_STATUS) {
        if (route.requestKind.kind !== 'stream') recordFirst()
        if (arrivals > MINIMUM_ARRIVALS) speeds.recordTime(target.key, { group: `${target.entry.service} ${demand?.model ?? ''} events`, milliseconds: eventMilliseconds / (arrivals - 1), promptTokens: 0, requests: requestsBefore })
      }
      if (showsTrouble(outcome) && !context.request.clientDisconnected.aborted && !reachability.isCutOff()) pacedSend.record({ kind: 'trouble' })
      observation.end(outcome, context.signal.aborted || connection.signal.aborted)
      if (demand !== undefined && outcome.kind === 'complete') prefixes.record(target.key, demand)
      return outcome
    } finally {
      watch.stop()
      connection.abort()
      pacedSend.end()
      sendInRoom.end()
      endSend()
    }
  }

  const recordHealth = (context: ForwardContext, route: ServingRoute, target: KnownTarget, outcome: RelayOutcome, startedAt: Milliseconds): void => {
    const usableCount = directory.usable(target.entry.service).length
    if (outcome.kind === 'not-sent' && (!context.signal.aborted || clock.now() - startedAt >= UNREACHED_AFTER_MILLISECONDS)) {
      reachability.recordUnreached(target.key, startedAt)
      void probes.verify()
    }
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
        // A client that disconnected is no failure of the target, nor are the links of a daemon that is cut off; an exceeded deadline is.
        if (!context.request.clientDisconnected.aborted && !reachability.isCutOff()) outliers.record(target.key, { kind: 'failure' }, usableCount)
        break
      case 'not-executed':
      case 'client-gone':
        break
    }
  }

  return { send, weight }
}

/** Whether the outcome of a send shows that its target has no room or doesn't work. */
function showsTrouble ({ kind }: RelayOutcome): boolean {
  switch (kind) {
    case 'not-executed':
    case 'not-sent':
    case 'failed':
    case 'server-error':
    case 'broken':
      return true
    case 'complete':
    case 'client-gone':
      return false
  }
}
