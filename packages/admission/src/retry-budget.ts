import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

export interface RetryBudgetOptions {
  readonly clock: Clock
  /** Retries as a part of the requests in the window; 0.1 by default. */
  readonly share?: number
  /** Retries that are always allowed in a window; 3 by default. */
  readonly floor?: number
  readonly windowMilliseconds?: Milliseconds
}

export interface RetryBudget {
  /** Counts a request, without its retries. */
  readonly recordRequest: (role: string) => void
  /** Takes one retry from the budget of the role, or answers false. */
  readonly tryRetry: (role: string) => boolean
}

export declare function createRetryBudget (options: RetryBudgetOptions): RetryBudget
