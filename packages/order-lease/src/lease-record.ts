import { isSocketAddress } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'

interface WrittenRecord {
  readonly recordId: string
  readonly holder: string
  /** Era of the log service that the writer knew; absent in records of earlier versions, and if the service states none. */
  readonly era?: number
  /** What the writer's term adds to the offset of its claim; absent in records of earlier versions, which add nothing. */
  readonly termBase?: number
  /** Address at which the other daemons reach the writer; absent in records of earlier versions. */
  readonly peerAddress?: string
  /** Number of daemons of the fleet; absent in records of earlier versions, and while the writer cannot tell. */
  readonly daemonCount?: number
}

/** Record of the lease topic. */
export type LeaseRecord =
  | WrittenRecord & {
    readonly kind: 'hold'
    /** How long the record prevents claims by other daemons, counted from the time at which they read it. */
    readonly validForMilliseconds: Milliseconds
    /** How long the holder itself still has to wait before its first order, because orders of the previous holder may be too recent. */
    readonly quietForMilliseconds: Milliseconds
  }
  | WrittenRecord & {
    readonly kind: 'release'
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
  const { kind, recordId, holder, validForMilliseconds, quietForMilliseconds, era, termBase, peerAddress, daemonCount } = value as Readonly<Record<string, unknown>>
  if (typeof recordId !== 'string' || typeof holder !== 'string') return undefined
  const written: WrittenRecord = {
    recordId,
    holder,
    ...(isCount(era) ? { era } : {}),
    ...(isCount(termBase) ? { termBase } : {}),
    ...(typeof peerAddress === 'string' && isSocketAddress(peerAddress) ? { peerAddress } : {}),
    ...(isCount(daemonCount) && daemonCount > 0 ? { daemonCount } : {})
  }
  if (kind === 'release') return { kind, ...written, quietForMilliseconds: typeof quietForMilliseconds === 'number' ? quietForMilliseconds : 0 }
  if (kind !== 'hold' || typeof validForMilliseconds !== 'number' || typeof quietForMilliseconds !== 'number') return undefined
  return { kind, ...written, validForMilliseconds, quietForMilliseconds }
}

function isCount (value: unknown): value is number {
  return Number.isSafeInteger(value) && (value as number) >= 0
}

export function encodeLeaseRecord (record: LeaseRecord): Buffer {
  return Buffer.from(JSON.stringify(record))
}
