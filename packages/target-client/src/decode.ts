import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import { err, ok, type Result } from 'true-myth/result'
import type { ZodType } from 'zod'
import type { Answered, AnswerHeaders, NotSent, RefusalCode, Refused, Unknown } from './outcomes.js'

/** Decodes a body as JSON; returns undefined if it is not valid JSON. */
export function parseJson (body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8'))
  } catch {
    return undefined
  }
}

/** Validates the response to a read request against a schema and returns its value or an error. */
export function decodeAnswer<Value> (
  step: string,
  peer: string,
  outcome: NotSent | Unknown | Answered,
  schema: ZodType<Value>
): Result<Value, FuchsiastageError> {
  if (outcome.kind !== 'answered') {
    return err(createError({ code: 'target-unreachable', message: outcome.reason, step, peer, status: 503 }))
  }
  if (outcome.status !== 200) {
    return err(createError({ code: 'target-failed', message: `the peer responded with status ${outcome.status}`, step, peer, status: 502 }))
  }
  const parsed = schema.safeParse(parseJson(outcome.body))
  if (parsed.success) return ok(parsed.data)
  return err(createError({ code: 'target-answer-invalid', message: 'the response of the peer has an unexpected format', step, peer, status: 502 }))
}

/**
 * Decodes a refusal from a response; returns undefined for any other response. Only the pairs of status
 * and code in `codes` prove that the target has not run the request.
 */
export function readRefusal (status: number, headers: AnswerHeaders, body: Buffer, codes: Readonly<Record<number, readonly RefusalCode[]>>): Refused | undefined {
  const expected = codes[status]
  if (expected === undefined) return undefined
  const parsed = parseJson(body)
  if (typeof parsed !== 'object' || parsed === null) return undefined
  const code = expected.find((candidate) => candidate === (parsed as { readonly code?: unknown }).code)
  if (code === undefined) return undefined
  const seconds = Number(headers['retry-after'])
  return Number.isFinite(seconds) && seconds >= 0 ? { kind: 'refused', code, retryAfterMilliseconds: seconds * 1_000 } : { kind: 'refused', code }
}
