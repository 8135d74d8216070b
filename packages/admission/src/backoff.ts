import type { Milliseconds } from '@fuchsiastage/types'

export interface BackoffSettings {
  readonly baseMilliseconds: Milliseconds
  readonly maximumMilliseconds: Milliseconds
}

/**
 * Delay before a retry: exponential with full jitter. The first retry has attempt 0.
 *
 * @example
 * await clock.sleep(backoffDelay(attempt, { baseMilliseconds: 50, maximumMilliseconds: 2000 }, Math.random), signal)
 */
export function backoffDelay (attempt: number, settings: BackoffSettings, random: () => number): Milliseconds {
  return random() * Math.min(settings.maximumMilliseconds, settings.baseMilliseconds * 2 ** Math.max(0, attempt))
}
