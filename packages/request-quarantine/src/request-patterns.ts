import type { Milliseconds } from '@fuchsiastage/types'
import type { RequestCause } from './crash-causes.js'
import type { CrashRecord, ServedAt } from './crash-record.js'

/** A request that was at several targets when they crashed and was served by none in the meantime. */
export interface RequestPattern extends RequestCause {
  /** Its crashes, those first of which each request was sent after the crash before. */
  readonly records: readonly CrashRecord[]
  readonly lastCrashAt: Milliseconds
}

interface Occurrence {
  readonly record: CrashRecord
  readonly sentAt: Milliseconds
}

/** Crashes that make a pattern of a request. A sound one that its daemon and its caller send again is seldom hit by three. */
export const MINIMUM_REQUEST_CRASHES = 3
/**
 * Consecutive ones among them, each of a request that was sent after the crash before. Copies of a request
 * that are sent at the same time may be hit by a common fault of their targets.
 */
const MINIMUM_CONSECUTIVE_CRASHES = 2

/**
 * Finds the requests that explain the crashes, beginning with the one that explains most. Crashes that
 * one explains no longer count against the requests that were in flight beside it. The records are in
 * the order of their times.
 *
 * @example
 * const patterns = findRequestPatterns(records, (fingerprint) => servedAt.get(fingerprint) ?? -Infinity)
 */
export function findRequestPatterns (records: readonly CrashRecord[], servedAt: ServedAt): readonly RequestPattern[] {
  const patterns: RequestPattern[] = []
  let unexplained = records
  for (;;) {
    const pattern = mostFrequentPattern(unexplained, servedAt)
    if (pattern === undefined) return patterns
    patterns.push(pattern)
    unexplained = unexplained.filter(({ requests }) => !requests.some(({ fingerprint }) => fingerprint === pattern.fingerprint))
  }
}

function mostFrequentPattern (records: readonly CrashRecord[], servedAt: ServedAt): RequestPattern | undefined {
  const patterns = [...occurrencesByFingerprint(records, servedAt)].flatMap(([fingerprint, occurrences]): readonly RequestPattern[] => {
    const consecutive = consecutiveCrashes(occurrences)
    const last = occurrences.at(-1)
    if (last === undefined || occurrences.length < MINIMUM_REQUEST_CRASHES || consecutive.length < MINIMUM_CONSECUTIVE_CRASHES) return []
    const others = occurrences.filter((occurrence) => !consecutive.includes(occurrence))
    return [{ kind: 'request', fingerprint, records: [...consecutive, ...others].map(({ record }) => record), lastCrashAt: last.record.at }]
  })
  // All daemons order equally frequent patterns in the same way.
  return patterns.sort((one, other) => other.records.length - one.records.length || (one.fingerprint < other.fingerprint ? -1 : 1))[0]
}

function occurrencesByFingerprint (records: readonly CrashRecord[], servedAt: ServedAt): ReadonlyMap<string, readonly Occurrence[]> {
  const occurrences = new Map<string, Occurrence[]>()
  for (const record of records) {
    for (const { fingerprint, sentAt } of record.requests) {
      if (record.at <= servedAt(fingerprint)) continue
      const known = occurrences.get(fingerprint) ?? []
      occurrences.set(fingerprint, known)
      known.push({ record, sentAt })
    }
  }
  return occurrences
}

/** The longest series of crashes of which each request was sent after the crash before. */
function consecutiveCrashes (occurrences: readonly Occurrence[]): readonly Occurrence[] {
  const consecutive: Occurrence[] = []
  for (const occurrence of occurrences) {
    const previous = consecutive.at(-1)
    if (previous === undefined || occurrence.sentAt >= previous.record.at) consecutive.push(occurrence)
  }
  return consecutive
}
