import type { Clock } from '@fuchsiastage/clock'
import type { ServingConfiguration, ServingCustomer, ServingRoute, ServingService, TargetKey } from '@fuchsiastage/fleet'
import type { CrashCause, RequestTraits } from '@fuchsiastage/request-quarantine'
import type { TurnDecision } from '@fuchsiastage/target-limits'
import type { Milliseconds } from '@fuchsiastage/types'
import type { StreamTiming } from './stream-pace.js'

export interface PromptPart {
  readonly id: string
  readonly tokens: number
}

/** Model, adapter and token counts that a request states in its headers. */
export interface ModelDemand {
  readonly model: string
  readonly adapter: string | undefined
  readonly promptTokens: number
  readonly maximumOutputTokens: number
  /** Parts of the prompt in order; requests may share all parts but the last. */
  readonly promptParts: readonly PromptPart[]
}

/**
 * Returns the identifiers of the prompt parts that other requests may share: all but the last one.
 *
 * @example
 * const parts = sharedPartIds(request.description.demand)
 */
export function sharedPartIds (demand: Pick<ModelDemand, 'promptParts'> | undefined): readonly string[] {
  return (demand?.promptParts ?? []).slice(0, -1).map(({ id }) => id)
}

/** The key that a request states. */
export type StatedKey =
  | {
    readonly kind: 'single'
    /** See `digestCustomerKey`. */
    readonly digest: string
  }
  /** The request states an empty key, or several different ones; such a request is not anonymous. */
  | { readonly kind: 'malformed' }

/** Decoded headers of a request. */
export interface RequestDescription {
  /** Identifier of the request; the client uses a new one for each retry. */
  readonly id: string
  readonly deadlineMilliseconds: Milliseconds | undefined
  readonly demand: ModelDemand | undefined
  /** Sum of the prompt tokens and the output tokens that the request states; absent if it states none. */
  readonly tokens?: number
  /** Identifier of the last event that the client has received, when it resumes a stream. */
  readonly lastEventId: string | undefined
  /** Identifier of the request that brought the first event of the stream, when the client resumes it and names that request. */
  readonly resumes: string | undefined
  /** SHA-256 digest, in hexadecimal digits, of what identifies the caller, if the request states it. */
  readonly credentials: string | undefined
  /** Absent if the request states no key. */
  readonly key?: StatedKey
}

/** A request whose headers and body have been received completely. */
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
  readonly clientDisconnected: AbortSignal
  readonly response: ClientResponse
  /** Set if a peer has handed the request over to this daemon. */
  readonly handover?: Handover
}

/** Which software version of targets may send the rest of a stream: what two versions write does not fit together. */
export type RequiredVersion =
  /** The client has no event yet. */
  | { readonly kind: 'any' }
  | { readonly kind: 'exactly', readonly softwareVersion: string }
  /** The client has events, and the version that wrote them is not known, so the stream cannot go on; or it has part of a response that is no stream. */
  | { readonly kind: 'unknown' }

/** What has happened to a request at the targets. */
export interface HandoverProgress {
  /** Targets to which the request must not be sent again. */
  readonly excluded: Set<TargetKey>
  /** Targets that may have run the request. */
  readonly mayHaveRun: Set<TargetKey>
  /** Number of engines whose connection was lost before they had sent any of the response. */
  lostBeginnings: number
  /** Identifier of the last event that was relayed to the client; a resumed stream continues after it. */
  lastEventId: string | undefined
  requiredVersion: RequiredVersion
}

/** How a request has come to this daemon through a peer. */
export interface Handover {
  /** Name of the peer. */
  readonly from: string
  /** Whether the peer has counted the request as demand and for the retry budget. */
  readonly isCounted: boolean
  /** What had happened to the request at the peer; this daemon updates it. */
  readonly progress: HandoverProgress
}

/**
 * How the end of a response is detected: by its length or its last chunk, or by the end of its connection, which
 * does not tell it from a crash of the process that sends it.
 */
export type ResponseFraming = 'framed' | 'until-close'

/** The response to the client. */
export interface ClientResponse {
  readonly hasBegun: () => boolean
  /** Accounts for bytes that are held until the response is complete; they count until it has been read. False if there is no memory for them. */
  readonly hold: (bytes: number) => boolean
  /**
   * Sends the head of the response of a target. The body of one that is `until-close` must be written and ended at
   * once, so that it leaves the process whole.
   */
  readonly begin: (status: number, rawHeaders: readonly string[], framing: ResponseFraming, target: TargetKey) => void
  /** Resolves when the connection accepts more bytes. */
  readonly write: (bytes: Buffer) => Promise<void>
  readonly end: () => void
  /** Closes the connection without ending the response, so that the client does not mistake a partial response for a complete one. */
  readonly destroy: () => void
}

