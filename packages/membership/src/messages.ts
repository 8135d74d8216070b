import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { JsonValue, VmRecord } from '@fuchsiastage/types'
import type { Result } from 'true-myth/result'

/** Status codes of members on the wire: alive, leaving, suspect, failed. */
export type MemberCode = 'a' | 'l' | 's' | 'f'

/** `address` identifies the VM of a target, `incarnation` one run of the process on it. */
export type LeavingMarkKind = 'address' | 'incarnation'

/**
 * One status change: the status of a member with its incarnation, or a mark of a target as leaving.
 * Updates are tuples instead of objects because they make up most of the bytes of a message.
 */
export type MembershipUpdate =
  | readonly [code: MemberCode, member: string, incarnation: number]
  | readonly [code: 't', target: string, markKind: LeavingMarkKind, mark: string]

/** The message of a probe and of the response to it, which have the same format. */
export interface MembershipMessage {
  readonly from: string
  readonly incarnation: number
  readonly isLeaving: boolean
  readonly updates: readonly MembershipUpdate[]
  /** Data of other controllers, keyed by the name that was passed to `attachPayload`. */
  readonly payload: Readonly<Record<string, JsonValue>>
}

export interface MembershipTransport {
  readonly probe: (member: VmRecord, message: MembershipMessage, signal: AbortSignal) => Promise<Result<MembershipMessage, FuchsiastageError>>
  /** Has the member `via` probe another member; resolves to true if the probed member responded to `via`. */
  readonly probeIndirect: (via: VmRecord, member: VmRecord, signal: AbortSignal) => Promise<Result<boolean, FuchsiastageError>>
}
