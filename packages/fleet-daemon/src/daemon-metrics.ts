import type { FinishedRequest } from '@fuchsiastage/forwarding'
import { Counter, Gauge, Histogram, Registry } from 'prom-client'
import { createCustomerCounter } from './customer-counter.js'

export interface DaemonMetrics {
  readonly registry: Registry
  readonly recordRequest: (finished: FinishedRequest) => void
  readonly logServiceCalls: Counter<'call' | 'outcome'>
  readonly configurationVersion: Gauge
  readonly configurationAge: Gauge
  readonly membersAlive: Gauge
  readonly inFlight: Gauge
  readonly holdsLease: Gauge
  readonly limitedTargets: Gauge
  readonly pausedTargets: Gauge
  readonly brittleTargets: Gauge
  readonly pacedTargets: Gauge
  readonly cutOff: Gauge
  readonly activeHandovers: Gauge
  readonly quarantinedPrompts: Gauge
  readonly quarantinedRequests: Gauge
  readonly permits: Counter<'outcome'>
  readonly roomDecisions: Counter<'outcome'>
  readonly allowances: Counter<'customer' | 'outcome'>
  readonly clientMemory: Gauge<'use'>
  readonly unfinishedBodies: Gauge
  readonly clientConnections: Gauge
  readonly clientRejections: Counter<'reason'>
  readonly droppedLogLines: Gauge
}

const SECONDS_BUCKETS = [0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2, 4, 8, 15, 30]

/**
 * Creates the metrics of a fleet daemon.
 *
 * @example
 * const metrics = createDaemonMetrics()
 */
export function createDaemonMetrics (): DaemonMetrics {
  const registry = new Registry()
  const registers = [registry]
  const requests = new Counter({ name: 'fuchsiastage_forwarded_requests_total', help: 'Finished requests by route, outcome and reason', labelNames: ['route', 'outcome', 'reason'], registers })
  const seconds = new Histogram({ name: 'fuchsiastage_forwarded_request_seconds', help: 'Time from the arrival of a request to the end of its response', labelNames: ['route'], buckets: SECONDS_BUCKETS, registers })
  const sends = new Counter({ name: 'fuchsiastage_sends_total', help: 'Attempts to send a request to a target, by service and result', labelNames: ['service', 'result'], registers })
  const handovers = new Counter({ name: 'fuchsiastage_handovers_total', help: 'Attempts to hand a request over to a peer because this daemon could not connect to targets, by result', labelNames: ['result'], registers })
  const customerRequests = createCustomerCounter({ name: 'fuchsiastage_customer_requests_total', help: 'Finished requests by customer and outcome; customers beyond the 20 with most requests as other', labelNames: ['outcome'], registry })
  return {
    registry,
    recordRequest: ({ outcome, route = 'none', service = 'none', customer, milliseconds, sends: attempts, handovers: handedOver, from }) => {
      for (const { result } of attempts) sends.inc({ service, result })
      for (const { result } of handedOver) handovers.inc({ result })
      // The daemon at which its client sent it counts the request.
      if (from !== undefined) return
      // A reason may contain a library's message after a colon; as a label it would have unbounded cardinality.
      const reason = 'reason' in outcome ? outcome.reason.split(':', 1)[0] ?? '' : ''
      if (customer !== undefined) customerRequests.increment(customer, { outcome: outcome.kind })
      requests.inc({ route, outcome: outcome.kind, reason })
      seconds.observe({ route }, milliseconds / 1000)
    },
    logServiceCalls: new Counter({ name: 'fuchsiastage_log_service_calls_total', help: 'Calls to the log service by call and outcome', labelNames: ['call', 'outcome'], registers }),
    configurationAge: new Gauge({ name: 'fuchsiastage_serving_configuration_age_seconds', help: 'Time since the log service last confirmed, directly or through peers, that there is no newer configuration; infinite before that', registers }),
    configurationVersion: new Gauge({ name: 'fuchsiastage_serving_configuration_version', help: 'Version of the active configuration', registers }),
    membersAlive: new Gauge({ name: 'fuchsiastage_fleet_members_alive', help: 'Daemons that are alive according to the membership, including this one', registers }),
    inFlight: new Gauge({ name: 'fuchsiastage_sends_in_flight', help: 'Requests of this daemon in progress at targets', registers }),
    holdsLease: new Gauge({ name: 'fuchsiastage_holds_order_lease', help: '1 while this daemon holds the order lease and may send orders, otherwise 0', registers }),
    limitedTargets: new Gauge({ name: 'fuchsiastage_limited_targets', help: 'Targets known to limit the requests that they accept', registers }),
    pausedTargets: new Gauge({ name: 'fuchsiastage_paused_targets', help: 'Targets that have asked this daemon for a pause that is not over', registers }),
    brittleTargets: new Gauge({ name: 'fuchsiastage_brittle_targets', help: 'Targets known to be brittle, which fall over when they turn too many requests away', registers }),
    pacedTargets: new Gauge({ name: 'fuchsiastage_paced_targets', help: 'Targets that have just started or are used again, and whose concurrent requests this daemon limits', registers }),
    cutOff: new Gauge({ name: 'fuchsiastage_cut_off', help: '1 while this daemon reaches no targets, so that peers serve its requests, otherwise 0', registers }),
    activeHandovers: new Gauge({ name: 'fuchsiastage_handovers_active', help: 'Requests in progress that peers have handed over to this daemon', registers }),
    quarantinedPrompts: new Gauge({ name: 'fuchsiastage_quarantined_prompts', help: 'Combinations of prompt parts whose requests are rejected because they crash engines', registers }),
    quarantinedRequests: new Gauge({ name: 'fuchsiastage_quarantined_requests', help: 'Requests that are rejected when they come again because they crash targets', registers }),
    permits: new Counter({ name: 'fuchsiastage_target_permits_total', help: 'Decisions on requests of this daemon to targets that limit their requests, by outcome', labelNames: ['outcome'], registers }),
    roomDecisions: new Counter({ name: 'fuchsiastage_target_room_decisions_total', help: 'Decisions on requests of this daemon to brittle targets, by outcome', labelNames: ['outcome'], registers }),
    allowances: new Counter({ name: 'fuchsiastage_allowance_decisions_total', help: 'Decisions on requests of customers with an allowance, by customer (the 20 with the largest allowances, `other` for the rest) and outcome', labelNames: ['customer', 'outcome'], registers }),
    clientMemory: new Gauge({ name: 'fuchsiastage_client_memory_bytes', help: 'Memory accounted to requests and responses of clients, by use', labelNames: ['use'], registers }),
    unfinishedBodies: new Gauge({ name: 'fuchsiastage_client_unfinished_bodies', help: 'Request bodies that are being received', registers }),
    clientConnections: new Gauge({ name: 'fuchsiastage_client_connections', help: 'Open connections of clients', registers }),
    clientRejections: new Counter({ name: 'fuchsiastage_client_rejections_total', help: 'Requests refused and connections closed because of limits for clients, by reason', labelNames: ['reason'], registers }),
    droppedLogLines: new Gauge({ name: 'fuchsiastage_log_lines_dropped', help: 'Log lines dropped because the reader of the log output did not keep up', registers })
  }
}
