import { z } from 'zod'

/** One parsed log line of one process. */
export interface TimelineEntry {
  /** Wall time in milliseconds since the Unix epoch. */
  readonly time: number
  /** Sequence number of the line within one run of its process. */
  readonly sequence: number
  readonly process: string
  readonly level: string
  readonly message: string
  /** All fields other than `time`, `sequence`, `process`, `level` and `message`. */
  readonly fields: Readonly<Record<string, unknown>>
}

/** The lines of one log file, for example the standard output of one daemon. */
export interface TimelineFile {
  readonly name: string
  readonly lines: Iterable<string>
}

/** A line that is not in the log format of the `logger` package. */
export interface IgnoredLine {
  readonly file: string
  /** Line number in the file, counted from 1. */
  readonly line: number
  readonly reason: 'not-json' | 'not-a-log-line'
}

const logLineSchema = z.looseObject({
  time: z.number(),
  sequence: z.number().int(),
  process: z.string(),
  level: z.string(),
  message: z.string()
})

/**
 * Parses one line. Returns the reason for ignoring it when it is not a log line.
 *
 * @example
 * parseLine('{"time":1,"sequence":0,"process":"entry-1","level":"info","message":"started"}')
 */
export function parseLine (text: string): TimelineEntry | IgnoredLine['reason'] {
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch {
    return 'not-json'
  }
  const parsed = logLineSchema.safeParse(value)
  if (!parsed.success) return 'not-a-log-line'
  const { time, sequence, process, level, message, ...fields } = parsed.data
  return { time, sequence, process, level, message, fields }
}
