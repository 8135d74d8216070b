import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { EngineReport, KnownTarget } from '@fuchsiastage/fleet'
import type { Result } from 'true-myth/result'

export interface EngineOrder {
  readonly operation: 'load' | 'unload'
  readonly model: string
  readonly adapter: string | undefined
  /** The order is refused unless the engine has accepted exactly this many orders. */
  readonly expectedOrderCount: number
  readonly holder: string
  /** Fencing token: it only rises. */
  readonly term: number
}

export type OrderAnswer =
  | { readonly kind: 'accepted' }
  /** What was ordered holds already. */
  | { readonly kind: 'holds' }
  /** Another order is in progress, or the count differs. */
  | { readonly kind: 'conflict' }
  | { readonly kind: 'rejected', readonly status: number }
  /** The order may have been accepted, or may still be. */
  | { readonly kind: 'unanswered', readonly reason: string }

/** Access to the model engines; an answer of another instance counts as `rejected`. */
export interface EnginePort {
  readonly order: (target: KnownTarget, order: EngineOrder) => Promise<OrderAnswer>
  readonly report: (target: KnownTarget) => Promise<Result<EngineReport, FuchsiastageError>>
}
