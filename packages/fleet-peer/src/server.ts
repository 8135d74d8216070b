import { createServer, type Server } from 'node:http'
import type { Logger } from '@fuchsiastage/logger'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import { createFleetRouter, describeCallError, type PeerHandlers } from './contract.js'

export interface FleetPeerServerOptions {
  readonly handlers: PeerHandlers
  readonly host: string
  readonly port: number
  readonly logger: Logger
}

/** Bounds the memory that the body of a call can take up. Configurations and entries of targets are sent in responses, to which this limit does not apply. */
const MAXIMUM_BODY_BYTES = 16 * 1024 * 1024

/**
 * Starts the server for calls from the other daemons.
 *
 * @example
 * const server = await startFleetPeerServer({ handlers, host: '10.1.0.38', port: 7380, logger })
 */
export async function startFleetPeerServer ({ handlers, host, port, logger }: FleetPeerServerOptions): Promise<Server> {
  const server = createServer(createHTTPHandler({
    router: createFleetRouter(handlers),
    maxBodySize: MAXIMUM_BODY_BYTES,
    onError: ({ error, path }) => logger.warn('a call from a peer failed', { event: 'peer-call-failed', step: path ?? 'unknown', reason: describeCallError(error) })
  }))
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(port, host, resolve)
  })
  return server
}
