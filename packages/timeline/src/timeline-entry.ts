import { z } from 'zod'

/** One log line of one process. */
export interface TimelineEntry {
  /** Wall time in milliseconds since the Unix epoch. */
  readonly time: number
  /** Number of the line within its process. */
  readonly sequence: number
  readonly process: string
  readonly level: string
  readonly message: string
  /** All other fields of the line. */
  readonly fields: Readonly<Record<string, unknown>>
}

/** The lines of one file, for example the standard output of one daemon. */
export interface TimelineFile {
  readonly name: string
  readonly lines: Iterable<string>
}

/** A line that is no log line of this project. */
export interface IgnoredLine {
  readonly file: string
  /** Counted from 1. */
  readonly line: number
  readonly reason: 'not-json' | 'not-a-log-line'
}

const logLine = z.looseObject({
  time: z.number(),
  sequence: z.number().int(),
  process: z.string(),
  level: z.string(),
  message: z.string()
})

/**
 * Reads one line; the reason as text when it is no log line.
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
  const parsed = logLine.safeParse(value)
  if (!parsed.success) return 'not-a-log-line'
  const { time, sequence, process, level, message, ...fields } = parsed.data
  return { time, sequence, process, level, message, fields }
}
