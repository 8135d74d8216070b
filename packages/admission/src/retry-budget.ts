import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

export interface RetryBudgetOptions {
  readonly clock: Clock
  /** Maximum ratio of retries to requests in the window; 0.1 by default. */
  readonly share?: number
  /** Number of retries per window that are allowed regardless of the number of requests; 3 by default. */
  readonly floor?: number
  /** Length of the sliding window; 10 s by default. */
  readonly windowMilliseconds?: Milliseconds
  /** Number of retries per window that are allowed in addition to the share; 0 by default. It is read at each retry, because it can depend on how many other processes retry. */
  readonly slack?: () => number
}

export interface RetryBudget {
  /** Counts a request. Its retries are counted by `tryRetry`. */
  readonly recordRequest: (role: string) => void
  /** Takes one retry from the role's budget; returns false if the budget is exhausted. */
  readonly tryRetry: (role: string) => boolean
}

interface WindowSlice {
  readonly index: number
  requests: number
  retries: number
}

/** Number of slices into which the sliding window is divided. */
const SLICES_PER_WINDOW = 10

/**
 * Creates the budget that limits retries to a small share of the requests to each target role, so
 * that retries do not multiply the load on failing targets.
 *
 * @example
 * budget.recordRequest('drafter')
 * if (budget.tryRetry('drafter')) await send()
 */
export function createRetryBudget (options: RetryBudgetOptions): RetryBudget {
  const { clock, share = 0.1, floor = 3, windowMilliseconds = 10_000, slack = () => 0 } = options
  const slicesOf = new Map<string, readonly WindowSlice[]>()
  const sliceMilliseconds = windowMilliseconds / SLICES_PER_WINDOW

  const currentSlices = (role: string): readonly WindowSlice[] => {
    const index = Math.floor(clock.now() / sliceMilliseconds)
    // One additional slice, because the current slice is incomplete and the window must not be shorter than configured.
    const kept = (slicesOf.get(role) ?? []).filter((slice) => slice.index >= index - SLICES_PER_WINDOW)
    const slices = kept.at(-1)?.index === index ? kept : [...kept, { index, requests: 0, retries: 0 }]
    slicesOf.set(role, slices)
    return slices
  }

  const recordRequest = (role: string): void => {
    const current = currentSlices(role).at(-1)
    if (current !== undefined) current.requests++
  }

  const tryRetry = (role: string): boolean => {
    const slices = currentSlices(role)
    const requests = slices.reduce((sum, slice) => sum + slice.requests, 0)
    const retries = slices.reduce((sum, slice) => sum + slice.retries, 0)
    const current = slices.at(-1)
    if (current === undefined || retries >= Math.max(floor, Math.floor(requests * share + slack()))) return false
    current.retries++
    return true
  }

  return { recordRequest, tryRetry }
}
