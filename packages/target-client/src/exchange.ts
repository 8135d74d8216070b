import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import type { Dispatcher } from 'undici'
import { createBodyReader, type BodyReader } from './body-reader.js'
import type { Connections } from './connections.js'
import type { AnswerHeaders, NotSent, Unknown } from './outcomes.js'

export interface ExchangeRequest {
  readonly address: string
  readonly method: string
  readonly path: string
  readonly headers: Readonly<Record<string, string | readonly string[]>>
  readonly body?: string | Uint8Array
  /** Use a new connection for this exchange only. */
  readonly fresh: boolean
  /** When set, an answer with another `X-Request-Id` is discarded and its connection closed. */
  readonly requestId?: string
}

export interface ExchangeBounds {
  readonly connectMilliseconds: Milliseconds
  /** Bound on the time until the headers of the answer; Infinity for none. */
  readonly firstByteMilliseconds: Milliseconds
}

/** The headers of an answer, and its body yet to be read. */
export interface Response {
  readonly kind: 'response'
  readonly status: number
  readonly headers: AnswerHeaders
  readonly body: Pick<BodyReader, 'read'>
  /** Closes the connection unless the whole answer has been received. */
  readonly abort: (reason: string) => void
}

/**
 * Sends one request and resolves with the headers of its answer. The result is `not-sent` only
 * when undici had not yet begun to write the request to a connection.
 */
export function openExchange (
  connections: Connections,
  clock: Clock,
  request: ExchangeRequest,
  bounds: ExchangeBounds,
  signal?: AbortSignal
): Promise<NotSent | Unknown | Response> {
  if (signal?.aborted === true) return Promise.resolve({ kind: 'not-sent', reason: 'cancelled' })
  return new Promise((resolve) => {
    const use = connections.acquire(request.address, request.fresh)
    let controller: Dispatcher.DispatchController | undefined
    let finished = false

    const body = createBodyReader(clock, {
      pause: () => controller?.pause(),
      resume: () => controller?.resume()
    })

    const finish = (reusable: boolean): void => {
      finished = true
      connectTimer.cancel()
      firstByteTimer?.cancel()
      signal?.removeEventListener('abort', cancel)
      use.release(reusable)
    }

    const fail = (reason: string): void => {
      if (finished) return
      finish(false)
      resolve(controller === undefined ? { kind: 'not-sent', reason } : { kind: 'unknown', reason })
      body.close(reason)
    }

    const abort = (reason: string): void => {
      if (finished) return
      const started = controller
      fail(reason)
      started?.abort(new Error(reason))
    }

    const cancel = (): void => abort('cancelled')
    const connectTimer = clock.setTimer(bounds.connectMilliseconds, () => {
      if (controller === undefined) abort('no connection in time')
    })
    const firstByteTimer = bounds.firstByteMilliseconds === Infinity
      ? undefined
      : clock.setTimer(bounds.firstByteMilliseconds, () => abort('no answer in time'))
    signal?.addEventListener('abort', cancel)

    const handler: Dispatcher.DispatchHandler = {
      onRequestStart: (started) => {
        // undici may write a request again after its connection was lost; a request whose first
        // writing may have reached the target must not be written a second time.
        if (finished || controller !== undefined) {
          started.abort(new Error('the request was given up'))
          fail('connection lost')
          return
        }
        controller = started
        connectTimer.cancel()
      },
      onResponseStart: (started, status, headers) => {
        if (finished || status < 200) return
        firstByteTimer?.cancel()
        const answerHeaders = headers as AnswerHeaders
        if (request.requestId !== undefined && answerHeaders['x-request-id'] !== request.requestId) {
          abort('the answer carries another request id')
          return
        }
        resolve({ kind: 'response', status, headers: answerHeaders, body, abort })
      },
      onResponseData: (_controller, chunk) => body.push(chunk),
      onResponseEnd: () => {
        if (finished) return
        finish(true)
        body.end()
      },
      onResponseError: (_controller, error) => fail(describe(error))
    }

    try {
      use.dispatcher.dispatch({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers as Record<string, string | string[]>,
        body: request.body === undefined ? null : request.body,
        reset: request.fresh
      }, handler)
    } catch (reason) {
      fail(describe(reason))
    }
  })
}

/** Reads the rest of an answer up to a bound; undefined when it is incomplete or too long. */
export async function collectBody (response: Response, maximumBytes: number): Promise<{ readonly body: Buffer } | Unknown> {
  const chunks: Buffer[] = []
  let length = 0
  for (;;) {
    const next = await response.body.read(Infinity)
    switch (next.kind) {
      case 'bytes':
        for (const chunk of next.chunks) {
          chunks.push(chunk)
          length += chunk.length
        }
        if (length > maximumBytes) {
          response.abort('the answer is too long')
          return { kind: 'unknown', reason: `the answer is longer than ${maximumBytes} bytes` }
        }
        break
      case 'end':
        return { body: chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks) }
      case 'closed':
        return { kind: 'unknown', reason: next.reason }
      case 'silent':
        return { kind: 'unknown', reason: 'the connection is silent' }
    }
  }
}

/** A bounded exchange with a whole answer. */
export async function exchange (
  connections: Connections,
  clock: Clock,
  request: ExchangeRequest,
  bounds: ExchangeBounds & { readonly totalMilliseconds: Milliseconds, readonly maximumAnswerBytes: number },
  signal?: AbortSignal
): Promise<NotSent | Unknown | { readonly kind: 'answered', readonly status: number, readonly headers: AnswerHeaders, readonly body: Buffer }> {
  let response: Response | undefined
  let expired = false
  const limit = new AbortController()
  const cancel = (): void => limit.abort()
  if (signal?.aborted === true) cancel()
  signal?.addEventListener('abort', cancel)
  const timer = bounds.totalMilliseconds === Infinity
    ? undefined
    : clock.setTimer(bounds.totalMilliseconds, () => {
      expired = true
      limit.abort()
    })
  try {
    const opened = await openExchange(connections, clock, request, bounds, limit.signal)
    if (opened.kind !== 'response') return expired ? { ...opened, reason: 'no answer in time' } : opened
    response = opened
    const collected = await collectBody(response, bounds.maximumAnswerBytes)
    if ('kind' in collected) return expired ? { ...collected, reason: 'no whole answer in time' } : collected
    return { kind: 'answered', status: response.status, headers: response.headers, body: collected.body }
  } finally {
    timer?.cancel()
    signal?.removeEventListener('abort', cancel)
  }
}

function describe (reason: unknown): string {
  if (!(reason instanceof Error)) return String(reason)
  const code = (reason as { readonly code?: string }).code
  return code === undefined ? reason.message : `${code}: ${reason.message}`
}
