import { parseLine, type IgnoredLine, type TimelineEntry, type TimelineFile } from './timeline-entry.js'

export interface MergedTimeline {
  readonly entries: readonly TimelineEntry[]
  readonly ignored: readonly IgnoredLine[]
}

/**
 * Merges the log lines of several processes into one list, ordered by wall time and, within a
 * process, by sequence number. Because the wall clocks of processes differ, entries are also kept
 * in causal order: the entries of one process keep their order, and an entry that carries the
 * offset of a record follows the entry that logs the append of that record.
 *
 * @example
 * const { entries, ignored } = mergeTimeline([{ name: 'entry-1.log', lines: text.split('\n') }])
 */
export function mergeTimeline (files: Iterable<TimelineFile>): MergedTimeline {
  const ignored: IgnoredLine[] = []
  const processLogs: (readonly TimelineEntry[])[] = []
  for (const file of files) processLogs.push(...readProcessLogs(file, ignored))
  const sorted = processLogs.flat().sort(compareEntries)
  return { entries: orderCausally(sorted, findPreceding(processLogs), findAppends(sorted)), ignored }
}

/** Returns the entries of each process in a file, in the order in which the process wrote them. */
function readProcessLogs (file: TimelineFile, ignored: IgnoredLine[]): readonly (readonly TimelineEntry[])[] {
  const logsByProcess = new Map<string, TimelineEntry[]>()
  let line = 0
  for (const text of file.lines) {
    line++
    if (text.trim() === '') continue
    const entry = parseLine(text)
    if (typeof entry === 'string') {
      ignored.push({ file: file.name, line, reason: entry })
      continue
    }
    const processLog = logsByProcess.get(entry.process)
    if (processLog === undefined) logsByProcess.set(entry.process, [entry])
    else processLog.push(entry)
  }
  return [...logsByProcess.values()].map((processLog) => {
    // A repeated sequence number means that the process was restarted; only the order of the file is then reliable.
    const isSingleRun = new Set(processLog.map(({ sequence }) => sequence)).size === processLog.length
    return isSingleRun ? processLog.sort((left, right) => left.sequence - right.sequence) : processLog
  })
}

function compareEntries (left: TimelineEntry, right: TimelineEntry): number {
  if (left.time !== right.time) return left.time - right.time
  if (left.process !== right.process) return left.process < right.process ? -1 : 1
  return left.sequence - right.sequence
}

function findPreceding (processLogs: readonly (readonly TimelineEntry[])[]): ReadonlyMap<TimelineEntry, TimelineEntry> {
  const preceding = new Map<TimelineEntry, TimelineEntry>()
  for (const processLog of processLogs) {
    processLog.forEach((entry, index) => {
      const previous = processLog[index - 1]
      if (previous !== undefined) preceding.set(entry, previous)
    })
  }
  return preceding
}

/** Returns the first entry of each record's append, which is logged before the record has an offset. */
function findAppends (sorted: readonly TimelineEntry[]): ReadonlyMap<string, TimelineEntry> {
  const appends = new Map<string, TimelineEntry>()
  for (const entry of sorted) {
    const { recordId, offset } = entry.fields
    if (typeof recordId === 'string' && offset === undefined && !appends.has(recordId)) appends.set(recordId, entry)
  }
  return appends
}

/** Returns the entries in the given order, except that each is delayed until the entries that caused it are emitted. */
function orderCausally (
  sorted: readonly TimelineEntry[],
  preceding: ReadonlyMap<TimelineEntry, TimelineEntry>,
  appends: ReadonlyMap<string, TimelineEntry>
): readonly TimelineEntry[] {
  const result: TimelineEntry[] = []
  const emitted = new Set<TimelineEntry>()
  const blockedByCause = new Map<TimelineEntry, TimelineEntry[]>()

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
      const unblocked = blockedByCause.get(entry) ?? []
      blockedByCause.delete(entry)
      for (const next of unblocked) enqueueOrBlock(next, ready)
      if (unblocked.length > 0) ready.sort(compareEntries)
    }
  }
  const enqueueOrBlock = (entry: TimelineEntry, ready: TimelineEntry[]): void => {
    const cause = findCause(entry)
    if (cause === undefined) ready.push(entry)
    else if (blockedByCause.has(cause)) blockedByCause.get(cause)!.push(entry)
    else blockedByCause.set(cause, [entry])
  }

  for (const entry of sorted) {
    const ready: TimelineEntry[] = []
    enqueueOrBlock(entry, ready)
    if (ready.length > 0) emit(entry)
  }
  // Entries left here block each other in a cycle, for example when a process logs the offset of a
  // record before the append. The order within each process is kept and the append rule is ignored.
  while (result.length < sorted.length) {
    const next = sorted.find((entry) => {
      const previous = preceding.get(entry)
      return !emitted.has(entry) && (previous === undefined || emitted.has(previous))
    })
    if (next === undefined) break
    emit(next)
  }
  return result
}