/** How one send of a request ended. */
export type SendResult = 'answered' | 'not-sent' | 'not-executed' | 'failed' | 'broken' | 'cancelled'

/** One send of a request to a target, for the log line of the request. */
export interface SendRecord {
  readonly target: TargetKey
  readonly result: SendResult
  readonly reason: string
  /** Time from the arrival of the request to the end of the send. */
  readonly at: Milliseconds
  /** Age of the target's load report when the target was chosen. */
  readonly loadAge: Milliseconds | undefined
}

/** One handover of a request to a peer, for the log line of the request. */
export interface HandoverRecord {
  /** Undefined if no peer has taken the request over. */
  readonly peer: string | undefined
  readonly result: 'declined' | 'lost' | 'responded'
  readonly reason: string
  /** Time from the arrival of the request to the end of the handover. */
  readonly at: Milliseconds
}

/** Decision on the turn of a request at a target that limits its requests or has asked for a pause, for the log line of the request. */
export interface TurnRecord {
  readonly target: TargetKey
  readonly decision: TurnDecision
  /** Time from the arrival of the request to the decision. */
  readonly at: Milliseconds
}

/** Data about the processing of a request, for its log line. */
export interface RequestTrace {
  version: number | undefined
  route: string | undefined
  service: string | undefined
  /** Name of the customer; never its key. */
  customer?: string | undefined
  /** Why the request crashes targets, if it was rejected for that. */
  quarantinedFor: CrashCause | undefined
  /** Time that the request waited for room in its customer's allowance, if it did. */
  allowanceWait?: Milliseconds
  readonly sends: SendRecord[]
  readonly turns: TurnRecord[]
  readonly handovers: HandoverRecord[]
  readonly timing: StreamTiming
}

/** How a request ended. */
export type ForwardOutcome =
  | { readonly kind: 'delivered', readonly status: number }
  /** The response failed after its headers were sent to the client. */
  | { readonly kind: 'broken', readonly reason: string }
  /** No target has run the request. */
  | { readonly kind: 'refused', readonly reason: string, readonly retryAfterMilliseconds: Milliseconds }
  /** The customer has used up its allowance; no target has run the request. */
  | { readonly kind: 'limited', readonly reason: string, readonly retryAfterMilliseconds: Milliseconds }
  /** A target may have run the request. */
  | { readonly kind: 'unknown', readonly status: 502 | 504, readonly reason: string }
  | { readonly kind: 'rejected', readonly status: 400 | 401 | 404 | 413, readonly reason: string }
  | { readonly kind: 'abandoned', readonly reason: string }

/** Context of a request in the filter chain; each filter adds its results. */
export interface ForwardContext {
  readonly request: InboundRequest
  /** What may tell that the request crashes targets. */
  readonly traits: RequestTraits
  readonly trace: RequestTrace
  readonly configuration?: ServingConfiguration
  readonly route?: ServingRoute
  readonly service?: ServingService
  /** Customer whose key the request carries; absent for anonymous requests and without customers in the configuration. */
  readonly customer?: ServingCustomer
  /** Monotonic time at which the request is aborted. */
  readonly deadlineAt?: Milliseconds
  /** Aborts when the client disconnects or the deadline passes. */
  readonly signal: AbortSignal
}

/**
 * Returns the priority of a request: that of its customer, or else that of its route. 0 is the highest.
 *
 * @example
 * const priority = priorityOf(context, route)
 */
export function priorityOf ({ customer }: Pick<ForwardContext, 'customer'>, route: Pick<ServingRoute, 'priority'>): number {
  return customer?.priority ?? route.priority
}

const PATH_END = /[?#]/

/**
 * Returns the path of a request without its query.
 *
 * @example
 * const route = findRoute(configuration, request.host, pathOf(request))
 */
export function pathOf ({ path }: Pick<InboundRequest, 'path'>): string {
  return path.split(PATH_END, 1)[0] ?? ''
}

/** Time until the deadline of a request; infinite if it has none. */
export function timeLeft (context: ForwardContext, clock: Clock): Milliseconds {
  return (context.deadlineAt ?? Infinity) - clock.now()
}
