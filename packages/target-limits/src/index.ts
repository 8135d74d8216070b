/**
 * Request rates and pauses that targets state, and the permits by which all daemons together keep to a rate.
 */
export { createPermitIssuer } from './permit-issuer.js'
export type { PermitDecision, PermitIssuer, PermitRequest } from './permit-issuer.js'
export { createTargetLimits } from './target-limits.js'
export type { TargetLimits, TargetLimitsOptions, TargetLimitUpdate } from './target-limits.js'
export { createTargetPauses } from './target-pauses.js'
export type { StatedPause, TargetPauses, TargetPausesOptions } from './target-pauses.js'
export type { TurnDecision } from './turn-decision.js'
