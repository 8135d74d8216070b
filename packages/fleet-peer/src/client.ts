import { toFuchsiastageError, type FuchsiastageError } from '@fuchsiastage/errors'
import type { PermitDecision } from '@fuchsiastage/target-limits'
import type { Milliseconds } from '@fuchsiastage/types'
import { createTRPCClient, httpLink, type TRPCClient } from '@trpc/client'
import { err, ok, type Result } from 'true-myth/result'
import { Agent, request } from 'undici'
import type { FleetRouter, PermitMessage, PlaceAnswer, PlaceMessage, SyncAnswer, SyncMessage, TrialMessage } from './contract.js'

type Outcome<Value> = Promise<Result<Value, FuchsiastageError>>

export interface FleetPeerClient {
  readonly sync: (address: string, message: SyncMessage, timeoutMilliseconds: Milliseconds) => Outcome<SyncAnswer>
  readonly place: (address: string, message: PlaceMessage, timeoutMilliseconds: Milliseconds, signal: AbortSignal) => Outcome<PlaceAnswer>
  readonly permit: (address: string, message: PermitMessage, timeoutMilliseconds: Milliseconds, signal: AbortSignal) => Outcome<PermitDecision>
  readonly trial: (address: string, message: TrialMessage, timeoutMilliseconds: Milliseconds, signal: AbortSignal) => Outcome<boolean>
  readonly close: () => Promise<void>
}

/** Maximum number of connections to one peer; a placement call occupies one until the model is loaded. */
const CONNECTIONS_PER_PEER = 64
/** Much longer than the period of exchanges, so that their connections are reused. */
const KEEP_ALIVE_MILLISECONDS = 10_000

/**
 * Creates the client for calls to other daemons. A call that times out destroys its connection.
 *
 * @example
 * const peers = createFleetPeerClient({ connectMilliseconds: 400 })
 * const answer = await peers.sync('10.2.0.40:7380', message, 700)
 */
export function createFleetPeerClient (options: { readonly connectMilliseconds: Milliseconds }): FleetPeerClient {
  const agent = new Agent({ connections: CONNECTIONS_PER_PEER, keepAliveTimeout: KEEP_ALIVE_MILLISECONDS, connect: { timeout: options.connectMilliseconds } })
  const clients = new Map<string, TRPCClient<FleetRouter>>()

  const clientFor = (address: string): TRPCClient<FleetRouter> => {
    const known = clients.get(address)
    if (known !== undefined) return known
    const created = createTRPCClient<FleetRouter>({
      links: [httpLink({
        url: `http://${address}`,
        // tRPC only reads the status and the JSON body; a full `fetch` takes several times the CPU time of this request.
        fetch: async (url, init) => {
          const response = await request(String(url), {
            dispatcher: agent,
            method: (init?.method ?? 'GET') as 'POST',
            headers: init?.headers as Record<string, string>,
            body: init?.body as string,
            signal: init?.signal ?? null
          })
          return { ok: response.statusCode < 300, status: response.statusCode, json: async () => await response.body.json() }
        }
      })]
    })
    clients.set(address, created)
    return created
  }

  const call = async <Value>(step: string, address: string, timeoutMilliseconds: Milliseconds, signal: AbortSignal | undefined,
    run: (api: TRPCClient<FleetRouter>, signal: AbortSignal) => Promise<Value>): Outcome<Value> => {
    const timeoutSignal = AbortSignal.timeout(Math.max(1, Math.round(timeoutMilliseconds)))
    try {
      return ok(await run(clientFor(address), signal === undefined ? timeoutSignal : AbortSignal.any([timeoutSignal, signal])))
    } catch (reason) {
      return err(toFuchsiastageError(reason, { code: 'peer-call-failed', step, peer: address, outcome: 'unknown', status: 503 }))
    }
  }

  return {
    sync: async (address, message, timeout) => await call('sync', address, timeout, undefined,
      // The types that tRPC infers turn fields that may be undefined into optional ones.
      async (api, signal) => await api.sync.mutate(message as never, { signal }) as SyncAnswer),
    place: async (address, message, timeout, signal) => await call('place', address, timeout, signal,
      async (api, callSignal) => await api.place.mutate(message as never, { signal: callSignal }) as PlaceAnswer),
    permit: async (address, message, timeout, signal) => await call('permit', address, timeout, signal,
      async (api, callSignal) => await api.permit.mutate(message, { signal: callSignal })),
    trial: async (address, message, timeout, signal) => await call('trial', address, timeout, signal,
      async (api, callSignal) => await api.trial.mutate(message, { signal: callSignal })),
    close: async () => await agent.destroy()
  }
}
