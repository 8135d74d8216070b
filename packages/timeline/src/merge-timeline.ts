import { parseLine, type IgnoredLine, type TimelineEntry, type TimelineFile } from './timeline-entry.js'

export interface MergedTimeline {
  readonly entries: readonly TimelineEntry[]
  readonly ignored: readonly IgnoredLine[]
}

/**
 * Merges the lines of several processes into one list, ordered by wall time and, within a process,
 * by sequence. Wall clocks differ, so a line that another one must precede is moved behind it: the
 * lines of one process keep their order, and no line shows the offset of a record before the line
 * of the record's append.
 *
 * @example
 * const { entries, ignored } = mergeTimeline([{ name: 'entry-1.log', lines: text.split('\n') }])
 */
export function mergeTimeline (files: Iterable<TimelineFile>): MergedTimeline {
  const ignored: IgnoredLine[] = []
  const chains: (readonly TimelineEntry[])[] = []
  for (const file of files) chains.push(...readChains(file, ignored))
  const sorted = chains.flat().sort(compareEntries)
  return { entries: orderByCause(sorted, findPreceding(chains), findAppends(sorted)), ignored }
}

/** The lines of each process in a file, in the order in which the process wrote them. */
function readChains (file: TimelineFile, ignored: IgnoredLine[]): readonly (readonly TimelineEntry[])[] {
  const byProcess = new Map<string, TimelineEntry[]>()
  let line = 0
  for (const text of file.lines) {
    line++
    if (text.trim() === '') continue
    const entry = parseLine(text)
    if (typeof entry === 'string') {
      ignored.push({ file: file.name, line, reason: entry })
      continue
    }
    const chain = byProcess.get(entry.process)
    if (chain === undefined) byProcess.set(entry.process, [entry])
    else chain.push(entry)
  }
  return [...byProcess.values()].map((chain) => {
    // A sequence that starts again belongs to a restarted process; then only the file's order is known.
    const isOneRun = new Set(chain.map(({ sequence }) => sequence)).size === chain.length
    return isOneRun ? chain.sort((left, right) => left.sequence - right.sequence) : chain
  })
}

function compareEntries (left: TimelineEntry, right: TimelineEntry): number {
  if (left.time !== right.time) return left.time - right.time
  if (left.process !== right.process) return left.process < right.process ? -1 : 1
  return left.sequence - right.sequence
}

function findPreceding (chains: readonly (readonly TimelineEntry[])[]): ReadonlyMap<TimelineEntry, TimelineEntry> {
  const preceding = new Map<TimelineEntry, TimelineEntry>()
  for (const chain of chains) {
    chain.forEach((entry, index) => {
      const before = chain[index - 1]
      if (before !== undefined) preceding.set(entry, before)
    })
  }
  return preceding
}

/** The first line of each record's append. It is written before the record has an offset. */
function findAppends (sorted: readonly TimelineEntry[]): ReadonlyMap<string, TimelineEntry> {
  const appends = new Map<string, TimelineEntry>()
  for (const entry of sorted) {
    const { recordId, offset } = entry.fields
    if (typeof recordId === 'string' && offset === undefined && !appends.has(recordId)) appends.set(recordId, entry)
  }
  return appends
}

/** Emits entries in the given order, except that each waits for the entries that caused it. */
function orderByCause (
  sorted: readonly TimelineEntry[],
  preceding: ReadonlyMap<TimelineEntry, TimelineEntry>,
  appends: ReadonlyMap<string, TimelineEntry>
): readonly TimelineEntry[] {
  const result: TimelineEntry[] = []
  const emitted = new Set<TimelineEntry>()
  const waiting = new Map<TimelineEntry, TimelineEntry[]>()

  const findAppend = ({ fields }: TimelineEntry): TimelineEntry | undefined =>
    typeof fields.recordId === 'string' && fields.offset !== undefined ? appends.get(fields.recordId) : undefined
  const findCause = (entry: TimelineEntry): TimelineEntry | undefined =>
    [preceding.get(entry), findAppend(entry)].find((cause) => cause !== undefined && !emitted.has(cause))

  const emit = (first: TimelineEntry): void => {
    const ready = [first]
    for (let entry = ready.shift(); entry !== undefined; entry = ready.shift()) {
      if (emitted.has(entry)) continue
      emitted.add(entry)
      result.push(entry)
      const released = waiting.get(entry) ?? []
      waiting.delete(entry)
      for (const next of released) offer(next, ready)
      if (released.length > 0) ready.sort(compareEntries)
    }
  }
  const offer = (entry: TimelineEntry, ready: TimelineEntry[]): void => {
    const cause = findCause(entry)
    if (cause === undefined) ready.push(entry)
    else if (waiting.has(cause)) waiting.get(cause)!.push(entry)
    else waiting.set(cause, [entry])
  }

  for (const entry of sorted) {
    const ready: TimelineEntry[] = []
    offer(entry, ready)
    if (ready.length > 0) emit(entry)
  }
  // A process that shows an offset before it logs the append contradicts itself; its own order is kept.
  while (result.length < sorted.length) {
    const next = sorted.find((entry) => {
      const before = preceding.get(entry)
      return !emitted.has(entry) && (before === undefined || emitted.has(before))
    })
    if (next === undefined) break
    emit(next)
  }
  return result
}
