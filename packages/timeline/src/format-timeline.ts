import type { IgnoredLine, TimelineEntry } from './timeline-entry.js'

const LEVEL_WIDTH = 5

/**
 * Formats each entry as one line of text: wall time, process, level, message and fields.
 *
 * @example
 * process.stdout.write(formatTimeline(entries))
 */
export function formatTimeline (entries: readonly TimelineEntry[]): string {
  const processWidth = Math.max(0, ...new Set(entries.map(({ process }) => process.length)))
  return entries.map((entry) => formatEntry(entry, processWidth) + '\n').join('')
}

function formatEntry ({ time, process, level, message, fields }: TimelineEntry, processWidth: number): string {
  const pairs = Object.entries(fields).map(([name, value]) => `${name}=${formatValue(value)}`)
  return [formatTime(time), process.padEnd(processWidth), level.padEnd(LEVEL_WIDTH), message, ...pairs].join(' ')
}

function formatTime (time: number): string {
  const date = new Date(time)
  return Number.isNaN(date.getTime()) ? String(time) : date.toISOString()
}

function formatValue (value: unknown): string {
  // Any other value is written as JSON, which escapes line breaks, so that each entry stays on one line.
  return typeof value === 'string' && /^[\w.:/@+-]+$/.test(value) ? value : JSON.stringify(value)
}

/**
 * Formats the number of ignored lines of each file; the text is empty when no line was ignored.
 *
 * @example
 * formatIgnored(ignored) // 'entry-1.log: 2 lines ignored, the first is line 7\n'
 */
export function formatIgnored (ignored: readonly IgnoredLine[]): string {
  const linesByFile = new Map<string, IgnoredLine[]>()
  for (const line of ignored) {
    const fileLines = linesByFile.get(line.file)
    if (fileLines === undefined) linesByFile.set(line.file, [line])
    else fileLines.push(line)
  }
  return [...linesByFile].map(([file, lines]) =>
    `${file}: ${lines.length} ${lines.length === 1 ? 'line' : 'lines'} ignored, the first is line ${lines[0]?.line ?? 0}\n`).join('')
}
