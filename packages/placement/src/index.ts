/**
 * Placement of models and adapters on engines: the fold of the stream `placement.<region>`, the
 * replica directory, and the controller that makes placement decisions while it holds the lease.
 */
export { createPlacementController } from './controller.js'
export type { PlacementController, PlacementControllerOptions, PlacementStatus } from './controller.js'
export { createReplicaDirectory } from './directory.js'
export type { Replica, ReplicaDirectory } from './directory.js'
export { foldPlacement } from './fold.js'
export { DEFAULT_PLACEMENT_SETTINGS } from './interfaces.js'
export type {
  OrderTarget, PlacementConfiguration, PlacementEngineClient, PlacementSettings, PlacementTarget, PlacementUsage, WantReplicaRefusal, WantReplicaAnswer, WantReplicaRequest
} from './interfaces.js'
export { RECORD_KINDS } from './records.js'
export { isSettled, reservationKey, reservationsOf, reservationsOn, reservedMegabytes } from './state.js'
export type { PlacementState, Reservation, ReservedTarget, UnsettledOrder } from './state.js'
