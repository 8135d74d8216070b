/**
 * Quarantine for prompts that crash engines.
 */
export { createPromptQuarantine } from './prompt-quarantine.js'
export type { PromptQuarantine, PromptQuarantineOptions, QuarantineDecision, QuarantineUpdate } from './prompt-quarantine.js'
export type { CrashUpdate, LostRequest } from './crash-store.js'
