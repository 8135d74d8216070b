import type { ManualClock } from '@fuchsiastage/clock'
import type { ServingRoute, ServingService, TargetEntry } from '@fuchsiastage/fleet'
import type { ForwardOutcome, TargetAnswer } from '@fuchsiastage/forwarding'
import type { SimulatedExchange } from './simulated-exchange.js'
import { startSimulatedFleet, targetHeaders, type SimulatedFleetOptions } from './simulated-fleet.js'

/** What happens to the connections of a daemon to the targets: packets are lost, or new connections are refused while old ones go on. */
export type LinkFault = 'silent' | 'refusing'

export interface CutOffFleet {
  readonly exchange: SimulatedExchange
  /** Sends a request of a caller to a daemon. */
  readonly request: (daemon: number, kind: 'safe' | 'unsafe' | 'stream') => Promise<ForwardOutcome>
  /** Cuts daemons off from all targets, or heals their links. */
  readonly setFault: (daemons: readonly string[], fault: LinkFault | undefined) => void
  /** Runs of each request at targets, by its identifier. */
  readonly runs: ReadonlyMap<string, number>
  /** Connections that cut-off daemons attempted to targets. */
  readonly failedAttempts: () => number
  /** Stops or starts all targets. */
  readonly setTargetsRunning: (isRunning: boolean) => void
  readonly stop: () => void
}

export interface CutOffFleetOptions {
  readonly clock: ManualClock
  readonly daemons: number
  readonly targets: number
  readonly random: () => number
}

const SERVICE: ServingService = { name: 'ledger', healthPath: '/health', maximumConnections: 1_000, engine: undefined }
const DEADLINE_MILLISECONDS = 2_000
const CONNECT_MILLISECONDS = 2
const CONNECT_TIMEOUT_MILLISECONDS = 400
const SERVING_MILLISECONDS = 30
const EVENTS = 5
const EVENT_MILLISECONDS = 30

const KINDS: Readonly<Record<'safe' | 'unsafe' | 'stream', ServingRoute['requestKind']>> = {
  safe: { kind: 'safe' },
  unsafe: { kind: 'unsafe' },
  stream: { kind: 'stream', isResumable: true, maximumPauseMilliseconds: 500 }
}

const ROUTES: readonly ServingRoute[] = Object.entries(KINDS).map(([name, requestKind]) => ({
  name,
  host: 'h',
  prefix: `/${name}/`,
  requestKind,
  timeoutMilliseconds: undefined,
  objectiveMilliseconds: 400,
  priority: 0,
  maximumTargets: 2,
  services: [{ service: SERVICE.name, weight: 1 }]
}))

function createEntry (id: string): TargetEntry {
  return {
    id,
    startedAt: 0,
    service: SERVICE.name,
    address: id,
    dataCentre: 'a',
    slots: 96,
    isDraining: false,
    leavesInMilliseconds: undefined,
    placement: { orderCount: 0, models: [], pendingAdapters: [], modelsInMemory: [], modelsOnDisk: [] }
  }
}

/**
 * Starts a simulated fleet whose daemons can be cut off from all targets, while callers and the other
 * daemons reach them. For tests and measurements.
 *
 * @example
 * const fleet = startCutOffFleet({ clock, daemons: 7, targets: 8, random })
 * fleet.setFault(['entry-000'], 'silent')
 */
export function startCutOffFleet ({ clock, daemons, targets, random }: CutOffFleetOptions): CutOffFleet {
  const faults = new Map<string, LinkFault>()
  const runs = new Map<string, number>()
  let failedAttempts = 0
  let areTargetsRunning = true

  /** Waits until a connection is established or fails. */
  const connect = async (daemon: string, signal: AbortSignal): Promise<boolean> => {
    const fault = faults.get(daemon)
    await clock.sleep(fault === 'silent' ? CONNECT_TIMEOUT_MILLISECONDS : CONNECT_MILLISECONDS, signal)
    if (fault !== undefined) failedAttempts++
    return fault === undefined && areTargetsRunning && !signal.aborted
  }

  /** Waits until the daemon can receive bytes on an open connection. */
  const receive = async (daemon: string, milliseconds: number, signal: AbortSignal): Promise<void> => {
    await clock.sleep(milliseconds, signal)
    while (faults.get(daemon) === 'silent' && !signal.aborted) await clock.sleep(EVENT_MILLISECONDS, signal)
  }

  async function * writeEvents (daemon: string, signal: AbortSignal): AsyncIterable<Buffer> {
    for (let event = 1; event <= EVENTS; event++) {
      await receive(daemon, EVENT_MILLISECONDS, signal)
      if (signal.aborted) throw new Error('aborted')
      yield Buffer.from(`id: ${event}\ndata: x\n\n`)
    }
  }

  const answer: SimulatedFleetOptions['answer'] = async ({ sender, requestId, signal }): Promise<TargetAnswer> => {
    if (!await connect(sender.name, signal)) return { kind: 'not-sent', reason: 'no connection' }
    runs.set(requestId, (runs.get(requestId) ?? 0) + 1)
    await receive(sender.name, SERVING_MILLISECONDS, signal)
    if (signal.aborted) return { kind: 'failed', reason: 'aborted' }
    return { kind: 'answer', status: 200, rawHeaders: targetHeaders({ requestId }), body: writeEvents(sender.name, signal), close: () => undefined }
  }

  const fleet = startSimulatedFleet({
    clock,
    size: daemons,
    random,
    service: SERVICE,
    routes: ROUTES,
    entries: () => Array.from({ length: targets }, (_, index) => createEntry(`t${index}`)),
    answer,
    probe: async (_address, daemon) => await connect(daemon, new AbortController().signal)
  })

  return {
    exchange: fleet.exchange,
    request: async (daemon, kind) => await fleet.request(daemon, { path: `/${kind}/x`, deadlineMilliseconds: DEADLINE_MILLISECONDS }),
    setFault: (names, fault) => {
      for (const name of names) {
        if (fault === undefined) faults.delete(name)
        else faults.set(name, fault)
      }
    },
    runs,
    failedAttempts: () => failedAttempts,
    setTargetsRunning: (isRunning) => { areTargetsRunning = isRunning },
    stop: fleet.stop
  }
}
