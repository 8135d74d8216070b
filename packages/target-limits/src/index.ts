/**
 * Request rates that targets state, and the permits by which all daemons together keep to them.
 */
export { createTargetLimits } from './target-limits.js'
export type { TargetLimits } from './target-limits.js'
