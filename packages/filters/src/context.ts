import type { Clock } from '@fuchsiastage/clock'
import type { NamedCaller } from '@fuchsiastage/configuration'
import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { Logger } from '@fuchsiastage/logger'
import type { RouteKey } from '@fuchsiastage/routing'
import type { StreamSink } from '@fuchsiastage/target-client'
import type { ConfigurationDocument, Milliseconds } from '@fuchsiastage/types'
import type { Result } from 'true-myth'

/** A request as the HTTP server received it. */
export interface IncomingRequest {
  readonly method: string
  /** Path and query. */
  readonly url: string
  /** Header names in lower case. */
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>
  /** Reads the complete body; the error is `body-too-large` or `cancelled`. */
  readonly readBody: (maximumBytes: number) => Promise<Result<Buffer, FuchsiastageError>>
  /** Sends the status line and headers of a streamed response; the returned sink writes its events. */
  readonly openStream: (status: number, headers: Readonly<Record<string, string>>) => StreamSink
  /** Aborts when the caller's connection closes. */
  readonly signal: AbortSignal
}

export interface CompletionRoute {
  readonly kind: 'completion'
  readonly path: '/v1/chat/completions' | '/v1/completions'
  /** Name of a model or an adapter. */
  readonly model: string
  readonly stream: boolean
  readonly body: Buffer
  /** Hash of the first characters of the prompt, for routing by cached prefix. */
  readonly prefix: string
}

export interface ServiceRoute {
  readonly kind: 'service'
  readonly service: string
  /** Path and query after the prefix of the service. */
  readonly path: string
  readonly body: Buffer
  /** Idempotency key of a call that must not be repeated; undefined for idempotent calls. */
  readonly idempotencyKey: string | undefined
}

export type Route = CompletionRoute | ServiceRoute

/** Context of a request; each filter passes a context with its own results to the next one. */
export interface RequestContext {
  readonly id: string
  readonly incoming: IncomingRequest
  readonly receivedAt: Milliseconds
  readonly logger: Logger
  readonly caller?: NamedCaller
  readonly route?: Route
  /** Time of the deadline on the daemon's monotonic clock. */
  readonly deadline?: Milliseconds
  /** Aborts when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal
  readonly claimId?: string
}

/** Result of the filter chain. A `streamed` answer has already been written to the stream sink. */
export type Answer =
  | { readonly kind: 'plain'; readonly status: number; readonly headers: Readonly<Record<string, string>>; readonly body: Buffer }
  | { readonly kind: 'problem'; readonly error: FuchsiastageError }
  | { readonly kind: 'streamed'; readonly complete: boolean }

export type NextFilter = (context: RequestContext) => Promise<Answer>

export type Filter = (context: RequestContext, next: NextFilter) => Promise<Answer>

/** Response to the request to load a replica of a model. */
export type ReplicaExpectation =
  | { readonly kind: 'expected'; readonly readyInMilliseconds: Milliseconds }
  | { readonly kind: 'refused'; readonly error: FuchsiastageError }

export interface RequestedReplica {
  readonly model: string
  readonly deadlineMilliseconds: Milliseconds
  readonly priority: NamedCaller['priority']
  readonly request: string
}

/** The part of model placement that the filters use. */
export interface PlacementView {
  /** Whether a loaded replica is known to which this daemon may currently route. */
  readonly hasReplica: (model: string) => boolean
  /** Ids of the orders that loaded the known replicas of the model; they are logged so that the timeline can link request and order. */
  readonly ordersOf: (model: string) => readonly string[]
  /** Requests a replica of the model; resolves with the expected time until it is loaded, without waiting for it. */
  readonly wantReplica: (requested: RequestedReplica, signal: AbortSignal) => Promise<ReplicaExpectation>
  /** Resolves to true when a replica is loaded, and to false when the signal aborts first. */
  readonly waitForReplica: (model: string, signal: AbortSignal) => Promise<boolean>
  /** Records the start or end of a request, to measure the demand for the model. */
  readonly recordUse: (model: string, change: 'begin' | 'end') => void
}

/** The part of the configuration that the filters use. */
export interface ConfigurationView {
  readonly document: () => ConfigurationDocument
  readonly version: () => number
  /** Returns an error with the reason when the configuration may be out of date and must not be used. */
  readonly checkFresh: () => Result<void, FuchsiastageError>
}

export function routeKeyOf (route: Route): RouteKey {
  return route.kind === 'completion' ? `model/${route.model}` : `service/${route.service}`
}

/** Remaining time until the deadline of the request. */
export function timeLeft (context: RequestContext, clock: Clock): Milliseconds {
  return (context.deadline ?? clock.now()) - clock.now()
}
