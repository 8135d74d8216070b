import type { MemberCode } from './messages.js'

/** A leaving member that is suspect or failed has that status instead of `leaving`. */
export type MemberStatus = 'alive' | 'leaving' | 'suspect' | 'failed'

/** Status of a member according to membership messages, whether or not the VM list contains the member. */
export interface MemberRecord {
  readonly incarnation: number
  readonly code: MemberCode
  /** Stays true while a leaving member is suspect or failed, until it is alive with a higher incarnation. */
  readonly isLeaving: boolean
}

export const INITIAL_RECORD: MemberRecord = { incarnation: 0, code: 'a', isLeaving: false }

const STATUS_BY_CODE: Readonly<Record<MemberCode, MemberStatus>> = { a: 'alive', l: 'leaving', s: 'suspect', f: 'failed' }

/** Within one incarnation a more severe status replaces a less severe one. Only the member itself raises its incarnation. */
const SEVERITY: Readonly<Record<MemberCode, number>> = { a: 0, l: 1, s: 2, f: 3 }

/**
 * Returns the record after an update, or undefined when the update does not supersede it.
 *
 * @example
 * mergeRecord(INITIAL_RECORD, 's', 0) // { incarnation: 0, code: 's', isLeaving: false }
 */
export function mergeRecord (record: MemberRecord, code: MemberCode, incarnation: number): MemberRecord | undefined {
  const isSuperseding = incarnation > record.incarnation || (incarnation === record.incarnation && SEVERITY[code] > SEVERITY[record.code])
  if (!isSuperseding) return undefined
  return { incarnation, code, isLeaving: code === 'l' || (code !== 'a' && record.isLeaving) }
}

export function statusOf (record: MemberRecord): MemberStatus {
  return STATUS_BY_CODE[record.code]
}
