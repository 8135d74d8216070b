import type { Milliseconds } from '@fuchsiastage/types'

/** Decision on when a request may be sent to a target. */
export type TurnDecision =
  /** The request may be sent after the wait. */
  | { readonly kind: 'granted', readonly waitMilliseconds: Milliseconds }
  /** The request may not be sent now, because the target limits its requests, has asked for a pause, or is brittle and has no room. */
  | { readonly kind: 'denied', readonly reason: 'limit' | 'pause' | 'room', readonly retryAfterMilliseconds: Milliseconds }
  /** The request is better sent to another target, because this one has just started or recovered. */
  | { readonly kind: 'denied', readonly reason: 'pace', readonly retryAfterMilliseconds: Milliseconds }
