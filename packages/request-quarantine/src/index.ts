/**
 * Quarantine for requests that crash targets.
 */
export { keyOfCause } from './crash-causes.js'
export type { CrashCause, RequestTraits } from './crash-causes.js'
export { createRequestQuarantine } from './request-quarantine.js'
export type { RequestQuarantine, RequestQuarantineOptions, QuarantineDecision, QuarantineUpdate } from './request-quarantine.js'
export type { CrashUpdate, LostRequest } from './crash-store.js'
