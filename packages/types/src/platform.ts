import type { Milliseconds } from './basic.js'

export type VmState = 'live' | 'leaving'

/** One entry of the platform's list of VMs. */
export interface VmRecord {
  readonly name: string
  /** `entry` for VMs that run a daemon, otherwise the name of a target role. */
  readonly role: string
  readonly region: string
  readonly dataCentre: string
  /** IP address and port of callers' traffic, as `10.0.0.1:8080`. */
  readonly address: string
  /** Address of the peer protocol; only daemons have one. */
  readonly peerAddress?: string
  readonly state: VmState
}

export interface VmListing {
  readonly vms: readonly VmRecord[]
}

/** Where a copy of a model's weights was last seen: a hint, never a fact. */
export type WeightsLocation = 'memory' | 'disk' | 'remote'

export interface ModelState {
  readonly model: string
  readonly state: 'loading' | 'loaded' | 'unloading'
  /** The order that loaded the model. */
  readonly orderId: string
  readonly memoryMegabytes: number
}

/** What a target says about its load; it lags behind by `ageMilliseconds` or more. */
export interface LoadReport {
  readonly running: number
  readonly waiting: number
  readonly capacity: number
  readonly ageMilliseconds: Milliseconds
}

export interface EngineState {
  readonly kind: 'engine'
  /** Changes whenever the engine process starts anew. */
  readonly incarnation: string
  readonly state: VmState
  readonly fencingToken: number
  readonly memoryMegabytes: number
  readonly models: readonly ModelState[]
  /** Order ids that this incarnation has executed, newest last, bounded. */
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
  /** Set when the order loads an adapter onto an already loaded model. */
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

/** Answer of an engine to an order. `unknown`: the order may or may not have been executed. */
export type OrderOutcome =
  | { readonly kind: 'done' }
  | { readonly kind: 'refused-token'; readonly currentToken: number }
  | { readonly kind: 'failed'; readonly reason: string }
  | { readonly kind: 'not-sent'; readonly reason: string }
  | { readonly kind: 'unknown'; readonly reason: string }
