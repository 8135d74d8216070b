/**
 * The daemon as a library. Every entry VM runs one daemon.
 */
export { createDaemon } from './daemon.js'
export type { Daemon, DaemonAddresses, DaemonOptions } from './daemon.js'
export { createDaemonCore } from './daemon-core.js'
export type { DaemonCore, DaemonCoreOptions, DaemonGauges, DaemonPorts, DaemonStatus, EntryList, PeerLookups } from './daemon-types.js'
export { createPeerCalls } from './peer-calls.js'
export type { PeerCalls, PeerCallsOptions } from './peer-calls.js'
export { runPlannedStop } from './planned-stop.js'
export type { PlannedStopOptions } from './planned-stop.js'
export type { TargetServices } from './target-services.js'
