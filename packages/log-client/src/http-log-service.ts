import { linkSignals } from '@fuchsiastage/clock'
import { createError, toFuchsiastageError, type FuchsiastageError } from '@fuchsiastage/errors'
import type { JsonValue, Milliseconds } from '@fuchsiastage/types'
import { err, ok, type Result } from 'true-myth/result'
import { Pool } from 'undici'
import { z } from 'zod'
import type { AppendResult, LogService, ReadResult } from './log-service.js'

const appendResponse = z.object({ firstOffset: z.number().int() })
const readResponse = z.object({
  records: z.array(z.object({ offset: z.number().int(), value: z.json() })),
  nextOffset: z.number().int(),
  oldestOffset: z.number().int(),
  endOffset: z.number().int()
})

export interface HttpLogServiceOptions {
  /** Base URL of the log service, for example `http://127.0.0.1:7000`. */
  readonly url: string
  readonly appendTimeoutMilliseconds: Milliseconds
  /** Margin that is added to the wait time of a long poll to get the timeout of the read. */
  readonly readMarginMilliseconds: Milliseconds
}

/**
 * Creates an HTTP client for the log service.
 *
 * @example
 * const logService = createHttpLogService({ url: 'http://127.0.0.1:7000', appendTimeoutMilliseconds: 2000, readMarginMilliseconds: 2000 })
 */
export function createHttpLogService (options: HttpLogServiceOptions): LogService & { readonly close: () => Promise<void> } {
  // Pipelining is disabled, so that a stalled connection does not delay a second request.
  const pool = new Pool(options.url, { pipelining: 1, connect: { timeout: options.appendTimeoutMilliseconds } })

  const call = async (
    step: string,
    request: { readonly method: 'GET' | 'POST', readonly path: string, readonly body?: string },
    timeoutMilliseconds: Milliseconds,
    signal?: AbortSignal
  ): Promise<Result<unknown, FuchsiastageError>> => {
    const timeoutSignal = AbortSignal.timeout(timeoutMilliseconds)
    const linked = linkSignals(signal === undefined ? [timeoutSignal] : [signal, timeoutSignal])
    try {
      const response = await pool.request({
        ...request,
        headers: { 'content-type': 'application/json' },
        signal: linked.signal
      })
      const body: unknown = await response.body.json()
      if (response.statusCode === 200) return ok(body)
      return err(createError({ code: 'log-unavailable', message: `the log service responded with status ${response.statusCode} instead of 200`, step, peer: options.url, outcome: 'unknown', status: 503 }))
    } catch (reason) {
      return err(toFuchsiastageError(reason, { code: 'log-unavailable', step, peer: options.url, outcome: 'unknown', status: 503 }))
    } finally {
      linked.release()
    }
  }

  const append = async (stream: string, values: readonly JsonValue[], signal?: AbortSignal): Promise<Result<AppendResult, FuchsiastageError>> => {
    const path = `/streams/${encodeURIComponent(stream)}/records`
    const response = await call('log-append', { method: 'POST', path, body: JSON.stringify({ values }) }, options.appendTimeoutMilliseconds, signal)
    return response.andThen((body) => decode('log-append', options.url, appendResponse.safeParse(body)))
  }

  const read: LogService['read'] = async (stream, fromOffset, { limit, waitMilliseconds }, signal) => {
    const path = `/streams/${encodeURIComponent(stream)}/records?from=${fromOffset}&limit=${limit}&wait=${waitMilliseconds}`
    const response = await call('log-read', { method: 'GET', path }, waitMilliseconds + options.readMarginMilliseconds, signal)
    return response.andThen((body) => decode<ReadResult>('log-read', options.url, readResponse.safeParse(body)))
  }

  return { append, read, close: () => pool.destroy() }
}

function decode<Value> (step: string, peer: string, parsed: { readonly success: boolean, readonly data?: Value }): Result<Value, FuchsiastageError> {
  if (parsed.success && parsed.data !== undefined) return ok(parsed.data)
  return err(createError({ code: 'log-answer-invalid', message: 'the response of the log service does not have the expected fields', step, peer, outcome: 'unknown', status: 503 }))
}
