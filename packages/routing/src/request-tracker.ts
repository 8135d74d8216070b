import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

/** How a request at a target ended. `refused`: the target said that it had run nothing. */
export type RequestResult =
  | { readonly kind: 'success', readonly firstByteMilliseconds: Milliseconds }
  | { readonly kind: 'refused', readonly code: 'busy' | 'leaving' | 'model-not-loaded' }
  | { readonly kind: 'failure' }
  /** The caller went away, which says nothing about the target. */
  | { readonly kind: 'cancelled' }

export interface RequestTracker {
  readonly begin: (target: string) => void
  readonly end: (target: string, result: RequestResult) => void
  /** Own requests in flight at the target. */
  readonly inFlight: (target: string) => number
  /** Own requests begun minus own requests ended after the given time. */
  readonly netSince: (target: string, time: Milliseconds) => number
  /** Time of the last `busy` refusal, or undefined. */
  readonly busyAt: (target: string) => Milliseconds | undefined
  readonly retain: (targets: ReadonlySet<string>) => void
  readonly onEnd: (listener: (target: string, result: RequestResult) => void) => void
}

export declare function createRequestTracker (options: { readonly clock: Clock }): RequestTracker
