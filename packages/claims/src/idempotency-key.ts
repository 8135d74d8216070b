import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import type { Milliseconds } from '@fuchsiastage/types'
import { err, ok, type Result } from 'true-myth/result'

export interface IdempotencyKey {
  /** UUID of version 7 in lower case. */
  readonly key: string
  /** Timestamp in the key, in milliseconds since the Unix epoch. */
  readonly createdAt: Milliseconds
}

export interface KeyAgeLimits {
  readonly wallNow: Milliseconds
  /** Maximum age of a key. */
  readonly horizonMilliseconds: Milliseconds
}

/** Maximum time by which the clock of a caller may be ahead. */
const FUTURE_TOLERANCE_MILLISECONDS = 60_000

const UUID_VERSION_7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/

/**
 * Returns the timestamp in a UUID of version 7, or undefined for any other text.
 *
 * @example
 * keyTime('019b76da-a800-7000-8000-000000000000')
 */
export function keyTime (key: string): Milliseconds | undefined {
  return UUID_VERSION_7.test(key) ? Number.parseInt(key.slice(0, 8) + key.slice(9, 13), 16) : undefined
}

/**
 * Parses the value of an `Idempotency-Key` header and checks the age of the key.
 *
 * @example
 * const key = parseIdempotencyKey(header, { wallNow: clock.wallNow(), horizonMilliseconds: 3_600_000 })
 */
export function parseIdempotencyKey (text: string, limits: KeyAgeLimits): Result<IdempotencyKey, FuchsiastageError> {
  const key = text.trim().toLowerCase()
  const createdAt = keyTime(key)
  if (createdAt === undefined) {
    return err(createError({ code: 'idempotency-key-invalid', message: 'the idempotency key is not a UUID of version 7', step: 'parse', status: 400 }))
  }
  const age = limits.wallNow - createdAt
  if (age > limits.horizonMilliseconds || age < -FUTURE_TOLERANCE_MILLISECONDS) {
    return err(createError({
      code: 'idempotency-key-expired',
      message: `the timestamp in the idempotency key is ${age} ms old; the accepted range is ${-FUTURE_TOLERANCE_MILLISECONDS} to ${limits.horizonMilliseconds} ms`,
      step: 'parse',
      status: 400
    }))
  }
  return ok({ key, createdAt })
}
