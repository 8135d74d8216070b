/**
 * The daemon as a library: every VM runs one.
 */
export { createDaemon } from './daemon.js'
export type { Daemon, DaemonAddresses, DaemonOptions } from './daemon.js'
