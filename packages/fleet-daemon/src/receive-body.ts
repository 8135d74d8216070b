import type { IncomingMessage, ServerResponse } from 'node:http'
import { createBodyBuffer, type BlockPool, type ClientMemory, type ReleaseMemory } from '@fuchsiastage/client-memory'
import { readPendingEvents, type Clock, type Timer } from '@fuchsiastage/clock'
import type { ClientLimits } from '@fuchsiastage/fleet'
import { UNCONFIRMED_REASON } from '@fuchsiastage/forwarding'

/** Why a body was not received completely. No target has run its request. */
export type BodyRefusal =
  | { readonly status: 413, readonly reason: 'body-too-large' }
  | { readonly status: 408, readonly reason: 'body-stalled' }
  | { readonly status: 503, readonly reason: 'client-memory' }
  /** The body is over the limit, but a newer configuration may have a higher one. */
  | { readonly status: 503, readonly reason: typeof UNCONFIRMED_REASON }

export type ReceivedBody =
  | { readonly kind: 'complete', readonly body: Buffer, readonly release: ReleaseMemory }
  | { readonly kind: 'refused', readonly refusal: BodyRefusal }
  /** The client closed the connection before its request was complete, so no response can be sent. */
  | { readonly kind: 'aborted' }

export interface BodyInputs {
  readonly clock: Clock
  readonly memory: ClientMemory
  readonly pool: BlockPool
  readonly limits: ClientLimits
}

const EMPTY = Buffer.alloc(0)
const TOO_LARGE: BodyRefusal = { status: 413, reason: 'body-too-large' }
const STALLED: BodyRefusal = { status: 408, reason: 'body-stalled' }
const UNCONFIRMED_LIMIT: BodyRefusal = { status: 503, reason: UNCONFIRMED_REASON }
const NO_MEMORY: BodyRefusal = { status: 503, reason: 'client-memory' }
/** Time and bytes for which a connection is read after a refusal. Closing it with unread bytes would reset it, and the client might lose the response. */
const LINGER_MILLISECONDS = 1_000
const LINGER_BYTES = 1_048_576
/** Connections that are read after a refusal at the same time; further ones are closed at once. */
const MAXIMUM_LINGERING = 32

/**
 * Returns the refusal of a request whose head states a body over the limit.
 *
 * @example
 * const refusal = refusalByHead(request, limits)
 */
export function refusalByHead (request: Pick<IncomingMessage, 'headers'>, { bodyBytes }: Pick<ClientLimits, 'bodyBytes'>): BodyRefusal | undefined {
  return Number(request.headers['content-length'] ?? 0) > bodyBytes ? TOO_LARGE : undefined
}

/**
 * Returns the refusal that the client gets: a body over the limit is rejected for good only if the limit is known
 * to be that of the newest configuration.
 *
 * @example
 * const { status, reason } = refusalIfConfirmed(refusal, isConfigurationConfirmed)
 */
export function refusalIfConfirmed (refusal: BodyRefusal, isConfigurationConfirmed: () => boolean): BodyRefusal {
  return refusal.status === 413 && !isConfigurationConfirmed() ? UNCONFIRMED_LIMIT : refusal
}

/**
 * Receives the body of a request within the memory of the clients and the limits of the configuration. After a refusal
 * the request is not read any more; see `createLingeringClose`.
 *
 * @example
 * const received = await receiveBody(request, { clock, memory, pool, limits })
 */
export async function receiveBody (request: IncomingMessage, { clock, memory, pool, limits }: BodyInputs): Promise<ReceivedBody> {
  const { headers } = request
  if (headers['transfer-encoding'] === undefined && Number(headers['content-length'] ?? 0) === 0) return { kind: 'complete', body: EMPTY, release: () => undefined }
  return await new Promise((resolve) => {
    const buffer = createBodyBuffer(pool)
    let received = 0
    let progressAt = clock.now()
    let timer: Timer | undefined
    let isSettled = false

    const settle = (result: ReceivedBody): void => {
      isSettled = true
      timer?.cancel()
      request.off('data', onData).off('end', onEnd).off('close', onClose)
      if (result.kind !== 'complete') {
        buffer.discard()
        hold?.release()
      }
      resolve(result)
    }
    const refuse = (refusal: BodyRefusal): void => {
      request.pause()
      settle({ kind: 'refused', refusal })
    }
    const onData = (bytes: Buffer): void => {
      received += bytes.length
      progressAt = clock.now()
      if (received > limits.bodyBytes) return refuse(TOO_LARGE)
      if (hold?.receive(bytes.length) !== true) return refuse(NO_MEMORY)
      buffer.append(bytes)
    }
    const onEnd = (): void => {
      const { bytes, free } = buffer.take()
      hold?.complete()
      settle({
        kind: 'complete',
        body: bytes,
        release: () => {
          free()
          hold?.release()
        }
      })
    }
    const onClose = (): void => settle({ kind: 'aborted' })
    const watchProgress = async (): Promise<void> => {
      const dueAt = clock.now()
      // A process that was busy has not read yet what arrived meanwhile.
      await readPendingEvents()
      if (isSettled) return
      const left = progressAt + limits.idleMilliseconds - dueAt
      if (left <= 0) return refuse(STALLED)
      timer = clock.setTimer(left, () => { void watchProgress() })
    }

    const hold = memory.receiveBody(() => refuse(NO_MEMORY))
    if (hold === undefined) return refuse(NO_MEMORY)
    request.on('data', onData).once('end', onEnd).once('close', onClose)
    // The error of a connection that the client closed is followed by `close`.
    request.on('error', () => undefined)
    timer = clock.setTimer(limits.idleMilliseconds, () => { void watchProgress() })
  })
}

/** Ends a response while the body of its request may still be arriving. */
export type LingeringClose = (request: IncomingMessage, response: ServerResponse, head: { readonly status: number, readonly headers: Readonly<Record<string, string>> }, body: string) => void

/**
 * Creates the function that sends a refusal and closes the connection. It reads and drops what the client still
 * sends, for a limited time and number of bytes, so that the response is not lost.
 *
 * @example
 * const closeLingering = createLingeringClose(clock)
 * closeLingering(request, response, { status: 413, headers: {} }, '{"error":"body-too-large"}')
 */
export function createLingeringClose (clock: Clock): LingeringClose {
  let lingering = 0
  return (request, response, { status, headers }, body) => {
    response.shouldKeepAlive = false
    response.writeHead(status, { ...headers, 'Content-Length': String(Buffer.byteLength(body)) })
    if (request.complete || lingering >= MAXIMUM_LINGERING) {
      response.end(body)
      return
    }
    // The client has the whole response by its length; its end closes the connection, after the responses to earlier requests.
    response.write(body)
    lingering++
    let dropped = 0
    let isEnded = false
    const end = (): void => {
      if (isEnded) return
      isEnded = true
      lingering--
      timer.cancel()
      request.pause()
      response.end()
    }
    const timer = clock.setTimer(LINGER_MILLISECONDS, end)
    request.on('data', (bytes: Buffer) => {
      dropped += bytes.length
      if (dropped > LINGER_BYTES) end()
    })
    request.once('end', end).once('close', end).on('error', () => undefined)
    request.resume()
  }
}
