import type { ManualClock } from '@fuchsiastage/clock'
import type { ServingRoute, ServingService, TargetEntry } from '@fuchsiastage/fleet'
import type { ForwardOutcome } from '@fuchsiastage/forwarding'
import type { Milliseconds } from '@fuchsiastage/types'
import type { ExchangeNode, SimulatedExchange } from './simulated-exchange.js'
import { emptyBody, startSimulatedFleet, targetHeaders, type SimulatedFleetOptions } from './simulated-fleet.js'

export interface SimulatedTarget {
  readonly id: string
  /** Requests per second that the target states in its responses; undefined for none. */
  perSecond: number | undefined
}

/** Arrival of a request at a target. */
interface Arrival {
  readonly at: Milliseconds
  readonly target: string
  readonly daemon: string
  /** Whether the sending daemon had relayed a response with a limit some time before. */
  readonly isFromInformed: boolean
}

export interface LimitedFleet {
  readonly exchange: SimulatedExchange
  /** Sends a request of a caller to a daemon; `priority` is that of its route. */
  readonly request: (daemon: number, priority?: 0 | 3) => Promise<ForwardOutcome>
  readonly arrivals: readonly Arrival[]
  /** Most requests within four seconds at the target from daemons that it had informed, from the given time on. */
  readonly busiestWindow: (target: string, from: Milliseconds) => number
  readonly stop: () => void
}

export interface LimitedFleetOptions {
  readonly clock: ManualClock
  readonly size: number
  readonly targets: readonly SimulatedTarget[]
  readonly random: () => number
}

const SERVICE: ServingService = { name: 'ledger', healthPath: '/health', maximumConnections: 1_000, engine: undefined }
const OBJECTIVE_MILLISECONDS = 2_000
const DEADLINE_MILLISECONDS = 10_000
const SERVING_MILLISECONDS = 20
const WINDOW_MILLISECONDS = 4_000
/** Time after which a daemon that has relayed a limit is expected to keep to it. */
const INFORMED_AFTER_MILLISECONDS = 500

const ROUTES: readonly ServingRoute[] = ([0, 3] as const).map((priority) => ({
  name: `p${priority}`,
  host: 'h',
  prefix: `/p${priority}/`,
  requestKind: { kind: 'safe' },
  timeoutMilliseconds: undefined,
  objectiveMilliseconds: OBJECTIVE_MILLISECONDS,
  priority,
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
    softwareVersion: 'v1',
    leavesInMilliseconds: undefined,
    placement: { orderCount: 0, models: [], pendingAdapters: [], modelsInMemory: [], modelsOnDisk: [] }
  }
}

/**
 * Starts a simulated fleet in front of targets that may state limits. For tests and measurements.
 *
 * @example
 * const fleet = startLimitedFleet({ clock, size: 79, targets: [{ id: 't1', perSecond: 1 }], random })
 * const outcome = await fleet.request(0)
 */
export function startLimitedFleet ({ clock, size, targets, random }: LimitedFleetOptions): LimitedFleet {
  const arrivals: Arrival[] = []
  /** Time at which a daemon first relayed a limit of a target. */
  const informedAt = new Map<ExchangeNode, Map<string, Milliseconds>>()

  const informedOf = (node: ExchangeNode): Map<string, Milliseconds> => {
    const known = informedAt.get(node) ?? new Map<string, Milliseconds>()
    informedAt.set(node, known)
    return known
  }

  const answer: SimulatedFleetOptions['answer'] = async ({ sender, address, requestId, onConnected }) => {
    onConnected()
    const informed = informedOf(sender)
    arrivals.push({ at: clock.now(), target: address, daemon: sender.name, isFromInformed: clock.now() - (informed.get(address) ?? Infinity) >= INFORMED_AFTER_MILLISECONDS })
    await clock.sleep(SERVING_MILLISECONDS)
    const requestsPerSecond = targets.find(({ id }) => id === address)?.perSecond
    if (requestsPerSecond !== undefined && !informed.has(address)) informed.set(address, clock.now())
    return { kind: 'answer', status: 200, rawHeaders: targetHeaders(requestsPerSecond === undefined ? { requestId } : { requestId, requestsPerSecond }), body: emptyBody(), close: () => undefined }
  }

  const fleet = startSimulatedFleet({ clock, size, random, service: SERVICE, routes: ROUTES, entries: () => targets.map(({ id }) => createEntry(id)), answer })

  return {
    exchange: fleet.exchange,
    request: async (daemon, priority = 0) => await fleet.request(daemon, { path: `/p${priority}/x`, deadlineMilliseconds: DEADLINE_MILLISECONDS }),
    arrivals,
    busiestWindow: (target, from) => {
      const times = arrivals.filter((arrival) => arrival.target === target && arrival.isFromInformed && arrival.at >= from).map(({ at }) => at)
      return Math.max(0, ...times.map((start) => times.filter((at) => at >= start && at < start + WINDOW_MILLISECONDS).length))
    },
    stop: fleet.stop
  }
}
