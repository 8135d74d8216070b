import type { Clock } from '@fuchsiastage/clock'
import type { TargetKey } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import Emittery from 'emittery'

export interface TargetReachabilityEvents {
  /** Emitted when this daemon counts as cut off from all targets. */
  readonly lost: undefined
  /** Emitted when it has connected to a target again. */
  readonly regained: undefined
}

/** Whether this daemon can connect to targets at all. */
export interface TargetReachability {
  readonly events: Emittery<TargetReachabilityEvents>
  /** Records a connection to a target that was attempted at the given time. */
  readonly recordReached: (target: TargetKey, attemptedAt: Milliseconds) => void
  /** Records an attempt at the given time that established no connection to the target. */
  readonly recordUnreached: (target: TargetKey, attemptedAt: Milliseconds) => void
  /** Whether the last attempts at several targets failed, so that the fault is probably on this daemon's side. */
  readonly isCutOff: () => boolean
  /** Whether the last attempt at a target failed. */
  readonly hasFailed: (target: TargetKey) => boolean
  /** Time since the last attempt that succeeded; infinite before the first one. */
  readonly sinceReached: () => Milliseconds
  /** Targets whose last attempt succeeded, the last one first. */
  readonly lastReached: () => readonly TargetKey[]
}

export interface TargetReachabilityOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** Number of targets that may receive requests. */
  readonly usableCount: () => number
}

/** Number of targets without a connection, and without a success in between, that count as all of them. Several targets may end together. */
export const CUT_OFF_TARGETS = 4

/** Number of targets that are remembered as reached or as failed. */
const REMEMBERED_TARGETS = 256

/**
 * Creates the record of whether this daemon reaches targets. A daemon that is cut off from all targets
 * sees the same as one whose targets have all ended; its peers can tell the difference.
 *
 * @example
 * const reachability = createTargetReachability({ clock, logger, usableCount: () => directory.all().length })
 * if (reachability.isCutOff()) await handOver(handover, signal)
 */
export function createTargetReachability ({ clock, logger, usableCount }: TargetReachabilityOptions): TargetReachability {
  const events = new Emittery<TargetReachabilityEvents>()
  const unreachedTargets = new Set<TargetKey>()
  /** Results of the last attempts, in their order. */
  const lastAttempts = new Map<TargetKey, 'reached' | 'failed'>()
  let firstUnreachedAt: Milliseconds = Infinity
  let reachedAt: Milliseconds = -Infinity
  let cutOffAt: Milliseconds | undefined

  const rememberAttempt = (target: TargetKey, result: 'reached' | 'failed'): void => {
    lastAttempts.delete(target)
    lastAttempts.set(target, result)
    for (const oldest of lastAttempts.keys()) {
      if (lastAttempts.size <= REMEMBERED_TARGETS) break
      lastAttempts.delete(oldest)
    }
  }

  return {
    events,
    recordReached: (target, attemptedAt) => {
      reachedAt = Math.max(reachedAt, attemptedAt)
      rememberAttempt(target, 'reached')
      // A connection from before the failed attempts may go on while new ones fail.
      if (attemptedAt < firstUnreachedAt) return
      unreachedTargets.clear()
      firstUnreachedAt = Infinity
      if (cutOffAt === undefined) return
      logger.info('this daemon reaches targets again', { event: 'targets-regained', milliseconds: Math.round(clock.now() - cutOffAt) })
      cutOffAt = undefined
      void events.emit('regained')
    },
    recordUnreached: (target, attemptedAt) => {
      rememberAttempt(target, 'failed')
      // An attempt from before the last connection tells nothing new.
      if (attemptedAt < reachedAt) return
      unreachedTargets.add(target)
      firstUnreachedAt = Math.min(firstUnreachedAt, attemptedAt)
      if (cutOffAt !== undefined || unreachedTargets.size < Math.min(CUT_OFF_TARGETS, usableCount())) return
      cutOffAt = clock.now()
      logger.warn('this daemon reached none of the targets that it tried last', { event: 'targets-lost', targets: [...unreachedTargets], known: usableCount(), sinceReached: Number.isFinite(reachedAt) ? Math.round(clock.now() - reachedAt) : null })
      void events.emit('lost')
    },
    isCutOff: () => cutOffAt !== undefined,
    hasFailed: (target) => lastAttempts.get(target) === 'failed',
    sinceReached: () => clock.now() - reachedAt,
    lastReached: () => [...lastAttempts].filter(([, result]) => result === 'reached').map(([target]) => target).reverse()
  }
}
