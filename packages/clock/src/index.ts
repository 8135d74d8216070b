/**
 * The millisecond clock that is passed to every part that needs time.
 */
export type { Clock, Timer } from './clock.js'
export { createSystemClock } from './system-clock.js'
export { createManualClock } from './manual-clock.js'
export type { ManualClock } from './manual-clock.js'
export { linkSignals } from './link-signals.js'
export type { LinkedSignal } from './link-signals.js'
