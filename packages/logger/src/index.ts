/**
 * JSON-lines logger. A line that names an event becomes an entry of the time line.
 */
export type { Logger, LogFields, LogLevel, LogSink } from './logger.js'
export { createBoundedSink } from './bounded-sink.js'
export type { BoundedSink } from './bounded-sink.js'
export { createLogger, createMemoryLogger, LOG_LEVELS } from './logger.js'
