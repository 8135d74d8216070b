import { Socket } from 'node:net'
import { buildConnector, Client } from 'undici'
import { isSocketAddress } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'
import { withFinalStatus } from './answer-status.js'
import type { SendToTarget, TargetAnswer } from './ports.js'
import { readWholeAnswer } from './target-socket.js'

export interface SenderSettings {
  /** Timeout for establishing a connection; a target that takes longer is down or drops new connections. */
  readonly connectMilliseconds: Milliseconds
  readonly maximumHeaderBytes: number
}

export type Connector = ReturnType<typeof buildConnector>

/** Makes Node stop reading after each chunk; see `readWholeAnswer`. */
const RESET_SAFE_SOCKET = { highWaterMark: 1 }

/**
 * Maximum number of bytes that a target may send beyond the body that was read: heads, chunk extensions,
 * trailers, and what the sockets and the body buffer hold.
 */
const MAXIMUM_UNUSED_BYTES = 1_048_576

const EMPTY = Buffer.alloc(0)

/**
 * Creates the sender. Each request uses a new connection, so that a late, duplicate or incomplete
 * response is never mistaken for the response to another request, and a stalled connection is never
 * reused.
 *
 * @example
 * const send = createSender({ connectMilliseconds: 400, maximumHeaderBytes: 65536 })
 * const answer = await send({ address: '10.128.0.9:8080', method: 'GET', path: '/', rawHeaders: [], body, signal, onConnected: () => undefined })
 */
export function createSender (
  settings: SenderSettings,
  connect: Connector = buildConnector({ timeout: settings.connectMilliseconds, ...RESET_SAFE_SOCKET })
): SendToTarget {
  return async ({ address, method, path, rawHeaders, body, signal, onConnected }): Promise<TargetAnswer> => {
    if (signal.aborted) return { kind: 'not-sent', reason: 'cancelled' }
    if (!isSocketAddress(address)) return { kind: 'not-sent', reason: 'the target has no valid address' }
    let isLost = false
    let isCutShort = false
    let bodyBytes = 0
    const client = new Client(`http://${address}`, {
      // undici treats a response without a length as complete when its connection ends, even if the connection was reset.
      connect: (options, callback) => connect(options, (...result) => {
        const [, socket] = result
        if (socket instanceof Socket) {
          const { isRequestCut } = readWholeAnswer(socket)
          const recordEnd = (isInOrder: boolean): void => {
            isLost = true
            // A response that has reached an end of its own is not running any more.
            isCutShort ||= !isInOrder && client.stats.running > 0
          }
          // Only errors of the operating system name a system call; undici's own errors, such as the one for an orderly end, do not.
          socket.once('error', (error: NodeJS.ErrnoException) => { if (error.syscall !== undefined) recordEnd(false) })
          socket.once('end', () => recordEnd(!isRequestCut()))
          // A target in trouble may send bytes without end that are not part of a response.
          socket.on('readable', () => { if (socket.bytesRead - bodyBytes > MAXIMUM_UNUSED_BYTES) socket.destroy(new Error('the target sends bytes without end')) })
        }
        callback(...result)
      }),
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: settings.maximumHeaderBytes
    })
    let isConnected = false
    client.on('connect', () => {
      isConnected = true
      onConnected()
    })
    const close = (): void => { client.destroy().catch(() => undefined) }
    const onAbort = (): void => close()
    signal.addEventListener('abort', onAbort, { once: true })
    const finish = (): void => {
      signal.removeEventListener('abort', onAbort)
      close()
    }
    try {
      const response = await client.request({
        method: method as 'GET',
        path,
        headers: [...rawHeaders],
        body: body.length === 0 ? null : body,
        responseHeaders: 'raw',
        signal
      })
      // With `responseHeaders: 'raw'` the headers are a flat list of names and values.
      const answerHeaders = (response.headers as unknown as ReadonlyArray<string | Buffer>).map(String)
      return withFinalStatus({ kind: 'answer', status: response.statusCode, rawHeaders: answerHeaders, body: readBody(response.body, (length) => { bodyBytes += length }, () => isCutShort, finish), close: finish })
    } catch (reason) {
      finish()
      const code = reason instanceof Error ? (reason as { code?: string }).code ?? reason.name : String(reason)
      // The HTTP client gives up a connection that has not ended if what it reads is no response.
      if (isConnected && !isLost && !signal.aborted) return { kind: 'invalid', reason: `answer-invalid: ${code}` }
      return { kind: isConnected ? 'failed' : 'not-sent', reason: reason instanceof Error ? `${code}: ${reason.message}` : code }
    }
  }
}

async function * readBody (body: AsyncIterable<Buffer>, onBytes: (length: number) => void, isCutShort: () => boolean, finish: () => void): AsyncIterable<Buffer> {
  try {
    for await (const chunk of body) {
      onBytes(chunk.length)
      yield chunk.length === 0 ? EMPTY : chunk
    }
    if (isCutShort()) throw new Error('connection failed before the response was complete')
  } finally {
    finish()
  }
}
