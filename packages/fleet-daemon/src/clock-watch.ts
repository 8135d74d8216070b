import type { Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'

/** Short against the times for which a process may be frozen, and cheap. */
const CHECK_PERIOD_MILLISECONDS = 500
/** Well above the drift and the resolution of both clocks. */
const SHIFT_TOLERANCE_MILLISECONDS = 300

/**
 * Logs each time at which the time of day and the monotonic clock move apart: the process was
 * frozen, or the time of day was set. Resolves when the signal aborts.
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
    logger.warn('the time of day moved against the monotonic clock: the process was frozen, or the time was set', { event: 'clock-moved', milliseconds: Math.round(shift) })
  }
}
