import { buildConnector, Client } from 'undici'
import type { Milliseconds } from '@fuchsiastage/types'
import type { SendToTarget, TargetAnswer } from './ports.js'

export interface SenderSettings {
  /** Time for a connection; a target that takes longer is down or drops new connections. */
  readonly connectMilliseconds: Milliseconds
  readonly maximumHeaderBytes: number
}

export type Connector = ReturnType<typeof buildConnector>

/**
 * Node stops reading after each chunk with this limit. While it goes on reading, a reset that
 * arrives together with the last bytes is reported as an orderly end of the connection.
 */
const RESET_SAFE_SOCKET = { highWaterMark: 1 }

const EMPTY = Buffer.alloc(0)

/**
 * Creates the sender. Each request gets a connection of its own: an answer that arrives late, twice
 * or without its end can then not be taken for that of another request, and a connection that has
 * gone silent is never used again.
 *
 * @example
 * const send = createSender({ connectMilliseconds: 400, maximumHeaderBytes: 65536 })
 * const answer = await send({ address: '10.128.0.9:8080', method: 'GET', path: '/', rawHeaders: [], body, signal })
 */
export function createSender (
  settings: SenderSettings,
  connect: Connector = buildConnector({ timeout: settings.connectMilliseconds, ...RESET_SAFE_SOCKET })
): SendToTarget {
  return async ({ address, method, path, rawHeaders, body, signal }): Promise<TargetAnswer> => {
    if (signal.aborted) return { kind: 'not-sent', reason: 'cancelled' }
    let hasSocketFailed = false
    const client = new Client(`http://${address}`, {
      // undici takes an answer that ends with its connection for complete, also when the connection was reset.
      connect: (options, callback) => connect(options, (...result) => {
        // Errors of undici's own, such as that for an orderly end, name no system call.
        result[1]?.once('error', (error: NodeJS.ErrnoException) => { hasSocketFailed ||= error.syscall !== undefined })
        callback(...result)
      }),
      pipelining: 1,
      headersTimeout: 0,
      bodyTimeout: 0,
      maxHeaderSize: settings.maximumHeaderBytes
    })
    let isConnected = false
    client.on('connect', () => { isConnected = true })
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
      return { kind: 'answer', status: response.statusCode, rawHeaders: answerHeaders, body: readBody(response.body, () => hasSocketFailed, finish), close: finish }
    } catch (reason) {
      finish()
      const text = reason instanceof Error ? `${(reason as { code?: string }).code ?? reason.name}: ${reason.message}` : String(reason)
      return isConnected ? { kind: 'failed', reason: text } : { kind: 'not-sent', reason: text }
    }
  }
}

async function * readBody (body: AsyncIterable<Buffer>, hasSocketFailed: () => boolean, finish: () => void): AsyncIterable<Buffer> {
  try {
    for await (const chunk of body) yield chunk.length === 0 ? EMPTY : chunk
    if (hasSocketFailed()) throw new Error('connection reset before the answer was complete')
  } finally {
    finish()
  }
}
