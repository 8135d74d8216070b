import { createHash } from 'node:crypto'

/** Bytes of a claim digest; its base64url form has 22 characters. */
const DIGEST_BYTES = 16

/** Characters of base64url that hold 96 bits. */
export const FINGERPRINT_LENGTH = 16

function digestOf (...parts: readonly (string | Uint8Array)[]): Buffer {
  const hash = createHash('sha256')
  // The length before each part keeps different splits of the same bytes apart.
  for (const part of parts) hash.update(`${Buffer.byteLength(part)}:`).update(part)
  return hash.digest()
}

/**
 * Partition of the claims streams that a caller's key belongs to.
 *
 * @example
 * const stream = claimStream(claimPartition('renewal-desk', key, 64))
 */
export function claimPartition (caller: string, key: string, partitions: number): number {
  return digestOf(caller, key).readUInt32BE(0) % partitions
}

/**
 * Name of a partition's stream.
 *
 * @example
 * claimStream(7) // 'claims.7'
 */
export function claimStream (partition: number): string {
  return `claims.${partition}`
}

/**
 * Fingerprint by which a repeated key with a different request is recognised.
 *
 * @example
 * const fingerprint = requestFingerprint('POST', '/rollovers', body)
 */
export function requestFingerprint (method: string, path: string, body: string | Uint8Array): string {
  return digestOf(method, path, body).toString('base64url').slice(0, FINGERPRINT_LENGTH)
}

/** Digest under which the fold keeps a claim: shorter than caller and key, and free of caller data. */
export function claimDigest (caller: string, key: string): string {
  // Shortened before the conversion: a slice of the longer text would keep that text in memory.
  return digestOf('claim', caller, key).subarray(0, DIGEST_BYTES).toString('base64url')
}

/**
 * Builds a claim id. It names the daemon and the incarnation of its process, because a restarted
 * daemon knows nothing of the claims of its predecessor.
 */
export function makeClaimId (daemon: string, incarnation: string, counter: number): string {
  return `${daemon}/${incarnation}/${counter.toString(36)}`
}

export function daemonOfClaim (claimId: string): string {
  return claimId.split('/')[0] ?? ''
}
