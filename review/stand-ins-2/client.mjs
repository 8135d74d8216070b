// A client of the system: each attempt has an identifier of its own and a new channel.
import { randomBytes } from 'node:crypto'
import { request as httpRequest } from 'node:http'
import { HOST_NAME } from './deployment.mjs'

export function newAttemptId () {
  return randomBytes(8).toString('hex')
}

/** Sends one attempt. Resolves with what the client has seen; it never rejects. An event `reset` of `resets` breaks its channel off. */
export async function sendAttempt ({ host, path, method = 'POST', body = '', headers = {}, attempt = newAttemptId(), deadlineMilliseconds = 1_500, resets }) {
  const startedAt = Date.now()
  return await new Promise((resolve) => {
    let text = ''
    let response
    const finish = (result) => resolve({ attempt, host, path, startedAt, endedAt: Date.now(), text, ...result })
    const request = httpRequest({
      host,
      port: 8149,
      path,
      method,
      agent: false,
      headers: { Host: HOST_NAME, 'X-Fuchsiastage-Attempt-Id': attempt, 'X-Fuchsiastage-Deadline-Ms': String(deadlineMilliseconds), 'Content-Length': Buffer.byteLength(body), ...headers }
    }, (received) => {
      response = received
      response.on('data', (bytes) => { text += bytes.toString() })
      response.once('end', () => finish({ status: response.statusCode, complete: response.complete, headers: response.headers }))
      response.once('error', () => finish({ status: response.statusCode, complete: false, headers: response.headers }))
    })
    request.once('error', (error) => finish({ status: response?.statusCode, complete: false, error: error.code }))
    const reset = () => request.destroy()
    resets?.once('reset', reset)
    const timer = setTimeout(() => request.destroy(), deadlineMilliseconds + 500)
    request.once('close', () => {
      clearTimeout(timer)
      resets?.off('reset', reset)
      finish({ status: response?.statusCode, complete: false, error: 'closed' })
    })
    request.end(body)
  })
}
