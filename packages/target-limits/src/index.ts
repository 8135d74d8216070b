/**
 * Request rates, pauses and brittle times that targets state, and the permits by which all daemons together keep to a rate or to the room of a target.
 */
export { createBrittleTargets } from './brittle-targets.js'
export type { BrittleTargets, BrittleTargetsOptions } from './brittle-targets.js'
export { createPermitIssuer } from './permit-issuer.js'
export type { PermitDecision, PermitIssuer, PermitRequest } from './permit-issuer.js'
export { createRoomIssuer } from './room-issuer.js'
export type { RoomIssuer, RoomIssuerOptions, RoomReport, RoomStatement } from './room-issuer.js'
export type { StatedFigureUpdate } from './stated-figures.js'
export { createTargetLimits } from './target-limits.js'
export type { TargetLimits, TargetLimitsOptions, TargetLimitUpdate } from './target-limits.js'
export { createTargetPauses } from './target-pauses.js'
export type { StatedPause, TargetPauses, TargetPausesOptions } from './target-pauses.js'
export type { TurnDecision } from './turn-decision.js'
