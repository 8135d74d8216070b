import type { ManualClock } from '@fuchsiastage/clock'
import type { ServingConfiguration, ServingService, TargetEntry } from '@fuchsiastage/fleet'
import { createForwarder, type Forwarder, type ForwardOutcome, type HeaderCodec, type InboundRequest, type TargetAnswer } from '@fuchsiastage/forwarding'
import { createMemoryLogger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import { startSimulatedExchange, type ExchangeNode, type SimulatedExchange } from './simulated-exchange.js'

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

const CONFIGURATION: ServingConfiguration = {
  version: 1,
  routes: ([0, 3] as const).map((priority) => ({
    name: `p${priority}`,
    host: 'h',
    prefix: `/p${priority}/`,
    requestKind: { kind: 'safe' },
    timeoutMilliseconds: undefined,
    objectiveMilliseconds: OBJECTIVE_MILLISECONDS,
    priority,
    maximumTargets: 2,
    services: [{ service: SERVICE.name, weight: 1 }]
  })),
  services: new Map([[SERVICE.name, SERVICE]]),
  limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerMilliseconds: 3_000, idleMilliseconds: 15_000 }
}

/** Codec of the simulated targets: the headers are the request's identifier and the stated limit. */
const codec: HeaderCodec = {
  describeRequest: () => { throw new Error('not used') },
  forwardedHeaders: (rawHeaders) => rawHeaders,
  describeAnswer: (_status, [requestId, perSecond]) => ({
    requestId, hasSeal: true, isNotExecuted: false, targetId: undefined, hasContentEncoding: false, isFramed: true, load: undefined, requestsPerSecond: perSecond === undefined ? undefined : Number(perSecond)
  }),
  answerHeaders: (rawHeaders) => rawHeaders
}

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

async function * emptyBody (): AsyncIterable<Buffer> {}

/**
 * Starts a fleet of forwarders, connected by the simulated exchange, in front of targets that may state
 * limits. For tests and measurements.
 *
 * @example
 * const fleet = startLimitedFleet({ clock, size: 79, targets: [{ id: 't1', perSecond: 1 }], random })
 * const outcome = await fleet.request(0)
 */
export function startLimitedFleet ({ clock, size, targets, random }: LimitedFleetOptions): LimitedFleet {
  const exchange = startSimulatedExchange(clock, size, random)
  const arrivals: Arrival[] = []
  /** Time at which a daemon first relayed a limit of a target. */
  const informedAt = new Map<ExchangeNode, Map<string, Milliseconds>>()
  const forwarders = new Map<ExchangeNode, Forwarder>()
  let requestCount = 0

  const createNodeForwarder = (node: ExchangeNode): Forwarder => {
    const { logger } = createMemoryLogger(clock, node.name)
    for (const { id } of targets) node.directory.applyEntry(id, createEntry(id))
    const informed = new Map<string, Milliseconds>()
    informedAt.set(node, informed)
    return createForwarder({
      clock,
      logger,
      dataCentre: 'a',
      configuration: () => CONFIGURATION,
      directory: node.directory,
      codec,
      send: async ({ address, rawHeaders }): Promise<TargetAnswer> => {
        arrivals.push({ at: clock.now(), target: address, daemon: node.name, isFromInformed: clock.now() - (informed.get(address) ?? Infinity) >= INFORMED_AFTER_MILLISECONDS })
        await clock.sleep(SERVING_MILLISECONDS)
        const perSecond = targets.find(({ id }) => id === address)?.perSecond
        if (perSecond !== undefined && !informed.has(address)) informed.set(address, clock.now())
        return { kind: 'answer', status: 200, rawHeaders: perSecond === undefined ? rawHeaders : [...rawHeaders, String(perSecond)], body: emptyBody(), close: () => undefined }
      },
      targetLimits: node.limits,
      acquirePermit: node.permits.acquire,
      requestPlacement: async () => ({ kind: 'refused', reason: 'not used', retryAfterMilliseconds: 0 }),
      retries: { share: 0, windowMilliseconds: 10_000, slack: () => 5 },
      onDemand: () => undefined,
      onFinished: () => undefined
    })
  }

  const forwarderAt = (daemon: number): Forwarder => {
    const node = exchange.nodes[daemon]
    if (node === undefined) throw new Error(`the fleet has no daemon ${daemon}`)
    const known = forwarders.get(node) ?? createNodeForwarder(node)
    forwarders.set(node, known)
    return known
  }

  const createRequest = (priority: number): InboundRequest => {
    const id = `r${requestCount++}`
    let hasBegun = false
    return {
      method: 'POST',
      host: 'h',
      path: `/p${priority}/x`,
      rawHeaders: [id],
      body: Buffer.alloc(0),
      description: { id, deadlineMilliseconds: DEADLINE_MILLISECONDS, demand: undefined, lastEventId: undefined },
      receivedAt: clock.now(),
      clientDisconnected: new AbortController().signal,
      response: { hasBegun: () => hasBegun, begin: () => { hasBegun = true }, write: async () => undefined, end: () => undefined, destroy: () => undefined }
    }
  }

  return {
    exchange,
    request: async (daemon, priority = 0) => await forwarderAt(daemon).forward(createRequest(priority)),
    arrivals,
    busiestWindow: (target, from) => {
      const times = arrivals.filter((arrival) => arrival.target === target && arrival.isFromInformed && arrival.at >= from).map(({ at }) => at)
      return Math.max(0, ...times.map((start) => times.filter((at) => at >= start && at < start + WINDOW_MILLISECONDS).length))
    },
    stop: exchange.stop
  }
}
