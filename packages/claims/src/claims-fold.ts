import type { EpochRecord, PayloadFold, AuthorStatus } from '@fuchsiastage/leased-stream'
import type { JsonValue, Milliseconds } from '@fuchsiastage/types'
import { z } from 'zod'
import { claimDigest, FINGERPRINT_LENGTH } from './claim-identity.js'
import { keyTime } from './idempotency-key.js'
import { STORED_ANSWER_LIMIT_BYTES, storedAnswerBytes, storedAnswerSchema, type StoredAnswer } from './messages.js'

export const BATCH_KIND = 'batch'

const claimEntry = z.object({
  kind: z.literal('claim'),
  caller: z.string().min(1),
  key: z.string(),
  claimId: z.string().min(1),
  fingerprint: z.string().length(FINGERPRINT_LENGTH)
})
const settlementEntry = z.object({
  kind: z.literal('settlement'),
  caller: z.string().min(1),
  key: z.string(),
  claimId: z.string().min(1),
  outcome: z.enum(['done', 'not-run', 'unknown']),
  answer: storedAnswerSchema.optional()
})
const batchRecord = z.looseObject({
  kind: z.literal(BATCH_KIND),
  epoch: z.number().int(),
  sequence: z.number().int().positive(),
  retentionMilliseconds: z.number().positive(),
  entries: z.array(z.discriminatedUnion('kind', [claimEntry, settlementEntry]))
})

export type ClaimEntry = Readonly<z.infer<typeof claimEntry>>
export type SettlementEntry = Readonly<z.infer<typeof settlementEntry>>
export type BatchEntry = ClaimEntry | SettlementEntry

/** `unsettled`: the call may be waiting for its grant, be in flight, or have been lost when its daemon failed. */
export type ClaimStatus = 'unsettled' | 'done' | 'unknown'

export interface HeldClaim {
  readonly claimId: string
  readonly fingerprint: string
  readonly status: ClaimStatus
  readonly answer?: StoredAnswer
}

/** Claims whose key timestamps fall into the same time bucket. */
interface ClaimBucket {
  /** By claim digest: status character, fingerprint and claim id, joined in one string, which uses less memory than an object. */
  readonly rows: ReadonlyMap<string, string>
  /** Stored answers by claim digest. */
  readonly answers: ReadonlyMap<string, StoredAnswer>
}

export interface ClaimsState {
  /** Epoch and sequence number of the newest applied batch. */
  readonly epoch: number
  readonly sequence: number
  /** Newest timestamp in any key of the stream. */
  readonly newestKeyTime: Milliseconds
  /** Index of the oldest stored bucket. Claims in older buckets have expired, and their keys can no longer be claimed. */
  readonly oldestBucket: number
  /** Total size of the stored answers. */
  readonly answerBytes: number
  readonly buckets: ReadonlyMap<number, ClaimBucket>
}

/** Time span of a bucket. A batch copies only the buckets that it changes, and expiry deletes whole buckets. */
const BUCKET_MILLISECONDS = 30_000

/** Limit on the total size of the stored answers of a partition. Above it the oldest are deleted, and repeated calls receive `already-done`. */
const PARTITION_ANSWERS_LIMIT_BYTES = 4 * 1024 * 1024

const STATUS_CODES = { unsettled: 'u', done: 'd', unknown: 'x' } as const
const STATUS_BY_CODE: Readonly<Record<string, ClaimStatus>> = { u: 'unsettled', d: 'done', x: 'unknown' }
/** Length of a claim digest in base64url encoding. */
const DIGEST_CHARACTERS = 22

const encodedState = z.object({
  epoch: z.number().int(),
  sequence: z.number().int(),
  newestKeyTime: z.number(),
  oldestBucket: z.number().int(),
  buckets: z.array(z.tuple([z.number().int(), z.array(z.string()), z.array(z.tuple([z.string(), storedAnswerSchema]))]))
})

const EMPTY_STATE: ClaimsState = { epoch: 0, sequence: 0, newestKeyTime: 0, oldestBucket: 0, answerBytes: 0, buckets: new Map() }

/** Mutable copy of the parts of a state that a batch changes. */
interface Draft {
  newestKeyTime: Milliseconds
  oldestBucket: number
  answerBytes: number
  readonly buckets: Map<number, ClaimBucket>
  /** The buckets in `buckets` that this draft has already copied. */
  readonly copiedBuckets: Map<number, { readonly rows: Map<string, string>, readonly answers: Map<string, StoredAnswer> }>
}

