import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { Milliseconds, RequestOutcome } from '@fuchsiastage/types'
import { z } from 'zod'

/** Response of a target that is stored and replayed to repeated calls with the same key. */
export const storedAnswerSchema = z.object({
  status: z.number().int(),
  headers: z.record(z.string(), z.string()),
  body: z.string()
})

export type StoredAnswer = Readonly<z.infer<typeof storedAnswerSchema>>

/** Limit on `storedAnswerBytes`. Larger responses are not stored; a repeated call then receives `already-done`. */
export const STORED_ANSWER_LIMIT_BYTES = 8 * 1024

/**
 * Returns the size of the headers and body of a stored answer, which counts towards the limits.
 *
 * @example
 * if (storedAnswerBytes(answer) > STORED_ANSWER_LIMIT_BYTES) return undefined
 */
export function storedAnswerBytes (answer: StoredAnswer): number {
  const headerBytes = Object.entries(answer.headers).reduce((sum, [name, value]) => sum + Buffer.byteLength(name) + Buffer.byteLength(value), 0)
  return headerBytes + Buffer.byteLength(answer.body)
}

/** tRPC procedure `claim`, called on the partition's owner by the daemon that received the caller's request. */
export interface ClaimMessage {
  readonly caller: string
  readonly key: string
  readonly fingerprint: string
  readonly claimId: string
  /** Maximum time that the owner may spend on this message; the client repeats it until the caller's deadline. */
  readonly waitMilliseconds: Milliseconds
}

/**
 * Answer of the owner. `not-yet`: the client must repeat the message with the same claim id;
 * `isHeld` states that another claim holds the key and is not settled yet. After `granted`, `not-yet`
 * or a failed message, the claim may be in the stream. After any other answer it is not in the
 * stream, and this message will not add it.
 */
export type ClaimAnswer =
  | { readonly kind: 'granted', readonly claimId: string }
  | { readonly kind: 'replay', readonly answer: StoredAnswer }
  | { readonly kind: 'already-done' }
  | { readonly kind: 'mismatch' }
  | { readonly kind: 'unknown', readonly reason: string }
  | { readonly kind: 'refused', readonly code: string, readonly reason: string }
  | { readonly kind: 'not-yet', readonly isHeld: boolean }
  | { readonly kind: 'not-owner', readonly holder?: string }

/** tRPC procedure `settleClaim`: reports the outcome of the call of a claim to the owner. */
export interface SettleMessage {
  readonly caller: string
  readonly key: string
  readonly claimId: string
  readonly outcome: RequestOutcome
  readonly answer?: StoredAnswer
}

export type SettleAnswer =
  | { readonly kind: 'confirmed' }
  | { readonly kind: 'undecided' }
  | { readonly kind: 'not-owner', readonly holder?: string }

/**
 * Answer of the tRPC procedure `claimState`: the state of a claim according to the daemon named in
 * its id. `not-sent` is final: the daemon has given up the claim. `unknown`: the running
 * incarnation of the daemon has no record of the claim.
 */
export type ClaimStateAnswer =
  | { readonly kind: 'not-sent' }
  | { readonly kind: 'in-flight' }
  | { readonly kind: 'settled', readonly outcome: RequestOutcome, readonly answer?: StoredAnswer }
  | { readonly kind: 'unknown' }

/** Result of a claim for the filter chain; every kind except `granted` and `replay` contains the error for the caller. */
export type ClaimResult =
  | { readonly kind: 'granted', readonly claimId: string }
  | { readonly kind: 'replay', readonly answer: StoredAnswer }
  | { readonly kind: 'already-done', readonly error: FuchsiastageError }
  | { readonly kind: 'mismatch', readonly error: FuchsiastageError }
  | { readonly kind: 'unknown', readonly error: FuchsiastageError }
  | { readonly kind: 'refused', readonly error: FuchsiastageError }
