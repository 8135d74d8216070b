/** A scheduled callback that can be cancelled. */
export interface Timer {
  readonly cancel: () => void
}

export interface Clock {
  /** Monotonic time in milliseconds; only differences are meaningful. */
  readonly now: () => number
  /** Milliseconds since the Unix epoch, for log lines and the age of keys. */
  readonly wallNow: () => number
  /** Calls back once after the delay. */
  readonly setTimer: (delayMilliseconds: number, callback: () => void) => Timer
  /** Resolves after the delay, or at once when the signal aborts. */
  readonly sleep: (delayMilliseconds: number, signal?: AbortSignal) => Promise<void>
}
