import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import type { Logger } from '@fuchsiastage/logger'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import type { PeerHandlers } from './handlers.js'
import { createPeerRouter } from './router.js'

/** Request header with the peer key. */
export const PEER_KEY_HEADER = 'x-peer-key'

/** The largest messages are snapshots of configurations with thousands of models. */
const MAXIMUM_BODY_BYTES = 16 * 1024 * 1024

export interface PeerServerOptions {
  readonly handlers: PeerHandlers
  /** The current key and, while keys are rotated, the previous key. */
  readonly acceptedKeys: readonly string[]
  readonly host: string
  readonly port: number
  readonly logger: Logger
}

export interface PeerServer {
  readonly address: string
  readonly close: () => Promise<void>
}

/**
 * Starts the HTTP server for calls from this daemon's peers.
 *
 * @example
 * const server = await startPeerServer({ handlers, acceptedKeys: ['key'], host: '127.0.0.1', port: 0, logger })
 */
export async function startPeerServer (options: PeerServerOptions): Promise<PeerServer> {
  const handler = createHTTPHandler({
    router: createPeerRouter(options.handlers, options.acceptedKeys),
    createContext: ({ req }) => ({ presentedKey: headerText(req.headers[PEER_KEY_HEADER]) }),
    maxBodySize: MAXIMUM_BODY_BYTES,
    onError: ({ error, path }) => options.logger.warn('a call from a peer failed', { step: path ?? 'unknown', reason: error.message })
  })
  const server = createServer(handler)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(options.port, options.host, resolve)
  })
  const { port } = server.address() as AddressInfo
  return {
    address: `${options.host}:${port}`,
    close: () => new Promise((resolve) => {
      server.close(() => resolve())
      server.closeAllConnections()
    })
  }
}

function headerText (value: string | string[] | undefined): string {
  return typeof value === 'string' ? value : ''
}
