import type { JsonValue } from '@fuchsiastage/types'
import type { StreamRecord } from './stream-record.js'

/**
 * A deterministic function from a stream's records to state. Every reader that applies the same
 * records computes the same state, so the order of records in the stream resolves conflicts between
 * its writers.
 */
export interface StreamFold<State> {
  /** Newest record format that this fold can apply. */
  readonly formatVersion: number
  readonly empty: () => State
  /** Returns the state after the record; an invalid record leaves the state unchanged. */
  readonly apply: (state: State, record: StreamRecord, offset: number) => State
  readonly encode: (state: State) => JsonValue
  readonly decode: (encoded: JsonValue) => State
}
