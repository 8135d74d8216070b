/** A scheduled callback that can be cancelled. */
export interface Timer {
  readonly cancel: () => void
}

export interface Clock {
  /** Monotonic time in milliseconds, for measuring durations; the origin is arbitrary. */
  readonly now: () => number
  /** Wall-clock time in milliseconds since the Unix epoch, for log lines and the age of idempotency keys. */
  readonly wallNow: () => number
  /** Schedules the callback to run once after the delay. */
  readonly setTimer: (delayMilliseconds: number, callback: () => void) => Timer
  /** Resolves after the delay, or as soon as the signal aborts; it never rejects. */
  readonly sleep: (delayMilliseconds: number, signal?: AbortSignal) => Promise<void>
}
