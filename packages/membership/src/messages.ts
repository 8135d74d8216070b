import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { JsonValue, VmRecord } from '@fuchsiastage/types'
import type { Result } from 'true-myth/result'

/** Status codes of members on the wire: alive, leaving, suspect, failed. */
export type MemberCode = 'a' | 'l' | 's' | 'f'

/** `address` identifies a target's VM, `incarnation` a process on it. */
export type LeavingMarkKind = 'address' | 'incarnation'

/**
 * One status change. Arrays instead of objects, because updates make up most of a message:
 * a member's status with its incarnation, or a leaving target.
 */
export type MembershipUpdate =
  | readonly [code: MemberCode, member: string, incarnation: number]
  | readonly [code: 't', target: string, markKind: LeavingMarkKind, mark: string]

/** A probe and the answer to it have the same form. */
export interface MembershipMessage {
  readonly from: string
  readonly incarnation: number
  readonly isLeaving: boolean
  readonly updates: readonly MembershipUpdate[]
  /** Data of other controllers, by the name under which each attached itself. */
  readonly payload: Readonly<Record<string, JsonValue>>
}

export interface MembershipTransport {
  readonly probe: (member: VmRecord, message: MembershipMessage, signal: AbortSignal) => Promise<Result<MembershipMessage, FuchsiastageError>>
  /** Asks one member to probe another; resolves true when that one answered. */
  readonly probeIndirect: (via: VmRecord, member: VmRecord, signal: AbortSignal) => Promise<Result<boolean, FuchsiastageError>>
}
