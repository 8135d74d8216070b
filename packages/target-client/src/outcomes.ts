import type { Milliseconds } from '@fuchsiastage/types'

/** Response headers with names in lower case; a repeated header is an array. */
export type AnswerHeaders = Readonly<Record<string, string | readonly string[]>>

/** Codes of refusals, with which a target states that it has not run the request. */
export type RefusalCode = 'busy' | 'leaving' | 'model-not-loaded'

/** No byte of the request was sent, for example because the connection was refused. */
export interface NotSent {
  readonly kind: 'not-sent'
  readonly reason: string
}

/** The target states that it has not run the request. */
export interface Refused {
  readonly kind: 'refused'
  readonly code: RefusalCode
  readonly retryAfterMilliseconds?: Milliseconds
}

/** The complete response was received, with any status. */
export interface Answered {
  readonly kind: 'answered'
  readonly status: number
  readonly headers: AnswerHeaders
  readonly body: Buffer
}

/** The request was sent completely or in part, and no usable response was received. */
export interface Unknown {
  readonly kind: 'unknown'
  readonly reason: string
}

/** The target responded with an event stream. */
export interface Streaming {
  readonly kind: 'streaming'
  readonly status: number
  readonly headers: AnswerHeaders
  readonly source: StreamSource
}

export type ServiceOutcome = NotSent | Refused | Answered | Unknown

export type CompletionOutcome = NotSent | Refused | Answered | Unknown | Streaming

/** Outcome of an attempt to resume a stream. `gone` means that the engine cannot resume it, so another attempt is useless. */
export type ResumeOutcome =
  | { readonly kind: 'resumed', readonly source: StreamSource }
  | { readonly kind: 'gone', readonly reason: string }
  | { readonly kind: 'failed', readonly reason: string }

/** Result of a read. `closed`: the connection failed or was aborted. `silent`: no byte arrived before the timeout. */
export type SourceChunk =
  | { readonly kind: 'bytes', readonly chunks: readonly Buffer[] }
  | { readonly kind: 'end' }
  | { readonly kind: 'closed', readonly reason: string }
  | { readonly kind: 'silent' }

/** The bytes of one streamed response, for one reader. */
export interface StreamSource {
  readonly address: string
  /** Undefined if the engine sent none; such a stream can be neither resumed nor cancelled. */
  readonly streamId: string | undefined
  /**
   * Returns everything that was received since the last read, or waits for the next bytes. The result
   * is `silent` if no byte arrives before the timeout.
   */
  readonly read: (readTimeoutMilliseconds: Milliseconds) => Promise<SourceChunk>
  /** Closes the connection; a pending read resolves with `closed`. */
  readonly abort: (reason: string) => void
}

export interface CompletionRequest {
  readonly requestId: string
  readonly path: '/v1/chat/completions' | '/v1/completions'
  /** JSON text. */
  readonly body: string | Uint8Array
  /** Whether the body requests a streamed response. */
  readonly stream: boolean
  /** Value of `X-Priority`; 0 is the highest. */
  readonly priority: number
  /** Remaining time until the caller's deadline. */
  readonly deadlineMilliseconds: Milliseconds
}

export interface ServiceRequest {
  readonly requestId: string
  readonly method: string
  /** Path and query. */
  readonly path: string
  /** Headers to relay; hop-by-hop headers are dropped. */
  readonly headers: Readonly<Record<string, string | readonly string[]>>
  readonly body?: string | Uint8Array
  /** Idempotency key of a call that must not be repeated; such a call always uses a new connection. */
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
