import { createKeepWarmPolicy, DEFAULT_KEEP_WARM_SETTINGS, type KeepWarmPolicy, type KeepWarmSettings } from '@fuchsiastage/keep-warm'

/** Keep-alive time of the baseline. Ten minutes is a usual value in serving systems that load models on demand. */
export const FIXED_KEEP_ALIVE_MILLISECONDS = 600_000

const FEATURES_WITHOUT_LEARNED_GAPS = { ...DEFAULT_KEEP_WARM_SETTINGS.features, perModelGaps: false, preload: false }

/** Loads on demand and unloads after a fixed time without a request. */
export function createFixedKeepAlivePolicy (): KeepWarmPolicy {
  return createKeepWarmPolicy({ ...DEFAULT_KEEP_WARM_SETTINGS, fixedIdleMilliseconds: FIXED_KEEP_ALIVE_MILLISECONDS, features: FEATURES_WITHOUT_LEARNED_GAPS })
}

/** Loads on demand and unloads only when another model needs the memory, the least recently used first. */
export function createLeastRecentlyUsedPolicy (): KeepWarmPolicy {
  return { ...createFixedKeepAlivePolicy(), shouldUnload: () => false, shouldPreload: () => false }
}

export function createLearnedPolicy (settings: Partial<KeepWarmSettings>): KeepWarmPolicy {
  return createKeepWarmPolicy({ ...DEFAULT_KEEP_WARM_SETTINGS, ...settings })
}
