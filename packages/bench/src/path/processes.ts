import { execFile, execFileSync } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import type { Milliseconds } from '@fuchsiastage/types'
import type { LoadPlan, LoadResult } from './load-messages.js'

const CLIENT = fileURLToPath(new URL('load-client.js', import.meta.url))
const MAXIMUM_OUTPUT_BYTES = 64 * 1024 * 1024
/** `USER_HZ` of Linux. */
const TICK_MILLISECONDS = 10
/** Fields of `/proc/<pid>/stat` after the command: user and system time are the fields 14 and 15. */
const USER_TIME_FIELD = 11

/** Runs one load client to its end. */
export async function runLoadClient (plan: LoadPlan): Promise<LoadResult> {
  const { stdout } = await promisify(execFile)(process.execPath, [CLIENT, JSON.stringify(plan)], { maxBuffer: MAXIMUM_OUTPUT_BYTES })
  return JSON.parse(stdout) as LoadResult
}

/** Processor time of a process so far. */
export function cpuTime (pid: number): Milliseconds {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8')
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ')
  return (Number(fields[USER_TIME_FIELD]) + Number(fields[USER_TIME_FIELD + 1])) * TICK_MILLISECONDS
}

/** Resident memory of a process. */
export function residentMegabytes (pid: number): number {
  const kilobytes = /^VmRSS:\s+(\d+) kB/m.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]
  return Number(kilobytes) / 1_024
}

/** The commit of the working tree, marked when files differ from it. */
export function currentCommit (): string {
  const git = (...parts: readonly string[]): string => execFileSync('git', parts, { encoding: 'utf8' }).trim()
  return git('rev-parse', 'HEAD') + (git('status', '--porcelain', '--untracked-files=no') === '' ? '' : '-modified')
}
