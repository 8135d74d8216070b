import { findRoute, type ServingConfiguration, type ServingCustomer, type ServingRoute } from '@fuchsiastage/fleet'
import { rejectIfConfirmed, type ConfigurationState } from './configuration-state.js'
import type { ForwardFilter } from './filters.js'
import { pathOf, type ForwardContext, type ForwardOutcome, type InboundRequest } from './request.js'

export type CustomerIdentity =
  | { readonly kind: 'customer', readonly customer: ServingCustomer }
  /** The request needs no key. */
  | { readonly kind: 'anonymous' }
  | { readonly kind: 'ended', readonly outcome: Extract<ForwardOutcome, { readonly kind: 'rejected' | 'refused' }> }

/**
 * Identifies the customer of a request by its key. A request that no customer can be told for is rejected
 * with 401, or refused with 503 while a newer configuration may admit it.
 *
 * @example
 * const identity = identifyCustomer(configuration, route, request, state)
 */
export function identifyCustomer (
  { customers }: Pick<ServingConfiguration, 'customers'>,
  route: Pick<ServingRoute, 'allowsAnonymous'>,
  { description: { key } }: Pick<InboundRequest, 'description'>,
  state: Pick<ConfigurationState, 'isConfigurationConfirmed'>
): CustomerIdentity {
  if (customers === undefined) return { kind: 'anonymous' }
  if (key === undefined && route.allowsAnonymous === true) return { kind: 'anonymous' }
  const customer = key?.kind === 'single' ? customers.byKeyDigest.get(key.digest) : undefined
  if (customer !== undefined) return { kind: 'customer', customer }
  return { kind: 'ended', outcome: rejectIfConfirmed(state, { status: 401, reason: key === undefined ? 'key-missing' : 'key-unknown' }) }
}

/**
 * Creates the filter that identifies the customer of a request. It belongs after the route filter.
 *
 * @example
 * const filter = createCustomerFilter({ isConfigurationConfirmed })
 */
export function createCustomerFilter (state: Pick<ConfigurationState, 'isConfigurationConfirmed'>): ForwardFilter {
  return async (context, next) => {
    const { configuration, route, request } = context
    if (configuration === undefined || route === undefined) throw new Error('the customer filter requires a configuration and a route; add the route filter before it')
    const identity = identifyCustomer(configuration, route, request, state)
    return identity.kind === 'ended' ? identity.outcome : await next(withCustomer(context, identity))
  }
}

/** Identifies the customer of a request again, if the configuration has changed since. Returns the context of the request, or its outcome if it must not be sent. */
export type RecheckCustomer = (context: ForwardContext, route: ServingRoute) => ForwardContext | ForwardOutcome

/**
 * Creates the check of a request that has waited, just before it is sent: its key may have been removed or
 * given to another customer, or customers may have been introduced.
 *
 * @example
 * const checked = recheck(context, route)
 * if ('kind' in checked) return checked
 */
export function createCustomerRecheck (state: ConfigurationState): RecheckCustomer {
  return (context, route) => {
    const { request, configuration: known } = context
    const configuration = state.configuration()
    if (configuration === undefined || configuration === known) return context
    // Without customers there is nothing to check; the key of a request that was identified before stays hidden.
    if (configuration.customers === undefined) return context
    const currentRoute = findRoute(configuration, request.host, pathOf(request)) ?? route
    const identity = identifyCustomer(configuration, currentRoute, request, state)
    return identity.kind === 'ended' ? identity.outcome : withCustomer({ ...context, configuration }, identity)
  }
}

/**
 * Returns the context of a request that a target has begun to run. It goes on as it was identified, but once
 * there are customers its header may state a key, which no further target may get.
 *
 * @example
 * const continued = withKeyHidden(context, currentConfiguration())
 */
export function withKeyHidden (context: ForwardContext, configuration: ServingConfiguration | undefined): ForwardContext {
  return context.configuration?.customers === undefined && configuration?.customers !== undefined ? { ...context, configuration } : context
}

/** Replaces the customer of a context, and of the log line of its request. */
function withCustomer ({ customer: _previous, ...context }: ForwardContext, identity: Exclude<CustomerIdentity, { kind: 'ended' }>): ForwardContext {
  switch (identity.kind) {
    case 'anonymous':
      context.trace.customer = undefined
      return context
    case 'customer':
      context.trace.customer = identity.customer.name
      return { ...context, customer: identity.customer }
  }
}
