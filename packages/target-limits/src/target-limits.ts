import type { Clock } from '@fuchsiastage/clock'
import type { TargetKey } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'

/** Gossip about the limit of a target, sent from one daemon to another. */
export interface TargetLimitUpdate {
  readonly target: TargetKey
  /** Null if the target has ended its limit. */
  readonly requestsPerSecond: number | null
  /** Time since the response that stated it. */
  readonly ageMilliseconds: Milliseconds
}

export interface TargetLimits {
  /**
   * Records the limit of a response: the requests per second that the target accepts from all daemons
   * together, or undefined if it states none. A response without a limit ends the known one only if its
   * request was sent after that one had been stated.
   */
  readonly recordAnswer: (target: TargetKey, requestsPerSecond: number | undefined, sentAt: Milliseconds) => void
  /** Applies gossip that another daemon sent, where it is newer than what is known. */
  readonly applyUpdates: (updates: readonly TargetLimitUpdate[]) => void
  /** The limits that were stated or ended recently, the newest first. */
  readonly recentUpdates: () => readonly TargetLimitUpdate[]
  /** Requests per second that the target accepts from all daemons together; undefined without a limit. */
  readonly limitOf: (target: TargetKey) => number | undefined
  /** Number of targets with a limit. */
  readonly count: () => number
  /** Whether the target has stated its limit to any daemon in the last seconds. An older limit is confirmed or ended by the next response. */
  readonly isRecentlyStated: (target: TargetKey) => boolean
}

export interface TargetLimitsOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** Whether the target still exists. */
  readonly isKnown: (target: TargetKey) => boolean
}

interface StatedLimit {
  readonly requestsPerSecond: number | undefined
  /** Monotonic time of the response that stated it. */
  readonly statedAt: Milliseconds
}

/** Time after which a limit is to be confirmed by a request. */
const CONFIRM_MILLISECONDS = 2_000
/** Time for which gossip repeats a limit. Gossip reaches all daemons within a few periods, and a target in use states its limit again. */
const GOSSIP_MILLISECONDS = 5_000
/** Maximum number of limits in one message. Each takes some 40 bytes. */
const MAXIMUM_GOSSIP_UPDATES = 32
/** Time after which the limit of a target that does not exist any more is forgotten. */
const FORGET_MILLISECONDS = 60_000

/**
 * Creates the record of the request rates to which targets limit all daemons together.
 *
 * @example
 * const limits = createTargetLimits({ clock, logger, isKnown: (target) => directory.find(target) !== undefined })
 * limits.recordAnswer(target.key, 2.5, sentAt)
 */
export function createTargetLimits ({ clock, logger, isKnown }: TargetLimitsOptions): TargetLimits {
  const stated = new Map<TargetKey, StatedLimit>()

  const limitOf = (target: TargetKey): number | undefined => stated.get(target)?.requestsPerSecond

  const apply = (target: TargetKey, limit: StatedLimit, source: 'target' | 'peer'): void => {
    const previous = limitOf(target)
    stated.set(target, limit)
    if (previous === limit.requestsPerSecond) return
    logger.info('the limit that a target states has changed', { event: 'target-limit-changed', target, perSecond: limit.requestsPerSecond ?? null, previous: previous ?? null, source })
  }

  const forgetRemovedTargets = (): void => {
    for (const [target, { statedAt }] of stated) if (clock.now() - statedAt > FORGET_MILLISECONDS && !isKnown(target)) stated.delete(target)
  }

  return {
    recordAnswer: (target, requestsPerSecond, sentAt) => {
      const known = stated.get(target)
      if (requestsPerSecond === undefined && (known === undefined || sentAt <= known.statedAt)) return
      apply(target, { requestsPerSecond, statedAt: clock.now() }, 'target')
    },
    applyUpdates: (updates) => {
      for (const { target, requestsPerSecond, ageMilliseconds } of updates) {
        const statedAt = clock.now() - ageMilliseconds
        if (statedAt > (stated.get(target)?.statedAt ?? -Infinity)) apply(target, { requestsPerSecond: requestsPerSecond ?? undefined, statedAt }, 'peer')
      }
    },
    recentUpdates: () => {
      forgetRemovedTargets()
      const now = clock.now()
      return [...stated]
        .filter(([, { statedAt }]) => now - statedAt < GOSSIP_MILLISECONDS)
        .sort(([, one], [, other]) => other.statedAt - one.statedAt)
        .slice(0, MAXIMUM_GOSSIP_UPDATES)
        .map(([target, { requestsPerSecond, statedAt }]) => ({ target, requestsPerSecond: requestsPerSecond ?? null, ageMilliseconds: Math.round(now - statedAt) }))
    },
    limitOf,
    count: () => [...stated.values()].filter(({ requestsPerSecond }) => requestsPerSecond !== undefined).length,
    isRecentlyStated: (target) => limitOf(target) !== undefined && clock.now() - (stated.get(target)?.statedAt ?? -Infinity) < CONFIRM_MILLISECONDS
  }
}
