import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { JsonValue, Milliseconds } from '@fuchsiastage/types'
import type { Result } from 'true-myth'

export interface LogRecord {
  readonly offset: number
  readonly value: JsonValue
}

export interface AppendResult {
  readonly firstOffset: number
}

export interface ReadOptions {
  /** Maximum number of records to return. */
  readonly limit: number
  /** Maximum time that the service waits for a new record when none is available (long poll). */
  readonly waitMilliseconds: Milliseconds
}

export interface ReadResult {
  readonly records: readonly LogRecord[]
  /** Offset from which the next read continues. */
  readonly nextOffset: number
  /** Records before this offset have expired. */
  readonly oldestOffset: number
  /** Offset that the next appended record will get. */
  readonly endOffset: number
}

/**
 * The operations and guarantees that the platform's log service has to provide. Offsets are
 * consecutive within a stream, all readers see the records in the same order, and a read that starts
 * after an append was acknowledged returns the appended records. An append that fails with the outcome
 * `unknown` may have taken effect or may still take effect.
 */
export interface LogService {
  readonly append: (stream: string, values: readonly JsonValue[], signal?: AbortSignal) => Promise<Result<AppendResult, FuchsiastageError>>
  readonly read: (stream: string, fromOffset: number, options: ReadOptions, signal?: AbortSignal) => Promise<Result<ReadResult, FuchsiastageError>>
}
