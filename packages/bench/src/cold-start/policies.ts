import { createKeepWarmPolicy, DEFAULT_KEEP_WARM_SETTINGS, type KeepWarmPolicy, type KeepWarmSettings } from '@fuchsiastage/keep-warm'

/** Keep-alive of the baseline; ten minutes is the usual value of serving systems that load on demand. */
export const FIXED_KEEP_ALIVE_MILLISECONDS = 600_000

const noGaps = { ...DEFAULT_KEEP_WARM_SETTINGS.features, perModelGaps: false, preload: false }

/** Loads on demand and unloads after a fixed time without a request. */
export function createFixedKeepAlive (): KeepWarmPolicy {
  return createKeepWarmPolicy({ ...DEFAULT_KEEP_WARM_SETTINGS, fixedIdleMilliseconds: FIXED_KEEP_ALIVE_MILLISECONDS, features: noGaps })
}

/** Loads on demand and unloads only for want of memory, the least recently used first. */
export function createLeastRecentlyUsed (): KeepWarmPolicy {
  return { ...createFixedKeepAlive(), shouldUnload: () => false, shouldPreload: () => false }
}

export function createLearnedPolicy (settings: Partial<KeepWarmSettings>): KeepWarmPolicy {
  return createKeepWarmPolicy({ ...DEFAULT_KEEP_WARM_SETTINGS, ...settings })
}
