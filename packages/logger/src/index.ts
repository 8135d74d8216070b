/**
 * Logger that writes JSON lines. The timeline package merges the lines of all processes in time order.
 */
export type { Logger, LogFields, LogLevel, LogSink } from './logger.js'
export { createBoundedSink } from './bounded-sink.js'
export type { BoundedSink } from './bounded-sink.js'
export { createLogger, createMemoryLogger, LOG_LEVELS } from './logger.js'
