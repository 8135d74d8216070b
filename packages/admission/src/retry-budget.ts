import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

export interface RetryBudgetOptions {
  readonly clock: Clock
  /** Retries as a part of the requests in the window; 0.1 by default. */
  readonly share?: number
  /** Retries that are always allowed in a window; 3 by default. */
  readonly floor?: number
  readonly windowMilliseconds?: Milliseconds
  /** Retries of a window beside the share; read at each retry, since it depends on who else retries. */
  readonly slack?: () => number
}

export interface RetryBudget {
  /** Counts a request, without its retries. */
  readonly recordRequest: (role: string) => void
  /** Takes one retry from the budget of the role, or answers false. */
  readonly tryRetry: (role: string) => boolean
}

interface Slice {
  readonly number: number
  requests: number
  retries: number
}

/** Slices of the sliding window. */
const SLICES = 10

/**
 * Creates the budget that keeps retries a small part of the requests to each target role, so that
 * failing targets are not sent a multiple of the load.
 *
 * @example
 * budget.recordRequest('drafter')
 * if (budget.tryRetry('drafter')) await send()
 */
export function createRetryBudget (options: RetryBudgetOptions): RetryBudget {
  const { clock, share = 0.1, floor = 3, windowMilliseconds = 10_000, slack = () => 0 } = options
  const slicesOf = new Map<string, readonly Slice[]>()
  const sliceMilliseconds = windowMilliseconds / SLICES

  const currentSlices = (role: string): readonly Slice[] => {
    const number = Math.floor(clock.now() / sliceMilliseconds)
    // One slice more than the window, so that the window is never shorter than stated.
    const kept = (slicesOf.get(role) ?? []).filter((slice) => slice.number >= number - SLICES)
    const slices = kept.at(-1)?.number === number ? kept : [...kept, { number, requests: 0, retries: 0 }]
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
