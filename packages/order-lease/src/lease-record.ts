import type { Milliseconds } from '@fuchsiastage/types'

/** Record of the lease topic. */
export type LeaseRecord =
  | {
    readonly kind: 'hold'
    readonly recordId: string
    readonly holder: string
    /** How long the record prevents claims by other daemons, counted from the time at which they read it. */
    readonly validForMilliseconds: Milliseconds
    /** How long the holder itself still has to wait before its first order, because orders of the previous holder may be too recent. */
    readonly quietForMilliseconds: Milliseconds
  }
  | {
    readonly kind: 'release'
    readonly recordId: string
    readonly holder: string
    /** How long the holder would have had to wait before its first order; 0 in records of earlier versions, which do not state it. */
    readonly quietForMilliseconds: Milliseconds
  }

/**
 * Decodes a record of the lease topic. Returns undefined for bytes that are not a lease record.
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
  if (kind === 'release') return { kind, recordId, holder, quietForMilliseconds: typeof quietForMilliseconds === 'number' ? quietForMilliseconds : 0 }
  if (kind !== 'hold' || typeof validForMilliseconds !== 'number' || typeof quietForMilliseconds !== 'number') return undefined
  return { kind, recordId, holder, validForMilliseconds, quietForMilliseconds }
}

export function encodeLeaseRecord (record: LeaseRecord): Buffer {
  return Buffer.from(JSON.stringify(record))
}
