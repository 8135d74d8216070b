import { createRetryBudget, type RetryBudget } from '@fuchsiastage/admission'
import type { Clock } from '@fuchsiastage/clock'
import type { AllowanceClient } from '@fuchsiastage/customer-allowances'
import { composeChain } from '@fuchsiastage/filter-chain'
import type { TargetDirectory } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import type { RequestQuarantine, RequestTraits } from '@fuchsiastage/request-quarantine'
import { createOutlierDetector, type OutlierDetector } from '@fuchsiastage/routing'
import type { StreamOrigins } from '@fuchsiastage/stream-origins'
import type { TargetLimits, TargetPauses } from '@fuchsiastage/target-limits'
import { createTargetSpeeds, type TargetPaces, type UnevenServices } from '@fuchsiastage/target-pace'
import type { Milliseconds } from '@fuchsiastage/types'
import { createChoiceSpread } from './choice-spread.js'
import type { DaemonStop } from './daemon-stop.js'
import { UNCONFIRMED_REASON, type ConfigurationState } from './configuration-state.js'
import { createCustomerFilter } from './customer-filter.js'
import { createDispatchFilter } from './dispatch.js'
import { createDeadlineFilter, createRouteFilter } from './filters.js'
import { createAllowanceFilter } from './allowance-filter.js'
import { createInFlightTracker, type InFlightTracker } from './in-flight.js'
import type { AcquireTurn, AcquireTrial, HandOver, HeaderCodec, RequestPlacement, SendToTarget, TargetRooms } from './ports.js'
import { createPrefixTracker } from './prefix-tracker.js'
import type { ProbeTarget } from './probe-target.js'
import { fingerprintOf } from './request-fingerprint.js'
import { sharedPartIds, type ForwardContext, type ForwardOutcome, type InboundRequest, type ModelDemand, type HandoverRecord, type TurnRecord, type RequestTrace, type SendRecord } from './request.js'
import { createOverloadedTargets, type OverloadedTargets } from './overloaded-targets.js'
import { createStreamTiming } from './stream-pace.js'
import { createTargetProbes, type TargetProbes } from './target-probes.js'
import { createTargetReachability, type TargetReachability } from './target-reachability.js'

export interface FinishedRequest {
  readonly outcome: ForwardOutcome
  readonly route: string | undefined
  readonly service: string | undefined
  /** Name of the customer; undefined for anonymous requests, and if the key is not known. */
  readonly customer: string | undefined
  readonly milliseconds: Milliseconds
  readonly sends: readonly SendRecord[]
  readonly handovers: readonly HandoverRecord[]
  /** Name of the peer that has handed the request over to this daemon, if one has. */
  readonly from: string | undefined
}

export interface RetrySettings {
  /** Allowed retries as a share of the requests in the window. */
  readonly share: number
  readonly windowMilliseconds: Milliseconds
  /** This daemon's part of the retries that are allowed in addition to the share. */
  readonly slack: () => number
}

export interface ForwarderOptions extends ConfigurationState {
  readonly clock: Clock
  readonly logger: Logger
  readonly dataCentre: string
  /** Time since the configuration was last confirmed to be the newest, for log lines; undefined before that. */
  readonly configurationAge: () => Milliseconds | undefined
  readonly directory: TargetDirectory
  readonly codec: HeaderCodec
  readonly send: SendToTarget
  readonly probe: ProbeTarget
  readonly requestPlacement: RequestPlacement
  readonly handOver: HandOver
  /** Whether a peer states that it reaches targets. */
  readonly isReachedByPeer: () => boolean
  readonly targetLimits: TargetLimits
  readonly targetPauses: TargetPauses
  readonly targetRooms: TargetRooms
  readonly targetPaces: TargetPaces
  /** Services whose targets differ in speed, for which speeds are learned and choices are spread. */
  readonly unevenServices: UnevenServices
  readonly acquireTurn: AcquireTurn
  /** Allowances of customers; without it, no customer is limited. */
  readonly allowances?: Pick<AllowanceClient, 'acquire' | 'refund'>
  readonly quarantine: RequestQuarantine
  readonly acquireTrial: AcquireTrial
  readonly streamOrigins: Pick<StreamOrigins, 'begin' | 'complete' | 'find'>
  /** Decides which requests are refused because the daemon stops. */
  readonly stop: Pick<DaemonStop, 'isTooLate' | 'hasEnded' | 'onRequestsEnded' | 'retryDelay' | 'watch'>
  readonly retries: RetrySettings
  /** Source of random numbers from 0 to 1, for the choice of probed targets and between targets that are nearly equal. */
  readonly random: () => number
  /** Number of daemons that send requests to the targets, including this one. */
  readonly daemonCount: () => number
  readonly onDemand: (demand: ModelDemand) => void
  readonly onFinished: (finished: FinishedRequest) => void
}

