import { execFile } from 'node:child_process'
import { channel } from 'node:diagnostics_channel'
import { readFileSync } from 'node:fs'
import type { Socket } from 'node:net'
import { cpus, totalmem } from 'node:os'
import { promisify } from 'node:util'
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'
import { createSystemClock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

/** One measured table; the first columns give the size, the others the figures. */
export interface CapacityTable {
  readonly title: string
  readonly columns: readonly string[]
  readonly rows: readonly (readonly (string | number)[])[]
}

export interface CapacityOptions {
  readonly seed: number
  /** Part of the work and of the sizes, for tests; 1 measures at the design size. */
  readonly scale: number
}

export interface CapacityPart {
  readonly name: string
  readonly description: string
  readonly run: (options: CapacityOptions) => Promise<readonly CapacityTable[]>
}

export interface Cost {
  readonly processorMilliseconds: Milliseconds
  readonly wallMilliseconds: Milliseconds
}

const MICROSECONDS = 1_000
const clock = createSystemClock()

/** Processor time of this process, user and system. */
export function processorTime (): Milliseconds {
  const { user, system } = process.cpuUsage()
  return (user + system) / MICROSECONDS
}

/**
 * Runs work and measures the processor time of this process and the time that passed.
 *
 * @example
 * const { cost } = await measureCost(() => fold(records))
 */
export async function measureCost<Value> (work: () => Value | Promise<Value>): Promise<{ readonly value: Value, readonly cost: Cost }> {
  const startedAt = clock.now()
  const before = processorTime()
  const value = await work()
  return { value, cost: { processorMilliseconds: processorTime() - before, wallMilliseconds: clock.now() - startedAt } }
}

/** Milliseconds that a synchronous call takes, as the median of repetitions. */
export function medianMilliseconds (repetitions: number, work: () => unknown): Milliseconds {
  const times = Array.from({ length: repetitions }, () => {
    const startedAt = clock.now()
    work()
    return clock.now() - startedAt
  })
  return quantile(times, 0.5)
}

/** The value below which the given part of the values lies; NaN for an empty list. */
export function quantile (values: readonly number[], part: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? NaN
}

const collectGarbage = (() => {
  let run: (() => void) | undefined
  return (): void => {
    if (run === undefined) {
      setFlagsFromString('--expose-gc')
      run = runInNewContext('gc') as () => void
    }
    run()
  }
})()

/** Heap and buffers in use after a full collection. */
export function heapBytes (): number {
  collectGarbage()
  collectGarbage()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

/** Bytes that a value keeps alive; the caller must hold no other reference to its parts. */
export function retainedBytes<Value> (create: () => Value): { readonly value: Value, readonly bytes: number } {
  const before = heapBytes()
  const value = create()
  return { value, bytes: heapBytes() - before }
}

/**
 * Least-squares line through points.
 *
 * @example
 * const { slope, intercept } = fitLine([[8, 1.2], [64, 1.4], [370, 2.6]])
 */
export function fitLine (points: readonly (readonly [number, number])[]): { readonly slope: number, readonly intercept: number } {
  const count = points.length
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count
  const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0)
  const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0)
  const slope = variance === 0 ? 0 : covariance / variance
  return { slope, intercept: meanY - slope * meanX }
}

export function jsonBytes (value: unknown): number {
  return Buffer.byteLength(JSON.stringify(value))
}

/** Rounds to three significant figures, so that tables claim no more than was measured. */
export function round (value: number): number {
  return Number.isFinite(value) ? Number(value.toPrecision(3)) : value
}

/** Sizes of the design, scaled down for tests. */
export function scaled (sizes: readonly number[], scale: number): readonly number[] {
  return sizes.map((size) => Math.max(2, Math.round(size * scale)))
}

export interface SocketBytes {
  /** Bytes that this process has read from and written to its sockets since the start, both kinds of sockets apart. */
  readonly totals: () => { readonly serverRead: number, readonly serverWritten: number, readonly clientRead: number, readonly clientWritten: number, readonly accepted: number }
  readonly stop: () => void
}

/**
 * Counts the bytes of all TCP sockets that this process opens or accepts from now on.
 *
 * @example
 * const bytes = countSocketBytes()
 */
export function countSocketBytes (): SocketBytes {
  const accepted = new Set<Socket>()
  const opened = new Set<Socket>()
  const onAccepted = (message: unknown): void => { accepted.add((message as { readonly socket: Socket }).socket) }
  const onOpened = (message: unknown): void => { opened.add((message as { readonly socket: Socket }).socket) }
  const server = channel('net.server.socket')
  const client = channel('net.client.socket')
  server.subscribe(onAccepted)
  client.subscribe(onOpened)
  const sum = (sockets: ReadonlySet<Socket>, field: 'bytesRead' | 'bytesWritten'): number =>
    [...sockets].reduce((total, socket) => total + (socket[field] ?? 0), 0)
  return {
    totals: () => ({
      serverRead: sum(accepted, 'bytesRead'),
      serverWritten: sum(accepted, 'bytesWritten'),
      clientRead: sum(opened, 'bytesRead'),
      clientWritten: sum(opened, 'bytesWritten'),
      accepted: accepted.size
    }),
    stop: () => {
      server.unsubscribe(onAccepted)
      client.unsubscribe(onOpened)
    }
  }
}

/** Length of a clock tick in `/proc/<pid>/stat`; Linux reports 100 ticks a second to processes. */
const TICK_MILLISECONDS = 10
const USER_TIME_FIELD = 11
const SYSTEM_TIME_FIELD = 12
const KIBIBYTE = 1_024

/** Processor time that another process has used. */
export function processorTimeOf (pid: number): Milliseconds {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD])) * TICK_MILLISECONDS
}

/** Resident memory of another process. */
export function residentBytesOf (pid: number): number {
  const match = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
  return Number(match?.[1] ?? NaN) * KIBIBYTE
}

/** Commit of the working tree; `+changes` when it has uncommitted changes. */
export async function describeCommit (): Promise<string> {
  const git = promisify(execFile)
  try {
    const { stdout: commit } = await git('git', ['rev-parse', '--short', 'HEAD'])
    const { stdout: changes } = await git('git', ['status', '--porcelain', '--untracked-files=no', '--', 'packages'])
    return commit.trim() + (changes.trim() === '' ? '' : '+changes')
  } catch {
    return 'unknown'
  }
}

export function describeMachine (): string {
  const list = cpus()
  return `${list.length} cores (${list[0]?.model ?? 'unknown'}), ${Math.round(totalmem() / KIBIBYTE ** 3)} GB, Node.js ${process.version}`
}
