import type { Clock } from '@fuchsiastage/clock'
import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { Milliseconds, TargetState } from '@fuchsiastage/types'
import type { Result } from 'true-myth/result'
import { createConnections } from './connections.js'
import { decodeAnswer, readRefusal } from './decode.js'
import { collectBody, exchange, openExchange, type ExchangeLimits, type Response } from './exchange.js'
import type { CacheEvents, CompletionOutcome, CompletionRequest, RefusalCode, ResumeOutcome, StreamSource } from './outcomes.js'
import { cacheEventsSchema, targetStateSchema } from './schemas.js'

export interface EngineClientOptions {
  readonly clock: Clock
  readonly connectTimeoutMilliseconds: Milliseconds
  /** Timeout of `readState`, `readCacheEvents` and `cancelStream`. */
  readonly stateTimeoutMilliseconds: Milliseconds
  /** Timeout until the headers of a streamed or resumed response arrive. */
  readonly firstByteMilliseconds: Milliseconds
  readonly maximumAnswerBytes: number
}

export interface EngineClient {
  /** Reads the state of an engine or a plain service. */
  readonly readState: (address: string, signal?: AbortSignal) => Promise<Result<TargetState, FuchsiastageError>>
  readonly complete: (address: string, request: CompletionRequest, signal: AbortSignal) => Promise<CompletionOutcome>
  readonly resumeStream: (address: string, streamId: string, requestId: string, lastEventId: number, signal: AbortSignal) => Promise<ResumeOutcome>
  /** Cancels a stream; resolves to whether the engine confirmed that the stream has ended. */
  readonly cancelStream: (address: string, streamId: string) => Promise<boolean>
  readonly readCacheEvents: (address: string, fromSequence: number, signal?: AbortSignal) => Promise<Result<CacheEvents, FuchsiastageError>>
  readonly close: () => Promise<void>
}

const REFUSALS: Readonly<Record<number, readonly RefusalCode[]>> = { 404: ['model-not-loaded'], 503: ['busy', 'leaving'] }

/**
 * Creates the client of model engines. Completions and the resumption and cancellation of streams each
 * use a new connection: it proves that the engine is reachable, no late response to another request
 * can arrive on it, and its cost of one round trip is small compared with the time to the first
 * token. Reads of state and cache events reuse connections.
 *
 * @example
 * const engine = createEngineClient({ clock, connectTimeoutMilliseconds: 500, stateTimeoutMilliseconds: 1000, firstByteMilliseconds: 2000, maximumAnswerBytes: 1_048_576 })
 * const state = await engine.readState('10.0.0.1:8000')
 */
export function createEngineClient (options: EngineClientOptions): EngineClient {
  const { clock, stateTimeoutMilliseconds, maximumAnswerBytes } = options
  const connections = createConnections(clock)
  const connectLimits: ExchangeLimits = { connectMilliseconds: options.connectTimeoutMilliseconds, firstByteMilliseconds: Infinity }
  const streamLimits: ExchangeLimits = { ...connectLimits, firstByteMilliseconds: options.firstByteMilliseconds }
  const stateLimits = { ...connectLimits, totalMilliseconds: stateTimeoutMilliseconds, maximumAnswerBytes }

  const get = (address: string, path: string, signal?: AbortSignal) =>
    exchange(connections, clock, { address, method: 'GET', path, headers: {}, requiresNewConnection: false }, stateLimits, signal)

  const createSource = (address: string, streamId: string | undefined, response: Response): StreamSource =>
    ({ address, streamId, read: response.body.read, abort: response.abort })

  const readPlain = async (response: Response): Promise<CompletionOutcome> => {
    const collected = await collectBody(response, maximumAnswerBytes)
    if ('kind' in collected) return collected
    const { status, headers } = response
    return readRefusal(status, headers, collected.body, REFUSALS) ?? { kind: 'answered', status, headers, body: collected.body }
  }

  const complete: EngineClient['complete'] = async (address, request, signal) => {
    // An engine starts a plain response only when it is complete, so the deadline is its first-byte timeout.
    const firstByteMilliseconds = request.stream
      ? Math.min(options.firstByteMilliseconds, request.deadlineMilliseconds)
      : request.deadlineMilliseconds
    const response = await openExchange(connections, clock, {
      address,
      method: 'POST',
      path: request.path,
      headers: {
        'content-type': 'application/json',
        'x-request-id': request.requestId,
        'x-priority': String(request.priority),
        'x-deadline-milliseconds': String(Math.max(0, Math.round(request.deadlineMilliseconds)))
      },
      body: request.body,
      requiresNewConnection: true,
      requestId: request.requestId
    }, { ...connectLimits, firstByteMilliseconds }, signal)
    if (response.kind !== 'response') return response
    const { status, headers } = response
    if (status === 200 && isEventStream(headers['content-type'])) {
      return { kind: 'streaming', status, headers, source: createSource(address, singleValue(headers['x-stream-id']), response) }
    }
    const deadlineTimer = clock.setTimer(request.deadlineMilliseconds, () => response.abort('the response was incomplete at the timeout'))
    try {
      return await readPlain(response)
    } finally {
      deadlineTimer.cancel()
    }
  }

  const resumeStream: EngineClient['resumeStream'] = async (address, streamId, requestId, lastEventId, signal) => {
    const response = await openExchange(connections, clock, {
      address,
      method: 'GET',
      path: `/v1/streams/${encodeURIComponent(streamId)}`,
      headers: { accept: 'text/event-stream', 'last-event-id': String(lastEventId), 'x-request-id': requestId },
      requiresNewConnection: true
    }, streamLimits, signal)
    if (response.kind !== 'response') return { kind: 'failed', reason: response.reason }
    const { status, headers } = response
    if (status === 404 || status === 410) {
      response.abort('the engine cannot resume the stream')
      return { kind: 'gone', reason: `the engine responded with status ${status}` }
    }
    const isStreamed = status === 200 && isEventStream(headers['content-type'])
    const answeredStreamId = headers['x-stream-id']
    if (isStreamed && headers['x-request-id'] === requestId && (answeredStreamId === undefined || answeredStreamId === streamId)) {
      return { kind: 'resumed', source: createSource(address, streamId, response) }
    }
    response.abort('the response does not resume the stream')
    return { kind: 'failed', reason: isStreamed ? 'the request id or stream id of the response does not match' : `the engine responded with status ${status}` }
  }

  const cancelStream = async (address: string, streamId: string): Promise<boolean> => {
    const path = `/v1/streams/${encodeURIComponent(streamId)}`
    const outcome = await exchange(connections, clock, { address, method: 'DELETE', path, headers: {}, requiresNewConnection: true }, stateLimits)
    // 404 and 410 mean that the engine no longer has the stream, so it has ended.
    return outcome.kind === 'answered' && [200, 204, 404, 410].includes(outcome.status)
  }

  return {
    readState: async (address, signal) => decodeAnswer('read-state', address, await get(address, '/state', signal), targetStateSchema),
    complete,
    resumeStream,
    cancelStream,
    readCacheEvents: async (address, fromSequence, signal) =>
      decodeAnswer('read-cache-events', address, await get(address, `/cache-events?from=${fromSequence}`, signal), cacheEventsSchema),
    close: connections.close
  }
}

function isEventStream (contentType: string | readonly string[] | undefined): boolean {
  return typeof contentType === 'string' && contentType.startsWith('text/event-stream')
}

function singleValue (value: string | readonly string[] | undefined): string | undefined {
  return typeof value === 'string' ? value : undefined
}
