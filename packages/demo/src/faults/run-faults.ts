import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createSystemClock, type Clock } from '@fuchsiastage/clock'
import { startProcesses, type RunningProcesses } from '@fuchsiastage/stand-ins'
import type { Milliseconds } from '@fuchsiastage/types'
import { copyExample, readExample, type Example } from '../example.js'
import { CLI_PATH, formatRequestTimeline } from '../run-demo.js'
import { submitInitialPatch } from '../steps.js'
import { startCallers, type Callers } from './callers.js'
import { checkEvidence, type CheckResult, type Failure, type TargetCounts } from './checks.js'
import { createFaultContext, readCounts } from './fault-context.js'
import { FAULTS, type Fault } from './faults.js'
import type { DaemonOutage, RequestKind, RequestRecord } from './records.js'
import { watchVersions } from './versions.js'

export interface RunFaultsOptions {
  readonly example: string
  /** Name of the only fault to run. */
  readonly only?: string
  /** Added to each port of the example. */
  readonly portShift: number
}

/** Time after the deadline that is allowed for scheduling on a busy machine and for the transfer to the caller. */
const MARGIN_MILLISECONDS = 1_000
/** Bound for the start of a successful load after a fault. It covers a takeover of the placement lease. */
const LOADS_WITHIN_MILLISECONDS = 45_000
const PROBE_INTERVAL_MILLISECONDS = 250
const PROBE_DEADLINE_MILLISECONDS = 4_000
/** Number of calls in a probe, so that they reach claim partitions of different owners. */
const PROBE_CALL_COUNT = 8
const LOAD_DEADLINE_MILLISECONDS = 20_000
const WARM_UP_MILLISECONDS = 60_000
const SETTLE_MILLISECONDS = 3_000
const MAXIMUM_MODEL_MEGABYTES = 16_000

interface FaultReport {
  readonly fault: string
  readonly records: readonly RequestRecord[]
  readonly checks: readonly CheckResult[]
  readonly servesAfterMilliseconds: Milliseconds | undefined
  readonly loadsAfterMilliseconds: Milliseconds | undefined
  readonly boundMilliseconds: Milliseconds
}

/**
 * Injects the faults into an example deployment of separate processes. Resolves with true if every check passed.
 *
 * @example
 * process.exitCode = await runFaults({ example: 'renewal-office', portShift: 0 }) ? 0 : 1
 */
export async function runFaults (options: RunFaultsOptions): Promise<boolean> {
  const clock = createSystemClock()
  const folder = mkdtempSync(join(tmpdir(), `fuchsiastage-faults-${options.example}-`))
  const settingsFolder = copyExample(options.example, join(folder, 'settings'), options.portShift)
  const original = readExample(options.example, settingsFolder)
  const example = { ...original, model: replicatedModel(original) }
  const print = (text: string): void => { process.stdout.write(text + '\n') }
  const faults = FAULTS.filter(({ name }) => options.only === undefined || name === options.only)
  if (faults.length === 0) throw new Error(`unknown fault: ${options.only ?? ''}; the faults are ${FAULTS.map(({ name }) => name).join(', ')}`)
  print(`Starting ${options.example} with ports shifted by ${options.portShift}; logs in ${folder}`)
  const processes = await startProcesses(example.description, {
    clock,
    folder,
    daemon: (vm) => ({ command: process.execPath, arguments: [CLI_PATH, 'daemon', '--settings', example.settingsFile(vm.name)] })
  })
  const reports: FaultReport[] = []
  let isReady = true
  try {
    await submitInitialPatch({ clock, example, print, check: (isMet, fact) => { if (!isMet) { isReady = false; print(`  FAILED ${fact}`) } } })
    if (isReady) reports.push(...await runAllFaults({ clock, example, processes, folder, print, faults }))
  } finally {
    await processes.stopAll()
  }
  const rows = reports.map(tableRowOf)
  const table = formatTable(rows)
  print(table)
  writeFileSync(join(folder, 'table.txt'), table + '\n')
  writeFileSync(join(folder, 'records.json'), JSON.stringify(reports, undefined, 1))
  const failed = reports.filter(({ checks }) => checks.some(({ failures }) => failures.length > 0)).map(({ fault }) => fault)
  print(failed.length === 0 ? `All checks passed for ${reports.length} fault(s).` : `Checks failed for: ${failed.join(', ')}.`)
  print(`Logs and timelines are in ${folder}`)
  return isReady && failed.length === 0 && reports.length === faults.length
}

/** Returns a model with at least three permitted replicas, so that the model can still be served after the loss of one engine. */
function replicatedModel ({ initialPatch }: Example): string {
  const rule = initialPatch.changes.find(({ key, value }) => key.startsWith('rule/') && (value as { readonly maximumReplicas: number }).maximumReplicas >= 3)
  if (rule === undefined) throw new Error('the example has no model whose rule allows three replicas')
  return rule.key.slice('rule/'.length)
}

