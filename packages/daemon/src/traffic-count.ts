import type { Clock } from '@fuchsiastage/clock'
import type { PayloadHook } from '@fuchsiastage/membership'
import type { RequestTracker } from '@fuchsiastage/routing'
import type { Milliseconds } from '@fuchsiastage/types'

export interface ActiveDaemonCounter {
  /** Returns the number of daemons that have recently sent requests to targets, including this one. */
  readonly daemonsRouting: () => number
  readonly payload: PayloadHook
}

/** Longer than a round of probes of all members of a small deployment. */
const ACTIVITY_WINDOW_MILLISECONDS = 60_000

/**
 * Counts the daemons with recent traffic to targets, which they report in membership messages, so
 * that the free capacity of a target is divided among the daemons that use it.
 *
 * @example
 * const activeDaemons = createActiveDaemonCounter(clock, tracker)
 * membership.attachPayload('t', activeDaemons.payload)
 */
export function createActiveDaemonCounter (clock: Clock, tracker: Pick<RequestTracker, 'onEnd'>): ActiveDaemonCounter {
  const lastActiveAt = new Map<string, Milliseconds>()
  let ownLastActiveAt = -Infinity
  tracker.onEnd(() => { ownLastActiveAt = clock.now() })

  const isRecent = (time: Milliseconds): boolean => clock.now() - time < ACTIVITY_WINDOW_MILLISECONDS
  return {
    daemonsRouting: () => {
      let others = 0
      for (const [member, time] of lastActiveAt) {
        if (isRecent(time)) others++
        else lastActiveAt.delete(member)
      }
      return 1 + others
    },
    payload: {
      produce: () => isRecent(ownLastActiveAt) ? 1 : 0,
      receive: ({ member, value, receivedAt }) => {
        if (value === 1) lastActiveAt.set(member, receivedAt)
      }
    }
  }
}
