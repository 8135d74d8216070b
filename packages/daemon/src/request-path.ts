import { createCallerLimits, createRetryBudget } from '@fuchsiastage/admission'
import type { ClaimClient } from '@fuchsiastage/claims'
import type { Clock } from '@fuchsiastage/clock'
import type { ConfigurationController } from '@fuchsiastage/configuration'
import {
  composeFilters,
  createAdmissionQueues,
  createAuthoriseFilter,
  createClaimFilter,
  createDeadlineFilter,
  createDispatchFilter,
  createFreshnessFilter,
  createIdentifyFilter,
  createLimitFilter,
  createParseFilter,
  createPlaceFilter,
  type AdmissionQueues,
  type Answer,
  type ConfigurationView,
  type PlacementView,
  type RequestContext
} from '@fuchsiastage/filters'
import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { RequestTracker, Router, RoutingTarget } from '@fuchsiastage/routing'
import type { Settings } from '@fuchsiastage/settings'
import type { Result } from 'true-myth'
import type { TargetServices } from './target-services.js'

export interface RequestPathOptions {
  readonly settings: Settings
  readonly clock: Clock
  readonly random: () => number
  readonly configuration: ConfigurationController
  /** Fails if this daemon is isolated: it has recently neither read the VM list nor received a message from a peer. */
  readonly checkNotIsolated: () => Result<void, FuchsiastageError>
  readonly placement: PlacementView
  readonly router: Router
  readonly tracker: RequestTracker
  readonly claims: ClaimClient
  readonly targets: TargetServices
  readonly readTargetStates: (targets: readonly RoutingTarget[]) => Promise<void>
  readonly onTargetDraining: (target: string) => void
  readonly onModelMissing: (target: string) => void
}

export interface RequestPath {
  readonly handle: (context: RequestContext) => Promise<Answer>
  readonly queues: AdmissionQueues
}

/** Well below the lapse time of the placement lease, so that a waiting request reaches a new lease holder within that time. */
const REPLICA_REQUEST_INTERVAL_MILLISECONDS = 2_000
const CAPACITY_UPDATE_MILLISECONDS = 250

/** Delay before the next attempt to resume a stream if the engine could not be reached. */
const RESUME_DELAY_MILLISECONDS = 100

const PERCENT = 100

/**
 * Creates the filter chain that handles the requests of callers.
 *
 * @example
 * const { handle } = createRequestPath(options)
 */
export function createRequestPath (options: RequestPathOptions): RequestPath {
  const { settings, clock, random, router, tracker, targets } = options
  const { routing, admission, streams } = settings
  const configuration: ConfigurationView = {
    document: options.configuration.document,
    version: options.configuration.version,
    checkFresh: () => options.configuration.checkFreshness().andThen(options.checkNotIsolated)
  }
  const dataCentres = [...settings.dataCentres].filter(([, { region }]) => region === settings.daemon.region).map(([name]) => name)
  const queues = createAdmissionQueues({
    clock,
    random,
    router,
    readTargetStates: options.readTargetStates,
    settings: { maximumWaiting: admission.queueLength, bulkShare: admission.bulkSharePercent / PERCENT },
    capacityUpdateMilliseconds: CAPACITY_UPDATE_MILLISECONDS
  })
  const handle = composeFilters([
    createFreshnessFilter(configuration),
    createIdentifyFilter(configuration),
    createParseFilter({ clock, configuration, maximumBodyBytes: admission.maximumBodyBytes, keyHorizonMilliseconds: settings.claims.horizonMilliseconds }),
    createDeadlineFilter(clock),
    createAuthoriseFilter(configuration, dataCentres),
    createLimitFilter(createCallerLimits({ clock })),
    createPlaceFilter({ clock, placement: options.placement, maximumWaiting: admission.queueLength, requestIntervalMilliseconds: REPLICA_REQUEST_INTERVAL_MILLISECONDS }),
    queues.filter,
    createClaimFilter(options.claims, clock),
    createDispatchFilter({
      clock,
      random,
      configuration,
      router,
      tracker,
      engine: targets.engine,
      services: targets.services,
      retryBudget: createRetryBudget({ clock, share: routing.retryBudgetPercent / PERCENT, floor: routing.retryBudgetFloor, windowMilliseconds: routing.retryBudgetWindowMilliseconds }),
      backoff: { baseMilliseconds: routing.backoffFirstMilliseconds, maximumMilliseconds: routing.backoffMaximumMilliseconds },
      relay: { silenceMilliseconds: streams.silenceMilliseconds, maximumResumes: streams.resumeAttempts, resumeDelayMilliseconds: RESUME_DELAY_MILLISECONDS, maximumEventCharacters: admission.maximumBodyBytes },
      maximumAttempts: routing.maximumRetries + 1,
      onTargetDraining: options.onTargetDraining,
      onModelMissing: options.onModelMissing
    })
  ])
  return { handle, queues }
}