export interface Forwarder {
  readonly forward: (request: InboundRequest) => Promise<ForwardOutcome>
  readonly inFlight: InFlightTracker
  readonly overloadedTargets: OverloadedTargets
  readonly reachability: TargetReachability
  readonly probes: TargetProbes
}

/**
 * Consecutive failures after which a target is ejected. On routes with occasional failures that the
 * target does not cause, two in a row are common; four in a row take too long to detect.
 */
const CONSECUTIVE_FAILURES = 3
/** Duration of a target's first ejection: about the time that a target takes to restart. */
const EJECTION_MILLISECONDS = 3_000
/** Limit of the ejection time, which grows with repeated ejections. A target that keeps failing is tried about four times per minute. */
const MAXIMUM_EJECTION_MILLISECONDS = 15_000
/** Time over which a readmitted target returns to its full share of requests. */
const READMISSION_MILLISECONDS = 3_000
/** Maximum share of a service's targets that may be ejected at the same time. */
const EJECTED_SHARE = 0.5
/** Maximum number of turns in the log line of a request; the last ones decided. */
const MAXIMUM_LOGGED_TURNS = 8
/** Maximum number of prompt parts in the log line of a request. */
const MAXIMUM_LOGGED_PARTS = 16
/** A target is ejected as slow when its smoothed first-byte time exceeds the median of the targets by this factor. */
const SLOW_FACTOR = 4

/**
 * Creates the forwarder of raw HTTP requests.
 *
 * @example
 * const forwarder = createForwarder(options)
 * const outcome = await forwarder.forward(request)
 */
