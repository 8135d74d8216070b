import type { KnownTarget, TargetKey } from '@fuchsiastage/fleet'
import type { RequestTraits } from '@fuchsiastage/request-quarantine'
import type { TurnDecision } from '@fuchsiastage/target-limits'
import type { Milliseconds } from '@fuchsiastage/types'
import type { ForwardOutcome, HandoverProgress, InboundRequest, RequestDescription, ResponseFraming } from './request.js'

export interface TargetRequest {
  readonly address: string
  readonly method: string
  readonly path: string
  readonly rawHeaders: readonly string[]
  readonly body: Buffer
  readonly signal: AbortSignal
  /** Called when the connection to the target is established. */
  readonly onConnected: () => void
}

export type TargetAnswer =
  /** No connection was established, so no byte of the request was sent. */
  | { readonly kind: 'not-sent', readonly reason: string }
  /** The request was sent completely or in part, and no response arrived. */
  | { readonly kind: 'failed', readonly reason: string }
  /** The request was sent completely or in part, and what arrived is no response. */
  | { readonly kind: 'invalid', readonly reason: string }
  | {
    readonly kind: 'answer'
    readonly status: number
    readonly rawHeaders: readonly string[]
    /** How the response ends, if its headers do not tell because a peer has relayed it; see `HandOver`. */
    readonly framing?: ResponseFraming
    /** Throws when the connection fails before the response is complete. */
    readonly body: AsyncIterable<Buffer>
    readonly close: () => void
  }

/** Sends one request over a new connection, which is not used for any other request. */
export type SendToTarget = (request: TargetRequest) => Promise<TargetAnswer>

/** Values of the headers that the daemon sets on a request to a target. */
export interface SystemHeaders {
  readonly remainingMilliseconds: Milliseconds
  readonly targetId: string
  readonly priority: number
  /** Name of the customer; undefined for an anonymous request. It replaces a name from the client in any case. */
  readonly customer: string | undefined
  /** Whether the request may state the key of a customer, which no header may pass on. */
  readonly hidesKey: boolean
  /** Identifier after which a resumed stream continues; it replaces the client's header. */
  readonly lastEventId: string | undefined
}

/** Load that a target states in a response. */
export interface StatedLoad {
  readonly running: number
  readonly waiting: number
  /** How long work takes on the machine of the target now; 1 means as long as usual. Missing if it is not stated. */
  readonly relativeWorkTime?: number
}

/** Contents of the headers of a target's response. */
export interface AnswerDescription {
  readonly requestId: string | undefined
  /** Whether the response has the seal header, which proves that the target produced it. */
  readonly hasSeal: boolean
  /** Whether the target states that it has not run the request. */
  readonly isNotExecuted: boolean
  /** Identifier of the target that responded, if it states one; it differs from the expected one after a target has been replaced. */
  readonly targetId: string | undefined
  readonly hasContentEncoding: boolean
  /** Whether the response states its length or is chunked; otherwise it ends when its connection closes. */
  readonly isFramed: boolean
  readonly load: StatedLoad | undefined
  /** Requests per second that the target accepts from all daemons together, if it states a limit. */
  readonly requestsPerSecond: number | undefined
  /** Requests that the target may turn away in a second without falling over; missing unless it states that it is brittle. */
  readonly brittleRejections?: number
  /** Time for which the target wants no request from this daemon, if it has turned this one away and states one. */
  readonly pauseMilliseconds: Milliseconds | undefined
  /** Whether the target states that it is going to be removed. */
  readonly isLeaving: boolean
}

/** Encodes and decodes headers; only the adapter that implements it knows their names on the wire. */
export interface HeaderCodec {
  readonly describeRequest: (rawHeaders: readonly string[]) => RequestDescription
  readonly forwardedHeaders: (rawHeaders: readonly string[], system: SystemHeaders) => readonly string[]
  readonly describeAnswer: (status: number, rawHeaders: readonly string[]) => AnswerDescription
  readonly answerHeaders: (rawHeaders: readonly string[]) => readonly string[]
}

