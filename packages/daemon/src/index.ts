/**
 * The daemon as a library: every VM runs one.
 */
export { createDaemon } from './daemon.js'
export type { Daemon, DaemonAddresses, DaemonOptions } from './daemon.js'
export { createDaemonCore } from './daemon-core.js'
export type { DaemonCore, DaemonCoreOptions, DaemonGauges, DaemonPorts, DaemonStatus, EntriesAnswer, PeerLookups } from './daemon-core.js'
export type { PeerCalls } from './peer-calls.js'
export type { TargetServices } from './target-services.js'
