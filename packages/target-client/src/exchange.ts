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
  /** Whether the exchange needs a new connection that carries no other exchange. */
  readonly requiresNewConnection: boolean
  /** Expected `X-Request-Id` of the response; a response with a different one is discarded and its connection closed. */
  readonly requestId?: string
}

export interface ExchangeLimits {
  /** Timeout until a connection is open and undici starts to write the request. */
  readonly connectMilliseconds: Milliseconds
  /** Timeout until the headers of the response arrive; Infinity for no timeout. */
  readonly firstByteMilliseconds: Milliseconds
}

/** The headers of a response, and the reader of its body. */
export interface Response {
  readonly kind: 'response'
  readonly status: number
  readonly headers: AnswerHeaders
  readonly body: Pick<BodyReader, 'read'>
  /** Closes the connection unless the complete response has been received. */
  readonly abort: (reason: string) => void
}

/**
 * Sends one request and resolves with the headers of its response. The result is `not-sent` only if
 * undici had not started to write the request to a connection.
 */
export function openExchange (
  connections: Connections,
  clock: Clock,
  request: ExchangeRequest,
  limits: ExchangeLimits,
  signal?: AbortSignal
): Promise<NotSent | Unknown | Response> {
  if (signal?.aborted === true) return Promise.resolve({ kind: 'not-sent', reason: 'cancelled' })
  return new Promise((resolve) => {
    const connectionUse = connections.acquire(request.address, request.requiresNewConnection)
    let controller: Dispatcher.DispatchController | undefined
    let isFinished = false

    const body = createBodyReader(clock, {
      pause: () => controller?.pause(),
      resume: () => controller?.resume()
    })

    const finish = (reusable: boolean): void => {
      isFinished = true
      connectTimer.cancel()
      firstByteTimer?.cancel()
      signal?.removeEventListener('abort', cancel)
      connectionUse.release(reusable)
    }

    const fail = (reason: string): void => {
      if (isFinished) return
      finish(false)
      resolve(controller === undefined ? { kind: 'not-sent', reason } : { kind: 'unknown', reason })
      body.close(reason)
    }

    const abort = (reason: string): void => {
      if (isFinished) return
      const started = controller
      fail(reason)
      started?.abort(new Error(reason))
    }

    const cancel = (): void => abort('cancelled')
    const connectTimer = clock.setTimer(limits.connectMilliseconds, () => {
      if (controller === undefined) abort('no connection before the timeout')
    })
    const firstByteTimer = limits.firstByteMilliseconds === Infinity
      ? undefined
      : clock.setTimer(limits.firstByteMilliseconds, () => abort('no response before the timeout'))
    signal?.addEventListener('abort', cancel)

    const handler: Dispatcher.DispatchHandler = {
      onRequestStart: (started) => {
        // undici may write a request again after its connection was lost. This is prevented, because
        // the first write may have reached the target.
        if (isFinished || controller !== undefined) {
          started.abort(new Error('the request has already been written or aborted'))
          fail('the connection was lost after the request may have been sent')
          return
        }
        controller = started
        connectTimer.cancel()
      },
      onResponseStart: (started, status, headers) => {
        if (isFinished || status < 200) return
        firstByteTimer?.cancel()
        const answerHeaders = headers as AnswerHeaders
        if (request.requestId !== undefined && answerHeaders['x-request-id'] !== request.requestId) {
          abort('the request id of the response does not match')
          return
        }
        resolve({ kind: 'response', status, headers: answerHeaders, body, abort })
      },
      onResponseData: (_controller, chunk) => body.push(chunk),
      onResponseEnd: () => {
        if (isFinished) return
        finish(true)
        body.end()
      },
      onResponseError: (_controller, error) => fail(describeError(error))
    }

    try {
      connectionUse.dispatcher.dispatch({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: request.headers as Record<string, string | string[]>,
        body: request.body === undefined ? null : request.body,
        reset: request.requiresNewConnection
      }, handler)
    } catch (reason) {
      fail(describeError(reason))
    }
  })
}

/** Reads the body of a response; the outcome is unknown if the body is incomplete or longer than the limit. */
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
          response.abort('the response is too long')
          return { kind: 'unknown', reason: `the response is longer than ${maximumBytes} bytes` }
        }
        break
      case 'end':
        return { body: chunks.length === 1 && chunks[0] !== undefined ? chunks[0] : Buffer.concat(chunks) }
      case 'closed':
        return { kind: 'unknown', reason: next.reason }
      case 'silent':
        return { kind: 'unknown', reason: 'the connection stalled' }
    }
  }
}

/** Sends one request and resolves with the complete response, within limits on its time and size. */
export async function exchange (
  connections: Connections,
  clock: Clock,
  request: ExchangeRequest,
  limits: ExchangeLimits & { readonly totalMilliseconds: Milliseconds, readonly maximumAnswerBytes: number },
  signal?: AbortSignal
): Promise<NotSent | Unknown | { readonly kind: 'answered', readonly status: number, readonly headers: AnswerHeaders, readonly body: Buffer }> {
  let response: Response | undefined
  let hasTimedOut = false
  const cancellation = new AbortController()
  const cancel = (): void => cancellation.abort()
  if (signal?.aborted === true) cancel()
  signal?.addEventListener('abort', cancel)
  const timer = limits.totalMilliseconds === Infinity
    ? undefined
    : clock.setTimer(limits.totalMilliseconds, () => {
      hasTimedOut = true
      cancellation.abort()
    })
  try {
    const openedResponse = await openExchange(connections, clock, request, limits, cancellation.signal)
    if (openedResponse.kind !== 'response') return hasTimedOut ? { ...openedResponse, reason: 'no response before the timeout' } : openedResponse
    response = openedResponse
    const collected = await collectBody(response, limits.maximumAnswerBytes)
    if ('kind' in collected) return hasTimedOut ? { ...collected, reason: 'the response was incomplete at the timeout' } : collected
    return { kind: 'answered', status: response.status, headers: response.headers, body: collected.body }
  } finally {
    timer?.cancel()
    signal?.removeEventListener('abort', cancel)
  }
}

function describeError (reason: unknown): string {
  if (!(reason instanceof Error)) return String(reason)
  const code = (reason as { readonly code?: string }).code
  return code === undefined ? reason.message : `${code}: ${reason.message}`
}
