import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Logger } from '@fuchsiastage/logger'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { answerFrequentCall } from './frequent-calls.js'
import { createFleetRouter, describeCallError, NO_MEMORY_CODE, type PeerHandlers } from './contract.js'

export interface FleetPeerServerOptions {
  readonly handlers: PeerHandlers
  readonly host: string
  readonly port: number
  readonly logger: Logger
  /**
   * Accounts for the copies of the body of a handover until it has ended; undefined if there is no memory for them.
   * Without the function the handovers of all peers together are not limited.
   */
  readonly holdCopies?: (bytes: number) => (() => void) | undefined
}

/** Bounds the memory that the body of a call can take up. Configurations and entries of targets are sent in responses, to which this limit does not apply. */
const MAXIMUM_BODY_BYTES = 16 * 1024 * 1024

/** Handovers of smaller bodies are not accounted for. */
const SMALL_BODY_BYTES = 65_536
/** Memory that a call takes up per byte of its body: the text, its fields, and the body of the request that it hands over. */
const COPIES_PER_BYTE = 3

/**
 * Starts the server for calls from the other daemons.
 *
 * @example
 * const server = await startFleetPeerServer({ handlers, host: '10.1.0.38', port: 7380, logger })
 */
export async function startFleetPeerServer ({ handlers, host, port, logger, holdCopies }: FleetPeerServerOptions): Promise<Server> {
  const handle = createHTTPHandler({
    router: createFleetRouter(handlers),
    maxBodySize: MAXIMUM_BODY_BYTES,
    onError: ({ error, path }) => logger.warn('a call from a peer failed', { event: 'peer-call-failed', step: path ?? 'unknown', reason: describeCallError(error) })
  })
  const server = createServer((request, response) => {
    const bodyBytes = request.url?.startsWith('/handOver') === true ? Number(request.headers['content-length'] ?? 0) : 0
    if (holdCopies !== undefined && bodyBytes > SMALL_BODY_BYTES) {
      const release = holdCopies(bodyBytes * COPIES_PER_BYTE)
      if (release === undefined) return refuse(request, response)
      response.once('close', release)
    }
    if (!answerFrequentCall(request, response, { handlers, logger })) handle(request, response)
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return server
}

/** Answers a call with an error in the form of tRPC. Peers send their calls completely, and read the response then. */
function refuse (request: IncomingMessage, response: ServerResponse): void {
  request.resume().once('end', () => {
    const body = JSON.stringify({ error: { code: -32603, message: 'no memory for the body of the call', data: { code: NO_MEMORY_CODE, httpStatus: 503 } } })
    response.writeHead(503, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) }).end(body)
  })
}
