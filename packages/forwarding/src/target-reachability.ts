import type { Clock } from '@fuchsiastage/clock'
import type { TargetKey } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'

/** Whether this daemon can connect to targets at all. */
export interface TargetReachability {
  /** Records a connection to a target that was attempted at the given time. */
  readonly recordReached: (attemptedAt: Milliseconds) => void
  /** Records an attempt at the given time that established no connection to the target. */
  readonly recordUnreached: (target: TargetKey, attemptedAt: Milliseconds) => void
  /** Whether the last attempts at several targets failed, so that the fault is probably on this daemon's side. */
  readonly isCutOff: () => boolean
}

export interface TargetReachabilityOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** Number of targets that may receive requests. */
  readonly usableCount: () => number
}

/** Number of targets without a connection that count as all of them. A single target fails often; that the next one fails too, without a success in between, is rare. */
const CUT_OFF_TARGETS = 2

/**
 * Creates the record of whether this daemon reaches targets. A daemon that is cut off from all targets
 * sees the same as one whose targets have all ended; its peers can tell the difference.
 *
 * @example
 * const reachability = createTargetReachability({ clock, logger, usableCount: () => directory.all().length })
 * if (reachability.isCutOff()) await forwardThroughPeer()
 */
export function createTargetReachability ({ clock, logger, usableCount }: TargetReachabilityOptions): TargetReachability {
  const unreachedTargets = new Set<TargetKey>()
  let firstUnreachedAt: Milliseconds = Infinity
  let reachedAt: Milliseconds = -Infinity
  let cutOffAt: Milliseconds | undefined

  return {
    recordReached: (attemptedAt) => {
      reachedAt = Math.max(reachedAt, attemptedAt)
      // A connection from before the failed attempts may go on while new ones fail.
      if (attemptedAt < firstUnreachedAt) return
      unreachedTargets.clear()
      firstUnreachedAt = Infinity
      if (cutOffAt === undefined) return
      logger.info('this daemon reaches targets again', { event: 'targets-regained', milliseconds: Math.round(clock.now() - cutOffAt) })
      cutOffAt = undefined
    },
    recordUnreached: (target, attemptedAt) => {
      // An attempt from before the last connection tells nothing new.
      if (attemptedAt < reachedAt) return
      unreachedTargets.add(target)
      firstUnreachedAt = Math.min(firstUnreachedAt, attemptedAt)
      if (cutOffAt !== undefined || unreachedTargets.size < Math.min(CUT_OFF_TARGETS, usableCount())) return
      cutOffAt = clock.now()
      logger.warn('this daemon reached none of the targets that it tried last', { event: 'targets-lost', targets: [...unreachedTargets], known: usableCount(), sinceReached: Number.isFinite(reachedAt) ? Math.round(clock.now() - reachedAt) : null })
    },
    isCutOff: () => cutOffAt !== undefined
  }
}
