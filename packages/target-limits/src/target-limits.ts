import type { Clock } from '@fuchsiastage/clock'
import type { TargetKey } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import { createStatedFigures } from './stated-figures.js'

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

/** Time after which a limit is to be confirmed by a request. */
const CONFIRM_MILLISECONDS = 2_000

/**
 * Creates the record of the request rates to which targets limit all daemons together.
 *
 * @example
 * const limits = createTargetLimits({ clock, logger, isKnown: (target) => directory.find(target) !== undefined })
 * limits.recordAnswer(target.key, 2.5, sentAt)
 */
export function createTargetLimits ({ clock, logger, isKnown }: TargetLimitsOptions): TargetLimits {
  const figures = createStatedFigures({
    clock,
    isKnown,
    onChange: ({ target, figure, previous, source }) => logger.info('the limit that a target states has changed', { event: 'target-limit-changed', target, perSecond: figure ?? null, previous: previous ?? null, source })
  })

  return {
    recordAnswer: figures.recordAnswer,
    applyUpdates: (updates) => figures.applyUpdates(updates.map(({ requestsPerSecond, ...update }) => ({ ...update, figure: requestsPerSecond }))),
    recentUpdates: () => figures.recentUpdates().map(({ figure, ...update }) => ({ ...update, requestsPerSecond: figure })),
    limitOf: figures.figureOf,
    count: figures.count,
    isRecentlyStated: (target) => figures.figureOf(target) !== undefined && figures.ageOf(target) < CONFIRM_MILLISECONDS
  }
}
