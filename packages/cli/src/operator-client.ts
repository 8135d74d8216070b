import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import { err, ok, type Result } from 'true-myth/result'
import { request } from 'undici'
import { readTextFile } from './command-context.js'

export interface OperatorOptions {
  /** Operators' address of any daemon. */
  readonly operators: string
  readonly tokenFile: string
}

export interface OperatorAnswer {
  readonly status: number
  readonly body: unknown
}

/** A patch waits for the log service and for a majority, so an answer may take a while. */
const TIMEOUT_MILLISECONDS = 60_000

/**
 * Calls the operators' interface of a daemon. The token is read from a file, so that it does not
 * appear in the list of processes.
 *
 * @example
 * const answer = await callOperators({ operators: '127.0.0.1:7102', tokenFile: 'token' }, 'GET', '/configuration/version')
 */
export async function callOperators (options: OperatorOptions, method: 'GET' | 'POST', path: string, body?: unknown): Promise<Result<OperatorAnswer, FuchsiastageError>> {
  const token = await readTextFile(options.tokenFile)
  if (token.isErr) return err(token.error)
  return await callOperatorsWithToken(options.operators, token.value.trim(), method, path, body)
}

/** Calls the operators' interface with a token that is already at hand. */
export async function callOperatorsWithToken (operators: string, token: string, method: 'GET' | 'POST', path: string, body?: unknown): Promise<Result<OperatorAnswer, FuchsiastageError>> {
  try {
    const response = await request(`http://${operators}${path}`, {
      method,
      headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
      body: body === undefined ? null : JSON.stringify(body),
      headersTimeout: TIMEOUT_MILLISECONDS,
      bodyTimeout: TIMEOUT_MILLISECONDS
    })
    return ok({ status: response.statusCode, body: await response.body.json() })
  } catch (reason) {
    return err(createError({ code: 'daemon-unreachable', message: `no answer from ${operators}: ${reason instanceof Error ? reason.message : String(reason)}`, step: 'operators', peer: operators, cause: reason }))
  }
}
