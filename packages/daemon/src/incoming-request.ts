import type { IncomingMessage, ServerResponse } from 'node:http'
import { once } from 'node:events'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import type { IncomingRequest } from '@fuchsiastage/filters'
import { err, ok, type Result } from 'true-myth/result'

/**
 * Adapts a request of Node's HTTP server to the filter chain.
 *
 * @example
 * const incoming = adaptRequest(request, response)
 */
export function adaptRequest (request: IncomingMessage, response: ServerResponse): IncomingRequest {
  const connectionClosed = new AbortController()
  response.once('close', () => {
    if (!response.writableFinished) connectionClosed.abort()
  })
  return {
    method: request.method ?? 'GET',
    url: request.url ?? '/',
    headers: request.headers,
    readBody: (maximumBytes) => readBody(request, maximumBytes),
    openStream: (status, headers) => {
      response.writeHead(status, headers)
      return {
        write: (text) => response.write(text),
        drained: async () => {
          if (response.writableNeedDrain && !connectionClosed.signal.aborted) await once(response, 'drain', { signal: connectionClosed.signal }).catch(() => undefined)
        }
      }
    },
    signal: connectionClosed.signal
  }
}

/**
 * Reads a body up to a limit; the rest of a longer body is not read.
 *
 * @example
 * const body = await readBody(request, 1_048_576)
 */
export async function readBody (request: IncomingMessage, maximumBytes: number): Promise<Result<Buffer, FuchsiastageError>> {
  const declaredLength = Number(request.headers['content-length'] ?? 0)
  if (declaredLength > maximumBytes) return err(bodyTooLarge(maximumBytes))
  const chunks: Buffer[] = []
  let size = 0
  try {
    for await (const chunk of request) {
      size += (chunk as Buffer).length
      if (size > maximumBytes) return err(bodyTooLarge(maximumBytes))
      chunks.push(chunk as Buffer)
    }
  } catch (reason) {
    return err(createError({ code: 'cancelled', message: 'the caller closed its connection', step: 'parse', peer: 'caller', status: 499, cause: reason }))
  }
  return ok(Buffer.concat(chunks))
}

function bodyTooLarge (maximumBytes: number): FuchsiastageError {
  return createError({ code: 'body-too-large', message: `the body is larger than ${maximumBytes} bytes`, step: 'parse', status: 413 })
}
