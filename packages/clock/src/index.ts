/**
 * Clock interface in milliseconds, with a system clock and a manually advanced clock for tests, and
 * helpers for timeouts and abort signals.
 */
export type { Clock, Timer } from './clock.js'
export { createSystemClock } from './system-clock.js'
export { createManualClock } from './manual-clock.js'
export type { ManualClock } from './manual-clock.js'
export { elapsedSince, laterBy, momentOf } from './moment.js'
export type { Moment } from './moment.js'
export { linkSignals } from './link-signals.js'
export type { LinkedSignal } from './link-signals.js'
export { readPendingEvents, trackArrivals } from './pending-events.js'
export { withTimeout } from './with-timeout.js'
