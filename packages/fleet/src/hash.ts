/** Offset basis and prime of the 32-bit FNV-1a hash. */
const OFFSET_BASIS = 0x811c9dc5
const PRIME = 0x01000193
const RANGE = 2 ** 32

/**
 * Hashes a string to a number that is uniformly distributed in [0, 1) and the same in every process.
 *
 * @example
 * const position = hashToUnitInterval('9c41d07be2a35f68')
 */
export function hashToUnitInterval (text: string): number {
  let hash = OFFSET_BASIS
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), PRIME)
  }
  // FNV-1a alone gives strings that differ only in the last character similar values; this finaliser
  // (that of MurmurHash3) spreads them over the whole range.
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b)
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35)
  return ((hash ^ (hash >>> 16)) >>> 0) / RANGE
}
