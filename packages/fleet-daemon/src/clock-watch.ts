import type { Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'

/** Much shorter than the times for which a process may be suspended; a check is cheap. */
const CHECK_PERIOD_MILLISECONDS = 500
/** Well above the drift and the resolution of both clocks. */
const SHIFT_TOLERANCE_MILLISECONDS = 300

/**
 * Logs a warning whenever the wall clock shifts against the monotonic clock, because the process was
 * suspended or the wall clock was set. Resolves when the signal aborts.
 *
 * @example
 * void watchClocks(clock, logger, stopping.signal)
 */
export async function watchClocks (clock: Clock, logger: Logger, signal: AbortSignal): Promise<void> {
  let offset: Milliseconds = clock.wallNow() - clock.now()
  while (!signal.aborted) {
    await clock.sleep(CHECK_PERIOD_MILLISECONDS, signal)
    const shift = clock.wallNow() - clock.now() - offset
    if (Math.abs(shift) <= SHIFT_TOLERANCE_MILLISECONDS) continue
    offset += shift
    logger.warn('the wall clock shifted against the monotonic clock: the process was suspended, or the wall clock was set', { event: 'clock-moved', milliseconds: Math.round(shift) })
  }
}
