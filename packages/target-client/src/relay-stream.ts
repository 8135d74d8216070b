import type { Clock } from '@fuchsiastage/clock'
import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { Milliseconds } from '@fuchsiastage/types'
import type { EngineClient } from './engine-client.js'
import type { StreamSource } from './outcomes.js'

/** The caller's side of a relayed stream. */
export interface StreamSink {
  /** Writes encoded events; false asks the relay to wait for `drained`. */
  readonly write: (text: string) => boolean
  readonly drained: () => Promise<void>
}

export interface RelaySettings {
  /** Longest time without a byte or comment line from the engine. */
  readonly silenceMilliseconds: Milliseconds
  readonly maximumResumes: number
  /** Wait before a further attempt to resume when the engine could not be reached. */
  readonly resumeDelayMilliseconds: Milliseconds
  readonly maximumEventCharacters: number
}

export interface RelayOptions {
  readonly clock: Clock
  readonly engine: Pick<EngineClient, 'resumeStream' | 'cancelStream'>
  readonly requestId: string
  readonly source: StreamSource
  readonly sink: StreamSink
  /** Aborts when the caller goes away or the deadline passes. */
  readonly signal: AbortSignal
  readonly settings: RelaySettings
  /**
   * Starts the request on another target; undefined when that is not possible. It is called
   * only while the caller has seen nothing.
   */
  readonly restart?: (reason: string) => Promise<StreamSource | undefined>
}

export interface RelayStatistics {
  readonly events: number
  readonly resumes: number
  readonly restarts: number
  readonly duplicates: number
  /** Address of the engine that served the stream last. */
  readonly address: string
}

/**
 * `failed` with `events` above zero: the error event has been written and the caller's
 * connection is to be closed without the end mark. With zero events nothing has been written.
 */
export type RelayOutcome =
  | { readonly kind: 'complete', readonly statistics: RelayStatistics }
  | { readonly kind: 'cancelled', readonly statistics: RelayStatistics }
  | { readonly kind: 'failed', readonly error: FuchsiastageError, readonly statistics: RelayStatistics }

export declare function relayStream (options: RelayOptions): Promise<RelayOutcome>
