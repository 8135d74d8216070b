import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { EngineReport, KnownTarget } from '@fuchsiastage/fleet'
import type { Result } from 'true-myth/result'

export interface EngineOrder {
  readonly operation: 'load' | 'unload'
  readonly model: string
  readonly adapter: string | undefined
  /** The engine refuses the order unless it has accepted exactly this many orders since its start. */
  readonly expectedOrderCount: number
  readonly holder: string
  /** Term of the order lease, used as fencing token: it increases monotonically. */
  readonly term: number
}

export type OrderAnswer =
  | { readonly kind: 'accepted' }
  /** The engine is already in the requested state. */
  | { readonly kind: 'holds' }
  /** Another order is in progress, or the order count differs from the expected one. */
  | { readonly kind: 'conflict' }
  | { readonly kind: 'rejected', readonly status: number }
  /** No response arrived: the order may have been accepted, or may still be accepted later. */
  | { readonly kind: 'unanswered', readonly reason: string }

/** Client of the model engines. A response of another incarnation of the target counts as `rejected`. */
export interface EnginePort {
  readonly order: (target: KnownTarget, order: EngineOrder) => Promise<OrderAnswer>
  readonly report: (target: KnownTarget) => Promise<Result<EngineReport, FuchsiastageError>>
}
