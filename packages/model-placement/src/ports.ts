import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { EngineReport, KnownTarget } from '@fuchsiastage/fleet'
import type { Result } from 'true-myth/result'

/** Command to a model engine to load or unload a model, or one adapter of a loaded model. */
export interface EngineOrder {
  readonly operation: 'load' | 'unload'
  readonly model: string
  readonly adapter: string | undefined
  /** Number of orders that the engine must have accepted since its start. With any other number it refuses the order. */
  readonly expectedOrderCount: number
  readonly holder: string
  /** Term of the order lease, used as fencing token: it increases monotonically. */
  readonly term: number
}

export type OrderAnswer =
  | { readonly kind: 'accepted' }
  /** The engine is in the requested state: it was before the order, or it has unloaded an idle adapter immediately. */
  | { readonly kind: 'holds' }
  /** Another order is in progress, or the order count differs from the expected one. */
  | { readonly kind: 'conflict' }
  | { readonly kind: 'rejected', readonly status: number }
  /** No response arrived: the order may have been accepted, or may still be accepted later. */
  | { readonly kind: 'unanswered', readonly reason: string }

/** Client of the model engines. A report that states another incarnation of the target is an error. */
export interface EnginePort {
  readonly order: (target: KnownTarget, order: EngineOrder) => Promise<OrderAnswer>
  readonly report: (target: KnownTarget) => Promise<Result<EngineReport, FuchsiastageError>>
}
