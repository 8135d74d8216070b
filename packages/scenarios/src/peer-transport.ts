import { createError, toFuchsiastageError } from '@fuchsiastage/errors'
import type { PeerClient, PeerHandlers } from '@fuchsiastage/peer'
import { err, ok } from 'true-myth/result'
import type { Links } from './links.js'
import { neverSettles, rejectOnAbort, type ProcessGate } from './process-gate.js'

/** Endpoint of a daemon for calls from its peers. */
export interface PeerEndpoint {
  readonly name: string
  readonly gate: ProcessGate
  readonly handlers: () => PeerHandlers
}

export interface PeerTransportOptions {
  readonly from: string
  readonly gate: ProcessGate
  readonly links: Links
  /** Returns the daemon that listens at an address; undefined when the connection is refused. */
  readonly find: (address: string) => PeerEndpoint | undefined
  readonly defaultTimeoutMilliseconds: number
  /** Called with the name of the message before it is delivered. */
  readonly onSend: (message: string, to: string) => void
}

type Handler = (input: unknown, signal: AbortSignal) => Promise<unknown>

/**
 * Creates an in-process peer client for one daemon. Messages are copied, as serialisation would do; a
 * call over a cut pair gets no response; a paused daemon neither receives messages nor responds.
 *
 * @example
 * const client = createPeerTransport({ from: 'entry-1', gate, links, find, defaultTimeoutMilliseconds: 1000, onSend })
 */
export function createPeerTransport (options: PeerTransportOptions): PeerClient {
  const { from, gate, links } = options

  const deliver = async (address: string, message: string, input: unknown, signal: AbortSignal): Promise<unknown> => {
    await gate.pass('outgoing')
    const endpoint = options.find(address)
    if (endpoint === undefined) throw new Error('connection refused')
    options.onSend(message, endpoint.name)
    if (links.isCut(from, endpoint.name)) return await neverSettles()
    await endpoint.gate.pass('incoming')
    const handler = (endpoint.handlers() as unknown as Record<string, Handler>)[message]
    if (handler === undefined) throw new Error(`no handler for ${message}`)
    const answer = await handler(copy(input), signal)
    await endpoint.gate.pass('outgoing')
    if (links.isCut(from, endpoint.name)) return await neverSettles()
    await gate.pass('incoming')
    return copy(answer)
  }

  const call: PeerClient['call'] = async (step, address, run, { timeoutMilliseconds, signal } = {}) => {
    const timeoutController = new AbortController()
    const timer = gate.clock.setTimer(timeoutMilliseconds ?? options.defaultTimeoutMilliseconds, () => timeoutController.abort())
    const combinedSignal = signal === undefined ? timeoutController.signal : AbortSignal.any([signal, timeoutController.signal])
    const send = (message: string) => (input: unknown, { signal: callSignal }: { readonly signal: AbortSignal }) =>
      rejectOnAbort(deliver(address, message, input, callSignal), callSignal)
    const api = new Proxy({}, {
      get: (_target, message) => ({ query: send(String(message)), mutate: send(String(message)) })
    })
    try {
      return ok(await run(api as Parameters<typeof run>[0], combinedSignal))
    } catch (reason) {
      if (timeoutController.signal.aborted) return err(createError({ code: 'peer-timeout', message: 'the peer did not respond before the timeout', step, peer: address, outcome: 'unknown', status: 503 }))
      return err(toFuchsiastageError(reason, { code: 'peer-call-failed', step, peer: address, outcome: 'unknown', status: 503 }))
    } finally {
      timer.cancel()
    }
  }

  return { call, retain: () => undefined, close: async () => undefined }
}

function copy (value: unknown): unknown {
  return value === undefined ? undefined : JSON.parse(JSON.stringify(value))
}
