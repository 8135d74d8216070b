import type { Milliseconds } from './basic.js'

export type VmState = 'live' | 'leaving'

/** One VM in the platform's VM list. */
export interface VmRecord {
  readonly name: string
  /** `entry` for a VM that runs a daemon, otherwise the name of a target role. */
  readonly role: string
  readonly region: string
  readonly dataCentre: string
  /** IP address and port that serve requests, for example `10.0.0.1:8080`. */
  readonly address: string
  /** IP address and port of the peer protocol; set only for daemons. */
  readonly peerAddress?: string
  readonly state: VmState
}

export interface VmListing {
  readonly vms: readonly VmRecord[]
}

/** Last known location of a model's weights. It may be outdated, so use it only as a hint. */
export type WeightsLocation = 'memory' | 'disk' | 'remote'

export interface ModelState {
  readonly model: string
  readonly state: 'loading' | 'loaded' | 'unloading'
  /** Id of the order that loaded the model. */
  readonly orderId: string
  readonly memoryMegabytes: number
}

/** Load that a target reported. The values are at least `ageMilliseconds` old. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
  readonly capacity: number
  readonly ageMilliseconds: Milliseconds
}

export interface EngineState {
  readonly kind: 'engine'
  /** Identifies one run of the engine process; it changes with every restart. */
  readonly incarnation: string
  readonly state: VmState
  readonly fencingToken: number
  readonly memoryMegabytes: number
  readonly models: readonly ModelState[]
  /** Ids of the orders that this incarnation executed, oldest first. The list is bounded and keeps only the most recent ids. */
  readonly executedOrders: readonly string[]
  readonly cachedWeights: Readonly<Record<string, WeightsLocation>>
  readonly load: LoadReport
}

export interface ServiceState {
  readonly kind: 'service'
  readonly incarnation: string
  readonly state: VmState
  readonly load: LoadReport
}

export type TargetState = EngineState | ServiceState

export interface LoadOrder {
  readonly kind: 'load'
  readonly orderId: string
  readonly fencingToken: number
  readonly model: string
  /** The loaded model that the adapter extends; set only if the order loads an adapter. */
  readonly baseModel?: string
  readonly memoryMegabytes: number
  readonly weightsMegabytes: number
}

export interface UnloadOrder {
  readonly kind: 'unload'
  readonly orderId: string
  readonly fencingToken: number
  readonly model: string
}

/**
 * Result of an order to an engine. `not-sent`: the order was not sent. `unknown`: the order may or may
 * not have been executed.
 */
export type OrderOutcome =
  | { readonly kind: 'done' }
  | { readonly kind: 'refused-token'; readonly currentToken: number }
  | { readonly kind: 'failed'; readonly reason: string }
  | { readonly kind: 'not-sent'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string }
