import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import { err, ok, type Result } from 'true-myth/result'
import { request } from 'undici'
import { readTextFile } from './command-context.js'

export interface OperatorOptions {
  /** Address of the operator interface of any daemon. */
  readonly operators: string
  /** File with the operator token. */
  readonly tokenFile: string
}

export interface OperatorResponse {
  readonly status: number
  readonly body: unknown
}

/** Time limit of one response. The response to a patch waits for the log service and for a majority of the daemons. */
const RESPONSE_TIMEOUT_MILLISECONDS = 60_000

/**
 * Sends a request to the operator interface of a daemon. The token is read from a file because
 * command-line arguments are visible in the process list.
 *
 * @example
 * const response = await callOperators({ operators: '127.0.0.1:7102', tokenFile: 'token' }, 'GET', '/configuration/version')
 */
export async function callOperators (options: OperatorOptions, method: 'GET' | 'POST', path: string, body?: unknown): Promise<Result<OperatorResponse, FuchsiastageError>> {
  const token = await readTextFile(options.tokenFile)
  if (token.isErr) return err(token.error)
  return await callOperatorsWithToken(options.operators, token.value.trim(), method, path, body)
}

/** Sends a request to the operator interface with the given token. */
export async function callOperatorsWithToken (operators: string, token: string, method: 'GET' | 'POST', path: string, body?: unknown): Promise<Result<OperatorResponse, FuchsiastageError>> {
  try {
    const response = await request(`http://${operators}${path}`, {
      method,
      headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
      headersTimeout: RESPONSE_TIMEOUT_MILLISECONDS,
      bodyTimeout: RESPONSE_TIMEOUT_MILLISECONDS
    })
    return ok({ status: response.statusCode, body: await response.body.json() })
  } catch (reason) {
    return err(createError({ code: 'daemon-unreachable', message: `no response from ${operators}: ${reason instanceof Error ? reason.message : String(reason)}`, step: 'operators', peer: operators, cause: reason }))
  }
}