export function createForwarder (options: ForwarderOptions): Forwarder {
  const { clock, logger } = options
  const inFlight = createInFlightTracker(clock)
  const overloadedTargets = createOverloadedTargets(clock)
  const outliers: OutlierDetector = createOutlierDetector(clock, {
    maximumEjectedShare: EJECTED_SHARE,
    ejectionMilliseconds: EJECTION_MILLISECONDS,
    maximumEjectionMilliseconds: MAXIMUM_EJECTION_MILLISECONDS,
    readmissionMilliseconds: READMISSION_MILLISECONDS,
    consecutiveFailures: CONSECUTIVE_FAILURES,
    slowFactor: SLOW_FACTOR
  })
  const reachability = createTargetReachability({ clock, logger, usableCount: () => options.directory.all().length })
  const probes = createTargetProbes({ clock, directory: options.directory, probe: options.probe, reachability, random: options.random })
  const retries: RetryBudget = createRetryBudget({ clock, floor: 0, ...options.retries })

  const dispatch = createDispatchFilter({ ...options, inFlight, overloadedTargets, outliers, reachability, probes, retries, prefixes: createPrefixTracker(), speeds: createTargetSpeeds(clock), spread: createChoiceSpread(options) })
  const chain = composeChain<ForwardContext, ForwardOutcome>([
    createRouteFilter(options),
    createCustomerFilter(options),
    createDeadlineFilter(clock, options.stop),
    createAllowanceFilter(clock, options.allowances),
    dispatch
  ], (error, context) => {
    logger.error('a filter threw an unexpected error; the outcome of the request is unknown', { event: 'request-failed', request: context.request.description.id, reason: error.message })
    return { kind: 'unknown', status: 502, reason: 'internal' }
  })

  const forward = async (request: InboundRequest): Promise<ForwardOutcome> => {
    const trace: RequestTrace = { version: undefined, route: undefined, service: undefined, quarantinedFor: undefined, sends: [], turns: [], handovers: [], timing: createStreamTiming(clock, request.receivedAt) }
    const traits: RequestTraits = { parts: sharedPartIds(request.description.demand), fingerprint: fingerprintOf(request) }
    const outcome = await chain({ request, traits, trace, signal: request.clientDisconnected })
    if (outcome.kind === 'delivered') options.streamOrigins.complete(request.description.id)
    const milliseconds = Math.round(clock.now() - request.receivedAt)
    const { demand } = request.description
    const isResponseLost = trace.sends.some(hasLostResponse)
    const configurationAge = isDecidedByConfiguration(outcome) ? options.configurationAge() : undefined
    logger.info('request finished', {
      event: 'request-finished',
      request: request.description.id,
      from: request.handover?.from,
      version: trace.version,
      configurationAge: configurationAge === undefined ? undefined : Math.round(configurationAge),
      route: trace.route,
      service: trace.service,
      customer: trace.customer,
      model: demand === undefined ? undefined : `${demand.model}/${demand.adapter ?? ''}`,
      outcome: outcome.kind,
      reason: 'reason' in outcome ? outcome.reason : undefined,
      milliseconds,
      allowanceWait: trace.allowanceWait,
      firstByte: trace.timing.firstByteMilliseconds(),
      longestPause: trace.timing.longestPauseMilliseconds(),
      permits: trace.turns.length === 0 ? undefined : trace.turns.slice(-MAXIMUM_LOGGED_TURNS).map(describeTurn),
      quarantined: trace.quarantinedFor?.kind === 'prompt' ? trace.quarantinedFor.parts : undefined,
      parts: isResponseLost ? traits.parts.slice(0, MAXIMUM_LOGGED_PARTS) : undefined,
      fingerprint: isResponseLost || trace.quarantinedFor?.kind === 'request' ? traits.fingerprint : undefined,
      sends: trace.sends.map(({ target, result, reason, at, loadAge }) => `${target} ${result} ${reason} at=${at} loadAge=${loadAge ?? 'none'}`),
      peers: trace.handovers.length === 0 ? undefined : trace.handovers.map(({ peer, result, reason, at }) => `${peer ?? 'none'} ${result} ${reason} at=${at}`)
    })
    options.onFinished({ outcome, route: trace.route, service: trace.service, customer: trace.customer, milliseconds, sends: trace.sends, handovers: trace.handovers, from: request.handover?.from })
    return outcome
  }

  return { forward, inFlight, overloadedTargets, reachability, probes }
}

/** Whether a newer configuration may have led to another outcome. */
function isDecidedByConfiguration (outcome: ForwardOutcome): boolean {
  return outcome.kind === 'rejected' || (outcome.kind === 'refused' && outcome.reason === UNCONFIRMED_REASON)
}

/** Whether the response to a send did not arrive, or not completely. */
function hasLostResponse ({ result }: SendRecord): boolean {
  return result === 'failed' || result === 'broken'
}

const DENIAL_TEXT = { limit: 'denied', pause: 'paused', pace: 'paced', room: 'full' } as const

function describeTurn ({ target, decision, at }: TurnRecord): string {
  switch (decision.kind) {
    case 'granted':
      return `${target} granted wait=${Math.round(decision.waitMilliseconds)} at=${at}`
    case 'denied':
      return `${target} ${DENIAL_TEXT[decision.reason]} retryAfter=${Math.round(decision.retryAfterMilliseconds)} at=${at}`
  }
}
