import type { FuchsiastageError } from '@fuchsiastage/errors'
import type {
  AdapterDefinition, EngineState, LoadOrder, Milliseconds, ModelDefinition, OrderOutcome, PlacementRule, PriorityClass,
  TargetRoleDefinition, UnloadOrder, VmState
} from '@fuchsiastage/types'
import type { Result } from 'true-myth/result'

/** What placement needs of the configuration in force at this daemon. */
export interface PlacementConfiguration {
  readonly version: number
  /** Whether the configuration is fresh enough to decide (design page, section 6.3). */
  readonly isFresh: boolean
  readonly models: ReadonlyMap<string, ModelDefinition>
  readonly adapters: ReadonlyMap<string, AdapterDefinition>
  /** Rules by model or adapter name; a name without a rule may not be loaded. */
  readonly rules: ReadonlyMap<string, PlacementRule>
  readonly roles: ReadonlyMap<string, TargetRoleDefinition>
}

/** An engine of this region, as the VM list and the membership show it. */
export interface PlacementTarget {
  readonly name: string
  readonly address: string
  readonly role: string
  readonly dataCentre: string
  readonly state: VmState
}

/** The engine process that an order is meant for. */
export interface OrderTarget extends PlacementTarget {
  /** Incarnation that the intent names. */
  readonly incarnation: string
}

export interface PlacementEngineClient {
  /**
   * Sends an order to one incarnation of a target. The implementation must not let the order reach
   * another incarnation: it reads the target's state on a connection, compares the incarnation, and
   * sends the order on that same connection without opening another. The fold settles every order
   * of an incarnation that has ended, which is only sound under this condition.
   * `not-sent` promises that no byte of the order was sent or ever will be.
   */
  readonly sendOrder: (target: OrderTarget, order: LoadOrder | UnloadOrder, signal: AbortSignal) => Promise<OrderOutcome>
  /** Reads the state anew: the answer is not older than the call. */
  readonly readState: (target: PlacementTarget, signal: AbortSignal) => Promise<Result<EngineState, FuchsiastageError>>
}

export interface WantReplicaRequest {
  readonly model: string
  /** Set when the request names an adapter of the model. */
  readonly adapter?: string
  /** Time that the waiting request has left. A duration, since clocks differ between daemons. */
  readonly deadlineMilliseconds: Milliseconds
  readonly priority: PriorityClass
  /** Number of requests that wait at the asking daemon. */
  readonly waiting: number
  /** Number of replicas wanted, 1 unless the asking daemon found the existing ones full. */
  readonly replicas?: number
}

export type WantReplicaAnswer =
  | { readonly kind: 'ready' }
  | { readonly kind: 'expected', readonly readyInMilliseconds: Milliseconds }
  | { readonly kind: 'refused', readonly code: WantRefusal, readonly retryAfterMilliseconds: Milliseconds }

export type WantRefusal =
  | 'not-holder'
  | 'configuration-unverified'
  | 'not-permitted'
  | 'deadline-unreachable'
  | 'no-capacity'
  | 'queue-full'

/** Requests that ran on a model or adapter, as daemons report them to the holder. */
export interface PlacementUsage {
  readonly name: string
  readonly requests: number
  readonly inFlight: number
  /** Name of the reporting daemon; its newest report replaces the one before. */
  readonly daemon: string
}

export interface PlacementSettings {
  /** `weight-store.loads-per-second`. */
  readonly loadsPerSecond: number
  /** `weight-store.concurrent-loads`. */
  readonly concurrentLoads: number
  /** Interval between two passes of the load queue. */
  readonly decideMilliseconds: Milliseconds
  /** Interval between two passes over all reservations. */
  readonly reviewMilliseconds: Milliseconds
  /** Interval between two reads of a target whose reservations are not settled or not usable. */
  readonly reconcileMilliseconds: Milliseconds
  /** Interval between two reads of any other target with reservations. */
  readonly sweepMilliseconds: Milliseconds
  /** Time after which an append that is not confirmed is given up. */
  readonly appendTimeoutMilliseconds: Milliseconds
  readonly readTimeoutMilliseconds: Milliseconds
  /** Time after which an order without an answer counts as unknown. */
  readonly orderTimeoutMilliseconds: Milliseconds
  /** Time that daemons get to stop routing to a replica before its unload order is sent. */
  readonly drainMilliseconds: Milliseconds
  /** Time without use after which a replica may be evicted. */
  readonly evictableIdleMilliseconds: Milliseconds
  /** Pause before a target is tried again for the same model after a failure. */
  readonly cooldownMilliseconds: Milliseconds
  /** Time that a target must be missing from the list and unreachable before it counts as gone. */
  readonly vanishedMilliseconds: Milliseconds
  /** Assumed time to load a gigabyte, until loads were measured. */
  readonly millisecondsPerGigabyte: { readonly memory: Milliseconds, readonly disk: Milliseconds, readonly remote: Milliseconds }
  /** Models and adapters that may wait in the load queue at the same time. */
  readonly maximumQueue: number
}

export const DEFAULT_PLACEMENT_SETTINGS: PlacementSettings = {
  loadsPerSecond: 2,
  concurrentLoads: 4,
  decideMilliseconds: 200,
  reviewMilliseconds: 1_000,
  reconcileMilliseconds: 2_000,
  sweepMilliseconds: 60_000,
  appendTimeoutMilliseconds: 10_000,
  readTimeoutMilliseconds: 2_000,
  orderTimeoutMilliseconds: 900_000,
  drainMilliseconds: 3_000,
  evictableIdleMilliseconds: 5_000,
  cooldownMilliseconds: 10_000,
  vanishedMilliseconds: 60_000,
  millisecondsPerGigabyte: { memory: 100, disk: 600, remote: 1_000 },
  maximumQueue: 2_000
}
