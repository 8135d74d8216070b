import type { Clock } from '@fuchsiastage/clock'
import type { Settings } from '@fuchsiastage/settings'
import type { DaemonCore } from './daemon-types.js'

export interface PlannedStopOptions {
  readonly core: Pick<DaemonCore, 'leave' | 'settleClaims' | 'stop'>
  readonly clock: Clock
  readonly settings: Settings
  /** Stops accepting connections from callers, and resolves when the open requests have ended. */
  readonly closeCallersServer: () => Promise<void>
}

/**
 * Stops a daemon without interrupting a request. The daemon is removed from the entry lists and hands
 * over its roles, accepts requests until no caller can have an entry list that contains it, and stops
 * after the last request has ended and its claims are settled.
 *
 * @example
 * await runPlannedStop({ core, clock, settings, closeCallersServer: () => callers.close() })
 */
export async function runPlannedStop (options: PlannedStopOptions): Promise<void> {
  const { core, clock, settings } = options
  await core.leave()
  // Callers may use an entry list for this long, so some may still connect to this daemon.
  await clock.sleep(settings.membership.entryKeepMilliseconds + settings.membership.leavingMarginMilliseconds)
  await options.closeCallersServer()
  await core.settleClaims()
  await core.stop()
}
