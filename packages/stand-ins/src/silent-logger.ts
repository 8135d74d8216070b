import type { Clock } from '@fuchsiastage/clock'
import { createLogger, type Logger } from '@fuchsiastage/logger'

/**
 * Creates a logger that discards all lines, the default for stand-ins that run inside another process.
 *
 * @example
 * const logger = options.logger ?? createSilentLogger(clock)
 */
export function createSilentLogger (clock: Clock): Logger {
  return createLogger({ clock, process: 'stand-in', level: 'error', sink: () => {} })
}
