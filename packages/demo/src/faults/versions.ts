import type { Clock } from '@fuchsiastage/clock'
import type { RunningProcesses } from '@fuchsiastage/stand-ins'
import { request } from 'undici'
import type { Example } from '../example.js'
import { callOperatorApi } from '../steps.js'
import type { VersionSample } from './checks.js'

export interface VersionWatcher {
  readonly samples: readonly VersionSample[]
  readonly stop: () => Promise<void>
}

const POLL_INTERVAL_MILLISECONDS = 250
const PATCH_INTERVAL_MILLISECONDS = 3_000
const TIMEOUT_MILLISECONDS = 2_000

/**
 * Samples the configuration version at each daemon, and submits a patch every few seconds, so that a daemon
 * that reverts to an earlier version is noticed.
 *
 * @example
 * const watcher = watchVersions(clock, example, processes)
 */
export function watchVersions (clock: Clock, example: Example, processes: RunningProcesses): VersionWatcher {
  const samples: VersionSample[] = []
  const stopping = new AbortController()
  const daemons = [...example.settings.keys()]
  let patches = 0

  const sample = async (daemon: string): Promise<void> => {
    const process = processes.process(daemon)
    if (process.hasExited()) return
    const timeout = new AbortController()
    const timer = clock.setTimer(TIMEOUT_MILLISECONDS, () => timeout.abort())
    try {
      const response = await request(`http://${process.address}/health/ready`, { signal: timeout.signal })
      const { isReady, version } = await response.body.json() as { readonly isReady: boolean, readonly version: number }
      samples.push({ daemon, process: process.pid, at: clock.now(), version, isReady })
    } catch {
      // The daemon is killed, paused or stopping and reports no version.
    } finally {
      timer.cancel()
    }
  }
  const poll = async (daemon: string): Promise<void> => {
    while (!stopping.signal.aborted) {
      await sample(daemon)
      await clock.sleep(POLL_INTERVAL_MILLISECONDS, stopping.signal)
    }
  }
  const submit = async (daemon: string): Promise<void> => {
    const key = 'caller/faults'
    const baseVersion = Math.max(0, ...samples.filter((entry) => entry.daemon === daemon).map(({ version }) => version))
    const value = { tokenSha256: '0'.repeat(64), priority: 'bulk', weight: 1 + patches % 2, maximumConcurrent: 1, requestsPerSecond: 1, deadlineMilliseconds: 1_000, models: [], services: [] }
    try {
      await callOperatorApi({ example }, daemon, 'POST', '/configuration/patches', { patchId: `faults-${patches}-${clock.wallNow()}`, baseVersion, operator: 'faults', note: 'changes only an unused caller', changes: [{ key, value }] })
    } catch {
      // The daemon is affected by a fault; the next patch is submitted at another daemon.
    }
  }
  const submitPatches = async (): Promise<void> => {
    for (; !stopping.signal.aborted; patches++) {
      const daemon = daemons[patches % daemons.length]
      if (daemon !== undefined && !processes.process(daemon).hasExited()) void submit(daemon)
      await clock.sleep(PATCH_INTERVAL_MILLISECONDS, stopping.signal)
    }
  }
  const running = Promise.all([...daemons.map(poll), submitPatches()])
  return {
    samples,
    stop: async () => {
      stopping.abort()
      await running
    }
  }
}
