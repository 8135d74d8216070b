import type { Clock } from '@fuchsiastage/clock'
import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { Milliseconds, TargetState } from '@fuchsiastage/types'
import type { Result } from 'true-myth/result'
import { createConnections } from './connections.js'
import { decodeAnswer, readRefusal } from './decode.js'
import { collectBody, exchange, openExchange, type ExchangeBounds, type Response } from './exchange.js'
import type { CacheEvents, CompletionOutcome, CompletionRequest, RefusalCode, ResumeOutcome, StreamSource } from './outcomes.js'
import { cacheEventsSchema, targetStateSchema } from './schemas.js'

export interface EngineClientOptions {
  readonly clock: Clock
  readonly connectTimeoutMilliseconds: Milliseconds
  /** Bound of `readState`, `readCacheEvents` and `cancelStream`. */
  readonly stateTimeoutMilliseconds: Milliseconds
  /** Bound on the headers of a streamed or resumed answer. */
  readonly firstByteMilliseconds: Milliseconds
  readonly maximumAnswerBytes: number
}

export interface EngineClient {
  /** Reads the state of an engine or a plain service. */
  readonly readState: (address: string, signal?: AbortSignal) => Promise<Result<TargetState, FuchsiastageError>>
  readonly complete: (address: string, request: CompletionRequest, signal: AbortSignal) => Promise<CompletionOutcome>
  readonly resumeStream: (address: string, streamId: string, requestId: string, lastEventId: number, signal: AbortSignal) => Promise<ResumeOutcome>
  /** Tells whether the engine confirmed that the stream is cancelled. */
  readonly cancelStream: (address: string, streamId: string) => Promise<boolean>
  readonly readCacheEvents: (address: string, fromSequence: number, signal?: AbortSignal) => Promise<Result<CacheEvents, FuchsiastageError>>
  readonly close: () => Promise<void>
}

const REFUSALS: Readonly<Record<number, readonly RefusalCode[]>> = { 404: ['model-not-loaded'], 503: ['busy', 'leaving'] }

/**
 * Creates the client of model engines. Completions, resumed and cancelled streams each use a
 * new connection: it proves that the path to the engine works, no late answer of another request can
 * arrive on it, and its cost, one round trip, is small beside the first token. Reads of state reuse
 * connections.
 *
 * @example
 * const engine = createEngineClient({ clock, connectTimeoutMilliseconds: 500, stateTimeoutMilliseconds: 1000, firstByteMilliseconds: 2000, maximumAnswerBytes: 1_048_576 })
 * const state = await engine.readState('10.0.0.1:8000')
 */
export function createEngineClient (options: EngineClientOptions): EngineClient {
  const { clock, stateTimeoutMilliseconds, maximumAnswerBytes } = options
  const connections = createConnections(clock)
  const unbounded: ExchangeBounds = { connectMilliseconds: options.connectTimeoutMilliseconds, firstByteMilliseconds: Infinity }
  const streamBounds: ExchangeBounds = { ...unbounded, firstByteMilliseconds: options.firstByteMilliseconds }
  const stateBounds = { ...unbounded, totalMilliseconds: stateTimeoutMilliseconds, maximumAnswerBytes }

  const get = (address: string, path: string, signal?: AbortSignal) =>
    exchange(connections, clock, { address, method: 'GET', path, headers: {}, fresh: false }, stateBounds, signal)

  const createSource = (address: string, streamId: string | undefined, response: Response): StreamSource =>
    ({ address, streamId, read: response.body.read, abort: response.abort })

  const readPlain = async (response: Response): Promise<CompletionOutcome> => {
    const collected = await collectBody(response, maximumAnswerBytes)
    if ('kind' in collected) return collected
    const { status, headers } = response
    return readRefusal(status, headers, collected.body, REFUSALS) ?? { kind: 'answered', status, headers, body: collected.body }
  }

  const complete: EngineClient['complete'] = async (address, request, signal) => {
    // A plain answer begins only when it is complete, so only the deadline bounds its first byte.
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
      fresh: true,
      requestId: request.requestId
    }, { ...unbounded, firstByteMilliseconds }, signal)
    if (response.kind !== 'response') return response
    const { status, headers } = response
    if (status === 200 && isEventStream(headers['content-type'])) {
      return { kind: 'streaming', status, headers, source: createSource(address, singleValue(headers['x-stream-id']), response) }
    }
    const limit = clock.setTimer(request.deadlineMilliseconds, () => response.abort('no whole answer in time'))
    try {
      return await readPlain(response)
    } finally {
      limit.cancel()
    }
  }

  const resumeStream: EngineClient['resumeStream'] = async (address, streamId, requestId, lastEventId, signal) => {
    const response = await openExchange(connections, clock, {
      address,
      method: 'GET',
      path: `/v1/streams/${encodeURIComponent(streamId)}`,
      headers: { accept: 'text/event-stream', 'last-event-id': String(lastEventId), 'x-request-id': requestId },
      fresh: true
    }, streamBounds, signal)
    if (response.kind !== 'response') return { kind: 'failed', reason: response.reason }
    const { status, headers } = response
    if (status === 404 || status === 410) {
      response.abort('the stream cannot be resumed')
      return { kind: 'gone', reason: `the engine answered ${status}` }
    }
    const streamed = status === 200 && isEventStream(headers['content-type'])
    const answeredStream = headers['x-stream-id']
    if (streamed && headers['x-request-id'] === requestId && (answeredStream === undefined || answeredStream === streamId)) {
      return { kind: 'resumed', source: createSource(address, streamId, response) }
    }
    response.abort('wrong answer')
    return { kind: 'failed', reason: streamed ? 'the answer carries another request id' : `the engine answered ${status}` }
  }

  const cancelStream = async (address: string, streamId: string): Promise<boolean> => {
    const path = `/v1/streams/${encodeURIComponent(streamId)}`
    const outcome = await exchange(connections, clock, { address, method: 'DELETE', path, headers: {}, fresh: true }, stateBounds)
    // An engine that no longer knows the stream has ended it.
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
