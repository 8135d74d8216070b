import { createRetryBudget, type RetryBudget } from '@fuchsiastage/admission'
import type { Clock } from '@fuchsiastage/clock'
import { composeChain } from '@fuchsiastage/filter-chain'
import type { ServingConfiguration, TargetDirectory } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import { createOutlierDetector, type OutlierDetector } from '@fuchsiastage/routing'
import type { Milliseconds } from '@fuchsiastage/types'
import { createDispatchFilter } from './dispatch.js'
import { createDeadlineFilter, createRouteFilter } from './filters.js'
import { createInFlight, type InFlight } from './in-flight.js'
import type { HeaderCodec, RequestPlacement, SendToTarget } from './ports.js'
import { createPrefixMemory } from './prefix-memory.js'
import type { ForwardContext, ForwardOutcome, InboundRequest, ModelDemand, RequestTrace, SendNote } from './request.js'
import { createStrainedTargets, type StrainedTargets } from './strained-targets.js'
import { createStreamPace } from './stream-pace.js'

export interface FinishedRequest {
  readonly outcome: ForwardOutcome
  readonly route: string | undefined
  readonly service: string | undefined
  readonly milliseconds: Milliseconds
  readonly sends: readonly SendNote[]
}

export interface RetrySettings {
  /** Retries as a part of the requests in the window. */
  readonly share: number
  readonly windowMilliseconds: Milliseconds
  /** This daemon's part of the retries that are allowed beside the share. */
  readonly slack: () => number
}

export interface ForwarderOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly dataCentre: string
  readonly configuration: () => ServingConfiguration | undefined
  readonly directory: TargetDirectory
  readonly codec: HeaderCodec
  readonly send: SendToTarget
  readonly requestPlacement: RequestPlacement
  readonly retries: RetrySettings
  readonly onDemand: (demand: ModelDemand) => void
  readonly onFinished: (finished: FinishedRequest) => void
}

export interface Forwarder {
  readonly forward: (request: InboundRequest) => Promise<ForwardOutcome>
  readonly inFlight: InFlight
  readonly strained: StrainedTargets
}

/**
 * Failures in a row after which a target is left out. Routes whose requests fail now and then by
 * themselves make two in a row common, and four slow to notice.
 */
const CONSECUTIVE_FAILURES = 3
/** First time for which a failing target is left out: about as long as a target takes to restart. */
const EJECTION_MILLISECONDS = 3_000
/** A target that keeps failing is tried again four times a minute. */
const MAXIMUM_EJECTION_MILLISECONDS = 15_000
/** Time over which a target returns to its full share. */
const READMISSION_MILLISECONDS = 3_000
/** Largest part of a service's targets that is left out for failures. */
const EJECTED_SHARE = 0.5
/** A target is slow when its smoothed first-byte time exceeds the median by this factor. */
const SLOW_FACTOR = 4

/**
 * Creates the forwarder of raw requests.
 *
 * @example
 * const forwarder = createForwarder(options)
 * const outcome = await forwarder.forward(request)
 */
export function createForwarder (options: ForwarderOptions): Forwarder {
  const { clock, logger } = options
  const inFlight = createInFlight(clock)
  const strained = createStrainedTargets(clock)
  const outliers: OutlierDetector = createOutlierDetector(clock, {
    maximumEjectedShare: EJECTED_SHARE,
    ejectionMilliseconds: EJECTION_MILLISECONDS,
    maximumEjectionMilliseconds: MAXIMUM_EJECTION_MILLISECONDS,
    readmissionMilliseconds: READMISSION_MILLISECONDS,
    consecutiveFailures: CONSECUTIVE_FAILURES,
    slowFactor: SLOW_FACTOR
  })
  const retries: RetryBudget = createRetryBudget({ clock, floor: 0, ...options.retries })

  const dispatch = createDispatchFilter({ ...options, inFlight, strained, outliers, retries, prefixes: createPrefixMemory() })
  const chain = composeChain<ForwardContext, ForwardOutcome>([
    createRouteFilter(options.configuration),
    createDeadlineFilter(clock),
    dispatch
  ], (error, context) => {
    logger.error('unexpected failure in the filter chain', { event: 'request-failed', request: context.request.description.id, reason: error.message })
    return { kind: 'unknown', status: 502, reason: 'internal' }
  })

  const forward = async (request: InboundRequest): Promise<ForwardOutcome> => {
    const trace: RequestTrace = { version: undefined, route: undefined, service: undefined, sends: [], pace: createStreamPace(clock, request.receivedAt) }
    const outcome = await chain({ request, trace, signal: request.clientGone })
    const milliseconds = Math.round(clock.now() - request.receivedAt)
    const { demand } = request.description
    logger.info('request finished', {
      event: 'request-finished',
      request: request.description.id,
      version: trace.version,
      route: trace.route,
      service: trace.service,
      model: demand === undefined ? undefined : `${demand.model}/${demand.adapter ?? ''}`,
      outcome: outcome.kind,
      reason: 'reason' in outcome ? outcome.reason : undefined,
      milliseconds,
      firstByte: trace.pace.firstByteMilliseconds(),
      longestPause: trace.pace.longestPauseMilliseconds(),
      sends: trace.sends.map(({ target, result, reason, at, loadAge }) => `${target} ${result} ${reason} at=${at} loadAge=${loadAge ?? 'none'}`)
    })
    options.onFinished({ outcome, route: trace.route, service: trace.service, milliseconds, sends: trace.sends })
    return outcome
  }

  return { forward, inFlight, strained }
}
