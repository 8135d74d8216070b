import type { ServerResponse } from 'node:http'
import { toProblem, type FuchsiastageError } from '@fuchsiastage/errors'
import type { Answer } from '@fuchsiastage/filters'
import { assertNever } from '@fuchsiastage/types'

const MILLISECONDS_PER_SECOND = 1_000
const FLUSH_TIMEOUT_MILLISECONDS = 1_000

/**
 * Writes the answer of the filter chain to the response, or ends a response that the chain has streamed.
 *
 * @example
 * sendAnswer(response, answer, requestId)
 */
export function sendAnswer (response: ServerResponse, answer: Answer, requestId: string): void {
  switch (answer.kind) {
    case 'plain':
      response.writeHead(answer.status, { ...answer.headers, 'content-length': answer.body.length, 'x-request-id': requestId })
      response.end(answer.body)
      return
    case 'problem':
      sendProblem(response, answer.error, requestId)
      return
    case 'streamed':
      // An incomplete stream must not look like a complete response, so the final chunk is not sent.
      if (answer.complete) response.end()
      else closeWithoutFinalChunk(response)
      return
    default:
      assertNever(answer)
  }
}

/**
 * Closes the connection of an incomplete response after the written data has been sent. Destroying
 * it immediately would drop the error event, which may still be in the buffer of the connection.
 */
function closeWithoutFinalChunk (response: ServerResponse): void {
  const { socket } = response
  if (socket === null) {
    response.destroy()
    return
  }
  // A caller that does not read must not keep the connection open.
  socket.setTimeout(FLUSH_TIMEOUT_MILLISECONDS, () => socket.destroy())
  socket.destroySoon()
}

/**
 * Writes an error as problem+json, with a `Retry-After` header in whole seconds if the error has a retry delay.
 *
 * @example
 * sendProblem(response, error, requestId)
 */
export function sendProblem (response: ServerResponse, error: FuchsiastageError, requestId?: string): void {
  if (response.headersSent) {
    response.destroy()
    return
  }
  const body = Buffer.from(JSON.stringify(toProblem(error, requestId)))
  const headers: Record<string, string | number> = { 'content-type': 'application/problem+json', 'content-length': body.length }
  if (requestId !== undefined) headers['x-request-id'] = requestId
  if (error.retryAfterMilliseconds !== undefined) headers['retry-after'] = Math.max(1, Math.ceil(error.retryAfterMilliseconds / MILLISECONDS_PER_SECOND))
  // The unread rest of a large body must not be parsed as the next request.
  if (error.code === 'body-too-large') headers.connection = 'close'
  response.writeHead(error.status, headers)
  response.end(body)
}

/** Writes a JSON response. */
export function sendJson (response: ServerResponse, status: number, value: unknown): void {
  const body = Buffer.from(JSON.stringify(value))
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': body.length })
  response.end(body)
}
