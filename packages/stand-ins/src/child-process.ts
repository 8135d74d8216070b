import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream } from 'node:fs'
import { createInterface } from 'node:readline'
import type { Readable } from 'node:stream'
import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import { z } from 'zod'

export interface ProcessCommand {
  readonly command: string
  readonly arguments: readonly string[]
  /** Added to the environment of this process. */
  readonly environment?: Readonly<Record<string, string>>
}

export interface StartProcessOptions extends ProcessCommand {
  readonly name: string
  /** The process's output is appended to this file as JSON lines. */
  readonly logFile: string
  readonly clock: Clock
  /** Time within which the process must say that it listens. */
  readonly readyMilliseconds: Milliseconds
  /** Time between SIGTERM and SIGKILL. */
  readonly stopMilliseconds: Milliseconds
}

export interface ProcessExit {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

/** A process that the runner started, held by its handle. */
export interface RunningProcess {
  readonly name: string
  readonly pid: number
  /** The address that the process said it listens on. */
  readonly address: string
  /** Resolves when the process has ended and its output is in the log file. */
  readonly exited: Promise<ProcessExit>
  readonly hasExited: () => boolean
  /** SIGSTOP. */
  readonly pause: () => void
  /** SIGCONT. */
  readonly resume: () => void
  /** SIGKILL. */
  readonly kill: () => Promise<ProcessExit>
  /** SIGTERM, then SIGKILL after the bound. */
  readonly stop: () => Promise<ProcessExit>
}

const listeningEventSchema = z.looseObject({ event: z.literal('listening'), address: z.string() })

/** Lines quoted when a process does not become ready. */
const QUOTED_LINES = 20

// Processes must not outlive the test that started them.
const children = new Set<ChildProcess>()
process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL')
})

/**
 * Starts a process and waits until it says that it listens; rejects when it ends or takes too long.
 *
 * @example
 * const daemon = await startProcess({ name: 'entry-1', command: process.execPath, arguments: ['daemon.js'], logFile, clock, readyMilliseconds: 10_000, stopMilliseconds: 20_000 })
 */
export async function startProcess (options: StartProcessOptions): Promise<RunningProcess> {
  const { name, clock } = options
  const child = spawn(options.command, options.arguments, {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, ...options.environment }
  })
  children.add(child)
  const logStream = createWriteStream(options.logFile, { flags: 'a' })
  const lastLines: string[] = []
  let hasExited = false
  let onListening: (address: string) => void = () => {}
  const listening = new Promise<string>((resolve) => { onListening = resolve })

  const keepLine = (stream: 'stdout' | 'stderr', line: string): void => {
    lastLines.push(line)
    if (lastLines.length > QUOTED_LINES) lastLines.shift()
    const parsed = parseLine(line)
    const entry = parsed === undefined
      ? JSON.stringify({ time: clock.wallNow(), process: name, level: stream === 'stderr' ? 'error' : 'info', message: line, stream })
      : line
    logStream.write(entry + '\n')
    const announced = listeningEventSchema.safeParse(parsed)
    if (announced.success) onListening(announced.data.address)
  }
  const readLines = async (stream: 'stdout' | 'stderr', input: Readable): Promise<void> => {
    for await (const line of createInterface({ input })) keepLine(stream, line)
  }

  const waitForExit = async (): Promise<ProcessExit> => {
    try {
      const [[code, signal]] = await Promise.all([
        once(child, 'exit') as Promise<[number | null, NodeJS.Signals | null]>,
        readLines('stdout', child.stdout),
        readLines('stderr', child.stderr)
      ])
      return { code, signal }
    } finally {
      hasExited = true
      children.delete(child)
      const closed = once(logStream, 'close')
      logStream.end()
      await closed
    }
  }
  const exited = waitForExit()
  // A program that cannot be started is reported by the wait for readiness below.
  exited.catch(() => {})

  const stop = async (): Promise<ProcessExit> => {
    if (hasExited) return await exited
    const bound = clock.setTimer(options.stopMilliseconds, () => { child.kill('SIGKILL') })
    child.kill('SIGTERM')
    // A paused process receives SIGTERM only once it runs again.
    child.kill('SIGCONT')
    const exit = await exited
    bound.cancel()
    return exit
  }
  const kill = async (): Promise<ProcessExit> => {
    child.kill('SIGKILL')
    return await exited
  }

  const giveUp = new AbortController()
  const ready = await Promise.race([
    listening.then((address) => ({ kind: 'ready' as const, address })),
    exited.then(
      ({ code, signal }) => ({ kind: 'failed' as const, reason: `it ended with code ${code}, signal ${signal}` }),
      (reason: unknown) => ({ kind: 'failed' as const, reason: String(reason) })
    ),
    clock.sleep(options.readyMilliseconds, giveUp.signal).then(() => ({ kind: 'failed' as const, reason: `it did not listen within ${options.readyMilliseconds} ms` }))
  ])
  giveUp.abort()
  if (ready.kind === 'failed') {
    if (child.pid !== undefined) await kill()
    throw new Error(`process ${name} did not become ready: ${ready.reason}; last lines:\n${lastLines.join('\n')}`)
  }
  return {
    name,
    pid: child.pid ?? -1,
    address: ready.address,
    exited,
    hasExited: () => hasExited,
    pause: () => { child.kill('SIGSTOP') },
    resume: () => { child.kill('SIGCONT') },
    kill,
    stop
  }
}

function parseLine (line: string): unknown {
  try {
    const value: unknown = JSON.parse(line)
    return typeof value === 'object' && value !== null ? value : undefined
  } catch {
    return undefined
  }
}
