import type { Clock } from '@fuchsiastage/clock'
import type { NamedCaller } from '@fuchsiastage/configuration'
import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { Logger } from '@fuchsiastage/logger'
import type { RouteKey } from '@fuchsiastage/routing'
import type { StreamSink } from '@fuchsiastage/target-client'
import type { ConfigurationDocument, Milliseconds } from '@fuchsiastage/types'
import type { Result } from 'true-myth'

/** A request as the HTTP server hands it over. */
export interface IncomingRequest {
  readonly method: string
  /** Path and query. */
  readonly url: string
  /** Header names in lower case. */
  readonly headers: Readonly<Record<string, string | readonly string[] | undefined>>
  /** Reads the whole body; the error is `body-too-large` or `cancelled`. */
  readonly readBody: (maximumBytes: number) => Promise<Result<Buffer, FuchsiastageError>>
  /** Sends the status line and headers of a streamed answer. */
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
  /** Hash of the prompt's first characters, for prefix affinity. */
  readonly prefix: string
}

export interface ServiceRoute {
  readonly kind: 'service'
  readonly service: string
  /** Path and query under the service. */
  readonly path: string
  readonly body: Buffer
  /** Present for calls that must not be repeated. */
  readonly idempotencyKey: string | undefined
}

export type Route = CompletionRoute | ServiceRoute

/** What is known of a request; each filter passes on a context with what it has found out. */
export interface RequestContext {
  readonly id: string
  readonly incoming: IncomingRequest
  readonly receivedAt: Milliseconds
  readonly logger: Logger
  readonly caller?: NamedCaller
  readonly route?: Route
  /** By the daemon's monotonic clock. */
  readonly deadline?: Milliseconds
  /** Aborts when the caller goes away or the deadline passes. */
  readonly signal: AbortSignal
  readonly claimId?: string
}

/** Final answer of the chain. `streamed`: it was written to the stream sink already. */
export type Answer =
  | { readonly kind: 'plain'; readonly status: number; readonly headers: Readonly<Record<string, string>>; readonly body: Buffer }
  | { readonly kind: 'problem'; readonly error: FuchsiastageError }
  | { readonly kind: 'streamed'; readonly complete: boolean }

export type NextFilter = (context: RequestContext) => Promise<Answer>

export type Filter = (context: RequestContext, next: NextFilter) => Promise<Answer>

/** Result of asking for a replica of a model that is not loaded. */
export type ReplicaExpectation =
  | { readonly kind: 'expected'; readonly readyInMilliseconds: Milliseconds }
  | { readonly kind: 'refused'; readonly error: FuchsiastageError }

export interface WantedReplica {
  readonly model: string
  readonly deadlineMilliseconds: Milliseconds
  readonly priority: NamedCaller['priority']
  readonly request: string
}

/** What the filters need to know of placement. */
export interface PlacementView {
  /** Whether a loaded replica is known that this daemon may route to now. */
  readonly hasReplica: (model: string) => boolean
  /** The orders that loaded the replicas known now, for the time line. */
  readonly ordersOf: (model: string) => readonly string[]
  readonly wantReplica: (wanted: WantedReplica, signal: AbortSignal) => Promise<ReplicaExpectation>
  /** Resolves true as soon as a replica is there, false when the signal aborts first. */
  readonly waitForReplica: (model: string, signal: AbortSignal) => Promise<boolean>
  /** Notes a request, for the demand of a model. */
  readonly recordUse: (model: string, change: 'begin' | 'end') => void
}

/** What the filters need to know of the configuration. */
export interface ConfigurationView {
  readonly document: () => ConfigurationDocument
  readonly version: () => number
  /** The error says why the configuration must not be acted on now. */
  readonly checkFresh: () => Result<void, FuchsiastageError>
}

export function routeKeyOf (route: Route): RouteKey {
  return route.kind === 'completion' ? `model/${route.model}` : `service/${route.service}`
}

/** Time left until the request's deadline. */
export function timeLeft (context: RequestContext, clock: Clock): Milliseconds {
  return (context.deadline ?? clock.now()) - clock.now()
}
