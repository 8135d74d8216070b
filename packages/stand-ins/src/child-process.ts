import { spawn, type ChildProcess } from 'node:child_process'
import { once } from 'node:events'
import { createWriteStream } from 'node:fs'
import { createInterface } from 'node:readline'
import type { Readable } from 'node:stream'
import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import { z } from 'zod'

/** A program with its arguments and additional environment variables. */
export interface ProcessCommand {
  readonly command: string
  readonly arguments: readonly string[]
  /** Environment variables added to those of the current process. */
  readonly environment?: Readonly<Record<string, string>>
}

export interface StartProcessOptions extends ProcessCommand {
  readonly name: string
  /** File to which the output of the process is appended as JSON Lines. */
  readonly logFile: string
  readonly clock: Clock
  /** Time within which the process must log that it is listening. */
  readonly readyMilliseconds: Milliseconds
  /** Time between SIGTERM and SIGKILL. */
  readonly stopMilliseconds: Milliseconds
}

/** Exit code, or the signal that ended the process. */
export interface ProcessExit {
  readonly code: number | null
  readonly signal: NodeJS.Signals | null
}

/** Handle of a started process. */
export interface RunningProcess {
  readonly name: string
  readonly pid: number
  /** Address from the `listening` event of the process. */
  readonly address: string
  /** Resolves when the process has exited and its output is written to the log file. */
  readonly exited: Promise<ProcessExit>
  readonly hasExited: () => boolean
  /** Sends SIGSTOP. */
  readonly pause: () => void
  /** Sends SIGCONT. */
  readonly resume: () => void
  /** Sends SIGKILL and waits for the exit. */
  readonly kill: () => Promise<ProcessExit>
  /** Sends SIGTERM, then SIGKILL after `stopMilliseconds`, and waits for the exit. */
  readonly stop: () => Promise<ProcessExit>
}

const listeningEventSchema = z.looseObject({ event: z.literal('listening'), address: z.string() })

/** Number of output lines quoted in the error when a process does not become ready. */
const MAXIMUM_QUOTED_LINES = 20

// Running child processes, which are killed on exit so that they do not outlive the process that started them.
const children = new Set<ChildProcess>()
process.on('exit', () => {
  for (const child of children) child.kill('SIGKILL')
})

/**
 * Starts a process and waits until it logs that it is listening. Rejects when the process exits
 * first, or kills it and rejects after `readyMilliseconds`.
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

  const recordLine = (stream: 'stdout' | 'stderr', line: string): void => {
    lastLines.push(line)
    if (lastLines.length > MAXIMUM_QUOTED_LINES) lastLines.shift()
    const parsed = parseLine(line)
    const logLine = parsed === undefined
      ? JSON.stringify({ time: clock.wallNow(), process: name, level: stream === 'stderr' ? 'error' : 'info', message: line, stream })
      : line
    logStream.write(logLine + '\n')
    const listeningEvent = listeningEventSchema.safeParse(parsed)
    if (listeningEvent.success) onListening(listeningEvent.data.address)
  }
  const readLines = async (stream: 'stdout' | 'stderr', input: Readable): Promise<void> => {
    for await (const line of createInterface({ input })) recordLine(stream, line)
  }

  const readUntilExit = async (): Promise<ProcessExit> => {
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
  const exited = readUntilExit()
  // Prevents an unhandled rejection; a program that cannot be started is reported by the wait for readiness below.
  exited.catch(() => {})

  const stop = async (): Promise<ProcessExit> => {
    if (hasExited) return await exited
    const killTimer = clock.setTimer(options.stopMilliseconds, () => { child.kill('SIGKILL') })
    child.kill('SIGTERM')
    // A paused process handles SIGTERM only after it is resumed.
    child.kill('SIGCONT')
    const exit = await exited
    killTimer.cancel()
    return exit
  }
  const kill = async (): Promise<ProcessExit> => {
    child.kill('SIGKILL')
    return await exited
  }

  const timeoutController = new AbortController()
  const startResult = await Promise.race([
    listening.then((address) => ({ kind: 'ready' as const, address })),
    exited.then(
      ({ code, signal }) => ({ kind: 'failed' as const, reason: `it exited with code ${code}, signal ${signal}` }),
      (reason: unknown) => ({ kind: 'failed' as const, reason: String(reason) })
    ),
    clock.sleep(options.readyMilliseconds, timeoutController.signal).then(() => ({ kind: 'failed' as const, reason: `it did not listen within ${options.readyMilliseconds} ms` }))
  ])
  timeoutController.abort()
  if (startResult.kind === 'failed') {
    if (child.pid !== undefined) await kill()
    throw new Error(`process ${name} did not become ready: ${startResult.reason}; last lines:\n${lastLines.join('\n')}`)
  }
  return {
    name,
    pid: child.pid ?? -1,
    address: startResult.address,
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
