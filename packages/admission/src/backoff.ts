import type { Milliseconds } from '@fuchsiastage/types'

export interface BackoffSettings {
  /** Upper bound of the delay before the first retry; it doubles with each further retry. */
  readonly baseMilliseconds: Milliseconds
  readonly maximumMilliseconds: Milliseconds
}

/**
 * Returns the delay before a retry: exponential backoff with full jitter. The first retry has `attempt` 0.
 *
 * @example
 * await clock.sleep(backoffDelay(attempt, { baseMilliseconds: 50, maximumMilliseconds: 2000 }, Math.random), signal)
 */
export function backoffDelay (attempt: number, settings: BackoffSettings, random: () => number): Milliseconds {
  return random() * Math.min(settings.maximumMilliseconds, settings.baseMilliseconds * 2 ** Math.max(0, attempt))
}
