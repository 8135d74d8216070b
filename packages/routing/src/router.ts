import type { Clock } from '@fuchsiastage/clock'
import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { Milliseconds } from '@fuchsiastage/types'
import type { Result } from 'true-myth/result'
import type { ReportStore } from './reports.js'
import type { RequestTracker } from './request-tracker.js'

/** A target that may serve a model or a service. */
export interface RoutingTarget {
  readonly name: string
  readonly address: string
  readonly dataCentre: string
  readonly maximumConcurrent: number
}

/** Names what is routed to: a model, an adapter, or a plain service. */
export type RouteKey = `model/${string}` | `service/${string}`

export interface RouteRequest {
  readonly key: RouteKey
  /** Hash of the prompt's prefix, for affinity. */
  readonly prefix?: string
  /** Targets already tried by this request. */
  readonly exclude?: readonly string[]
}

export interface RouteDecision {
  readonly target: RoutingTarget
  readonly score: number
  /** The target is believed to hold the prompt's prefix in its cache. */
  readonly prefixHit: boolean
}

export interface CacheEventInput {
  readonly sequence: number
  readonly model: string
  readonly prefix: string
  readonly kind: 'stored' | 'evicted'
}

export interface RouterSettings {
  /** A target without news for this time gets nothing. */
  readonly newsMilliseconds: Milliseconds
  /** Most targets of one key that this daemon routes to. */
  readonly subsetSize: number
  /** Targets further away than the nearest by more than this are used only when no nearer one can be. */
  readonly nearMilliseconds: Milliseconds
  /** Score of one millisecond of latency; the score's unit is the load of a full target. */
  readonly latencyWeight: number
  /** Score of one second of age of the load report. */
  readonly ageWeight: number
  /** Lowers the score of a target that holds the prefix. */
  readonly prefixBonus: number
  readonly prefixHints: number
  readonly prefixHintMilliseconds: Milliseconds
  /** Largest part of the known targets that is ejected at a time. */
  readonly ejectedShare: number
  readonly ejectionMilliseconds: Milliseconds
  readonly maximumEjectionMilliseconds: Milliseconds
  /** Time over which a target returns to its full share after an ejection. */
  readonly readmissionMilliseconds: Milliseconds
  readonly consecutiveFailures: number
  /** A target is slow when its smoothed first-byte time exceeds the median by this factor. */
  readonly slowFactor: number
  /** How long a `busy` refusal keeps a target from being chosen while no newer report arrives. */
  readonly busyMilliseconds: Milliseconds
}

export interface RouterOptions {
  readonly clock: Clock
  /** Uniform in [0, 1). */
  readonly random: () => number
  readonly daemon: string
  readonly reports: ReportStore
  readonly tracker: RequestTracker
  /** One-way latency to a data centre. */
  readonly latency: (dataCentre: string) => Milliseconds
  /** Number of daemons that route to a target. */
  readonly daemonsRouting: () => number
  readonly settings?: Partial<RouterSettings>
}

export interface Router {
  /** Replaces the targets of a key; the caller has applied the rules. */
  readonly setCandidates: (key: RouteKey, targets: readonly RoutingTarget[]) => void
  readonly removeCandidates: (key: RouteKey) => void
  /** Picks a target; the error is `no-target` with outcome `not-run`. */
  readonly choose: (request: RouteRequest) => Result<RouteDecision, FuchsiastageError>
  /** Whether the target may be sent a request now; the second check, right before the first byte. */
  readonly mayUse: (target: string) => boolean
  /** Targets about which this daemon needs reports: the members of its subsets. */
  readonly watchedTargets: () => readonly string[]
  readonly recordCacheEvents: (target: string, events: readonly CacheEventInput[]) => void
  /** Notes that a request with the prefix was sent to the target. */
  readonly recordPrefix: (target: string, key: RouteKey, prefix: string) => void
  readonly ejectedTargets: () => readonly string[]
  /** Free places at the targets of a key by the daemon's own estimate, for admission. */
  readonly freePlaces: (key: RouteKey) => number
}

export declare function createRouter (options: RouterOptions): Router
