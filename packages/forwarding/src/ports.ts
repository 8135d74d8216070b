import type { TargetKey } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'
import type { RequestDescription } from './request.js'

export interface TargetRequest {
  readonly address: string
  readonly method: string
  readonly path: string
  readonly rawHeaders: readonly string[]
  readonly body: Buffer
  readonly signal: AbortSignal
}

export type TargetAnswer =
  /** No connection came about, so no byte of the request was sent. */
  | { readonly kind: 'not-sent', readonly reason: string }
  /** The request was sent, wholly or partly, and no answer arrived. */
  | { readonly kind: 'failed', readonly reason: string }
  | {
    readonly kind: 'answer'
    readonly status: number
    readonly rawHeaders: readonly string[]
    /** Throws when the answer breaks off. */
    readonly body: AsyncIterable<Buffer>
    readonly close: () => void
  }

/** Sends one request over a connection of its own. */
export type SendToTarget = (request: TargetRequest) => Promise<TargetAnswer>

/** Headers that the system sets towards a target. */
export interface SystemHeaders {
  readonly remainingMilliseconds: Milliseconds
  readonly targetId: string
  readonly priority: number
  /** Replaces what the client sent, when a stream is continued. */
  readonly lastEventId: string | undefined
}

/** What the headers of a target's answer say. */
export interface AnswerDescription {
  readonly requestId: string | undefined
  /** Whether the answer carries the proof that the target made it. */
  readonly hasSeal: boolean
  /** The target states that it has not run the request. */
  readonly isNotExecuted: boolean
  /** The identifier that a target of another name states when it is not the one expected. */
  readonly targetId: string | undefined
  readonly hasContentEncoding: boolean
  /** False for an answer without a length, which ends with its connection. */
  readonly isFramed: boolean
  readonly load: { readonly running: number, readonly waiting: number } | undefined
}

/** Translates headers; the names on the wire are known to the adapter only. */
export interface HeaderCodec {
  readonly describeRequest: (rawHeaders: readonly string[]) => RequestDescription
  readonly forwardedHeaders: (rawHeaders: readonly string[], system: SystemHeaders) => readonly string[]
  readonly describeAnswer: (status: number, rawHeaders: readonly string[]) => AnswerDescription
  readonly answerHeaders: (rawHeaders: readonly string[]) => readonly string[]
}

export interface WantedPlacement {
  readonly service: string
  readonly model: string
  readonly adapter: string | undefined
  readonly request: string
  readonly priority: number
  /** Time that is left until the request is of no use. */
  readonly remainingMilliseconds: Milliseconds
  /** Targets that this daemon leaves out for failures, or that have refused the request. */
  readonly avoid: readonly TargetKey[]
}

export type PlacementAnswer =
  | { readonly kind: 'ready', readonly target: TargetKey }
  | { readonly kind: 'refused', readonly reason: string, readonly retryAfterMilliseconds: Milliseconds }

/** Asks the holder of the order lease for a target that holds the model; answers when it does. */
export type RequestPlacement = (wanted: WantedPlacement, signal: AbortSignal) => Promise<PlacementAnswer>
