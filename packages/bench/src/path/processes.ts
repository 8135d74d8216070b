import { execFile, execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import type { Milliseconds } from '@fuchsiastage/types'
import type { LoadPlan, LoadResult } from './load-messages.js'

const LOAD_CLIENT_PROGRAM = fileURLToPath(new URL('load-client.js', import.meta.url))
const MAXIMUM_OUTPUT_BYTES = 64 * 1024 * 1024
/** Length of a clock tick in `/proc/<pid>/stat`: `USER_HZ` is 100 on Linux. */
const TICK_MILLISECONDS = 10
/** Index of the user time among the fields of `/proc/<pid>/stat` after the command: user and system time are fields 14 and 15 of the whole line. */
const USER_TIME_FIELD = 11

/** Runs one load client process until it exits and returns its result. */
export async function runLoadClient (plan: LoadPlan): Promise<LoadResult> {
  const { stdout } = await promisify(execFile)(process.execPath, [LOAD_CLIENT_PROGRAM, JSON.stringify(plan)], { maxBuffer: MAXIMUM_OUTPUT_BYTES })
  return JSON.parse(stdout) as LoadResult
}

/** Returns the processor time, user and system, that a process has used so far. */
export function cpuTime (pid: number): Milliseconds {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[USER_TIME_FIELD]) + Number(fields[USER_TIME_FIELD + 1])) * TICK_MILLISECONDS
}

/** Returns the resident memory of a process. */
export function residentMegabytes (pid: number): number {
  const kilobytes = /^VmRSS:\s+(\d+) kB/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]
  return Number(kilobytes) / 1_024
}

/** Returns the commit of the working tree, with the suffix `-modified` when tracked files differ from it. */
export function currentCommit (): string {
  const git = (...parts: readonly string[]): string => execFileSync('git', parts, { encoding: 'utf8' }).trim()
  return git('rev-parse', 'HEAD') + (git('status', '--porcelain', '--untracked-files=no') === '' ? '' : '-modified')
}
