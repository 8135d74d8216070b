import type { Clock } from '@fuchsiastage/clock'
import type { PayloadHook } from '@fuchsiastage/membership'
import type { RequestTracker } from '@fuchsiastage/routing'
import type { Milliseconds } from '@fuchsiastage/types'

export interface ActiveDaemonCounter {
  /** Returns the number of daemons with recent requests to targets; this one is always counted. */
  readonly daemonsRouting: () => number
  readonly payload: PayloadHook
}

/** Longer than a daemon of a small deployment takes to probe all other members once, so that it receives a report from each. */
const ACTIVITY_WINDOW_MILLISECONDS = 60_000

/**
 * Counts the daemons with recent traffic to targets, so that the free capacity of a target can be
 * divided among them. The daemons report their traffic in membership messages.
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
