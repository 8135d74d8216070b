/**
 * The filters of the chain that handles each request of a caller.
 */
export { createAdmissionQueues } from './admit.js'
export type { AdmissionQueues, AdmitOptions } from './admit.js'
export { createAuthoriseFilter, permittedDataCentres } from './authorise.js'
export { composeFilters } from './chain.js'
export { createClaimFilter, REPLAYED_HEADER } from './claim.js'
export { routeKeyOf, timeLeft } from './context.js'
export type {
  Answer,
  CompletionRoute,
  ConfigurationView,
  Filter,
  IncomingRequest,
  NextFilter,
  PlacementView,
  ReplicaExpectation,
  RequestContext,
  Route,
  ServiceRoute,
  RequestedReplica
} from './context.js'
export { createDeadlineFilter } from './deadline.js'
export { createDispatchFilter } from './dispatch.js'
export type { DispatchOptions } from './dispatch.js'
export { createFreshnessFilter } from './freshness.js'
export { createIdentifyFilter } from './identify.js'
export { createLimitFilter } from './limit.js'
export { createParseFilter } from './parse.js'
export type { ParseOptions } from './parse.js'
export { createPlaceFilter } from './place.js'
export type { PlaceOptions } from './place.js'
