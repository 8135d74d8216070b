import { createClientMemory, deriveClientCapacity } from '@fuchsiastage/client-memory'
import { setMaxListeners } from 'node:events'
import type { ManualClock } from '@fuchsiastage/clock'
import type { ServingConfiguration, ServingRoute, ServingService, TargetEntry } from '@fuchsiastage/fleet'
import { createDaemonStop, createForwarder, type Forwarder, type ForwardOutcome, type HeaderCodec, type InboundRequest, type ModelDemand, type TargetAnswer } from '@fuchsiastage/forwarding'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createSeededRandom } from '@fuchsiastage/membership'
import type { StreamOrigins } from '@fuchsiastage/stream-origins'
import type { Milliseconds } from '@fuchsiastage/types'
import { createHandoverReceiver } from './handover-receiver.js'
import { startSimulatedExchange, type ExchangeNode, type SimulatedExchange } from './simulated-exchange.js'

/** A request as a simulated target receives it. */
export interface SimulatedSend {
  readonly sender: ExchangeNode
  readonly address: string
  /** Identifier of the target for which the request is meant. */
  readonly targetId: string
  /** Identifier of the caller's request. */
  readonly requestId: string
  readonly demand: ModelDemand | undefined
  readonly body: string
  /** Identifier after which a resumed stream continues. */
  readonly lastEventId: string | undefined
  /** Time at which the caller sent its request. */
  readonly requestedAt: Milliseconds
  readonly signal: AbortSignal
  /** To be called when the connection is established. */
  readonly onConnected: () => void
}

export interface SimulatedRequest {
  /** Identifier of the request; each one without it gets its own. */
  readonly id?: string
  readonly path: string
  readonly deadlineMilliseconds: Milliseconds
  readonly demand?: ModelDemand
  /** The last event that the caller has, and the request that brought its first event, when the caller takes a stream up. */
  readonly lastEventId?: string
  readonly resumes?: string
  /** Body of the request; each request without one has a body of its own, so that no two are the same. */
  readonly body?: string
  /** Aborts when the caller leaves; by default it stays. */
  readonly clientDisconnected?: AbortSignal
  /** Receives the bytes of the response. */
  readonly onBytes?: (bytes: Buffer) => void
}

export interface SimulatedFleetOptions {
  readonly clock: ManualClock
  readonly size: number
  readonly random: () => number
  readonly service: ServingService
  readonly routes: readonly ServingRoute[]
  /** Entries of the targets that each daemon knows when it starts. */
  readonly entries: () => readonly TargetEntry[]
  /** Receives a request at a target and returns the response. Its headers are pairs of a name and a value; see `targetHeaders`. */
  readonly answer: (send: SimulatedSend) => Promise<TargetAnswer>
  /** Creates the record of the software versions of a daemon, until the daemon ends; by default there is none, and no stream is taken up. */
  readonly streamOrigins?: (node: ExchangeNode, ended: AbortSignal) => Pick<StreamOrigins, 'begin' | 'complete' | 'find'>
  /** Whether a target accepts connections of a daemon; always by default. */
  readonly probe?: (address: string, daemon: string) => Promise<boolean>
}

export interface SimulatedFleet {
  readonly exchange: SimulatedExchange
  /** Sends a request of a caller to a daemon. */
  readonly request: (daemon: number, request: SimulatedRequest) => Promise<ForwardOutcome>
  /** Ends the process of a daemon; a restart of its node in the exchange starts another one. */
  readonly end: (daemon: number) => void
  readonly stop: () => void
}

/** Headers of a simulated response. */
export interface SimulatedHeaders {
  readonly requestId: string
  readonly requestsPerSecond?: number
  /** Requests that the target, which is brittle, may turn away in a second. */
  readonly brittleRejections?: number | undefined
  /** Time for which the target, which turns the request away, wants none from the daemon. */
  readonly pauseMilliseconds?: Milliseconds
  readonly isLeaving?: boolean
  /** Identifier of the target that responds. */
  readonly targetId?: string
}

export function targetHeaders ({ requestId, requestsPerSecond, brittleRejections, pauseMilliseconds, isLeaving, targetId }: SimulatedHeaders): readonly string[] {
  return [
    'request', requestId,
    ...requestsPerSecond === undefined ? [] : ['per-second', String(requestsPerSecond)],
    ...brittleRejections === undefined ? [] : ['brittle', String(brittleRejections)],
    ...pauseMilliseconds === undefined ? [] : ['pause', String(pauseMilliseconds)],
    ...isLeaving === true ? ['leaving', '1'] : [],
    ...targetId === undefined ? [] : ['target', targetId]
  ]
}

