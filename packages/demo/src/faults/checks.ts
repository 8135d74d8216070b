import { peakReplicasAcross, type ReplicaInterval } from '@fuchsiastage/stand-ins'
import type { Milliseconds } from '@fuchsiastage/types'
import type { DaemonOutage, RequestRecord } from './records.js'

/** Counts of one target process. The process of a killed engine has a separate entry. */
export interface TargetCounts {
  readonly name: string
  /** Runs by request id. */
  readonly runs: Readonly<Record<string, number>>
  readonly runsByKey: Readonly<Record<string, number>>
  readonly replicas: readonly ReplicaInterval[]
  readonly overcommitAttempts: number
}

/** Configuration version that a daemon reported at one time. */
export interface VersionSample {
  readonly daemon: string
  /** Process id, which distinguishes the successive processes of one daemon. */
  readonly process: number
  readonly at: Milliseconds
  readonly version: number
  readonly isReady: boolean
}

export interface Evidence {
  readonly records: readonly RequestRecord[]
  readonly targets: readonly TargetCounts[]
  readonly maximumReplicas: ReadonlyMap<string, number>
  readonly daemonOutages: readonly DaemonOutage[]
  readonly versions: readonly VersionSample[]
  readonly marginMilliseconds: Milliseconds
}

export interface CheckResult {
  readonly name: string
  readonly failures: readonly Failure[]
}

export interface Failure {
  readonly detail: string
  readonly requestId?: string | undefined
}

/**
 * Compares the counts of the targets with the outcomes that were reported to the callers.
 *
 * @example
 * const failed = checkEvidence(evidence).filter(({ failures }) => failures.length > 0)
 */
export function checkEvidence (evidence: Evidence): readonly CheckResult[] {
  return [
    { name: 'once', failures: checkIdempotencyKeys(evidence) },
    { name: 'not-run', failures: checkNotRun(evidence) },
    { name: 'text', failures: checkResponseTexts(evidence) },
    { name: 'replicas', failures: checkReplicas(evidence) },
    { name: 'memory', failures: checkMemory(evidence) },
    { name: 'answered', failures: checkDeadlines(evidence) },
    { name: 'version', failures: checkVersions(evidence) }
  ]
}

function sumOf (counts: readonly Readonly<Record<string, number>>[], key: string): number {
  return counts.reduce((sum, count) => sum + (count[key] ?? 0), 0)
}

function checkIdempotencyKeys ({ records, targets }: Evidence): readonly Failure[] {
  const counts = targets.map(({ runsByKey }) => runsByKey)
  const failures: Failure[] = []
  for (const key of new Set(counts.flatMap((count) => Object.keys(count)))) {
    const runs = sumOf(counts, key)
    if (runs > 1) failures.push({ detail: `key ${key} ran ${runs} times`, requestId: records.find((record) => record.key === key)?.requestId })
  }
  for (const { key, outcome, requestId } of records) {
    if (key !== undefined && outcome === 'done' && sumOf(counts, key) === 0) failures.push({ detail: `key ${key} was reported as done but never ran`, requestId })
  }
  return failures
}

function checkNotRun ({ records, targets }: Evidence): readonly Failure[] {
  const counts = targets.map(({ runs }) => runs)
  return records.flatMap(({ outcome, requestId, code }) => {
    if (outcome !== 'not-run') return []
    if (requestId === undefined) return [{ detail: `a not-run response (${code}) has no request id` }]
    const runs = sumOf(counts, requestId)
    return runs === 0 ? [] : [{ detail: `reported as not-run (${code}) but ran ${runs} time(s)`, requestId }]
  })
}

function checkResponseTexts ({ records }: Evidence): readonly Failure[] {
  return records.flatMap(({ text, requestId, kind, outcome }) => {
    if (text === undefined) return []
    if (text.hasEnded && text.received !== text.expected) return [{ detail: `a ${kind} ended with ${text.received.length} of ${text.expected.length} expected characters, or with wrong text`, requestId }]
    if (!text.hasEnded && !text.expected.startsWith(text.received)) return [{ detail: `a broken ${kind} had text that is not a prefix of the expected text`, requestId }]
    if (!text.hasEnded && outcome === 'done') return [{ detail: `a ${kind} ended without an error and without [DONE]`, requestId }]
    return []
  })
}

function checkReplicas ({ targets, maximumReplicas }: Evidence): readonly Failure[] {
  return Object.entries(peakReplicasAcross(targets.map(({ replicas }) => replicas))).flatMap(([model, peak]) => {
    const maximum = maximumReplicas.get(model)
    if (maximum === undefined) return [{ detail: `${model} was loaded without a rule` }]
    return peak <= maximum ? [] : [{ detail: `${model} had ${peak} replicas, but the rule allows ${maximum}` }]
  })
}

function checkMemory ({ targets }: Evidence): readonly Failure[] {
  return targets.flatMap(({ name, overcommitAttempts }) => overcommitAttempts === 0 ? [] : [{ detail: `${name} refused ${overcommitAttempts} load(s) because of insufficient memory` }])
}

function checkDeadlines ({ records, daemonOutages, marginMilliseconds }: Evidence): readonly Failure[] {
  return records.flatMap((record) => {
    const { daemon, sentAt, endedAt, deadlineMilliseconds, requestId, kind, callerLagMilliseconds } = record
    const overlapping = daemonOutages.filter((outage) => outage.daemon === daemon && outage.from <= endedAt && outage.to >= sentAt)
    if (overlapping.some((outage) => outage.kind === 'killed')) return []
    if (record.outcome === 'broken' || record.outcome === 'unreachable') return [{ detail: `a ${kind} at ${daemon}, which was not killed, got no response (${record.outcome}, ${record.code})`, requestId }]
    // A paused process cannot respond. Requests that it read before the pause are due when it is resumed.
    // Requests sent during the pause are read only after it, and their deadline, a duration, starts then.
    const dueTimes = overlapping.map(({ from, to }) => sentAt < from ? to : to + deadlineMilliseconds)
    const dueAt = Math.max(sentAt + deadlineMilliseconds, ...dueTimes) + marginMilliseconds + callerLagMilliseconds
    return endedAt <= dueAt ? [] : [{ detail: `a ${kind} at ${daemon} ended ${Math.round(endedAt - dueAt + marginMilliseconds)} ms after it was due, caller lag ${Math.round(callerLagMilliseconds)} ms (${record.outcome}, ${record.code})`, requestId }]
  })
}

function checkVersions ({ versions }: Evidence): readonly Failure[] {
  const highestOfProcess = new Map<string, number>()
  const highestOfDaemon = new Map<string, number>()
  const failures: Failure[] = []
  for (const { daemon, process, version, isReady } of versions) {
    const name = `${daemon}#${process}`
    const highest = highestOfProcess.get(name) ?? 0
    // A new process has no configuration until it has read the log, and must report that it is not ready until then.
    const required = isReady ? Math.max(highest, highestOfDaemon.get(daemon) ?? 0) : highest
    if (version < required) failures.push({ detail: `${daemon} reverted from version ${required} to ${version}` })
    highestOfProcess.set(name, Math.max(highest, version))
    highestOfDaemon.set(daemon, Math.max(highestOfDaemon.get(daemon) ?? 0, version))
  }
  return failures
}
