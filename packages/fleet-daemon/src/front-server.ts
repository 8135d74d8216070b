import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Server as TcpServer } from 'node:net'
import { createBlockPool, type BlockPool, type ClientCapacity, type ClientMemory } from '@fuchsiastage/client-memory'
import { readPendingEvents, type Clock } from '@fuchsiastage/clock'
import type { ClientLimits } from '@fuchsiastage/fleet'
import { UNCONFIRMED_RETRY_MILLISECONDS, type ClientResponse, type Forwarder, type ForwardOutcome, type HeaderCodec, type InboundRequest } from '@fuchsiastage/forwarding'
import type { Logger } from '@fuchsiastage/logger'
import { trackClientConnections, type ConnectionClosing, type ConnectionRequest } from './client-connections.js'
import { createClientResponse } from './client-response.js'
import { createLingeringClose, receiveBody, refusalByHead, refusalIfConfirmed, type BodyRefusal, type LingeringClose } from './receive-body.js'

export interface FrontServerOptions {
  readonly host: string
  readonly port: number
  readonly clock: Clock
  readonly logger: Logger
  readonly codec: HeaderCodec
  readonly forwarder: Forwarder
  readonly limits: () => ClientLimits | undefined
  /** Whether the limits are those of a configuration that was confirmed recently to be the newest. */
  readonly isConfigurationConfirmed: () => boolean
  readonly isLeaving: () => boolean
  readonly memory: ClientMemory
  readonly capacity: ClientCapacity
  /** Called for each request that is refused, and each connection that is closed, because of a limit for clients. */
  readonly onRejected: (reason: ClientRejection) => void
}

/** Limit for clients because of which a request was refused or a connection closed. */
export type ClientRejection = BodyRefusal['reason'] | ConnectionClosing

export interface FrontServer {
  readonly activeRequests: () => number
  readonly connections: () => number
  readonly applyLimits: (limits: ClientLimits) => void
  /** Stops accepting connections and closes the idle ones, after it has read what has arrived on them. Active requests continue. */
  readonly stopAccepting: () => Promise<void>
  /** Closes each connection as soon as no request is active on it, so that no further request is read. */
  readonly closeConnections: () => void
}

/** Limits until the first configuration is active. */
const DEFAULT_LIMITS: ClientLimits = { headerBytes: 16_384, bodyBytes: 4_194_304, headerMilliseconds: 3_000, idleMilliseconds: 15_000 }
/** Added to the configured time limits, so that the server does not close a connection just as a request arrives on it. */
const IDLE_MARGIN_MILLISECONDS = 1_500
/** Node's parser takes its limit when the server is created, so this value applies and not `headerBytes` of the configuration. */
const MAXIMUM_HEADER_BYTES = 65_536
const MILLISECONDS_PER_SECOND = 1_000
/** Time after which a client may send a request again that was refused for lack of memory; stalled bodies are given up after it. */
const MEMORY_RETRY_MILLISECONDS = 1_000

/**
 * Starts the server for callers. It uses Node's HTTP server without a framework, because routes
 * come from the configuration and requests must be forwarded exactly as they arrived.
 *
 * @example
 * const front = await startFrontServer(options)
 */
export async function startFrontServer (options: FrontServerOptions): Promise<FrontServer> {
  const { logger } = options
  let activeCount = 0
  const bodies: BodyServices = { pool: createBlockPool(), closeLingering: createLingeringClose(options.clock) }
  const server = createServer({ maxHeaderSize: MAXIMUM_HEADER_BYTES, requestTimeout: 0, connectionsCheckingInterval: 1_000 })
  const connections = trackClientConnections({ server, clock: options.clock, capacity: options.capacity, limits: () => options.limits() ?? DEFAULT_LIMITS, onClosed: options.onRejected })
  const onRequest = (request: IncomingMessage, response: ServerResponse): void => {
    const connectionRequest = connections.beginRequest(request, response)
    // The connection is closed; the parser goes on to the end of the bytes that it was given.
    if (connectionRequest === undefined) return
    // Requests that a client has sent ahead get their responses first.
    const isLeaving = (): boolean => options.isLeaving() && connectionRequest.isLast()
    const adapted = createClientResponse(response, { isLeaving, memory: options.memory })
    activeCount++
    response.once('close', () => { activeCount-- })
    serve({ ...options, isLeaving }, bodies, request, response, { adapted, waitForTurn: connectionRequest.waitForTurn }).catch((reason: unknown) => {
      logger.error('request handler threw an unexpected error; closing the connection', { event: 'request-failed', reason: String(reason) })
      adapted.destroy()
    })
  }
  server.on('request', onRequest)
  // A client that waits for the permission to send its body gets none if the body is refused by its head.
  server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
    if (refusalByHead(request, options.limits() ?? DEFAULT_LIMITS) === undefined) response.writeContinue()
    onRequest(request, response)
  })
  applyLimits(server, options.limits() ?? DEFAULT_LIMITS)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ port: options.port, host: options.host, backlog: 1024 }, resolve)
  })
  return {
    activeRequests: () => activeCount,
    connections: connections.count,
    applyLimits: (limits) => applyLimits(server, limits),
    stopAccepting: async () => {
      // A process that was busy has not read requests yet that have arrived.
      await readPendingEvents()
      // The methods of the HTTP server destroy connections whose last response has ended but is still being sent.
      TcpServer.prototype.close.call(server)
      connections.closeIdle()
    },
    closeConnections: connections.closeAll
  }
}

