/**
 * Daemon of a fleet: composes its controllers and starts its servers.
 */
export { createDaemonMetrics } from './daemon-metrics.js'
export type { DaemonMetrics } from './daemon-metrics.js'
export { startFleetDaemon } from './fleet-daemon.js'
export type { FleetDaemon, FleetDaemonOptions, FleetDaemonPorts, FleetDaemonSettings } from './fleet-daemon.js'
export { startCrashingFleet } from './simulated-crashes.js'
export type { CrashingFleet, CrashingFleetOptions, CrashingFleetRequest, DeadlyCause, TargetArrival } from './simulated-crashes.js'
export { startCutOffFleet } from './simulated-cut-off.js'
export type { CutOffFleet, CutOffFleetOptions, CutOffRequest, CutOffRequestKind, LinkFault, TargetRun } from './simulated-cut-off.js'
export { startSimulatedExchange } from './simulated-exchange.js'
export type { ExchangeNode, SimulatedExchange } from './simulated-exchange.js'
export { startLimitedFleet } from './simulated-limits.js'
export type { LimitedFleet, LimitedFleetOptions, SimulatedTarget } from './simulated-limits.js'
