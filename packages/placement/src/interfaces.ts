import type { FuchsiastageError } from '@fuchsiastage/errors'
import type {
  AdapterDefinition, EngineState, LoadOrder, Milliseconds, ModelDefinition, OrderOutcome, PlacementRule, PriorityClass,
  TargetRoleDefinition, UnloadOrder, VmState
} from '@fuchsiastage/types'
import type { Result } from 'true-myth/result'

/** The parts of the configuration in force at this daemon that placement uses. */
export interface PlacementConfiguration {
  readonly version: number
  /** Whether the configuration was verified recently enough for placement decisions (design document, section 6.3). */
  readonly isFresh: boolean
  readonly models: ReadonlyMap<string, ModelDefinition>
  readonly adapters: ReadonlyMap<string, AdapterDefinition>
  /** Rules by model or adapter name. A model or adapter without a rule must not be loaded. */
  readonly rules: ReadonlyMap<string, PlacementRule>
  readonly roles: ReadonlyMap<string, TargetRoleDefinition>
}

/** An engine of this region, as known from the VM list and the membership. */
export interface PlacementTarget {
  readonly name: string
  readonly address: string
  readonly role: string
  readonly dataCentre: string
  readonly state: VmState
}

/** Engine process that an order is sent to. */
export interface OrderTarget extends PlacementTarget {
  /** The only incarnation of the engine that may receive the order. */
  readonly incarnation: string
}

export interface PlacementEngineClient {
  /**
   * Sends an order to one incarnation of a target. The order must never reach another incarnation:
   * the implementation reads the target's state on a connection, compares the incarnation, and sends
   * the order on the same connection. The fold relies on this when it settles all orders to an
   * incarnation that has ended.
   * The outcome `not-sent` guarantees that no byte of the order was sent or will be sent.
   */
  readonly sendOrder: (target: OrderTarget, order: LoadOrder | UnloadOrder, signal: AbortSignal) => Promise<OrderOutcome>
  /** Reads the current state of the target. The result must not be older than the call. */
  readonly readState: (target: PlacementTarget, signal: AbortSignal) => Promise<Result<EngineState, FuchsiastageError>>
}

export interface WantReplicaRequest {
  readonly model: string
  /** Set when the request names an adapter of the model. */
  readonly adapter?: string
  /** Remaining time of the waiting request. A duration, because the clocks of daemons differ. */
  readonly deadlineMilliseconds: Milliseconds
  readonly priority: PriorityClass
  /** Number of requests that wait for the replica at the requesting daemon. */
  readonly waiting: number
  /** Number of replicas requested. Default 1; higher if the existing replicas are at capacity. */
  readonly replicas?: number
}

export type WantReplicaAnswer =
  | { readonly kind: 'ready' }
  | { readonly kind: 'expected', readonly readyInMilliseconds: Milliseconds }
  | { readonly kind: 'refused', readonly code: WantReplicaRefusal, readonly retryAfterMilliseconds: Milliseconds }

export type WantReplicaRefusal =
  | 'not-holder'
  | 'configuration-unverified'
  | 'not-permitted'
  | 'deadline-unreachable'
  | 'no-capacity'
  | 'queue-full'

/** Number of requests for a model or adapter, as reported by a daemon to the lease holder. */
export interface PlacementUsage {
  readonly name: string
  readonly requests: number
  readonly inFlight: number
  /** Name of the reporting daemon. Each report replaces the previous one of the same daemon. */
  readonly daemon: string
}

export interface PlacementSettings {
  /** Maximum rate at which loads from the weight store start; setting `weight-store.loads-per-second`. */
  readonly loadsPerSecond: number
  /** Maximum number of concurrent loads from the weight store; setting `weight-store.concurrent-loads`. */
  readonly concurrentLoads: number
  /** Interval between two passes of the controller. A pass settles orders, reconciles targets and starts queued loads. */
  readonly scheduleMilliseconds: Milliseconds
  /** Minimum interval between two reviews of all reservations. */
  readonly reviewMilliseconds: Milliseconds
  /** Interval between two reads of a target that is unreachable, is missing from the VM list, or has an unsettled or unusable reservation. */
  readonly reconcileMilliseconds: Milliseconds
  /** Interval between two reads of any other target with reservations. */
  readonly sweepMilliseconds: Milliseconds
  /** Time after which an unconfirmed append is abandoned. */
  readonly appendTimeoutMilliseconds: Milliseconds
  readonly readTimeoutMilliseconds: Milliseconds
  /** Time after which the outcome of an order without a response counts as unknown. */
  readonly orderTimeoutMilliseconds: Milliseconds
  /** Time between the record that ends routing to a replica and its unload order, for the other daemons to apply the record. */
  readonly drainMilliseconds: Milliseconds
  /** Time without requests after which a replica may be evicted. */
  readonly evictableIdleMilliseconds: Milliseconds
  /** Waiting time after a failed load or removal before the same operation is retried for the model on the target. */
  readonly cooldownMilliseconds: Milliseconds
  /** Time that a target must be both missing from the VM list and unreachable before it is treated as removed. */
  readonly removedTargetMilliseconds: Milliseconds
  /** Assumed time to load one gigabyte from each location. It is the estimate before any load is measured, and slower measurements decay towards it. */
  readonly millisecondsPerGigabyte: { readonly memory: Milliseconds, readonly disk: Milliseconds, readonly remote: Milliseconds }
  /** Maximum number of models and adapters in the load queue. */
  readonly maximumQueue: number
}

export const DEFAULT_PLACEMENT_SETTINGS: PlacementSettings = {
  loadsPerSecond: 2,
  concurrentLoads: 4,
  scheduleMilliseconds: 200,
  reviewMilliseconds: 1_000,
  reconcileMilliseconds: 2_000,
  sweepMilliseconds: 60_000,
  appendTimeoutMilliseconds: 10_000,
  readTimeoutMilliseconds: 2_000,
  orderTimeoutMilliseconds: 900_000,
  drainMilliseconds: 3_000,
  evictableIdleMilliseconds: 5_000,
  cooldownMilliseconds: 10_000,
  removedTargetMilliseconds: 60_000,
  millisecondsPerGigabyte: { memory: 100, disk: 600, remote: 1_000 },
  maximumQueue: 2_000
}
