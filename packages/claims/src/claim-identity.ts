import { createHash } from 'node:crypto'

/** Length of a claim digest; its base64url encoding has 22 characters. */
const DIGEST_BYTES = 16

/** Characters of a fingerprint: 96 bits in base64url encoding. */
export const FINGERPRINT_LENGTH = 16

function digestOf (...parts: readonly (string | Uint8Array)[]): Buffer {
  const hash = createHash('sha256')
  // Each part is prefixed with its length, so that different splits of the same bytes have different digests.
  for (const part of parts) hash.update(`${Buffer.byteLength(part)}:`).update(part)
  return hash.digest()
}

/**
 * Returns the partition to which a caller's key belongs.
 *
 * @example
 * const stream = claimStream(claimPartition('renewal-desk', key, 64))
 */
export function claimPartition (caller: string, key: string, partitions: number): number {
  return digestOf(caller, key).readUInt32BE(0) % partitions
}

/**
 * Returns the name of a partition's stream.
 *
 * @example
 * claimStream(7) // 'claims.7'
 */
export function claimStream (partition: number): string {
  return `claims.${partition}`
}

/**
 * Returns the fingerprint of a request, which reveals the reuse of a key for a different request.
 *
 * @example
 * const fingerprint = requestFingerprint('POST', '/rollovers', body)
 */
export function requestFingerprint (method: string, path: string, body: string | Uint8Array): string {
  return digestOf(method, path, body).toString('base64url').slice(0, FINGERPRINT_LENGTH)
}

/** Returns the digest under which the fold stores a claim. It is shorter than caller and key and contains no caller data. */
export function claimDigest (caller: string, key: string): string {
  // The digest is truncated before its conversion, because a slice of the longer string would keep that string in memory.
  return digestOf('claim', caller, key).subarray(0, DIGEST_BYTES).toString('base64url')
}

/**
 * Builds a claim id. It contains the daemon's name and incarnation, because a restarted daemon has
 * no record of the claims of its earlier incarnation.
 */
export function makeClaimId (daemon: string, incarnation: string, counter: number): string {
  return `${daemon}/${incarnation}/${counter.toString(36)}`
}

export function daemonOfClaim (claimId: string): string {
  return claimId.split('/')[0] ?? ''
}
