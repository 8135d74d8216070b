import type { Clock } from '@fuchsiastage/clock'
import type { TargetKey } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'

export interface TargetLimits {
  /**
   * Records the limit of a response: the requests per second that the target accepts from all daemons
   * together, or undefined if it states none. A response without a limit ends the known one only if its
   * request was sent after that one had been stated.
   */
  readonly recordAnswer: (target: TargetKey, requestsPerSecond: number | undefined, sentAt: Milliseconds) => void
  /** Requests per second that the target accepts from all daemons together; undefined without a limit. */
  readonly limitOf: (target: TargetKey) => number | undefined
}

interface StatedLimit {
  readonly requestsPerSecond: number | undefined
  /** Monotonic time of the response that stated it. */
  readonly statedAt: Milliseconds
}

/**
 * Creates the record of the request rates to which targets limit all daemons together.
 *
 * @example
 * const limits = createTargetLimits({ clock, logger })
 * limits.recordAnswer(target.key, 2.5, sentAt)
 */
export function createTargetLimits ({ clock, logger }: { readonly clock: Clock, readonly logger: Logger }): TargetLimits {
  const stated = new Map<TargetKey, StatedLimit>()

  const limitOf = (target: TargetKey): number | undefined => stated.get(target)?.requestsPerSecond

  const apply = (target: TargetKey, limit: StatedLimit, source: 'target' | 'peer'): void => {
    const previous = limitOf(target)
    stated.set(target, limit)
    if (previous === limit.requestsPerSecond) return
    logger.info('the limit that a target states has changed', { event: 'target-limit-changed', target, perSecond: limit.requestsPerSecond ?? null, previous: previous ?? null, source })
  }

  return {
    recordAnswer: (target, requestsPerSecond, sentAt) => {
      const known = stated.get(target)
      if (requestsPerSecond === undefined && (known === undefined || sentAt <= known.statedAt)) return
      apply(target, { requestsPerSecond, statedAt: clock.now() }, 'target')
    },
    limitOf
  }
}
