import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** The metrics of one daemon; each daemon has a registry of its own. */
export interface Metrics {
  readonly registry: Registry
  readonly requests: Counter<'route' | 'outcome' | 'code'>
  readonly requestSeconds: Histogram<'route'>
  readonly coldStartSeconds: Histogram
  readonly configurationVersion: Gauge
  readonly configurationAgeSeconds: Gauge
  readonly refusing: Gauge
  readonly waiting: Gauge
  readonly running: Gauge
  readonly rolesHeld: Gauge
  readonly membersAlive: Gauge
  readonly unsettledClaims: Gauge
  readonly peerCalls: Counter<'step' | 'result'>
  readonly logAppends: Counter<'result'>
}

const SECONDS_BUCKETS = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.46, 1, 2.5, 5, 10, 30, 60, 120, 300]

/**
 * Creates the metrics of a daemon.
 *
 * @example
 * const metrics = createMetrics()
 * metrics.requests.inc({ route: 'completion', outcome: 'done', code: 'ok' })
 */
export function createMetrics (): Metrics {
  const registry = new Registry()
  const registers = [registry]
  return {
    registry,
    requests: new Counter({ name: 'fuchsiastage_requests_total', help: 'Requests of callers by route, outcome and code', labelNames: ['route', 'outcome', 'code'], registers }),
    requestSeconds: new Histogram({ name: 'fuchsiastage_request_seconds', help: 'Time from the arrival of a request to the end of its answer', labelNames: ['route'], buckets: SECONDS_BUCKETS, registers }),
    coldStartSeconds: new Histogram({ name: 'fuchsiastage_cold_start_seconds', help: 'Time a request waited for a replica', buckets: SECONDS_BUCKETS, registers }),
    configurationVersion: new Gauge({ name: 'fuchsiastage_configuration_version', help: 'Configuration version in force', registers }),
    configurationAgeSeconds: new Gauge({ name: 'fuchsiastage_configuration_age_seconds', help: 'Time since the configuration was last verified to be the newest', registers }),
    refusing: new Gauge({ name: 'fuchsiastage_configuration_unverified', help: '1 while requests are refused because the configuration cannot be verified', registers }),
    waiting: new Gauge({ name: 'fuchsiastage_requests_waiting', help: 'Requests waiting for admission', registers }),
    running: new Gauge({ name: 'fuchsiastage_requests_running', help: 'Requests sent to targets', registers }),
    rolesHeld: new Gauge({ name: 'fuchsiastage_roles_held', help: 'Leases held by this daemon', registers }),
    membersAlive: new Gauge({ name: 'fuchsiastage_members_alive', help: 'Daemons believed to be alive, this one included', registers }),
    unsettledClaims: new Gauge({ name: 'fuchsiastage_claims_unsettled', help: 'Claims of this daemon whose settlement is not confirmed yet', registers }),
    peerCalls: new Counter({ name: 'fuchsiastage_peer_calls_total', help: 'Calls to peers by step and result', labelNames: ['step', 'result'], registers }),
    logAppends: new Counter({ name: 'fuchsiastage_log_appends_total', help: 'Appends to the log service by result', labelNames: ['result'], registers })
  }
}
