/**
 * Benchmarks of placement and routing decisions on a fake clock, with their bounds and reports, and
 * measurements of capacity and of the request path in real time.
 */
export { readBounds } from './bounds.js'
export type { Bounds, BoundComparison } from './bounds.js'
export { checkColdStartBounds, checkLookupBound, checkRouteBounds, runBenchCheck } from './check.js'
export { runColdStart } from './cold-start/run.js'
export type { ColdStartFigures, ColdStartOptions, ColdStartResult } from './cold-start/run.js'
export { addBenchCommand } from './command.js'
export type { BenchCommandOutput } from './command.js'
export { createReport } from './report.js'
export { measureDecisionCosts } from './route/decision-cost.js'
export { runRoute } from './route/run.js'
export type { RouteResult } from './route/run.js'