export const STATUS_TURNED_AWAY = 503
/** Retries that each daemon may send in the window. */
export const RETRIES_PER_DAEMON = 5
export const RETRY_WINDOW_MILLISECONDS = 10_000
/** Probes of targets have their own random numbers, so that their number does not change what else is drawn. */
const PROBE_SEED = 1

const NO_STREAM_ORIGINS: Pick<StreamOrigins, 'begin' | 'complete' | 'find'> = { begin: () => undefined, complete: () => undefined, find: async () => ({ kind: 'unknown', reason: 'not-recorded' }) }

function valueOf (rawHeaders: readonly string[], name: string): string | undefined {
  const index = rawHeaders.indexOf(name)
  return index < 0 ? undefined : rawHeaders[index + 1]
}

const codec: HeaderCodec = {
  describeRequest: () => { throw new Error('not used') },
  forwardedHeaders: (rawHeaders, { targetId, lastEventId }) => [...rawHeaders, 'target', targetId, ...lastEventId === undefined ? [] : ['last-event-id', lastEventId]],
  describeAnswer: (status, rawHeaders) => {
    const perSecond = valueOf(rawHeaders, 'per-second')
    const pause = valueOf(rawHeaders, 'pause')
    const brittle = valueOf(rawHeaders, 'brittle')
    return {
      requestId: valueOf(rawHeaders, 'request'),
      hasSeal: true,
      isNotExecuted: status === STATUS_TURNED_AWAY,
      targetId: valueOf(rawHeaders, 'target'),
      hasContentEncoding: false,
      isFramed: true,
      load: undefined,
      requestsPerSecond: perSecond === undefined ? undefined : Number(perSecond),
      ...brittle === undefined ? {} : { brittleRejections: Number(brittle) },
      pauseMilliseconds: pause === undefined ? undefined : Number(pause),
      isLeaving: valueOf(rawHeaders, 'leaving') !== undefined
    }
  },
  answerHeaders: (rawHeaders) => rawHeaders
}

export async function * emptyBody (): AsyncIterable<Buffer> {}

/**
 * Starts a fleet of forwarders, connected by the simulated exchange, in front of simulated targets. For
 * tests and measurements.
 *
 * @example
 * const fleet = startSimulatedFleet({ clock, size: 79, random, service, routes, entries: () => [entry], answer })
 * const outcome = await fleet.request(0, { path: '/x/1', deadlineMilliseconds: 5_000 })
 */
