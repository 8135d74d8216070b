import type { Clock } from '@fuchsiastage/clock'
import type { RunningProcesses } from '@fuchsiastage/stand-ins'
import type { JsonValue, Milliseconds } from '@fuchsiastage/types'
import type { Example } from '../example.js'
import { callOperatorApi } from '../steps.js'
import type { Callers } from './callers.js'
import type { TargetCounts } from './checks.js'
import type { DaemonOutage } from './records.js'

/** Operations with which a fault acts on the deployment and reports to the checks. */
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
  /** Records whether an expected effect of this fault occurred, in addition to the checks that follow every fault. */
  readonly check: (isMet: boolean, fact: string) => void
  /** Returns the placement lease holder as reported by a daemon other than `except`, since a daemon that was paused may not know its successor yet. */
  readonly placementHolder: (except?: string) => Promise<string>
  /** Kills a daemon and restarts it after `RESTART_DELAY_MILLISECONDS`. */
  readonly killDaemon: (daemon: string) => Promise<void>
  readonly pauseDaemon: (daemon: string, milliseconds: Milliseconds) => Promise<void>
  /** Kills an engine after reading its counts, and returns the number of requests that it was running. */
  readonly killEngine: (engine: string) => Promise<number>
  readonly engineCounts: (engine: string) => Promise<RunningCounts>
}

export interface RunningCounts extends TargetCounts {
  readonly running: number
}

/** Time between the kill of a daemon and its restart. */
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

/** Reads the counts of a target and converts them to the format of the checks. */
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
  /** Counts of engine processes at the time at which they were killed. */
  readonly countsOfKilledProcesses: TargetCounts[]
}

/**
 * Creates the operations that the faults use.
 *
 * @example
 * const context = createFaultContext(options)
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
          // The daemon does not respond; try the next one.
        }
      }
      await clock.sleep(200)
    }
    throw new Error('no daemon holds the placement lease')
  }
  const killEngine = async (engine: string): Promise<number> => {
    // A suspended engine starts no further runs, so the counts that are read before the kill are complete.
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
