/**
 * Request rates that targets state, and the permits by which all daemons together keep to them.
 */
export { createPermitIssuer } from './permit-issuer.js'
export type { PermitDecision, PermitIssuer, PermitRequest } from './permit-issuer.js'
export { createTargetLimits } from './target-limits.js'
export type { TargetLimits, TargetLimitsOptions, TargetLimitUpdate } from './target-limits.js'
