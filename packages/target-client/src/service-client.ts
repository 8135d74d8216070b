import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import { createConnections } from './connections.js'
import { readRefusal } from './decode.js'
import { exchange } from './exchange.js'
import type { RefusalCode, ServiceOutcome, ServiceRequest } from './outcomes.js'

export interface ServiceClientOptions {
  readonly clock: Clock
  readonly connectTimeoutMilliseconds: Milliseconds
  readonly maximumAnswerBytes: number
}

export interface ServiceClient {
  readonly call: (address: string, request: ServiceRequest, signal: AbortSignal) => Promise<ServiceOutcome>
  readonly close: () => Promise<void>
}

const REFUSALS: Readonly<Record<number, readonly RefusalCode[]>> = { 503: ['busy', 'leaving'] }

/** Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that this client sets itself. */
const DROPPED_HEADERS: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect',
  'host', 'content-length', 'x-request-id', 'idempotency-key'
])

/** Methods that RFC 9110 defines as idempotent, except TRACE; calls with other methods use a new connection. */
const IDEMPOTENT_METHODS: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'])

/**
 * Creates the client of plain services. A call that must not be repeated uses a new connection: the
 * peer may close a reused one while the request is being sent, which would leave the outcome unknown.
 *
 * @example
 * const services = createServiceClient({ clock, connectTimeoutMilliseconds: 500, maximumAnswerBytes: 1_048_576 })
 * const outcome = await services.call('10.0.0.2:8000', { requestId, method: 'GET', path: '/balance', headers: {}, timeoutMilliseconds: 2000 }, signal)
 */
export function createServiceClient (options: ServiceClientOptions): ServiceClient {
  const { clock, connectTimeoutMilliseconds, maximumAnswerBytes } = options
  const connections = createConnections(clock)

  const call = async (address: string, request: ServiceRequest, signal: AbortSignal): Promise<ServiceOutcome> => {
    const outcome = await exchange(connections, clock, {
      address,
      method: request.method,
      path: request.path,
      headers: relayedHeaders(request),
      body: request.body,
      requiresNewConnection: request.idempotencyKey !== undefined || !IDEMPOTENT_METHODS.has(request.method),
      requestId: request.requestId
    }, {
      connectMilliseconds: connectTimeoutMilliseconds,
      firstByteMilliseconds: Infinity,
      totalMilliseconds: request.timeoutMilliseconds,
      maximumAnswerBytes
    }, signal)
    if (outcome.kind !== 'answered') return outcome
    return readRefusal(outcome.status, outcome.headers, outcome.body, REFUSALS) ?? outcome
  }

  return { call, close: connections.close }
}

function relayedHeaders (request: ServiceRequest): Record<string, string | readonly string[]> {
  const headers: Record<string, string | readonly string[]> = {}
  const connectionHeader = Object.entries(request.headers).find(([name]) => name.toLowerCase() === 'connection')?.[1]
  const hopByHopHeaders = new Set([connectionHeader ?? []].flat().flatMap((value) => value.toLowerCase().split(',').map((name) => name.trim())))
  for (const [name, value] of Object.entries(request.headers)) {
    const lowerCaseName = name.toLowerCase()
    if (!DROPPED_HEADERS.has(lowerCaseName) && !hopByHopHeaders.has(lowerCaseName)) headers[lowerCaseName] = value
  }
  headers['x-request-id'] = request.requestId
  if (request.idempotencyKey !== undefined) headers['idempotency-key'] = request.idempotencyKey
  return headers
}
