import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { Milliseconds } from '@fuchsiastage/types'
import type { Result } from 'true-myth/result'

export interface KeyedRecord {
  readonly key: string
  /** Undefined when the record deletes the key. */
  readonly value: Buffer | undefined
}

/** The state of the log service that a response describes. */
export interface LogState {
  /**
   * Rises when the log service has returned to an older copy of its records, which loses the newer ones and
   * gives their offsets out again. An offset therefore holds within one era only. Absent if the service states none.
   */
  readonly era?: number
}

export type ReadOutcome<Entry> = LogState & (
  | { readonly kind: 'records', readonly entries: readonly Entry[], readonly nextOffset: number }
  /** The requested records have expired, or the service no longer has them; `firstOffset` is the first one that is retained. */
  | { readonly kind: 'expired', readonly firstOffset: number }
)

export type AppendOutcome = LogState & (
  | { readonly kind: 'appended', readonly offset: number }
  /** The end of the topic differs from the expected offset, so nothing was appended. */
  | { readonly kind: 'conflict', readonly endOffset: number }
)

export interface NewestRecords extends LogState {
  readonly records: readonly KeyedRecord[]
  /** Offset from which to read on without missing a change. */
  readonly endOffset: number
}

type Outcome<Value> = Promise<Result<Value, FuchsiastageError>>

/**
 * Client of the platform's log service. An append that fails with outcome `unknown` may have taken
 * effect, or may take effect seconds later if its condition still holds.
 */
export interface PlatformLog {
  /** Reads the newest record of each key of a keyed topic. */
  readonly readNewest: (topic: string, signal?: AbortSignal) => Outcome<NewestRecords>
  readonly readKeyed: (topic: string, from: number, waitMilliseconds: Milliseconds, signal?: AbortSignal) => Outcome<ReadOutcome<KeyedRecord>>
  readonly read: (topic: string, from: number, waitMilliseconds: Milliseconds, signal?: AbortSignal) => Outcome<ReadOutcome<Buffer>>
  /** Appends to a topic without keys; if `expectedEndOffset` is stated, only if the topic still ends there. */
  readonly append: (topic: string, value: Buffer, expectedEndOffset: number | undefined, signal?: AbortSignal) => Outcome<AppendOutcome>
  readonly appendKeyed: (topic: string, key: string, value: Buffer | undefined, signal?: AbortSignal) => Outcome<AppendOutcome>
}
