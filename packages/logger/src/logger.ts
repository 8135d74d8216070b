import loglevel from 'loglevel'
import type { Clock } from '@fuchsiastage/clock'
import type { JsonValue } from '@fuchsiastage/types'

export const LOG_LEVELS = ['debug', 'info', 'warn', 'error'] as const

export type LogLevel = (typeof LOG_LEVELS)[number]

/** Fields of one log line. The declared fields correlate lines of different processes. */
export interface LogFields {
  readonly event?: string
  readonly request?: string
  readonly version?: number
  readonly epoch?: number
  readonly peer?: string
  readonly [field: string]: JsonValue | undefined
}

export type LogSink = (line: string) => void

export interface Logger {
  readonly debug: (message: string, fields?: LogFields) => void
  readonly info: (message: string, fields?: LogFields) => void
  readonly warn: (message: string, fields?: LogFields) => void
  readonly error: (message: string, fields?: LogFields) => void
  /** Returns a logger that adds the given fields to each of its lines. */
  readonly child: (fields: LogFields) => Logger
}

export interface LoggerOptions {
  readonly clock: Clock
  /** Name of the process, for example the name of its VM. */
  readonly process: string
  readonly level: LogLevel
  readonly sink?: LogSink
  readonly fields?: LogFields
}

let loggerCount = 0

/**
 * Creates a logger that writes one JSON object per line to the given sink, by default to standard output.
 *
 * @example
 * const logger = createLogger({ clock, process: 'entry-1', level: 'info' })
 * logger.info('lease acquired', { event: 'lease-acquired', epoch: 7 })
 */
export function createLogger (options: LoggerOptions): Logger {
  const { clock, process: processName, level, sink = writeToStandardOutput } = options
  // loglevel returns the same logger for the same name, so each logger needs a unique name.
  const backend = loglevel.getLogger(`${processName}#${loggerCount++}`)
  let sequence = 0
  backend.methodFactory = (methodName) => (message: string, fields: LogFields = {}) => {
    const line = { time: clock.wallNow(), sequence: sequence++, process: processName, level: methodName, message, ...fields }
    sink(JSON.stringify(line))
  }
  backend.setLevel(level, false)

  const withFields = (base: LogFields): Logger => ({
    debug: (message, fields) => backend.debug(message, { ...base, ...fields }),
    info: (message, fields) => backend.info(message, { ...base, ...fields }),
    warn: (message, fields) => backend.warn(message, { ...base, ...fields }),
    error: (message, fields) => backend.error(message, { ...base, ...fields }),
    child: (fields) => withFields({ ...base, ...fields })
  })
  return withFields(options.fields ?? {})
}

/**
 * Creates a logger for tests that stores its lines in memory.
 *
 * @example
 * const { logger, lines } = createMemoryLogger(clock)
 */
export function createMemoryLogger (clock: Clock, processName = 'test'): { readonly logger: Logger; readonly lines: readonly string[] } {
  const lines: string[] = []
  const logger = createLogger({ clock, process: processName, level: 'debug', sink: (line) => lines.push(line) })
  return { logger, lines }
}

function writeToStandardOutput (line: string): void {
  process.stdout.write(line + '\n')
}
