import type { Clock } from '@fuchsiastage/clock'
import { createLogger, type Logger } from '@fuchsiastage/logger'

/**
 * Creates the logger of a stand-in that is used inside another process and was given none.
 *
 * @example
 * const logger = options.logger ?? createSilentLogger(clock)
 */
export function createSilentLogger (clock: Clock): Logger {
  return createLogger({ clock, process: 'stand-in', level: 'error', sink: () => {} })
}
