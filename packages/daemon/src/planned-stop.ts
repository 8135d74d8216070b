import type { Clock } from '@fuchsiastage/clock'
import type { Settings } from '@fuchsiastage/settings'
import type { DaemonCore } from './daemon-types.js'

export interface PlannedStopOptions {
  readonly core: Pick<DaemonCore, 'leave' | 'settleClaims' | 'stop'>
  readonly clock: Clock
  readonly settings: Settings
  /** Stops accepting callers' connections and resolves when the open requests have ended. */
  readonly closeCallers: () => Promise<void>
}

/**
 * Ends a daemon's work without interrupting a request: it leaves the entries and hands over its
 * roles, accepts requests until no caller can hold an entry answer that names it, and ends when the
 * last request has ended and its claims are settled.
 *
 * @example
 * await runPlannedStop({ core, clock, settings, closeCallers: () => callers.close() })
 */
export async function runPlannedStop (options: PlannedStopOptions): Promise<void> {
  const { core, clock, settings } = options
  await core.leave()
  // Callers may keep an entry answer that still names this daemon for this long.
  await clock.sleep(settings.membership.entryKeepMilliseconds + settings.membership.leavingMarginMilliseconds)
  await options.closeCallers()
  await core.settleClaims()
  await core.stop()
}
