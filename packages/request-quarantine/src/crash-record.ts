import type { Milliseconds } from '@fuchsiastage/types'

/** Shared prompt parts of a request that an engine had not answered, or had just begun to answer, when it crashed. */
export interface SuspectedPrompt {
  readonly parts: readonly string[]
  /** Monotonic time of the newest of the requests with these parts. */
  readonly sentAt: Milliseconds
}

/** A request that a target had not answered, or had just begun to answer, when it crashed. */
export interface SuspectedRequest {
  readonly fingerprint: string
  /** Monotonic time at which it was sent last. */
  readonly sentAt: Milliseconds
}

export interface CrashRecord {
  /** Monotonic time at which the crash was observed. */
  readonly at: Milliseconds
  readonly prompts: readonly SuspectedPrompt[]
  /** The requests with these prompts, and those without a model. */
  readonly requests: readonly SuspectedRequest[]
  /** Number of requests that targets of the same service have served since then. */
  readonly servedSince: number
}

/** Monotonic time at which a request with this trait was last served, or minus infinity. */
export type ServedAt = (trait: string) => Milliseconds
