import type { Clock } from '@fuchsiastage/clock'
import type { FuchsiastageError } from '@fuchsiastage/errors'
import type { Milliseconds, PriorityClass } from '@fuchsiastage/types'
import type { Result } from 'true-myth/result'
import type { CallerLimits } from './caller-limits.js'

export interface AdmissionRequest {
  readonly request: string
  readonly caller: string
  /** Share of the caller inside its class. */
  readonly weight: number
  readonly priority: PriorityClass
  /** By the controller's clock. */
  readonly deadline: Milliseconds
  /** Time that the request needs after it was admitted, when known. */
  readonly expectedMilliseconds?: Milliseconds
}

/** A place among the running requests; a second `release` has no effect. */
export interface Admission {
  readonly waitedMilliseconds: Milliseconds
  readonly release: () => void
}

export interface AdmissionSettings {
  readonly maximumWaiting: number
  /** Part of the dispatches, and of the queue, that belongs to `bulk` while it waits. */
  readonly bulkShare: number
  /** A waiting request is refused this long before its deadline, so that the answer arrives in time. */
  readonly refusalMarginMilliseconds: Milliseconds
  /** Service time that is assumed until one has been observed. */
  readonly initialServiceMilliseconds: Milliseconds
  /** How many dispatches a caller of weight 1 may be ahead of its fair share. */
  readonly fairnessWindow: number
}

export interface AdmissionOptions {
  readonly clock: Clock
  /** Uniform in [0, 1); spreads the times at which refused callers come back. */
  readonly random: () => number
  /** Requests that may run at the same time. */
  readonly capacity: number
  readonly limits?: CallerLimits
  readonly settings?: Partial<AdmissionSettings>
}

export interface AdmissionView {
  readonly waiting: Readonly<Record<PriorityClass, number>>
  readonly running: number
  readonly capacity: number
  readonly serviceMilliseconds: Milliseconds
  readonly draining: boolean
}

export interface AdmissionController {
  /** Per-caller concurrency and rate. */
  readonly limits: CallerLimits
  /**
   * Waits for a place. Errors have outcome `not-run` and the time to come back:
   * `queue-full`, `deadline-not-met` (503), `deadline-exceeded` (504), `cancelled` (499), `leaving` (503).
   */
  readonly admit: (request: AdmissionRequest, signal?: AbortSignal) => Promise<Result<Admission, FuchsiastageError>>
  /** Estimated wait of a request that would arrive now. */
  readonly estimate: (priority: PriorityClass, deadline: Milliseconds) => Milliseconds
  readonly setCapacity: (capacity: number) => void
  /** Refuses new requests and resolves when none waits or runs. */
  readonly drain: () => Promise<void>
  readonly view: () => AdmissionView
}

export declare function createAdmissionController (options: AdmissionOptions): AdmissionController
