import type { JsonValue } from '@fuchsiastage/types'
import { z } from 'zod'

export const SNAPSHOT_KIND = 'snapshot'

/** Fields that all records in the streams of this system have in common. */
export interface StreamRecord {
  /** Unique id by which the writer finds its record in the stream when the response to the append was lost. */
  readonly recordId: string
  readonly kind: string
  readonly formatVersion: number
  readonly [field: string]: JsonValue
}

/** The folded state up to and including `throughOffset`, which allows the records it covers to expire. */
export interface SnapshotRecord extends StreamRecord {
  readonly kind: typeof SNAPSHOT_KIND
  readonly throughOffset: number
  readonly state: JsonValue
}

const envelope = z.looseObject({
  recordId: z.string().min(1),
  kind: z.string().min(1),
  formatVersion: z.number().int().positive()
})

/**
 * Checks the common fields of a record. Returns undefined for a value without them, which all folds ignore.
 *
 * @example
 * const record = parseStreamRecord(logRecord.value)
 */
export function parseStreamRecord (value: JsonValue): StreamRecord | undefined {
  const parsed = envelope.safeParse(value)
  return parsed.success ? value as unknown as StreamRecord : undefined
}