/** Returns the models that are loaded during and after faults. They are small enough to fit into memory together. */
function smallModels ({ initialPatch, model }: Example): readonly string[] {
  return initialPatch.changes.flatMap(({ key, value }) => {
    const name = key.slice('model/'.length)
    return key.startsWith('model/') && name !== model && (value as { readonly memoryMegabytes: number }).memoryMegabytes <= MAXIMUM_MODEL_MEGABYTES ? [name] : []
  })
}

interface RunOptions {
  readonly clock: Clock
  readonly example: Example
  readonly processes: RunningProcesses
  readonly folder: string
  readonly print: (text: string) => void
  readonly faults: readonly Fault[]
}

async function runAllFaults (options: RunOptions): Promise<readonly FaultReport[]> {
  const { clock, example, processes, folder, print, faults } = options
  const callers = startCallers(clock, example)
  const versions = watchVersions(clock, example, processes)
  const daemonOutages: DaemonOutage[] = []
  const countsOfKilledProcesses: TargetCounts[] = []
  const models = smallModels(example)
  const maximumReplicas = new Map(example.initialPatch.changes.flatMap(({ key, value }) =>
    key.startsWith('rule/') ? [[key.slice('rule/'.length), (value as { readonly maximumReplicas: number }).maximumReplicas] as const] : []))
  const reports: FaultReport[] = []
  let unmetFacts: Failure[] = []
  const context = createFaultContext({
    clock,
    example,
    processes,
    callers,
    print,
    daemonOutages,
    countsOfKilledProcesses,
    check: (isMet, fact) => {
      print(`    ${isMet ? 'ok    ' : 'FAILED'} ${fact}`)
      if (!isMet) unmetFacts.push({ detail: fact, requestId: /[0-9a-f]{8}-[0-9a-f-]{27}/.exec(fact)?.[0] })
    }
  })
  const targets = async (): Promise<readonly TargetCounts[]> =>
    [...countsOfKilledProcesses, ...await Promise.all([...context.engines, ...context.services].map((name) => readCounts(processes, name)))]

  try {
    const warm = await timeUntil(clock, WARM_UP_MILLISECONDS, () => servesEverywhere(callers, context.daemons))
    print(`  all daemons serve requests after ${formatTime(warm)}`)
    for (const [index, fault] of faults.entries()) {
      print(`  ${fault.name}`)
      unmetFacts = []
      const startedAt = clock.now()
      const coldModelAt = (offset: number): string => models[(2 * index + offset) % models.length] ?? example.model
      // A load is in progress when the fault starts; two daemons request the same model.
      const loading = context.daemons.slice(0, 2).map((daemon) => callers.send('stream', daemon, { model: coldModelAt(0), token: example.everyModelToken, deadlineMilliseconds: LOAD_DEADLINE_MILLISECONDS }))
      await clock.sleep(500)
      await fault.run(context)
      const boundMilliseconds = fault.servesWithinMilliseconds
      const [servesAfterMilliseconds, loadsAfterMilliseconds] = await Promise.all([
        timeUntil(clock, boundMilliseconds, () => servesEverywhere(callers, context.daemons)),
        timeToLoad(clock, callers, example, context.daemons[index % context.daemons.length] ?? '', coldModelAt(1))
      ])
      if (servesAfterMilliseconds === undefined) unmetFacts.push({ detail: `not every daemon served requests within ${boundMilliseconds} ms after the fault` })
      if (loadsAfterMilliseconds === undefined) unmetFacts.push({ detail: `${coldModelAt(1)} was not loaded within ${LOADS_WITHIN_MILLISECONDS} ms after the fault` })
      await Promise.all(loading)
      await clock.sleep(SETTLE_MILLISECONDS)
      const records = callers.records.filter(({ endedAt }) => endedAt >= startedAt)
      for (const kind of ['stream', 'plain', 'call'] as const) {
        if (!records.some((record) => record.kind === kind && record.outcome === 'done')) unmetFacts.push({ detail: `no ${kind} was completed during the fault` })
      }
      const checks = [
        ...checkEvidence({ records, targets: await targets(), maximumReplicas, daemonOutages, versions: versions.samples, marginMilliseconds: MARGIN_MILLISECONDS }),
        { name: 'fault', failures: unmetFacts }
      ]
      const report = { fault: fault.name, records, checks, servesAfterMilliseconds, loadsAfterMilliseconds, boundMilliseconds }
      reports.push(report)
      print(`    ${formatOutcomeCounts(records)}; serves after ${formatTime(servesAfterMilliseconds)}, loads after ${formatTime(loadsAfterMilliseconds)}`)
      showFailures(folder, report, print)
    }
  } finally {
    await Promise.all([callers.stop(), versions.stop()])
  }
  return reports
}