export function startSimulatedFleet (options: SimulatedFleetOptions): SimulatedFleet {
  const { clock, size, random, service, routes } = options
  const exchange = startSimulatedExchange(clock, size, random)
  const forwarders = new Map<ExchangeNode, Forwarder>()
  const stopping = new AbortController()
  setMaxListeners(0, stopping.signal)
  const configuration: ServingConfiguration = {
    version: 1,
    routes,
    services: new Map([[service.name, service]]),
    limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerMilliseconds: 3_000, idleMilliseconds: 15_000 }
  }
  const requests = new Map<string, InboundRequest>()
  let requestCount = 0

  /** Ends what an incarnation of a daemon does by itself. */
  const incarnations = new Map<string, AbortController>()

  const createNodeForwarder = (node: ExchangeNode): Forwarder => {
    incarnations.get(node.name)?.abort()
    const incarnation = new AbortController()
    setMaxListeners(0, incarnation.signal)
    incarnations.set(node.name, incarnation)
    const { logger } = createMemoryLogger(clock, node.name)
    for (const entry of options.entries()) node.directory.applyEntry(entry.id, entry)
    const daemonStop = createDaemonStop({ clock, hasServingPeer: () => true })
    stopping.signal.addEventListener('abort', daemonStop.end, { once: true })
    const forwarder = createForwarder({
      clock,
      logger,
      dataCentre: 'a',
      configuration: () => configuration,
      isConfigurationConfirmed: () => true,
      configurationAge: () => 0,
      directory: node.directory,
      codec,
      send: async ({ address, rawHeaders, body, signal, onConnected }) => {
        const requestId = valueOf(rawHeaders, 'request') ?? ''
        const request = requests.get(requestId)
        return await options.answer({ sender: node, address, targetId: valueOf(rawHeaders, 'target') ?? '', requestId, demand: request?.description.demand, body: body.toString(), lastEventId: valueOf(rawHeaders, 'last-event-id'), requestedAt: request?.receivedAt ?? clock.now(), signal, onConnected })
      },
      probe: async (address) => await options.probe?.(address, node.name) ?? true,
      targetLimits: node.limits,
      targetPauses: node.pauses,
      targetRooms: node.rooms,
      targetPaces: node.paces,
      unevenServices: { has: () => true, record: () => undefined },
      acquireTurn: node.turns.acquire,
      quarantine: node.quarantine,
      acquireTrial: node.trials.acquire,
      requestPlacement: async () => ({ kind: 'refused', reason: 'not used', retryAfterMilliseconds: 0 }),
      handOver: node.handOver,
      isReachedByPeer: node.access.isReachedByPeer,
      stop: daemonStop,
      streamOrigins: options.streamOrigins?.(node, incarnation.signal) ?? NO_STREAM_ORIGINS,
      // Daemons that draw the same numbers would choose the same targets.
      random: createSeededRandom(PROBE_SEED + exchange.nodes.indexOf(node)),
      daemonCount: node.members.aliveCount,
      retries: { share: 0, windowMilliseconds: RETRY_WINDOW_MILLISECONDS, slack: () => RETRIES_PER_DAEMON },
      onDemand: () => undefined,
      onFinished: () => undefined
    })
    void forwarder.probes.run(AbortSignal.any([stopping.signal, incarnation.signal]))
    node.targetAccess = () => forwarder.reachability.isCutOff() ? 'lost' : 'reached'
    node.handovers = createHandoverReceiver({
      clock,
      memory: createClientMemory(clock, deriveClientCapacity({ memoryMegabytes: 160, fileDescriptors: 2_200 })),
      softwareVersion: (target) => node.directory.find(target)?.entry.softwareVersion,
      codec: { describeRequest: (rawHeaders) => requests.get(valueOf(rawHeaders, 'request') ?? '')?.description ?? { id: '', deadlineMilliseconds: undefined, demand: undefined, lastEventId: undefined, resumes: undefined, credentials: undefined } },
      forwarder,
      configurationVersion: () => configuration.version,
      isClosed: () => false
    })
    return forwarder
  }

  const forwarderAt = (daemon: number): Forwarder => {
    const node = exchange.nodes[daemon]
    if (node === undefined) throw new Error(`the fleet has no daemon ${daemon}`)
    const known = forwarders.get(node) ?? createNodeForwarder(node)
    forwarders.set(node, known)
    return known
  }
  // Peers may hand requests over to a daemon before its first caller arrives.
  exchange.nodes.forEach((_, daemon) => forwarderAt(daemon))

  const inboundRequest = ({ id = `r${requestCount++}`, path, deadlineMilliseconds, demand, lastEventId, resumes, body, clientDisconnected, onBytes }: SimulatedRequest): InboundRequest => {
    let hasBegun = false
    return {
      method: 'POST',
      host: 'h',
      path,
      rawHeaders: targetHeaders({ requestId: id }),
      body: Buffer.from(body ?? id),
      description: { id, deadlineMilliseconds, demand, lastEventId, resumes, credentials: undefined },
      receivedAt: clock.now(),
      clientDisconnected: clientDisconnected ?? new AbortController().signal,
      response: { hasBegun: () => hasBegun, hold: () => true, begin: () => { hasBegun = true }, write: async (bytes) => { onBytes?.(bytes) }, end: () => undefined, destroy: () => undefined }
    }
  }

  return {
    exchange: {
      ...exchange,
      restart: (name) => {
        exchange.restart(name)
        forwarderAt(exchange.nodes.findIndex((node) => node.name === name))
      }
    },
    request: async (daemon, request) => {
      const inbound = inboundRequest(request)
      requests.set(inbound.description.id, inbound)
      const outcome = await forwarderAt(daemon).forward(inbound)
      requests.delete(inbound.description.id)
      return outcome
    },
    end: (daemon) => { incarnations.get(exchange.nodes[daemon]?.name ?? '')?.abort() },
    stop: () => {
      for (const incarnation of incarnations.values()) incarnation.abort()
      stopping.abort()
      exchange.stop()
    }
  }
}
