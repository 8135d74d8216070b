/**
 * Small stand-ins for the platform and for targets, in-process or as processes of their own.
 */
export { LOOPBACK } from './http-server.js'
export type { CommonControl, ListenOptions, StandIn } from './http-server.js'
export { createLogStandIn } from './log-stand-in.js'
export type { LogControl, LogCounts, LogStandIn, LogStandInOptions } from './log-stand-in.js'