/** Returns the time until the start of the first successful attempt; undefined if no attempt started within the bound succeeded. */
async function timeUntil (clock: Clock, bound: Milliseconds, isMet: () => Promise<boolean>): Promise<Milliseconds | undefined> {
  const startedAt = clock.now()
  do {
    const attemptedAt = clock.now()
    if (await isMet()) return attemptedAt - startedAt
    await clock.sleep(PROBE_INTERVAL_MILLISECONDS)
  } while (clock.now() - startedAt < bound)
  return undefined
}

/** Whether every daemon completes a stream, a plain completion and calls in several claim partitions. */
async function servesEverywhere (callers: Callers, daemons: readonly string[]): Promise<boolean> {
  const kinds: readonly RequestKind[] = ['stream', 'plain', ...Array<RequestKind>(PROBE_CALL_COUNT).fill('call')]
  const records = await Promise.all(daemons.flatMap((daemon) => kinds.map((kind) => callers.send(kind, daemon, { deadlineMilliseconds: PROBE_DEADLINE_MILLISECONDS }))))
  return records.every(({ outcome }) => outcome === 'done')
}

/** Returns the time until a stream from a model that is not loaded is completed; undefined if no attempt started within the bound succeeded. */
async function timeToLoad (clock: Clock, callers: Callers, example: Example, daemon: string, model: string): Promise<Milliseconds | undefined> {
  const startedAt = clock.now()
  const startedAfter = await timeUntil(clock, LOADS_WITHIN_MILLISECONDS, async () => {
    const record = await callers.send('stream', daemon, { model, token: example.everyModelToken, deadlineMilliseconds: LOAD_DEADLINE_MILLISECONDS })
    return record.outcome === 'done'
  })
  return startedAfter === undefined ? undefined : clock.now() - startedAt
}

const formatTime = (time: Milliseconds | undefined): string => time === undefined ? 'never' : `${Math.round(time)} ms`

function formatOutcomeCounts (records: readonly RequestRecord[]): string {
  const counts = new Map<string, number>()
  for (const { outcome } of records) counts.set(outcome, (counts.get(outcome) ?? 0) + 1)
  return [...counts].map(([outcome, count]) => `${count} ${outcome}`).join(', ')
}

/** Number of failures printed per check; records.json in the folder has all of them. */
const PRINTED_FAILURES = 3

function showFailures (folder: string, { fault, checks }: FaultReport, print: (text: string) => void): void {
  for (const { name, failures } of checks) {
    for (const { detail, requestId } of failures.slice(0, PRINTED_FAILURES)) {
      print(`    FAILED ${name}: ${detail}${requestId === undefined ? '' : ` (request ${requestId})`}`)
      if (requestId !== undefined) writeFileSync(join(folder, `${fault}-${requestId}.txt`), formatRequestTimeline(folder, requestId))
    }
    if (failures.length > PRINTED_FAILURES) print(`    FAILED ${name}: ${failures.length - PRINTED_FAILURES} more`)
  }
}

function tableRowOf ({ fault, records, checks, servesAfterMilliseconds, loadsAfterMilliseconds, boundMilliseconds }: FaultReport): readonly (readonly [string, string])[] {
  const count = (outcome: RequestRecord['outcome']): string => String(records.filter((record) => record.outcome === outcome).length)
  return [
    ['fault', fault],
    ['requests', String(records.length)],
    ['done', count('done')],
    ['not-run', count('not-run')],
    ['unknown', count('unknown')],
    ['broken', count('broken')],
    ['unreachable', count('unreachable')],
    ...checks.map(({ name, failures }) => [name, failures.length === 0 ? 'ok' : `FAILED ${failures.length}`] as const),
    ['caller lag ms', String(Math.round(Math.max(0, ...records.map(({ callerLagMilliseconds }) => callerLagMilliseconds))))],
    ['serves ms (bound)', `${servesAfterMilliseconds === undefined ? 'never' : Math.round(servesAfterMilliseconds)} (${boundMilliseconds})`],
    ['loads ms (bound)', `${loadsAfterMilliseconds === undefined ? 'never' : Math.round(loadsAfterMilliseconds)} (${LOADS_WITHIN_MILLISECONDS + LOAD_DEADLINE_MILLISECONDS})`]
  ]
}

function formatTable (rows: readonly (readonly (readonly [string, string])[])[]): string {
  const header = rows[0]?.map(([name]) => name) ?? []
  const lines = [header, ...rows.map((row) => row.map(([, value]) => value))]
  const widths = header.map((_, column) => Math.max(...lines.map((line) => line[column]?.length ?? 0)))
  return lines.map((line) => line.map((value, column) => value.padEnd(widths[column] ?? 0)).join('  ').trimEnd()).join('\n')
}
