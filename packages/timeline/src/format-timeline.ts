import type { IgnoredLine, TimelineEntry } from './timeline-entry.js'

const LEVEL_WIDTH = 5

/**
 * Formats entries as text, one line each: wall time, process, level, message, fields.
 *
 * @example
 * process.stdout.write(formatTimeline(entries))
 */
export function formatTimeline (entries: readonly TimelineEntry[]): string {
  const width = Math.max(0, ...new Set(entries.map(({ process }) => process.length)))
  return entries.map((entry) => formatEntry(entry, width) + '\n').join('')
}

function formatEntry ({ time, process, level, message, fields }: TimelineEntry, width: number): string {
  const pairs = Object.entries(fields).map(([name, value]) => `${name}=${formatValue(value)}`)
  return [formatTime(time), process.padEnd(width), level.padEnd(LEVEL_WIDTH), message, ...pairs].join(' ')
}

function formatTime (time: number): string {
  const date = new Date(time)
  return Number.isNaN(date.getTime()) ? String(time) : date.toISOString()
}

function formatValue (value: unknown): string {
  // Control characters and spaces are quoted, so that one entry stays one line.
  return typeof value === 'string' && /^[\w.:/@+-]+$/.test(value) ? value : JSON.stringify(value)
}

/**
 * Formats the count of ignored lines by file, empty when there are none.
 *
 * @example
 * formatIgnored(ignored) // 'entry-1.log: 2 lines ignored, the first is line 7\n'
 */
export function formatIgnored (ignored: readonly IgnoredLine[]): string {
  const byFile = new Map<string, IgnoredLine[]>()
  for (const line of ignored) {
    const known = byFile.get(line.file)
    if (known === undefined) byFile.set(line.file, [line])
    else known.push(line)
  }
  return [...byFile].map(([file, lines]) =>
    `${file}: ${lines.length} ${lines.length === 1 ? 'line' : 'lines'} ignored, the first is line ${lines[0]?.line ?? 0}\n`).join('')
}