function bucketOf (time: Milliseconds): number {
  return Math.floor(time / BUCKET_MILLISECONDS)
}

function encodeRow (status: ClaimStatus, fingerprint: string, claimId: string): string {
  // The conversion produces one flat string; a concatenated string would keep references to its parts.
  return Buffer.from(STATUS_CODES[status] + fingerprint + claimId, 'utf8').toString('utf8')
}

function decodeRow (row: string): HeldClaim {
  return {
    status: STATUS_BY_CODE[row.charAt(0)] ?? 'unknown',
    fingerprint: row.slice(1, 1 + FINGERPRINT_LENGTH),
    claimId: row.slice(1 + FINGERPRINT_LENGTH)
  }
}

/**
 * Returns the claim that holds a key.
 *
 * @example
 * const held = findClaim(state, 'renewal-desk', key)
 */
export function findClaim (state: ClaimsState, caller: string, key: string): HeldClaim | undefined {
  const time = keyTime(key)
  const bucket = time === undefined ? undefined : state.buckets.get(bucketOf(time))
  if (bucket === undefined) return undefined
  const digest = claimDigest(caller, key)
  const row = bucket.rows.get(digest)
  if (row === undefined) return undefined
  const answer = bucket.answers.get(digest)
  return answer === undefined ? decodeRow(row) : { ...decodeRow(row), answer }
}

/**
 * Returns whether claims with the key's timestamp have expired, in which case the key can no longer be claimed.
 * Also true for a key that is not a UUID of version 7.
 *
 * @example
 * if (isKeyExpired(state, key)) return refuse('idempotency-key-expired')
 */
export function isKeyExpired (state: ClaimsState, key: string): boolean {
  const time = keyTime(key)
  return time === undefined || bucketOf(time) < state.oldestBucket
}

export function countClaims (state: ClaimsState): number {
  return [...state.buckets.values()].reduce((sum, bucket) => sum + bucket.rows.size, 0)
}

function editBucket (draft: Draft, index: number): { readonly rows: Map<string, string>, readonly answers: Map<string, StoredAnswer> } {
  let bucket = draft.copiedBuckets.get(index)
  if (bucket === undefined) {
    const current = draft.buckets.get(index)
    bucket = { rows: new Map(current?.rows), answers: new Map(current?.answers) }
    draft.copiedBuckets.set(index, bucket)
    draft.buckets.set(index, bucket)
  }
  return bucket
}

/** Deletes expired buckets. Expiry depends on the newest timestamp in the keys, so all readers expire the same buckets. */
function expire (draft: Draft, retentionMilliseconds: Milliseconds): void {
  const oldest = bucketOf(draft.newestKeyTime - retentionMilliseconds)
  if (oldest <= draft.oldestBucket) return
  draft.oldestBucket = oldest
  for (const [index, bucket] of draft.buckets) {
    if (index >= oldest) continue
    draft.buckets.delete(index)
    for (const answer of bucket.answers.values()) draft.answerBytes -= storedAnswerBytes(answer)
  }
}

function applyClaim (draft: Draft, entry: ClaimEntry, retentionMilliseconds: Milliseconds): void {
  const time = keyTime(entry.key)
  // An earlier claim on a key of an expired bucket may have been deleted, so such a key must not be claimed again.
  if (time === undefined || bucketOf(time) < draft.oldestBucket) return
  draft.newestKeyTime = Math.max(draft.newestKeyTime, time)
  expire(draft, retentionMilliseconds)
  const digest = claimDigest(entry.caller, entry.key)
  if (draft.buckets.get(bucketOf(time))?.rows.has(digest) === true) return
  editBucket(draft, bucketOf(time)).rows.set(digest, encodeRow('unsettled', entry.fingerprint, entry.claimId))
}

function applySettlement (draft: Draft, entry: SettlementEntry): void {
  const time = keyTime(entry.key)
  if (time === undefined) return
  const digest = claimDigest(entry.caller, entry.key)
  const row = draft.buckets.get(bucketOf(time))?.rows.get(digest)
  if (row === undefined) return
  const held = decodeRow(row)
  if (held.claimId !== entry.claimId || held.status !== 'unsettled') return
  const bucket = editBucket(draft, bucketOf(time))
  if (entry.outcome === 'not-run') {
    bucket.rows.delete(digest)
    return
  }
  bucket.rows.set(digest, encodeRow(entry.outcome, held.fingerprint, held.claimId))
  if (entry.outcome !== 'done' || entry.answer === undefined) return
  const bytes = storedAnswerBytes(entry.answer)
  if (bytes > STORED_ANSWER_LIMIT_BYTES) return
  bucket.answers.set(digest, entry.answer)
  draft.answerBytes += bytes
}

