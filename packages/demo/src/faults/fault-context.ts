import type { Clock } from '@fuchsiastage/clock'
import type { RunningProcesses } from '@fuchsiastage/stand-ins'
import type { JsonValue, Milliseconds } from '@fuchsiastage/types'
import type { Example } from '../example.js'
import { callOperatorApi } from '../steps.js'
import type { Callers } from './callers.js'
import type { TargetCounts } from './checks.js'
import type { DaemonOutage } from './records.js'

/** What a fault may do to the deployment, and what it must tell the checks. */
export interface FaultContext {
  readonly clock: Clock
  readonly example: Example
  readonly processes: RunningProcesses
  readonly callers: Callers
  readonly daemons: readonly string[]
  readonly engines: readonly string[]
  readonly services: readonly string[]
  readonly sleep: (milliseconds: Milliseconds) => Promise<void>
  readonly control: (names: readonly string[], change: JsonValue) => Promise<void>
  readonly print: (text: string) => void
  /** Records a fact that this fault must show, beside the checks of all faults. */
  readonly check: (isMet: boolean, fact: string) => void
  /** As a daemon other than the given one sees it: one that was paused may not know of its successor yet. */
  readonly placementHolder: (except?: string) => Promise<string>
  /** Kills a daemon and starts it again after a moment. */
  readonly killDaemon: (daemon: string) => Promise<void>
  readonly pauseDaemon: (daemon: string, milliseconds: Milliseconds) => Promise<void>
  /** Kills an engine after reading its counts, and returns the requests that it was running. */
  readonly killEngine: (engine: string) => Promise<number>
  readonly engineCounts: (engine: string) => Promise<RunningCounts>
}

export interface RunningCounts extends TargetCounts {
  readonly running: number
}

/** Time for which a killed daemon stays away. */
const RESTART_DELAY_MILLISECONDS = 2_000

interface RawCounts {
  readonly started?: Readonly<Record<string, number>>
  readonly finished?: Readonly<Record<string, number>>
  readonly cancelled?: number
  readonly runsByRequest?: Readonly<Record<string, number>>
  readonly runsByKey?: Readonly<Record<string, number>>
  readonly replicas?: TargetCounts['replicas']
  readonly overcommitAttempts?: number
}

/** Reads a target's counts in the form of the checks. */
export async function readCounts (processes: RunningProcesses, name: string): Promise<RunningCounts> {
  const raw = await processes.counts(name) as RawCounts
  const started = Object.values(raw.started ?? {}).reduce((sum, count) => sum + count, 0)
  const finished = Object.values(raw.finished ?? {}).reduce((sum, count) => sum + count, 0)
  return {
    name,
    runs: raw.started ?? raw.runsByRequest ?? {},
    runsByKey: raw.runsByKey ?? {},
    replicas: raw.replicas ?? [],
    overcommitAttempts: raw.overcommitAttempts ?? 0,
    running: started - finished - (raw.cancelled ?? 0)
  }
}

export interface FaultContextOptions extends Pick<FaultContext, 'clock' | 'example' | 'processes' | 'callers' | 'print' | 'check'> {
  readonly daemonOutages: DaemonOutage[]
  /** Counts of processes that were killed. */
  readonly countsOfKilledProcesses: TargetCounts[]
}

/**
 * Creates the operations of the faults.
 *
 * @example
 * const context = createFaultContext(parts)
 * await context.killDaemon(await context.placementHolder())
 */
export function createFaultContext (options: FaultContextOptions): FaultContext {
  const { clock, example, processes, daemonOutages, countsOfKilledProcesses } = options
  const { vms, roles } = example.description
  const namesOf = (kind: 'engine' | 'service'): readonly string[] => vms.filter(({ role }) => roles[role]?.kind === kind).map(({ name }) => name)
  const daemons = [...example.settings.keys()]

  const placementHolder = async (except?: string): Promise<string> => {
    for (let attempt = 0; attempt < 100; attempt++) {
      for (const daemon of daemons.filter((name) => name !== except)) {
        try {
          const { body } = await callOperatorApi({ example }, daemon, 'GET', '/status')
          const { holder } = body.placement as { readonly holder: string | null }
          if (holder !== null) return holder
        } catch {
          // The next daemon is asked.
        }
      }
      await clock.sleep(200)
    }
    throw new Error('no daemon holds the placement lease')
  }
  const killEngine = async (engine: string): Promise<number> => {
    // A frozen engine starts nothing more, so that no run is missing from the counts.
    await processes.control(engine, { frozen: true })
    const counts = await readCounts(processes, engine)
    const killedAt = clock.wallNow()
    await processes.kill(engine)
    countsOfKilledProcesses.push({ ...counts, replicas: counts.replicas.map((replica) => ({ ...replica, to: replica.to ?? killedAt })) })
    return counts.running
  }
  return {
    ...options,
    daemons,
    engines: namesOf('engine'),
    services: namesOf('service'),
    sleep: async (milliseconds) => { await clock.sleep(milliseconds) },
    control: async (names, change) => { await Promise.all(names.map((name) => processes.control(name, change))) },
    placementHolder,
    killDaemon: async (daemon) => {
      const from = clock.now()
      await processes.kill(daemon)
      await clock.sleep(RESTART_DELAY_MILLISECONDS)
      await processes.restart(daemon)
      daemonOutages.push({ daemon, kind: 'killed', from, to: clock.now() })
    },
    pauseDaemon: async (daemon, milliseconds) => {
      const from = clock.now()
      processes.pause(daemon)
      await clock.sleep(milliseconds)
      processes.resume(daemon)
      daemonOutages.push({ daemon, kind: 'paused', from, to: clock.now() })
    },
    killEngine,
    engineCounts: (engine) => readCounts(processes, engine)
  }
}