function applyLimits (server: Server, limits: ClientLimits): void {
  server.keepAliveTimeout = limits.idleMilliseconds + IDLE_MARGIN_MILLISECONDS
  server.headersTimeout = limits.headerMilliseconds + IDLE_MARGIN_MILLISECONDS
}

interface BodyServices {
  readonly pool: BlockPool
  readonly closeLingering: LingeringClose
}

interface ReceivedRequest extends Pick<ConnectionRequest, 'waitForTurn'> {
  readonly adapted: ClientResponse
}

async function serve (options: FrontServerOptions, { pool, closeLingering }: BodyServices, request: IncomingMessage, response: ServerResponse, { adapted, waitForTurn }: ReceivedRequest): Promise<void> {
  const receivedAt = options.clock.now()
  const clientAbort = new AbortController()
  response.once('close', () => { if (!response.writableFinished) clientAbort.abort(new Error('the client closed the connection')) })
  response.sendDate = false

  const description = options.codec.describeRequest(request.rawHeaders)
  const limits = options.limits() ?? DEFAULT_LIMITS
  const refuse = (decided: BodyRefusal): void => {
    const refusal = refusalIfConfirmed(decided, options.isConfigurationConfirmed)
    options.onRejected(refusal.reason)
    if (response.destroyed || response.headersSent) return
    closeLingering(request, response, { status: refusal.status, headers: { 'Content-Type': 'application/json', ...retryHeaders(refusal) } }, JSON.stringify({ error: refusal.reason }))
  }
  const refusal = refusalByHead(request, limits)
  if (refusal !== undefined) return refuse(refusal)
  const received = await receiveBody(request, { clock: options.clock, memory: options.memory, pool, limits })
  switch (received.kind) {
    case 'aborted':
      return
    case 'refused':
      return refuse(received.refusal)
    case 'complete':
      break
  }
  try {
    await forwardRequest(options, request, response, { adapted, waitForTurn, description, body: received.body, receivedAt, clientDisconnected: clientAbort.signal })
  } finally {
    received.release()
  }
}

interface CompleteRequest extends ReceivedRequest, Pick<InboundRequest, 'description' | 'body' | 'receivedAt' | 'clientDisconnected'> {}

async function forwardRequest (options: FrontServerOptions, request: IncomingMessage, response: ServerResponse, { adapted, waitForTurn, description, body, receivedAt, clientDisconnected }: CompleteRequest): Promise<void> {
  if (description.id === '') {
    if (options.isLeaving()) response.shouldKeepAlive = false
    sendOutcome(response, { kind: 'rejected', status: 400, reason: 'request-id-missing' })
    return
  }
  // The response of an earlier request may close the connection.
  if (!await waitForTurn()) return
  // A process that was busy reads a request and the close of its connection in different turns, and must not send a request on after its client has left.
  await readPendingEvents()
  if (clientDisconnected.aborted) return
  const outcome = await options.forwarder.forward({
    method: request.method ?? 'GET',
    host: hostName(request.headers.host ?? ''),
    path: request.url ?? '/',
    rawHeaders: request.rawHeaders,
    body,
    description,
    receivedAt,
    clientDisconnected,
    response: adapted
  })
  if (options.isLeaving() && !response.headersSent) response.shouldKeepAlive = false
  // An unexpected error may end a response that has begun.
  if (outcome.kind !== 'delivered' && adapted.hasBegun()) adapted.destroy()
  else sendOutcome(response, outcome)
}

function hostName (host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase()
}

/** Sends the response for an outcome of the forwarder, unless the response has already begun. */
function sendOutcome (response: ServerResponse, outcome: ForwardOutcome): void {
  if (response.destroyed || response.headersSent) return
  switch (outcome.kind) {
    case 'refused':
      sendProblem(response, 503, outcome.reason, retryAfter(outcome.retryAfterMilliseconds))
      return
    case 'limited':
      sendProblem(response, 429, outcome.reason, retryAfter(outcome.retryAfterMilliseconds))
      return
    case 'rejected':
      sendProblem(response, outcome.status, outcome.reason, outcome.status === 401 ? { 'WWW-Authenticate': 'Bearer' } : {})
      return
    case 'unknown':
      sendProblem(response, outcome.status, outcome.reason, {})
      return
    case 'abandoned':
    case 'broken':
      response.destroy()
      break
    case 'delivered':
      break
  }
}

function retryHeaders ({ reason }: BodyRefusal): Readonly<Record<string, string>> {
  switch (reason) {
    case 'body-too-large':
      return {}
    case 'configuration-unconfirmed':
      return retryAfter(UNCONFIRMED_RETRY_MILLISECONDS)
    case 'body-stalled':
    case 'client-memory':
      return retryAfter(MEMORY_RETRY_MILLISECONDS)
  }
}

function retryAfter (milliseconds: number): Readonly<Record<string, string>> {
  return { 'Retry-After': (Math.max(1, milliseconds) / MILLISECONDS_PER_SECOND).toFixed(3) }
}

function sendProblem (response: ServerResponse, status: number, reason: string, headers: Readonly<Record<string, string>>): void {
  const body = JSON.stringify({ error: reason })
  response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': String(Buffer.byteLength(body)), ...headers })
  response.end(body)
}