export interface RequestedPlacement {
  readonly service: string
  readonly model: string
  readonly adapter: string | undefined
  readonly request: string
  readonly priority: number
  /** Time until the client gives up on the request. */
  readonly remainingMilliseconds: Milliseconds
  /** Targets that are ejected or unreachable for this daemon, or to which the request must not be sent again. */
  readonly avoid: readonly TargetKey[]
}

export type PlacementAnswer =
  | { readonly kind: 'ready', readonly target: TargetKey }
  | { readonly kind: 'refused', readonly reason: string, readonly retryAfterMilliseconds: Milliseconds }

/**
 * Asks whether one request may be sent to a target that limits its requests, has asked for a pause, has a pace or is brittle, and
 * after which wait of at most the given time. After a wait for the end of a pause or for the pace of a target, it
 * is to be asked again. A request that has waited for the pace as long as it can ignores it.
 */
export type AcquireTurn = (target: TargetKey, maximumWaitMilliseconds: Milliseconds, signal: AbortSignal, ignoresPace?: boolean) => Promise<TurnDecision>

/** A request that is being sent to a target. */
export interface SendInRoom {
  /** Records the response: the requests that the target may turn away in a second, undefined if it states that it is not brittle, and whether it turned this one away. */
  readonly recordAnswer: (rejections: number | undefined, isTurnedAway: boolean) => void
  /** Returns the room that the request took. */
  readonly end: () => void
}

/** The room of brittle targets, which all daemons together must not exceed. */
export interface TargetRooms {
  readonly isBrittle: (target: TargetKey) => boolean
  /** To be called for each request that is sent, whether its target is brittle or not. */
  readonly beginSend: (target: KnownTarget) => SendInRoom
}

/** Asks whether a quarantined request may be tried now. At most one with the same cause in the fleet is, until its outcome is known. */
export type AcquireTrial = (traits: RequestTraits, signal: AbortSignal) => Promise<boolean>

/** Requests a placement from the holder of the order lease. Resolves with a target that has loaded the model and the adapter, or with a refusal. */
export type RequestPlacement = (placement: RequestedPlacement, signal: AbortSignal) => Promise<PlacementAnswer>

/** A request that this daemon hands over to a peer, because it cannot connect to the targets itself. */
export interface HandoverRequest {
  readonly request: InboundRequest
  /** Version of the configuration that applies; a peer with an older one must not decide on the request. */
  readonly configurationVersion: number
  /** Whether the request may state the key of a customer; peers of earlier versions would forward it. */
  readonly hidesKey: boolean
  /** What has happened to the request so far, without what it may still do. */
  readonly progress: HandoverProgress
  /** Whether this daemon has counted the request as demand and for the retry budget. */
  readonly isCounted: boolean
}

/** The outcome at a peer of a request to which no target has responded. */
export type PeerOutcome = Extract<ForwardOutcome, { readonly kind: 'refused' | 'limited' | 'unknown' | 'rejected' }>

export type HandoverAnswer =
  /** No peer has taken the request over. */
  | { readonly kind: 'declined', readonly reason: string }
  /** The peer was lost before a response began; a target may have run the request. */
  | { readonly kind: 'lost', readonly peer: string, readonly reason: string }
  | { readonly kind: 'outcome', readonly peer: string, readonly outcome: PeerOutcome }
  | {
    readonly kind: 'answer'
    readonly peer: string
    /** Target whose response this is. */
    readonly target: TargetKey
    /** Software version of the target; undefined if it is not known, or the peer runs an earlier version of this system that does not state it. */
    readonly softwareVersion: string | undefined
    readonly answer: Extract<TargetAnswer, { readonly kind: 'answer' }>
    /** Targets that may have run the request, as the peer states at the end of the response; undefined if the peer was lost before. */
    readonly mayHaveRun: () => readonly TargetKey[] | undefined
  }

/** Hands a request over to a peer that reaches the targets and sends it to one of them. */
export type HandOver = (handover: HandoverRequest, signal: AbortSignal) => Promise<HandoverAnswer>
