/**
 * Allowances of customers over all daemons together: the issuer of an allowance, and the daemons that ask it.
 */
export { creditOf, type AllowanceTolerance } from './allowance-credit.js'
export { createAllowanceClient } from './allowance-client.js'
export type { AcquireAllowance, AllowanceClient, AllowanceClientOptions, AllowanceRecord } from './allowance-client.js'
export { BEAT_MILLISECONDS, createAllowanceIssuer } from './allowance-issuer.js'
export type { AllowanceIssuer, AllowanceIssuerOptions } from './allowance-issuer.js'
export type { AllowanceAnswer, AllowanceDecision, AllowanceRequest, FleetView, PreviousAnswer } from './messages.js'
