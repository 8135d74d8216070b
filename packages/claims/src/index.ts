/**
 * At-most-once execution by claims on idempotency keys: the fold of a claims stream, the owner of a
 * partition, and the client that a daemon uses to claim the key of a caller's request.
 */
export { keyTime, parseIdempotencyKey } from './idempotency-key.js'
export type { IdempotencyKey, KeyAgeLimits } from './idempotency-key.js'
export { claimPartition, claimStream, requestFingerprint } from './claim-identity.js'
export { countClaims, findClaim, foldClaims, isKeyExpired } from './claims-fold.js'
export type { ClaimsState, ClaimStatus, HeldClaim } from './claims-fold.js'
export { createClaimOwner } from './claim-owner.js'
export type { ClaimOwner, ClaimOwnerOptions } from './claim-owner.js'
export { createClaimClient } from './claim-client.js'
export type { ClaimClient, ClaimClientOptions, ClaimRequest, ClaimTransport } from './claim-client.js'
export { STORED_ANSWER_LIMIT_BYTES, storedAnswerSchema } from './messages.js'
export type {
  ClaimAnswer,
  ClaimMessage,
  ClaimResult,
  ClaimStateAnswer,
  StoredAnswer,
  SettleAnswer,
  SettleMessage
} from './messages.js'
