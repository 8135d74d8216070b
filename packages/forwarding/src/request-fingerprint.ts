import { createHash } from 'node:crypto'
import type { InboundRequest } from './request.js'

/** Digits of a fingerprint: 64 bits, so that two different requests practically never have the same one. */
const FINGERPRINT_DIGITS = 16

/**
 * Returns the fingerprint of a request: equal for requests that come again from the same caller, whatever
 * their identifier, deadline and other headers are.
 *
 * @example
 * const fingerprint = fingerprintOf(request)
 */
export function fingerprintOf ({ method, host, path, description, body }: Pick<InboundRequest, 'method' | 'host' | 'path' | 'description' | 'body'>): string {
  const hash = createHash('sha256')
  // JSON keeps the fields apart, so that no two different requests have the same input.
  hash.update(JSON.stringify([method, host, path, description.credentials ?? null]))
  hash.update(body)
  return hash.digest('hex').slice(0, FINGERPRINT_DIGITS)
}
