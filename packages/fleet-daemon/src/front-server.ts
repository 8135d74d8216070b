import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Server as TcpServer, type Socket } from 'node:net'
import type { Clock } from '@fuchsiastage/clock'
import type { ClientLimits } from '@fuchsiastage/fleet'
import type { ClientResponse, Forwarder, ForwardOutcome, HeaderCodec, ResponseFraming } from '@fuchsiastage/forwarding'
import type { Logger } from '@fuchsiastage/logger'

export interface FrontServerOptions {
  readonly host: string
  readonly port: number
  readonly clock: Clock
  readonly logger: Logger
  readonly codec: HeaderCodec
  readonly forwarder: Forwarder
  readonly limits: () => ClientLimits | undefined
  readonly isLeaving: () => boolean
}

export interface FrontServer {
  readonly activeRequests: () => number
  readonly applyLimits: (limits: ClientLimits) => void
  /** Stops accepting connections and closes the idle ones. Active requests continue. */
  readonly stopAccepting: () => void
  /**
   * Breaks off the responses that are not complete, before the process ends: an orderly end of their connections
   * may look like the end of the response. Resolves when the connections are closed.
   */
  readonly breakOffResponses: () => Promise<void>
}

/** Limits until the first configuration is active. */
const DEFAULT_LIMITS: ClientLimits = { headerBytes: 16_384, bodyBytes: 4_194_304, headerMilliseconds: 3_000, idleMilliseconds: 15_000 }
/** Added to the configured time limits, so that the server does not close a connection just as a request arrives on it. */
const IDLE_MARGIN_MILLISECONDS = 1_500
/** Node's parser takes its limit when the server is created, so this value applies and not `headerBytes` of the configuration. */
const MAXIMUM_HEADER_BYTES = 65_536
const MILLISECONDS_PER_SECOND = 1_000
/** Pause between the last bytes of a response and the reset of its connection. Clients may take a reset that arrives with bytes for an orderly end. */
const RESET_DELAY_MILLISECONDS = 50

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
  const responses = new Set<ClientResponse>()
  /** Number of requests on each connection whose responses are not complete. */
  const requestsByConnection = new Map<Socket, number>()
  const server = createServer({ maxHeaderSize: MAXIMUM_HEADER_BYTES, requestTimeout: 0, connectionsCheckingInterval: 1_000 }, (request, response) => {
    const { socket } = request
    const adapted = adaptResponse(response, options)
    activeCount++
    requestsByConnection.set(socket, (requestsByConnection.get(socket) ?? 0) + 1)
    responses.add(adapted)
    response.once('close', () => {
      activeCount--
      const count = requestsByConnection.get(socket)
      if (count !== undefined) requestsByConnection.set(socket, count - 1)
      responses.delete(adapted)
    })
    serve(options, request, response, adapted).catch((reason: unknown) => {
      logger.error('request handler threw an unexpected error; closing the connection', { event: 'request-failed', reason: String(reason) })
      adapted.destroy()
    })
  })
  server.on('connection', (socket) => {
    requestsByConnection.set(socket, 0)
    socket.once('close', () => requestsByConnection.delete(socket))
  })
  applyLimits(server, options.limits() ?? DEFAULT_LIMITS)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen({ port: options.port, host: options.host, backlog: 1024 }, resolve)
  })
  return {
    activeRequests: () => activeCount,
    applyLimits: (limits) => applyLimits(server, limits),
    stopAccepting: () => {
      // The methods of the HTTP server destroy connections whose last response has ended but is still being sent.
      TcpServer.prototype.close.call(server)
      for (const [socket, count] of requestsByConnection) if (count === 0) socket.destroy()
    },
    breakOffResponses: async () => {
      const pending = [...responses]
      for (const response of pending) response.destroy()
      const until = options.clock.now() + 2 * RESET_DELAY_MILLISECONDS
      while (pending.some((response) => responses.has(response)) && options.clock.now() < until) await options.clock.sleep(RESET_DELAY_MILLISECONDS / 2)
    }
  }
}

function applyLimits (server: Server, limits: ClientLimits): void {
  server.keepAliveTimeout = limits.idleMilliseconds + IDLE_MARGIN_MILLISECONDS
  server.headersTimeout = limits.headerMilliseconds + IDLE_MARGIN_MILLISECONDS
}

