/**
 * The number of concurrent requests that a target serves well, found from how it responds, and its speed.
 */
export { createTargetSpeeds, type TargetSpeeds, type TimeSample } from './target-speeds.js'
export { createUnevenServices, type UnevenServices } from './uneven-services.js'
export { createTargetPaces, type PacedSend, type PacedTarget, type PaceEvidence, type PaceReason, type TargetPaces, type TargetPacesOptions } from './target-paces.js'
