import type { DaemonGauges } from './daemon-types.js'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'

/** The metrics of one daemon. Each daemon has its own registry. */
export interface Metrics {
  readonly registry: Registry
  readonly requests: Counter<'route' | 'outcome' | 'code'>
  readonly requestSeconds: Histogram<'route'>
  readonly configurationVersion: Gauge
  readonly configurationAgeSeconds: Gauge
  readonly refusing: Gauge
  readonly waiting: Gauge
  readonly running: Gauge
  readonly rolesHeld: Gauge
  readonly reservationsInDoubt: Gauge
  readonly placementQueue: Gauge
  readonly firstByteSeconds: Histogram
  readonly membersAlive: Gauge
  readonly unsettledClaims: Gauge
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
    requests: new Counter({ name: 'fuchsiastage_requests_total', help: 'Requests from callers by route, outcome and code', labelNames: ['route', 'outcome', 'code'], registers }),
    requestSeconds: new Histogram({ name: 'fuchsiastage_request_seconds', help: 'Time from the arrival of a request to the end of its response', labelNames: ['route'], buckets: SECONDS_BUCKETS, registers }),
    configurationVersion: new Gauge({ name: 'fuchsiastage_configuration_version', help: 'Configuration version in force', registers }),
    configurationAgeSeconds: new Gauge({ name: 'fuchsiastage_configuration_age_seconds', help: 'Time since the last read that verified the configuration to be current', registers }),
    refusing: new Gauge({ name: 'fuchsiastage_configuration_unverified', help: '1 while requests are refused because the configuration cannot be verified', registers }),
    waiting: new Gauge({ name: 'fuchsiastage_requests_waiting', help: 'Requests waiting for admission', registers }),
    running: new Gauge({ name: 'fuchsiastage_requests_running', help: 'Requests that an admission queue has admitted and that have not ended', registers }),
    rolesHeld: new Gauge({ name: 'fuchsiastage_roles_held', help: 'Leases held by this daemon', registers }),
    reservationsInDoubt: new Gauge({ name: 'fuchsiastage_reservations_in_doubt', help: 'Reservations with a load order that may still take effect, including those of loads in progress', registers }),
    placementQueue: new Gauge({ name: 'fuchsiastage_placement_queue', help: 'Models and adapters in the load queue of this daemon while it holds the placement lease', registers }),
    firstByteSeconds: new Histogram({ name: 'fuchsiastage_first_byte_seconds', help: 'Time from sending a request to a target until the first byte of the response', buckets: SECONDS_BUCKETS, registers }),
    membersAlive: new Gauge({ name: 'fuchsiastage_members_alive', help: 'Daemons considered alive, including this one', registers }),
    unsettledClaims: new Gauge({ name: 'fuchsiastage_claims_unsettled', help: 'Claims of this daemon whose settlement has not been confirmed yet', registers })
  }
}

/** Sets the gauges to the current state of the controllers. */
export function recordGauges (metrics: Metrics, gauges: DaemonGauges): void {
  metrics.waiting.set(gauges.waiting)
  metrics.running.set(gauges.running)
  metrics.configurationVersion.set(gauges.version)
  metrics.configurationAgeSeconds.set(gauges.verifiedAgeMilliseconds / 1_000)
  metrics.refusing.set(gauges.isRefusing ? 1 : 0)
  metrics.membersAlive.set(gauges.membersAlive)
  metrics.unsettledClaims.set(gauges.unsettledClaims)
  metrics.rolesHeld.set(gauges.rolesHeld)
  metrics.reservationsInDoubt.set(gauges.reservationsInDoubt)
  metrics.placementQueue.set(gauges.placementQueue)
}
