import type { Milliseconds } from '@fuchsiastage/types'

/** Header names are in lower case; a repeated header is an array. */
export type AnswerHeaders = Readonly<Record<string, string | readonly string[]>>

/** Codes with which a target says that it has run nothing. */
export type RefusalCode = 'busy' | 'leaving' | 'model-not-loaded'

/** No byte was written to a connection, for example because the connection was refused. */
export interface NotSent {
  readonly kind: 'not-sent'
  readonly reason: string
}

/** The target itself says that it has run nothing. */
export interface Refused {
  readonly kind: 'refused'
  readonly code: RefusalCode
  readonly retryAfterMilliseconds?: Milliseconds
}

/** The whole answer was received, whatever its status is. */
export interface Answered {
  readonly kind: 'answered'
  readonly status: number
  readonly headers: AnswerHeaders
  readonly body: Buffer
}

/** The request was sent in part or in whole, and no usable answer was received. */
export interface Unknown {
  readonly kind: 'unknown'
  readonly reason: string
}

/** The target answers with a stream of events. */
export interface Streaming {
  readonly kind: 'streaming'
  readonly status: number
  readonly headers: AnswerHeaders
  readonly source: StreamSource
}

export type ServiceOutcome = NotSent | Refused | Answered | Unknown

export type CompletionOutcome = NotSent | Refused | Answered | Unknown | Streaming

/** Answer to an attempt to resume a stream. `gone`: the engine cannot resume it. */
export type ResumeOutcome =
  | { readonly kind: 'resumed', readonly source: StreamSource }
  | { readonly kind: 'gone', readonly reason: string }
  | { readonly kind: 'failed', readonly reason: string }

/** What arrived since the last read. `closed`: the connection broke or was cut. */
export type SourceChunk =
  | { readonly kind: 'bytes', readonly chunks: readonly Buffer[] }
  | { readonly kind: 'end' }
  | { readonly kind: 'closed', readonly reason: string }
  | { readonly kind: 'silent' }

/** The bytes of one streamed answer, read by one reader. */
export interface StreamSource {
  readonly address: string
  /** Missing when the engine named none; such a stream can be neither resumed nor cancelled. */
  readonly streamId: string | undefined
  /**
   * Everything received since the last read, or the next bytes. The answer is `silent` when
   * the connection stays without a byte for the given time while the reader waits.
   */
  readonly read: (silenceMilliseconds: Milliseconds) => Promise<SourceChunk>
  /** Closes the connection; a waiting read ends with `closed`. */
  readonly abort: (reason: string) => void
}

export interface CompletionRequest {
  readonly requestId: string
  readonly path: '/v1/chat/completions' | '/v1/completions'
  /** Encoded JSON. */
  readonly body: string | Uint8Array
  /** Whether the body asks for a streamed answer. */
  readonly stream: boolean
  /** Value of `X-Priority`; 0 is the highest. */
  readonly priority: number
  /** Time left until the caller's deadline. */
  readonly deadlineMilliseconds: Milliseconds
}

export interface ServiceRequest {
  readonly requestId: string
  readonly method: string
  /** Path and query. */
  readonly path: string
  /** Headers to relay; those that belong to one connection are dropped. */
  readonly headers: Readonly<Record<string, string | readonly string[]>>
  readonly body?: string | Uint8Array
  /** Set for calls that must not be repeated; they always use a new connection. */
  readonly idempotencyKey?: string
  readonly timeoutMilliseconds: Milliseconds
}

export interface CacheEvent {
  readonly sequence: number
  readonly model: string
  readonly prefix: string
  readonly kind: 'stored' | 'evicted'
}

export interface CacheEvents {
  readonly events: readonly CacheEvent[]
  readonly nextSequence: number
}
