/**
 * Selects the target of a request from delayed load reports, the daemon's own requests in flight
 * and hints about cached prompt prefixes.
 */
export { createOutlierDetector } from './outliers.js'
export type { OutlierDetector, OutlierSettings } from './outliers.js'
export { createReportStore } from './reports.js'
export type { KnownTarget, ReportStore, TargetUpdate } from './reports.js'
export { createRequestTracker } from './request-tracker.js'
export type { RequestResult, RequestTracker } from './request-tracker.js'
export { createRouter, DEFAULT_ROUTER_SETTINGS } from './router.js'
export type {
  CacheEventInput,
  RouteDecision,
  RouteKey,
  Router,
  RouteRequest,
  RouterOptions,
  RouterSettings,
  RoutingTarget,
  UnusableReason
} from './router.js'
