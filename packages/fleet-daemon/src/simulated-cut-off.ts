import type { ManualClock } from '@fuchsiastage/clock'
import type { ServingRoute, ServingService, TargetEntry } from '@fuchsiastage/fleet'
import type { ForwardOutcome, TargetAnswer } from '@fuchsiastage/forwarding'
import type { Milliseconds } from '@fuchsiastage/types'
import type { SimulatedExchange } from './simulated-exchange.js'
import { startSimulatedFleet, targetHeaders, type SimulatedFleetOptions } from './simulated-fleet.js'

/** What happens to the connections of a daemon to the targets: packets are lost, or new connections are refused while old ones go on. */
export type LinkFault = 'silent' | 'refusing'

export type CutOffRequestKind = 'safe' | 'unsafe' | 'stream'

/** One run of a request at a target. */
export interface TargetRun {
  readonly requestId: string
  /** Daemon that sent the request to the target. */
  readonly sender: string
  readonly startedAt: Milliseconds
  /** Time at which the target completed the request, or was told to stop. */
  endedAt: Milliseconds
}

/** A request of a caller, and what the caller got. */
export interface CutOffRequest {
  readonly id: string
  readonly outcome: Promise<ForwardOutcome>
  readonly text: () => string
}

export interface CutOffFleet {
  readonly exchange: SimulatedExchange
  /** Sends a request of a caller to a daemon. The caller may leave before the response is complete. */
  readonly request: (daemon: number, kind: CutOffRequestKind, clientDisconnected?: AbortSignal) => CutOffRequest
  /** Cuts daemons off from all targets, or heals their links. */
  readonly setFault: (daemons: readonly string[], fault: LinkFault | undefined) => void
  readonly runs: readonly TargetRun[]
  /** Stops or starts targets. */
  readonly setRunning: (targets: readonly number[], isRunning: boolean) => void
  /** Complete text of a response to a stream. */
  readonly streamText: string
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
const SERVING_MILLISECONDS = 150
const EVENTS = 5
const EVENT_MILLISECONDS = 200
/** Period at which a silent connection is checked. */
const POLL_MILLISECONDS = 30
export const MAXIMUM_TARGETS = 2

const KINDS: Readonly<Record<CutOffRequestKind, ServingRoute['requestKind']>> = {
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
  maximumTargets: MAXIMUM_TARGETS,
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
    softwareVersion: 'v1',
    leavesInMilliseconds: undefined,
    placement: { orderCount: 0, models: [], pendingAdapters: [], modelsInMemory: [], modelsOnDisk: [] }
  }
}

function eventText (event: number): string {
  return `id: ${event}\ndata: x\n\n`
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
  const runs: TargetRun[] = []
  const stoppedTargets = new Set<string>()
  let requestCount = 0

  /** Waits until a connection is established or fails. */
  const connect = async (daemon: string, address: string, signal: AbortSignal): Promise<boolean> => {
    const isSilent = faults.get(daemon) === 'silent'
    await clock.sleep(isSilent ? CONNECT_TIMEOUT_MILLISECONDS : CONNECT_MILLISECONDS, signal)
    return !isSilent && faults.get(daemon) === undefined && !stoppedTargets.has(address) && !signal.aborted
  }

  /** Waits until the daemon has received bytes on an open connection. A target that stops resets its connections. */
  const receive = async (daemon: string, address: string, milliseconds: Milliseconds, signal: AbortSignal): Promise<void> => {
    await clock.sleep(milliseconds, signal)
    while (faults.get(daemon) === 'silent' && !signal.aborted) await clock.sleep(POLL_MILLISECONDS, signal)
    if (signal.aborted || stoppedTargets.has(address)) throw new Error('connection lost')
  }

  async function * writeEvents (run: TargetRun, address: string, lastEventId: number, signal: AbortSignal): AsyncIterable<Buffer> {
    for (let event = lastEventId + 1; event <= EVENTS; event++) {
      await receive(run.sender, address, EVENT_MILLISECONDS, signal)
      yield Buffer.from(eventText(event))
    }
  }

  /** Records when a target is done, or learns that nobody waits for it any more. */
  const endRun = async (run: TargetRun, milliseconds: Milliseconds, signal: AbortSignal): Promise<void> => {
    const doneAt = clock.now() + milliseconds
    await clock.sleep(milliseconds, signal)
    // The packets that close a connection are lost too.
    while (faults.get(run.sender) === 'silent' && clock.now() < doneAt) await clock.sleep(POLL_MILLISECONDS)
    run.endedAt = clock.now()
  }

  const answer: SimulatedFleetOptions['answer'] = async ({ sender, address, requestId, lastEventId, body, signal, onConnected }): Promise<TargetAnswer> => {
    if (!await connect(sender.name, address, signal)) return { kind: 'not-sent', reason: 'no connection' }
    onConnected()
    const isStream = body.startsWith('stream')
    const run: TargetRun = { requestId, sender: sender.name, startedAt: clock.now(), endedAt: Infinity }
    runs.push(run)
    void endRun(run, isStream ? EVENTS * EVENT_MILLISECONDS : SERVING_MILLISECONDS, signal)
    try {
      await receive(sender.name, address, isStream ? CONNECT_MILLISECONDS : SERVING_MILLISECONDS, signal)
    } catch {
      return { kind: 'failed', reason: 'connection lost' }
    }
    const written = isStream ? writeEvents(run, address, Number(lastEventId ?? 0), signal) : (async function * () { yield Buffer.from('ok') })()
    return { kind: 'answer', status: 200, rawHeaders: targetHeaders({ requestId }), body: written, close: () => undefined }
  }

  const fleet = startSimulatedFleet({
    clock,
    size: daemons,
    random,
    service: SERVICE,
    routes: ROUTES,
    entries: () => Array.from({ length: targets }, (_, index) => createEntry(`t${index}`)),
    answer,
    probe: async (address, daemon) => await connect(daemon, address, new AbortController().signal)
  })

  return {
    exchange: fleet.exchange,
    request: (daemon, kind, clientDisconnected) => {
      const id = `${kind}-${requestCount++}`
      let text = ''
      const outcome = fleet.request(daemon, {
        id,
        path: `/${kind}/x`,
        body: id,
        deadlineMilliseconds: DEADLINE_MILLISECONDS,
        onBytes: (bytes) => { text += bytes.toString() },
        ...clientDisconnected === undefined ? {} : { clientDisconnected }
      })
      return { id, outcome, text: () => text }
    },
    setFault: (names, fault) => {
      for (const name of names) {
        if (fault === undefined) faults.delete(name)
        else faults.set(name, fault)
      }
    },
    runs,
    setRunning: (indexes, isRunning) => {
      for (const index of indexes) {
        if (isRunning) stoppedTargets.delete(`t${index}`)
        else stoppedTargets.add(`t${index}`)
      }
    },
    streamText: Array.from({ length: EVENTS }, (_, index) => eventText(index + 1)).join(''),
    stop: fleet.stop
  }
}
