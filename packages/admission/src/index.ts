/**
 * Admission queues, caller limits, retry budgets and backoff delays.
 */
export { createAdmissionController, DEFAULT_ADMISSION_SETTINGS } from './admission-controller.js'
export type {
  Admission,
  AdmissionController,
  AdmissionOptions,
  AdmissionRequest,
  AdmissionSettings,
  AdmissionView
} from './admission-controller.js'
export { createCallerLimits } from './caller-limits.js'
export type { CallerLimit, CallerLimits, CallerLimitsOptions, CallerPermit } from './caller-limits.js'
export { createRetryBudget } from './retry-budget.js'
export type { RetryBudget, RetryBudgetOptions } from './retry-budget.js'
export { backoffDelay } from './backoff.js'
export type { BackoffSettings } from './backoff.js'
