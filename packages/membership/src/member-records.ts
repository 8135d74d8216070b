import type { MemberCode } from './messages.js'

/** `suspect` and `failed` go before `leaving`: a leaving member may fail, too. */
export type MemberStatus = 'alive' | 'leaving' | 'suspect' | 'failed'

/** What is known about a member from exchanges, whether or not the VM list shows it. */
export interface MemberRecord {
  readonly incarnation: number
  readonly code: MemberCode
  /** Stays set while the member is suspect, until a higher incarnation is alive. */
  readonly isLeaving: boolean
}

export const FIRST_RECORD: MemberRecord = { incarnation: 0, code: 'a', isLeaving: false }

const STATUS_BY_CODE: Readonly<Record<MemberCode, MemberStatus>> = { a: 'alive', l: 'leaving', s: 'suspect', f: 'failed' }

/** At one incarnation a worse status replaces a better one; only the member itself raises its incarnation. */
const SEVERITY: Readonly<Record<MemberCode, number>> = { a: 0, l: 1, s: 2, f: 3 }

/**
 * Returns the record after an update, or undefined when the update tells nothing new.
 *
 * @example
 * mergeRecord(FIRST_RECORD, 's', 0) // { incarnation: 0, code: 's', isLeaving: false }
 */
export function mergeRecord (record: MemberRecord, code: MemberCode, incarnation: number): MemberRecord | undefined {
  const isNewer = incarnation > record.incarnation || (incarnation === record.incarnation && SEVERITY[code] > SEVERITY[record.code])
  if (!isNewer) return undefined
  return { incarnation, code, isLeaving: code === 'l' || (code !== 'a' && record.isLeaving) }
}

export function statusOf (record: MemberRecord): MemberStatus {
  return STATUS_BY_CODE[record.code]
}
