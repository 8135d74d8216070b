import type { Clock } from '@fuchsiastage/clock'
import type { PayloadHook } from '@fuchsiastage/membership'
import type { RequestTracker } from '@fuchsiastage/routing'
import type { Milliseconds } from '@fuchsiastage/types'

export interface TrafficCount {
  /** Daemons that have lately sent requests to targets, this one included. */
  readonly daemonsRouting: () => number
  readonly payload: PayloadHook
}

/** Longer than a round of probes over the members of a small deployment. */
const RECENT_MILLISECONDS = 60_000

/**
 * Counts the daemons with recent traffic from what membership exchanges carry, so that the free
 * places of a target are shared among those that use them.
 *
 * @example
 * const traffic = createTrafficCount(clock, tracker)
 * membership.attachPayload('t', traffic.payload)
 */
export function createTrafficCount (clock: Clock, tracker: Pick<RequestTracker, 'onEnd'>): TrafficCount {
  const activeAt = new Map<string, Milliseconds>()
  let ownActiveAt = -Infinity
  tracker.onEnd(() => { ownActiveAt = clock.now() })

  const isRecent = (time: Milliseconds): boolean => clock.now() - time < RECENT_MILLISECONDS
  return {
    daemonsRouting: () => {
      let others = 0
      for (const [member, time] of activeAt) {
        if (isRecent(time)) others++
        else activeAt.delete(member)
      }
      return 1 + others
    },
    payload: {
      produce: () => isRecent(ownActiveAt) ? 1 : 0,
      receive: ({ member, value, receivedAt }) => {
        if (value === 1) activeAt.set(member, receivedAt)
      }
    }
  }
}
