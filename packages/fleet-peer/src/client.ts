import { linkSignals, readPendingEvents } from '@fuchsiastage/clock'
import type { AllowanceAnswer, AllowanceRequest } from '@fuchsiastage/customer-allowances'
import { toFuchsiastageError, type FuchsiastageError } from '@fuchsiastage/errors'
import type { PermitDecision, RoomReport } from '@fuchsiastage/target-limits'
import type { Milliseconds } from '@fuchsiastage/types'
import { createTRPCClient, httpBatchStreamLink, httpLink, TRPCClientError, type TRPCClient } from '@trpc/client'
import { err, ok, type Result } from 'true-myth/result'
import { Agent, Client, request } from 'undici'
import { handoverPart, NO_MEMORY_CODE, type FleetRouter, type HandoverMessage, type HandoverPart, type PermitMessage, type PlaceAnswer, type PlaceMessage, type RelayedDocument, type SyncAnswer, type SyncMessage, type TrialMessage } from './contract.js'

type Outcome<Value> = Promise<Result<Value, FuchsiastageError>>

export interface FleetPeerClient {
  readonly sync: (address: string, message: SyncMessage, timeoutMilliseconds: Milliseconds) => Outcome<SyncAnswer>
  /** Fetches the configuration of a peer; undefined if it has none. */
  readonly configuration: (address: string, timeoutMilliseconds: Milliseconds) => Outcome<RelayedDocument | undefined>
  readonly place: (address: string, message: PlaceMessage, timeoutMilliseconds: Milliseconds, signal: AbortSignal) => Outcome<PlaceAnswer>
  readonly permit: (address: string, message: PermitMessage, timeoutMilliseconds: Milliseconds, signal: AbortSignal) => Outcome<PermitDecision>
  /** Reports the end of a request to a brittle target. */
  readonly reportRoom: (address: string, report: RoomReport, timeoutMilliseconds: Milliseconds) => Outcome<void>
  readonly allowance: (address: string, request: AllowanceRequest, timeoutMilliseconds: Milliseconds, signal: AbortSignal) => Outcome<AllowanceAnswer>
  readonly trial: (address: string, message: TrialMessage, timeoutMilliseconds: Milliseconds, signal: AbortSignal) => Outcome<boolean>
  /**
   * Hands a request over. Resolves when the peer has accepted the call, and iterates over its response; the
   * iteration throws if the peer is lost. The outcome of an error is `not-run` if the peer has not received
   * the call.
   */
  readonly handOver: (address: string, message: HandoverMessage, acceptMilliseconds: Milliseconds, signal: AbortSignal) => Outcome<AsyncIterable<HandoverPart>>
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
    const timeout = new AbortController()
    const linked = linkSignals(signal === undefined ? [timeout.signal] : [timeout.signal, signal])
    const giveUp = async (): Promise<void> => {
      await readPendingEvents()
      timeout.abort(new Error('the operation was aborted due to timeout'))
    }
    const timer = setTimeout(() => { void giveUp() }, Math.max(1, Math.round(timeoutMilliseconds)))
    try {
      return ok(await run(clientFor(address), linked.signal))
    } catch (cause) {
      const reason: unknown = timeout.signal.aborted ? timeout.signal.reason : cause
      return err(toFuchsiastageError(reason, { code: 'peer-call-failed', step, peer: address, outcome: 'unknown', status: 503 }))
    } finally {
      clearTimeout(timer)
      linked.release()
    }
  }

  const handOver: FleetPeerClient['handOver'] = async (address, message, acceptMilliseconds, signal) => {
    let isSent = false
    // A connection of its own shows that the peer is reachable, and is never one that has fallen silent.
    const connection = new Client(`http://${address}`, { connect: { timeout: options.connectMilliseconds }, headersTimeout: 0, bodyTimeout: 0 })
    connection.once('connect', () => { isSent = true })
    const ended = new AbortController()
    const linked = linkSignals([signal, ended.signal])
    const end = (): void => {
      linked.release()
      ended.abort()
      connection.destroy().catch(() => undefined)
    }
    const api = createTRPCClient<FleetRouter>({
      links: [httpBatchStreamLink({
        url: `http://${address}`,
        maxItems: 1,
        fetch: async (url, init) => {
          const { pathname, search } = new URL(String(url))
          const response = await connection.request({
            path: `${pathname}${search}`,
            method: (init?.method ?? 'POST') as 'POST',
            headers: init?.headers as Record<string, string>,
            body: init?.body as string,
            signal: init?.signal ?? null
          })
          return { ok: response.statusCode < 300, status: response.statusCode, body: response.body, json: async () => await response.body.json() }
        }
      })]
    })
    let isAccepted = false
    const giveUp = async (): Promise<void> => {
      await readPendingEvents()
      if (!isAccepted) ended.abort()
    }
    const timer = setTimeout(() => { void giveUp() }, acceptMilliseconds)
    try {
      const parts = await api.handOver.mutate(message as never, { signal: linked.signal })
      isAccepted = true
      return ok(readParts(parts, end))
    } catch (reason) {
      end()
      const isNotRun = !isSent || isNeverRun(reason)
      return err(toFuchsiastageError(reason, { code: 'peer-call-failed', step: 'handover', peer: address, outcome: isNotRun ? 'not-run' : 'unknown', status: 503 }))
    } finally {
      clearTimeout(timer)
    }
  }

  return {
    handOver,
    sync: async (address, message, timeout) => await call('sync', address, timeout, undefined,
      // The types that tRPC infers turn fields that may be undefined into optional ones.
      async (api, signal) => await api.sync.mutate(message as never, { signal }) as SyncAnswer),
    configuration: async (address, timeout) => await call('configuration', address, timeout, undefined,
      async (api, signal) => await api.configuration.mutate(undefined, { signal })),
    place: async (address, message, timeout, signal) => await call('place', address, timeout, signal,
      async (api, callSignal) => await api.place.mutate(message as never, { signal: callSignal }) as PlaceAnswer),
    permit: async (address, message, timeout, signal) => await call('permit', address, timeout, signal,
      async (api, callSignal) => await api.permit.mutate(message, { signal: callSignal })),
    reportRoom: async (address, report, timeout) => await call('report-room', address, timeout, undefined,
      async (api, callSignal) => { await api.reportRoom.mutate(report, { signal: callSignal }) }),
    allowance: async (address, message, timeout, signal) => await call('allowance', address, timeout, signal,
      async (api, callSignal) => await api.allowance.mutate(message, { signal: callSignal })),
    trial: async (address, message, timeout, signal) => await call('trial', address, timeout, signal,
      async (api, callSignal) => await api.trial.mutate(message, { signal: callSignal })),
    close: async () => await agent.destroy()
  }
}

async function * readParts (parts: AsyncIterable<unknown>, end: () => void): AsyncIterable<HandoverPart> {
  try {
    for await (const part of parts) yield handoverPart.parse(part)
  } finally {
    end()
  }
}

/** Whether the peer is of an earlier version, which does not know the call, or had no memory to read it. */
function isNeverRun (reason: unknown): boolean {
  const code = reason instanceof TRPCClientError ? (reason.data as { readonly code?: string } | undefined)?.code : undefined
  return code === 'NOT_FOUND' || code === NO_MEMORY_CODE
}
