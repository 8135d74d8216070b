import { randomUUID } from 'node:crypto'
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Clock } from '@fuchsiastage/clock'
import type { Answer, RequestContext } from '@fuchsiastage/filters'
import type { Logger } from '@fuchsiastage/logger'
import restana from 'restana'
import { adaptRequest } from './incoming-request.js'
import type { Metrics } from './metrics.js'
import { sendAnswer, sendJson } from './send-answer.js'

export interface CallersServerOptions {
  readonly host: string
  readonly port: number
  readonly clock: Clock
  readonly logger: Logger
  readonly metrics: Metrics
  readonly handle: (context: RequestContext) => Promise<Answer>
  readonly entries: (callerAddress: string) => unknown
  readonly readiness: () => { readonly isReady: boolean; readonly [field: string]: unknown }
  readonly collectMetrics: () => Promise<string>
}

export interface HttpServer {
  readonly address: string
  /** Stops accepting connections, and resolves when the open requests have ended. */
  readonly close: () => Promise<void>
}

/**
 * Starts the HTTP server for callers, which serves the entry list, completions, services, health
 * checks and metrics.
 *
 * @example
 * const server = await startCallersServer(options)
 */
export async function startCallersServer (options: CallersServerOptions): Promise<HttpServer> {
  const app = restana({
    errorHandler: (reason, _request, response) => {
      options.logger.error('request handler failed; closing the connection', { reason: reason.message })
      response.destroy()
    }
  })
  const handle = async (request: IncomingMessage, response: ServerResponse): Promise<void> => await handleRequest(options, request, response)

  app.get('/v1/entries', (request, response) => sendJson(response, 200, options.entries(request.socket.remoteAddress ?? '')))
  app.get('/health/live', (_request, response) => sendJson(response, 200, { live: true }))
  app.get('/health/ready', (_request, response) => {
    const readiness = options.readiness()
    sendJson(response, readiness.isReady ? 200 : 503, readiness)
  })
  app.get('/metrics', async (_request, response) => {
    const text = await options.collectMetrics()
    response.writeHead(200, { 'content-type': options.metrics.registry.contentType })
    response.end(text)
  })
  app.all('/*', handle)
  const server = await app.start(options.port, options.host) as Server
  keepConnectionsWithUnreadData(server)
  return createClosableServer(server, options.host)
}

/**
 * Closes an idle connection after its timeout only if no bytes arrive in one more iteration of the event
 * loop. After a pause of the process, Node.js handles the timeout before it reads the bytes that arrived
 * during the pause, so closing immediately would reset a connection with an unread request.
 *
 * @example
 * keepConnectionsWithUnreadData(server)
 */
export function keepConnectionsWithUnreadData (server: Server): void {
  server.on('timeout', (socket: Socket) => {
    const { bytesRead } = socket
    setImmediate(() => {
      if (socket.bytesRead === bytesRead) socket.destroy()
    })
  })
}

/** Wraps a listening server so that it can be closed gracefully. */
export function createClosableServer (server: Server, host: string): HttpServer {
  const { port } = server.address() as AddressInfo
  return {
    address: `${host}:${port}`,
    close: () => new Promise((resolve) => {
      server.close(() => resolve())
      server.closeIdleConnections()
    })
  }
}

async function handleRequest (options: CallersServerOptions, request: IncomingMessage, response: ServerResponse): Promise<void> {
  const { clock, metrics } = options
  const id = randomUUID()
  const receivedAt = clock.now()
  const logger = options.logger.child({ request: id })
  const incoming = adaptRequest(request, response)
  logger.info('request received', { event: 'request-received', method: incoming.method, path: incoming.url.split('?', 1)[0] })
  const answer = await options.handle({ id, incoming, receivedAt, logger, signal: incoming.signal })
  sendAnswer(response, answer, id)
  const route = incoming.url.startsWith('/services/') ? 'service' : 'completion'
  const { outcome, code } = describeAnswer(answer)
  metrics.requests.inc({ route, outcome, code })
  metrics.requestSeconds.observe({ route }, (clock.now() - receivedAt) / 1_000)
  logger.info('request ended', { event: 'request-ended', outcome, code, ...(answer.kind === 'problem' ? { step: answer.error.step, peer: answer.error.peer, reason: answer.error.message } : {}) })
}

function describeAnswer (answer: Answer): { readonly outcome: string, readonly code: string } {
  if (answer.kind === 'problem') return { outcome: answer.error.outcome, code: answer.error.code }
  if (answer.kind === 'streamed') return answer.complete ? { outcome: 'done', code: 'ok' } : { outcome: 'unknown', code: 'stream-incomplete' }
  return { outcome: 'done', code: answer.status < 400 ? 'ok' : `status-${answer.status}` }
}
