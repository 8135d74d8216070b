/**
 * Policy that decides how long an idle replica stays loaded and when a model is preloaded before a request.
 */
export type { GapHistory } from './gap-history.js'
export { observeRequest, survivalAt } from './gap-history.js'
export type { KeepWarmPolicy, KeepWarmSubject } from './policy.js'
export { createKeepWarmPolicy, probabilityWithin } from './policy.js'
export type { KeepWarmFeatures, KeepWarmSettings } from './settings.js'
export { DEFAULT_KEEP_WARM_SETTINGS } from './settings.js'
