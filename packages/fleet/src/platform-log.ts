import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { Milliseconds } from '@fuchsiastage/types'
import type { Result } from 'true-myth/result'

export interface KeyedRecord {
  readonly key: string
  /** Absent when the key was dropped. */
  readonly value: Buffer | undefined
}

export type ReadOutcome<Entry> =
  | { readonly kind: 'records', readonly entries: readonly Entry[], readonly nextOffset: number }
  /** The records asked for have expired. */
  | { readonly kind: 'expired', readonly firstOffset: number }

export type AppendOutcome =
  | { readonly kind: 'appended', readonly offset: number }
  /** The topic ended elsewhere than expected, so nothing was appended. */
  | { readonly kind: 'conflict', readonly endOffset: number }

export interface NewestRecords {
  readonly records: readonly KeyedRecord[]
  /** Reading on from here misses no change. */
  readonly endOffset: number
}

type Outcome<Value> = Promise<Result<Value, FuchsiastageError>>

/**
 * The platform's log service. An append that fails with outcome `unknown` may have taken effect, or
 * may take effect seconds later if its condition still holds.
 */
export interface PlatformLog {
  /** Newest record of each key of a keyed topic. */
  readonly readNewest: (topic: string, signal?: AbortSignal) => Outcome<NewestRecords>
  readonly readKeyed: (topic: string, from: number, waitMilliseconds: Milliseconds, signal?: AbortSignal) => Outcome<ReadOutcome<KeyedRecord>>
  readonly read: (topic: string, from: number, waitMilliseconds: Milliseconds, signal?: AbortSignal) => Outcome<ReadOutcome<Buffer>>
  /** Appends to a plain topic, on the condition that it ends at the offset. */
  readonly append: (topic: string, value: Buffer, expectedEndOffset: number, signal?: AbortSignal) => Outcome<AppendOutcome>
  readonly appendKeyed: (topic: string, key: string, value: Buffer | undefined, signal?: AbortSignal) => Outcome<AppendOutcome>
}
