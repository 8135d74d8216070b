import type { ServingConfiguration } from '@fuchsiastage/fleet'
import type { ForwardOutcome } from './request.js'

/** The active configuration of this daemon, and whether it is known to be the newest. */
export interface ConfigurationState {
  readonly configuration: () => ServingConfiguration | undefined
  /** Whether the log service, or a peer that it has confirmed it to, has confirmed recently that there is no newer configuration. */
  readonly isConfigurationConfirmed: () => boolean
}

type Rejection = Extract<ForwardOutcome, { readonly kind: 'rejected' }>
type Refusal = Extract<ForwardOutcome, { readonly kind: 'refused' }>

/** Reason of the refusal of a request that a newer configuration may admit. */
export const UNCONFIRMED_REASON = 'configuration-unconfirmed'
/** Retry delay for clients while a newer configuration may admit their request. A daemon without contact gets the newest within about a second of regaining it. */
export const UNCONFIRMED_RETRY_MILLISECONDS = 500

/**
 * Returns the outcome of a request that the configuration does not admit: the rejection, or a refusal while a
 * newer configuration may admit the request. A client does not send a request again after a rejection.
 *
 * @example
 * if (route === undefined) return rejectIfConfirmed(state, { status: 404, reason: 'route-unknown' })
 */
export function rejectIfConfirmed ({ isConfigurationConfirmed }: Pick<ConfigurationState, 'isConfigurationConfirmed'>, { status, reason }: Pick<Rejection, 'status' | 'reason'>): Rejection | Refusal {
  return isConfigurationConfirmed()
    ? { kind: 'rejected', status, reason }
    : { kind: 'refused', reason: UNCONFIRMED_REASON, retryAfterMilliseconds: UNCONFIRMED_RETRY_MILLISECONDS }
}
