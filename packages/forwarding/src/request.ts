import type { Clock } from '@fuchsiastage/clock'
import type { ServingConfiguration, ServingRoute, ServingService, TargetKey } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'
import type { StreamPace } from './stream-pace.js'

export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** What the headers of a request for a model say. */
export interface ModelDemand {
  readonly model: string
  readonly adapter: string | undefined
  readonly promptTokens: number
  readonly maximumOutputTokens: number
  /** The parts of the prompt in order; requests share all but the last. */
  readonly promptParts: readonly PromptPart[]
}

/** What the adapter has read from the headers of a request. */
export interface RequestDescription {
  /** Identifier of this request of the client, new for each of its own retries. */
  readonly id: string
  readonly deadlineMilliseconds: Milliseconds | undefined
  readonly demand: ModelDemand | undefined
  /** The last event that the client has of a stream. */
  readonly lastEventId: string | undefined
}

/** A request that has been read completely. */
export interface InboundRequest {
  readonly method: string
  readonly host: string
  /** Path and query as the client sent them. */
  readonly path: string
  readonly rawHeaders: readonly string[]
  readonly body: Buffer
  readonly description: RequestDescription
  /** Monotonic time at which the head of the request was read. */
  readonly receivedAt: Milliseconds
  /** Aborts when the client's connection closes. */
  readonly clientGone: AbortSignal
  readonly response: ClientResponse
}

/**
 * How the client learns where the response ends. An answer that ends with its connection is passed
 * on in the same way: a target that crashed ends it too, and nobody can tell.
 */
export type ResponseFraming = 'framed' | 'until-close'

/** The client's side of a response. */
export interface ClientResponse {
  readonly hasBegun: () => boolean
  readonly begin: (status: number, rawHeaders: readonly string[], framing: ResponseFraming) => void
  /** Resolves when the client has taken enough for more to be written. */
  readonly write: (bytes: Buffer) => Promise<void>
  readonly end: () => void
  /** Breaks the connection, so that the client does not take the response for complete. */
  readonly destroy: () => void
}

/** How one send of a request ended. */
export type SendResult = 'answered' | 'not-sent' | 'not-executed' | 'failed' | 'broken' | 'cancelled'

/** One send of a request to a target, for the log line of the request. */
export interface SendNote {
  readonly target: TargetKey
  readonly result: SendResult
  readonly reason: string
  /** Milliseconds from the arrival of the request. */
  readonly at: Milliseconds
  readonly loadAge: Milliseconds | undefined
}

/** What the log line of a request tells of its way. */
export interface RequestTrace {
  version: number | undefined
  route: string | undefined
  service: string | undefined
  readonly sends: SendNote[]
  readonly pace: StreamPace
}

/** How a request ended. */
export type ForwardOutcome =
  | { readonly kind: 'delivered', readonly status: number }
  /** The response was broken off after it had begun. */
  | { readonly kind: 'broken', readonly reason: string }
  /** Not run by any target. */
  | { readonly kind: 'refused', readonly reason: string, readonly retryAfterMilliseconds: Milliseconds }
  /** May have run. */
  | { readonly kind: 'unknown', readonly status: 502 | 504, readonly reason: string }
  | { readonly kind: 'rejected', readonly status: 400 | 404 | 413, readonly reason: string }
  | { readonly kind: 'abandoned', readonly reason: string }

/** A request on its way through the chain; each filter adds what it has found out. */
export interface ForwardContext {
  readonly request: InboundRequest
  readonly trace: RequestTrace
  readonly configuration?: ServingConfiguration
  readonly route?: ServingRoute
  readonly service?: ServingService
  /** Monotonic time at which the request ends, whatever its state. */
  readonly deadlineAt?: Milliseconds
  /** Aborts when the client goes away or the deadline passes. */
  readonly signal: AbortSignal
}

export function timeLeft (context: ForwardContext, clock: Clock): Milliseconds {
  return (context.deadlineAt ?? Infinity) - clock.now()
}
