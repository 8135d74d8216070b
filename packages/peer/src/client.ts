import { createError, toFuchsiastageError, type FuchsiastageError } from '@fuchsiastage/errors'
import type { Milliseconds } from '@fuchsiastage/types'
import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client'
import { err, ok, type Result } from 'true-myth/result'
import { Agent, fetch as undiciFetch } from 'undici'
import type { PeerRouter } from './router.js'
import { PEER_KEY_HEADER } from './server.js'

export interface PeerClientOptions {
  readonly key: string
  readonly defaultTimeoutMilliseconds: Milliseconds
}

/** Calls one procedure of the tRPC client; the signal aborts the call. */
type PeerCall<Answer> = (api: TRPCClient<PeerRouter>, signal: AbortSignal) => Promise<Answer>

export interface PeerClient {
  /** Calls a peer. An error names the step and the peer's address and has the outcome `unknown`. */
  readonly call: <Answer> (
    step: string,
    address: string,
    call: PeerCall<Answer>,
    options?: { readonly timeoutMilliseconds?: Milliseconds, readonly signal?: AbortSignal }
  ) => Promise<Result<Answer, FuchsiastageError>>
  /** Removes the clients of all other addresses, for example those of former members. */
  readonly retain: (addresses: readonly string[]) => void
  readonly close: () => Promise<void>
}

/** Limit on connections to one peer. A stalled connection is freed when its call times out, because undici then destroys the socket. */
const CONNECTIONS_PER_PEER = 4
const KEEP_ALIVE_MILLISECONDS = 15_000

/**
 * Creates the client for calls to other daemons.
 *
 * @example
 * const peers = createPeerClient({ key, defaultTimeoutMilliseconds: 1000 })
 * const answer = await peers.call('probe', '10.0.0.2:7100', (api, signal) => api.probe.mutate(message, { signal }))
 */
export function createPeerClient (options: PeerClientOptions): PeerClient {
  const agent = new Agent({
    connections: CONNECTIONS_PER_PEER,
    keepAliveTimeout: KEEP_ALIVE_MILLISECONDS,
    connect: { timeout: options.defaultTimeoutMilliseconds }
  })
  const clients = new Map<string, TRPCClient<PeerRouter>>()

  const clientOf = (address: string): TRPCClient<PeerRouter> => {
    const existing = clients.get(address)
    if (existing !== undefined) return existing
    const created = createTRPCClient<PeerRouter>({
      links: [httpLink({
        url: `http://${address}`,
        headers: { [PEER_KEY_HEADER]: options.key },
        // The types of undici's fetch and of the global fetch differ only in details that tRPC does not use.
        fetch: ((url: string, init: object) => undiciFetch(url, { ...init, dispatcher: agent })) as unknown as typeof fetch
      })]
    })
    clients.set(address, created)
    return created
  }

  const call: PeerClient['call'] = async (step, address, peerCall, { timeoutMilliseconds, signal } = {}) => {
    const timeoutSignal = AbortSignal.timeout(timeoutMilliseconds ?? options.defaultTimeoutMilliseconds)
    try {
      return ok(await peerCall(clientOf(address), signal === undefined ? timeoutSignal : AbortSignal.any([signal, timeoutSignal])))
    } catch (reason) {
      if (timeoutSignal.aborted) {
        return err(createError({ code: 'peer-timeout', message: 'the peer did not respond before the timeout', step, peer: address, outcome: 'unknown', status: 503, cause: reason }))
      }
      return err(toFuchsiastageError(reason, { code: 'peer-call-failed', step, peer: address, outcome: 'unknown', status: 503 }))
    }
  }

  return {
    call,
    retain: (addresses) => {
      const retained = new Set(addresses)
      for (const address of clients.keys()) if (!retained.has(address)) clients.delete(address)
    },
    close: () => agent.destroy()
  }
}
