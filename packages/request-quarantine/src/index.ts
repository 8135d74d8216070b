/**
 * Quarantine for prompts that crash engines.
 */
export { createRequestQuarantine } from './request-quarantine.js'
export type { RequestQuarantine, RequestQuarantineOptions, QuarantineDecision, QuarantineUpdate } from './request-quarantine.js'
export type { CrashUpdate, LostRequest } from './crash-store.js'
