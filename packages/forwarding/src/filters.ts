import type { ChainFilter } from '@fuchsiastage/filter-chain'
import { chooseService, findRoute, hashToUnitInterval } from '@fuchsiastage/fleet'
import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import type { DaemonStop } from './daemon-stop.js'
import { rejectIfConfirmed, type ConfigurationState } from './configuration-state.js'
import { pathOf, type ForwardContext, type ForwardOutcome } from './request.js'

export type ForwardFilter = ChainFilter<ForwardContext, ForwardOutcome>

/** Retry delay for clients while this daemon has no configuration yet. */
const NO_CONFIGURATION_RETRY_MILLISECONDS = 500
/**
 * Deadline of a request that states none and whose route has no timeout. A minute is the usual
 * timeout of HTTP clients.
 */
const DEFAULT_DEADLINE_MILLISECONDS = 60_000

/**
 * Finds the route and the service of a request. Refuses requests while no configuration is known, and those
 * without a route while a newer configuration may have one. Requests with a route are served with a
 * configuration of any age.
 *
 * @example
 * const filter = createRouteFilter({ configuration: holder.current, isConfigurationConfirmed })
 */
export function createRouteFilter (state: ConfigurationState): ForwardFilter {
  return async (context, next) => {
    const configuration = state.configuration()
    if (configuration === undefined) return { kind: 'refused', reason: 'configuration-unknown', retryAfterMilliseconds: NO_CONFIGURATION_RETRY_MILLISECONDS }
    const { request, trace } = context
    trace.version = configuration.version
    const route = findRoute(configuration, request.host, pathOf(request))
    if (route === undefined) return rejectIfConfirmed(state, { status: 404, reason: 'route-unknown' })
    trace.route = route.name
    // A stream goes on at the service that began it.
    const service = configuration.services.get(chooseService(route, hashToUnitInterval(request.description.resumes ?? request.description.id)) ?? '')
    if (service === undefined) return rejectIfConfirmed(state, { status: 404, reason: 'service-unknown' })
    trace.service = service.name
    return await next({ ...context, configuration, route, service })
  }
}

/**
 * Sets the deadline of the request: the shorter of the client's deadline and the route's timeout.
 * The request's signal aborts when the deadline passes, or when this daemon ends before.
 *
 * @example
 * const filter = createDeadlineFilter(clock, stop)
 */
export function createDeadlineFilter (clock: Clock, stop: Pick<DaemonStop, 'onRequestsEnded'>): ForwardFilter {
  return async (context, next) => {
    const { request, route } = context
    const limits = [request.description.deadlineMilliseconds, route?.timeoutMilliseconds].filter((limit) => limit !== undefined)
    const limit: Milliseconds = limits.length === 0 ? DEFAULT_DEADLINE_MILLISECONDS : Math.min(...limits)
    const deadlineAt = request.receivedAt + limit
    const expiry = new AbortController()
    const expire = (): void => expiry.abort(new Error('deadline exceeded'))
    const timer = clock.setTimer(deadlineAt - clock.now(), expire)
    // A request that its client has sent ahead of an earlier response waits for that one before it is forwarded.
    if (deadlineAt <= clock.now()) expire()
    const releaseStop = stop.onRequestsEnded(() => expiry.abort(new Error('daemon stopping')))
    try {
      return await next({ ...context, deadlineAt, signal: AbortSignal.any([context.signal, expiry.signal]) })
    } finally {
      releaseStop()
      timer.cancel()
    }
  }
}