async function serve (options: FrontServerOptions, request: IncomingMessage, response: ServerResponse, adapted: ClientResponse): Promise<void> {
  const receivedAt = options.clock.now()
  const clientAbort = new AbortController()
  response.once('close', () => { if (!response.writableFinished) clientAbort.abort(new Error('the client closed the connection')) })
  response.sendDate = false
  if (options.isLeaving()) response.shouldKeepAlive = false

  const description = options.codec.describeRequest(request.rawHeaders)
  const body = await readBody(request, (options.limits() ?? DEFAULT_LIMITS).bodyBytes)
  if (body === 'aborted') return
  if (body === 'too-large') {
    response.shouldKeepAlive = false
    sendOutcome(response, { kind: 'rejected', status: 413, reason: 'body-too-large' })
    return
  }
  if (description.id === '') {
    sendOutcome(response, { kind: 'rejected', status: 400, reason: 'request-id-missing' })
    return
  }
  const outcome = await options.forwarder.forward({
    method: request.method ?? 'GET',
    host: hostName(request.headers.host ?? ''),
    path: request.url ?? '/',
    rawHeaders: request.rawHeaders,
    body,
    description,
    receivedAt,
    clientDisconnected: clientAbort.signal,
    response: adapted
  })
  // An unexpected error may end a response that has begun.
  if (outcome.kind !== 'delivered' && response.headersSent) adapted.destroy()
  else sendOutcome(response, outcome)
}

function hostName (host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase()
}

async function readBody (request: IncomingMessage, maximumBytes: number): Promise<Buffer | 'too-large' | 'aborted'> {
  const chunks: Buffer[] = []
  let length = 0
  try {
    for await (const chunk of request) {
      const bytes = chunk as Buffer
      length += bytes.length
      if (length > maximumBytes) return 'too-large'
      chunks.push(bytes)
    }
  } catch {
    // The client closed the connection before its request was complete, so no response can be sent.
    return 'aborted'
  }
  return chunks.length === 1 ? chunks[0] ?? Buffer.alloc(0) : Buffer.concat(chunks)
}

function adaptResponse (response: ServerResponse, { clock, isLeaving }: Pick<FrontServerOptions, 'clock' | 'isLeaving'>): ClientResponse {
  let framing: ResponseFraming = 'framed'
  let isBrokenOff = false
  return {
    hasBegun: () => response.headersSent,
    begin: (status, rawHeaders, begunFraming) => {
      framing = begunFraming
      if (isLeaving() || framing === 'until-close') response.shouldKeepAlive = false
      if (framing === 'until-close') response.useChunkedEncodingByDefault = false
      if (!response.destroyed) response.writeHead(status, rawHeaders as string[])
    },
    write: async (bytes) => {
      if (response.destroyed || isBrokenOff || response.write(bytes)) return
      await new Promise<void>((resolve) => {
        const settle = (): void => {
          response.off('drain', settle)
          response.off('close', settle)
          resolve()
        }
        response.once('drain', settle)
        response.once('close', settle)
      })
    },
    end: () => { if (!isBrokenOff) response.end() },
    destroy: () => {
      // The bytes of a complete response may still be on their way.
      if (response.writableFinished || isBrokenOff) return
      isBrokenOff = true
      const { socket } = response
      switch (framing) {
        case 'framed':
          response.destroy()
          break
        case 'until-close':
          // An orderly end of the connection would be the end of the response.
          if (socket !== null) clock.setTimer(RESET_DELAY_MILLISECONDS, () => resetConnection(socket))
          break
      }
    }
  }
}

/**
 * Closes a connection with nothing but a reset. `resetAndDestroy` ends the stream first, which a client may take
 * for the end of the response; with the flag that it sets, `destroy` resets the connection.
 */
function resetConnection (socket: Socket): void {
  Object.assign(socket, { resetAndClosing: true })
  socket.destroy()
}

/** Sends the response for an outcome of the forwarder, unless the response has already begun. */
function sendOutcome (response: ServerResponse, outcome: ForwardOutcome): void {
  if (response.destroyed || response.headersSent) return
  switch (outcome.kind) {
    case 'refused':
      sendProblem(response, 503, outcome.reason, { 'Retry-After': (Math.max(1, outcome.retryAfterMilliseconds) / MILLISECONDS_PER_SECOND).toFixed(3) })
      return
    case 'limited':
      sendProblem(response, 429, outcome.reason, { 'Retry-After': (Math.max(1, outcome.retryAfterMilliseconds) / MILLISECONDS_PER_SECOND).toFixed(3) })
      return
    case 'unknown':
    case 'rejected':
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

function sendProblem (response: ServerResponse, status: number, reason: string, headers: Readonly<Record<string, string>>): void {
  const body = JSON.stringify({ error: reason })
  response.writeHead(status, { 'Content-Type': 'application/json', 'Content-Length': String(Buffer.byteLength(body)), ...headers })
  response.end(body)
}
