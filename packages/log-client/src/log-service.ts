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
  readonly limit: number
  /** How long the service may wait for a record when there is none yet. */
  readonly waitMilliseconds: Milliseconds
}

export interface ReadResult {
  readonly records: readonly LogRecord[]
  /** Where to read on. */
  readonly nextOffset: number
  /** Records before this offset are gone. */
  readonly oldestOffset: number
  /** Offset that the next appended record gets. */
  readonly endOffset: number
}

/**
 * All that the platform's log service must offer. Offsets are consecutive within a stream, all
 * readers see one order, and a read that starts after an append was acknowledged shows it.
 * An append that fails with outcome `unknown` may have taken effect or may still take effect.
 */
export interface LogService {
  readonly append: (stream: string, values: readonly JsonValue[], signal?: AbortSignal) => Promise<Result<AppendResult, FuchsiastageError>>
  readonly read: (stream: string, fromOffset: number, options: ReadOptions, signal?: AbortSignal) => Promise<Result<ReadResult, FuchsiastageError>>
}