function dropOldestAnswers (draft: Draft): void {
  if (draft.answerBytes <= PARTITION_ANSWERS_LIMIT_BYTES) return
  for (const index of [...draft.buckets.keys()].sort((left, right) => left - right)) {
    for (const [digest, answer] of draft.buckets.get(index)?.answers ?? []) {
      if (draft.answerBytes <= PARTITION_ANSWERS_LIMIT_BYTES) return
      editBucket(draft, index).answers.delete(digest)
      draft.answerBytes -= storedAnswerBytes(answer)
    }
  }
}

function applyBatch (state: ClaimsState, record: EpochRecord, authorStatus: AuthorStatus): ClaimsState {
  if (authorStatus !== 'current' || record.kind !== BATCH_KIND) return state
  const parsed = batchRecord.safeParse(record)
  if (!parsed.success) return state
  const { epoch, sequence, retentionMilliseconds, entries } = parsed.data
  // A duplicate or delayed append of a batch must not claim keys again that have been freed since.
  if (epoch === state.epoch && sequence <= state.sequence) return state
  const draft: Draft = {
    newestKeyTime: state.newestKeyTime,
    oldestBucket: state.oldestBucket,
    answerBytes: state.answerBytes,
    buckets: new Map(state.buckets),
    copiedBuckets: new Map()
  }
  for (const entry of entries) {
    if (entry.kind === 'claim') applyClaim(draft, entry, retentionMilliseconds)
    else applySettlement(draft, entry)
  }
  dropOldestAnswers(draft)
  for (const [index, { rows }] of draft.copiedBuckets) {
    if (rows.size === 0) draft.buckets.delete(index)
  }
  const { newestKeyTime, oldestBucket, answerBytes, buckets } = draft
  return { epoch, sequence, newestKeyTime, oldestBucket, answerBytes, buckets }
}

function encode (state: ClaimsState): JsonValue {
  const buckets = [...state.buckets]
    .sort(([left], [right]) => left - right)
    .map(([index, { rows, answers }]) => [
      index,
      [...rows].map(([digest, row]) => digest + row),
      [...answers].map(([digest, { status, headers, body }]) => [digest, { status, headers, body }])
    ])
  const { epoch, sequence, newestKeyTime, oldestBucket } = state
  return { epoch, sequence, newestKeyTime, oldestBucket, buckets }
}

/** Separates a digest from its row. Slices would keep the joined string in memory, so both parts are converted from bytes. */
function splitRow (joined: string): readonly [string, string] {
  const bytes = Buffer.from(joined, 'utf8')
  return [bytes.toString('utf8', 0, DIGEST_CHARACTERS), bytes.toString('utf8', DIGEST_CHARACTERS)]
}

function decode (encoded: JsonValue): ClaimsState {
  const { buckets: encodedBuckets, ...counters } = encodedState.parse(encoded)
  const buckets = new Map<number, ClaimBucket>()
  let answerBytes = 0
  for (const [index, rows, answers] of encodedBuckets) {
    buckets.set(index, {
      rows: new Map(rows.map(splitRow)),
      answers: new Map(answers)
    })
    for (const [, answer] of answers) answerBytes += storedAnswerBytes(answer)
  }
  return { ...counters, answerBytes, buckets }
}

/**
 * Fold of a claims stream. The first claim on a key wins. A settlement is valid only for the claim
 * that holds the key; `done` and `unknown` are final, and `not-run` frees the key. Safety does not
 * depend on any clock: when a claim expires, keys with its timestamp can no longer be claimed.
 *
 * @example
 * const stream = createLeasedStream({ stream: claimStream(7), fold: foldClaims, ...rest })
 */
export const foldClaims: PayloadFold<ClaimsState> = {
  formatVersion: 1,
  empty: () => EMPTY_STATE,
  apply: (state, record, offset, authorStatus) => applyBatch(state, record, authorStatus),
  encode,
  decode
}
