import { createHash } from 'node:crypto'

/**
 * Returns the SHA-256 digest of a customer's key, in base64: the key of `CustomerDirectory.byKeyDigest`.
 * Takes bytes, because a document is UTF-8 while Node decodes headers as Latin-1.
 *
 * @example
 * const customer = directory.byKeyDigest.get(digestCustomerKey(Buffer.from(key, 'latin1')))
 */
export function digestCustomerKey (key: Buffer): string {
  return createHash('sha256').update(key).digest('base64')
}
