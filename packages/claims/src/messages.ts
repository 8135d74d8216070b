import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { Milliseconds, RequestOutcome } from '@fuchsiastage/types'
import { z } from 'zod'

/** Answer of a target that is kept for repeated calls with the same key. */
export const keptAnswerSchema = z.object({
  status: z.number().int(),
  headers: z.record(z.string(), z.string()),
  body: z.string()
})

export type KeptAnswer = Readonly<z.infer<typeof keptAnswerSchema>>

/** Larger answers are not kept; a repeated call then gets `already-done`. */
export const KEPT_ANSWER_LIMIT_BYTES = 8 * 1024

/**
 * Size of an answer as it counts against the limits of kept answers.
 *
 * @example
 * if (keptAnswerBytes(answer) > KEPT_ANSWER_LIMIT_BYTES) return undefined
 */
export function keptAnswerBytes (answer: KeptAnswer): number {
  const headerBytes = Object.entries(answer.headers).reduce((sum, [name, value]) => sum + Buffer.byteLength(name) + Buffer.byteLength(value), 0)
  return headerBytes + Buffer.byteLength(answer.body)
}

/** trpc `claim`: from a daemon with a caller's request to the owner of the partition. */
export interface ClaimMessage {
  readonly caller: string
  readonly key: string
  readonly fingerprint: string
  readonly claimId: string
  /** How long the owner may work on this message; the daemon asks again while its deadline permits. */
  readonly waitMilliseconds: Milliseconds
}

/**
 * Answer of the owner. `not-yet`: ask again with the same claim id; `isHeld` tells that another
 * claim holds the key and its call is in flight. After `granted`, `not-yet` or a failed call the claim
 * may be in the stream; after any other answer it is not there and this call will not put it there.
 */
export type ClaimAnswer =
  | { readonly kind: 'granted', readonly claimId: string }
  | { readonly kind: 'replay', readonly answer: KeptAnswer }
  | { readonly kind: 'already-done' }
  | { readonly kind: 'mismatch' }
  | { readonly kind: 'unknown', readonly reason: string }
  | { readonly kind: 'refused', readonly code: string, readonly reason: string }
  | { readonly kind: 'not-yet', readonly isHeld: boolean }
  | { readonly kind: 'not-owner', readonly holder?: string }

/** trpc `settleClaim`. */
export interface SettleMessage {
  readonly caller: string
  readonly key: string
  readonly claimId: string
  readonly outcome: RequestOutcome
  readonly answer?: KeptAnswer
}

export type SettleAnswer =
  | { readonly kind: 'confirmed' }
  | { readonly kind: 'undecided' }
  | { readonly kind: 'not-owner', readonly holder?: string }

/**
 * trpc `claimState`: what the daemon named in a claim says about it. `not-sent` is final: the
 * daemon has given the claim up. `unknown`: this process has no record of the claim.
 */
export type ClaimStateAnswer =
  | { readonly kind: 'not-sent' }
  | { readonly kind: 'in-flight' }
  | { readonly kind: 'settled', readonly outcome: RequestOutcome, readonly answer?: KeptAnswer }
  | { readonly kind: 'unknown' }

/** Result for the filter chain; every kind but `granted` and `replay` carries the caller's error. */
export type ClaimResult =
  | { readonly kind: 'granted', readonly claimId: string }
  | { readonly kind: 'replay', readonly answer: KeptAnswer }
  | { readonly kind: 'already-done', readonly error: FuchsiastageError }
  | { readonly kind: 'mismatch', readonly error: FuchsiastageError }
  | { readonly kind: 'unknown', readonly error: FuchsiastageError }
  | { readonly kind: 'refused', readonly error: FuchsiastageError }
