import type { JsonValue } from '@fuchsiastage/types'
import { z } from 'zod'

export const SNAPSHOT_KIND = 'snapshot'

/** What every record of the system's own streams carries. */
export interface StreamRecord {
  /** Identifies the record, so that its writer finds it although the reply was lost. */
  readonly recordId: string
  readonly kind: string
  readonly formatVersion: number
  readonly [field: string]: JsonValue
}

/** Folded state through `throughOffset`, so that older records may expire. */
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
 * Reads the common fields of a record; a value without them yields `undefined` and is ignored by every fold.
 *
 * @example
 * const record = parseStreamRecord(logRecord.value)
 */
export function parseStreamRecord (value: JsonValue): StreamRecord | undefined {
  const parsed = envelope.safeParse(value)
  return parsed.success ? value as unknown as StreamRecord : undefined
}
