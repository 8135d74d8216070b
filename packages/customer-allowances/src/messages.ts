import type { AllowanceUnit } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'

/** What the asking daemon knows of the bucket from the last answer that it got. */
export interface PreviousAnswer {
  /** Name of the daemon that answered. */
  readonly issuer: string
  /** Level of the bucket after that decision, in units of the allowance. */
  readonly level: number
  /** Time since that request was sent, so that the level now is at most `level` plus the refill of this time. */
  readonly ageMilliseconds: Milliseconds
  /** Whether that daemon is responsive and serving according to the asking one. */
  readonly isActive: boolean
}

/** Request of a daemon to the issuer of a customer's allowance. Amounts are in units of the allowance. */
export interface AllowanceRequest {
  readonly customer: string
  readonly unit: AllowanceUnit
  readonly cost: number
  readonly maximumWaitMilliseconds: Milliseconds
  readonly perSecond: number
  readonly burst: number
  /** Version of the configuration that contains the limit. */
  readonly configurationVersion: number
  /** Cost of requests that were granted within the last second and have reached no target. */
  readonly returned: number
  /** Cost of requests that the asking daemon has granted on credit; it is charged whatever the decision. */
  readonly spent?: number
  /** What the customer used at the asking daemon in the last full second; it bounds the advance. */
  readonly recentUse: number
  readonly previous?: PreviousAnswer | undefined
}

export type AllowanceAnswer =
  /** The request may be sent after the wait; `advance` is for further requests, and already deducted. */
  | { readonly kind: 'granted', readonly waitMilliseconds: Milliseconds, readonly advance: number, readonly level: number }
  /** There is room for the request after the retry time. */
  | { readonly kind: 'denied', readonly retryAfterMilliseconds: Milliseconds, readonly level: number }
  /** Another daemon issues the allowance at least for the given time. */
  | { readonly kind: 'not-issuing', readonly forMilliseconds: Milliseconds }

export type AllowanceDecision =
  | { readonly kind: 'granted', readonly waitMilliseconds: Milliseconds }
  /** The customer has used up its allowance; there is room after the retry time. */
  | { readonly kind: 'denied', readonly retryAfterMilliseconds: Milliseconds }
  /** The issuer does not respond, and the request does not fit into what this daemon may grant alone. */
  | { readonly kind: 'unavailable', readonly retryAfterMilliseconds: Milliseconds }

/** The daemons that share the allowances, as one of them sees them. */
export interface FleetView {
  /** Responsive daemons, including this one. */
  readonly responsive: number
  /** Daemons that are expected to run, including this one; infinite while their number is not known. */
  readonly known: number
}
