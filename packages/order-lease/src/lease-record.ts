import type { Milliseconds } from '@fuchsiastage/types'

/** One record of the lease topic. */
export type LeaseRecord =
  | {
    readonly kind: 'hold'
    readonly recordId: string
    readonly holder: string
    /** For how long the record keeps others from claiming, from the moment at which they read it. */
    readonly validForMilliseconds: Milliseconds
    /** How long the holder itself still waits for the orders of the holder before to lie back far enough. */
    readonly quietForMilliseconds: Milliseconds
  }
  | { readonly kind: 'release', readonly recordId: string, readonly holder: string }

/**
 * Reads a record of the lease topic; undefined for bytes that are no such record.
 *
 * @example
 * const record = decodeLeaseRecord(bytes)
 */
export function decodeLeaseRecord (bytes: Buffer): LeaseRecord | undefined {
  let value: unknown
  try {
    value = JSON.parse(bytes.toString('utf8'))
  } catch {
    return undefined
  }
  if (typeof value !== 'object' || value === null) return undefined
  const { kind, recordId, holder, validForMilliseconds, quietForMilliseconds } = value as Readonly<Record<string, unknown>>
  if (typeof recordId !== 'string' || typeof holder !== 'string') return undefined
  if (kind === 'release') return { kind, recordId, holder }
  if (kind !== 'hold' || typeof validForMilliseconds !== 'number' || typeof quietForMilliseconds !== 'number') return undefined
  return { kind, recordId, holder, validForMilliseconds, quietForMilliseconds }
}

export function encodeLeaseRecord (record: LeaseRecord): Buffer {
  return Buffer.from(JSON.stringify(record))
}
