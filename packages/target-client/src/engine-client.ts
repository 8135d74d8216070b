import type { Clock } from '@fuchsiastage/clock'
import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { LoadOrder, Milliseconds, OrderOutcome, TargetState, UnloadOrder } from '@fuchsiastage/types'
import type { Result } from 'true-myth/result'
import type { CacheEvents, CompletionOutcome, CompletionRequest, ResumeOutcome } from './outcomes.js'

export interface EngineClientOptions {
  readonly clock: Clock
  readonly connectTimeoutMilliseconds: Milliseconds
  /** Bound of `readState`, `readCacheEvents` and `cancelStream`. */
  readonly stateTimeoutMilliseconds: Milliseconds
  /** Bound on the headers of a streamed or resumed answer. */
  readonly firstByteMilliseconds: Milliseconds
  readonly maximumAnswerBytes: number
}

export interface EngineClient {
  /** Reads the state of an engine or a plain service. */
  readonly readState: (address: string, signal?: AbortSignal) => Promise<Result<TargetState, FuchsiastageError>>
  /** Sends an order and waits for its end; only the signal bounds the wait. */
  readonly sendOrder: (address: string, order: LoadOrder | UnloadOrder, signal: AbortSignal) => Promise<OrderOutcome>
  readonly complete: (address: string, request: CompletionRequest, signal: AbortSignal) => Promise<CompletionOutcome>
  readonly resumeStream: (address: string, streamId: string, requestId: string, lastEventId: number, signal: AbortSignal) => Promise<ResumeOutcome>
  /** Tells whether the engine confirmed that the stream is cancelled. */
  readonly cancelStream: (address: string, streamId: string) => Promise<boolean>
  readonly readCacheEvents: (address: string, fromSequence: number, signal?: AbortSignal) => Promise<Result<CacheEvents, FuchsiastageError>>
  readonly close: () => Promise<void>
}

export declare function createEngineClient (options: EngineClientOptions): EngineClient
