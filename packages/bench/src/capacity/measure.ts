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

/** Table of measured figures. The first columns give the size at which they were measured, the others the figures. */
export interface CapacityTable {
  readonly title: string
  readonly columns: readonly string[]
  readonly rows: readonly (readonly (string | number)[])[]
}

export interface CapacityOptions {
  readonly seed: number
  /** Fraction of the full sizes and amount of work; 1 measures at the design size, tests use less. */
  readonly scale: number
}

/** Measurement that `bench capacity <part>` runs by its name. */
export interface CapacityPart {
  readonly name: string
  readonly description: string
  readonly run: (options: CapacityOptions) => Promise<readonly CapacityTable[]>
}

export interface Cost {
  readonly processorMilliseconds: Milliseconds
  readonly wallMilliseconds: Milliseconds
}

const MICROSECONDS_PER_MILLISECOND = 1_000
const clock = createSystemClock()

/** Returns the processor time of this process, user and system. */
export function processorTime (): Milliseconds {
  const { user, system } = process.cpuUsage()
  return (user + system) / MICROSECONDS_PER_MILLISECOND
}

/**
 * Runs work and measures the processor time of this process and the elapsed time.
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

/** Returns the median duration of a synchronous call over several repetitions. */
export function medianMilliseconds (repetitions: number, work: () => unknown): Milliseconds {
  const times = Array.from({ length: repetitions }, () => {
    const startedAt = clock.now()
    work()
    return clock.now() - startedAt
  })
  return quantile(times, 0.5)
}

/** Returns the value below which the given fraction of the values lies; NaN for an empty list. */
export function quantile (values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((left, right) => left - right)
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? NaN
}

const collectGarbage = (() => {
  let runCollection: (() => void) | undefined
  return (): void => {
    if (runCollection === undefined) {
      setFlagsFromString('--expose-gc')
      runCollection = runInNewContext('gc') as () => void
    }
    runCollection()
  }
})()

/** Returns the bytes of heap and buffers in use after a full garbage collection. */
export function heapBytes (): number {
  collectGarbage()
  collectGarbage()
  const { heapUsed, arrayBuffers } = process.memoryUsage()
  return heapUsed + arrayBuffers
}

/** Creates a value and measures the bytes that it retains. Parts of the value that exist before the call are not counted. */
export function retainedBytes<Value> (create: () => Value): { readonly value: Value, readonly bytes: number } {
  const before = heapBytes()
  const value = create()
  return { value, bytes: heapBytes() - before }
}

/**
 * Returns the least-squares line through points.
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

/** Rounds to three significant figures, so that tables suggest no more precision than the measurement has. */
export function roundSignificant (value: number): number {
  return Number.isFinite(value) ? Number(value.toPrecision(3)) : value
}

/** Scales sizes by a factor, to whole numbers of at least 2. */
export function scaleSizes (sizes: readonly number[], scale: number): readonly number[] {
  return sizes.map((size) => Math.max(2, Math.round(size * scale)))
}

export interface SocketBytes {
  /** Bytes read from and written to the sockets since counting started, separately for accepted (server) and opened (client) sockets. */
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

/** Length of a clock tick in `/proc/<pid>/stat`; Linux reports 100 ticks per second to processes. */
const TICK_MILLISECONDS = 10
const USER_TIME_FIELD = 11
const SYSTEM_TIME_FIELD = 12
const BYTES_PER_KIBIBYTE = 1_024

/** Returns the processor time, user and system, that another process has used. */
export function processorTimeOf (pid: number): Milliseconds {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD])) * TICK_MILLISECONDS
}

/** Returns the resident memory of another process. */
export function residentBytesOf (pid: number): number {
  const match = /^VmRSS:\s+(\d+) kB$/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))
  return Number(match?.[1] ?? NaN) * BYTES_PER_KIBIBYTE
}

/** Returns the short commit of the working tree, with the suffix `+changes` when `packages` has uncommitted changes. */
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
  const processors = cpus()
  return `${processors.length} cores (${processors[0]?.model ?? 'unknown'}), ${Math.round(totalmem() / BYTES_PER_KIBIBYTE ** 3)} GB, Node.js ${process.version}`
}
