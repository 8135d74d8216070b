import type { Clock } from '@fuchsiastage/clock'
import type { KnownTarget, TargetKey } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import { createSendRecord, type SendRecord } from './send-record.js'

/** Why the requests to a target are limited: it has just started, or is used again. */
export type PaceReason = 'started' | 'readmitted' | 'reachable' | 'paused'

/** What a request showed about its target. */
export type PaceEvidence =
  /** It began to answer; the time is a multiple of the usual one under the same conditions. */
  | { readonly kind: 'answer', readonly relativeTime: number }
  /** It turned the request away, failed or could not be reached. */
  | { readonly kind: 'trouble' }

export type PacedTarget = Pick<KnownTarget, 'key'> & { readonly entry: Pick<KnownTarget['entry'], 'service' | 'slots' | 'startedAt'> }

/** One request at a target. */
export interface PacedSend {
  readonly record: (evidence: PaceEvidence) => void
  readonly end: () => void
}

/** Limits on the concurrent requests of this daemon at targets that have just started or are used again. */
export interface TargetPaces {
  /** Limits the requests to a target, from the given time from now on. */
  readonly begin: (target: PacedTarget, reason: PaceReason, startsInMilliseconds?: Milliseconds) => void
  /** Whether the target may get one more request now; always true for a target without a pace. */
  readonly hasRoom: (target: PacedTarget) => boolean
  /** The same for a target that is known by its key. */
  readonly hasRoomAt: (target: TargetKey) => boolean
  /** Whether the requests to the target are limited. */
  readonly has: (target: TargetKey) => boolean
  /** Concurrent requests that this daemon may have at the target, possibly a fraction; undefined without a pace. */
  readonly limitOf: (target: TargetKey) => number | undefined
  /** Records the start of a request. */
  readonly beginSend: (target: PacedTarget) => PacedSend
  /** Number of targets whose requests are limited. */
  readonly count: () => number
}

export interface TargetPacesOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** Whether the targets of a service get a pace. */
  readonly appliesTo: (service: string) => boolean
  /** Number of daemons that send requests to the targets, including this one. */
  readonly daemonCount: () => number
  /** Source of random numbers from 0 to 1, for the time of the first request of each daemon. */
  readonly random: () => number
}

interface Pace {
  readonly reason: PaceReason
  readonly service: string
  readonly startsAt: Milliseconds
  /** Number of daemons when the pace began. */
  readonly daemons: number
  /** Slots of the target for each daemon. */
  readonly slotShare: number
  /** Infinite when the pace has been reached. */
  limit: number
  grownAt: Milliseconds
  /** Time until which the limit doesn't grow. */
  heldUntil: Milliseconds
  cutAt: Milliseconds
  cuts: number
  /** Smoothed relative time, and the best one that this daemon has seen; infinite before the first answer. */
  time: number
  best: number
  /** Part of a request that may be sent beyond the whole number of the limit. */
  credit: number
  creditedAt: Milliseconds
  /** Smoothed time of this daemon's requests at the target. */
  workMilliseconds: Milliseconds | undefined
}

/** Targets count as just started for this time; a cold one may be slow for its first 3 s. */
const STARTED_MILLISECONDS = 10_000
/** Time after which a pace ends without trouble, also if the target is slower than usual or this daemon has no requests for it. */
const LONGEST_MILLISECONDS = 10_000
/** Part of a target's slots that all daemons together use at first, at least one request. */
const INITIAL_SHARE = 0.25
/** Least part that remains after trouble, in requests of all daemons together. */
const LEAST_REQUESTS = 0.5
/** Multiple of the slots at which a pace is reached: all slots in use and as many requests waiting. */
const REACHED_SHARE = 2
/** Time in which the limit doubles without trouble. From a quarter of the slots it takes three times this to reach the pace. */
const DOUBLING_MILLISECONDS = 400
/** Time for which the limit doesn't grow after trouble. */
const HOLD_MILLISECONDS = 500
/** Responses to requests of the same moment lower the limit only once. */
const CUT_INTERVAL_MILLISECONDS = 200
const CUT_FACTOR = 0.5
/** Multiple of the target's own best time, or of the usual time, up to which responses are near it. */
const NEAR_BEST = 1.5
/** Weight of the newest answer in the smoothed time; single times differ by more than the limit of what is near the best. */
const SMOOTHING_FACTOR = 0.5
/** Multiple of the usual time that is too long even as the best; a target as slow as this is ejected. */
const SLOWEST_TIME = 4
/** Time without an answer, as a multiple of the mean time of requests, after which the limit doesn't grow. */
const UNANSWERED_FACTOR = 4
const UNANSWERED_MILLISECONDS = 1_000
/** Number of paces from which on old ones are forgotten. */
const MAXIMUM_PACES = 256
const FORGET_MILLISECONDS = 30_000
/** Bounds the rate at which credit grows. */
const MINIMUM_WORK_MILLISECONDS = 20

const smooth = (known: number | undefined, value: number): number => known === undefined ? value : known + SMOOTHING_FACTOR * (value - known)

/**
 * Creates the limits on requests to targets that have just started or are used again. All daemons begin
 * with their part of a quarter of the slots, so that together they do not flood the target; the limit
 * doubles with time and with good responses, and is halved by slow ones, refusals and failures.
 *
 * @example
 * const paces = createTargetPaces({ clock, logger, appliesTo: unevenServices.has, daemonCount: members.aliveCount, random: Math.random })
 * if (paces.hasRoom(target)) send(target)
 */
export function createTargetPaces ({ clock, logger, appliesTo, daemonCount, random }: TargetPacesOptions): TargetPaces {
  const paces = new Map<TargetKey, Pace>()
  const sends: SendRecord = createSendRecord(clock)

  const isActive = (pace: Pace | undefined): pace is Pace => pace !== undefined && pace.limit < Infinity

  const begin = ({ key, entry }: PacedTarget, reason: PaceReason, startsAt: Milliseconds): void => {
    if (!appliesTo(entry.service)) return
    const known = paces.get(key)
    const daemons = Math.max(1, daemonCount())
    const slotShare = Math.max(1, entry.slots) / daemons
    const limit = Math.max(1 / daemons, INITIAL_SHARE * slotShare)
    if (paces.size >= MAXIMUM_PACES) forgetOld()
    if (!isActive(known)) logger.info('the requests to a target are limited until it has answered well', { event: 'target-paced', target: key, reason, limit: Number(limit.toFixed(3)), daemons, slots: entry.slots })
    paces.set(key, { reason, service: entry.service, startsAt, daemons, slotShare, limit, grownAt: startsAt, heldUntil: startsAt, cutAt: -Infinity, cuts: known?.cuts ?? 0, time: Infinity, best: Infinity, credit: random(), creditedAt: startsAt, workMilliseconds: undefined })
  }

  const forgetOld = (): void => {
    for (const [key, pace] of paces) if (clock.now() - Math.max(pace.startsAt, pace.grownAt) > FORGET_MILLISECONDS) paces.delete(key)
  }

  const beginIfStarted = (target: PacedTarget): void => {
    const { startedAt } = target.entry
    // The clocks of the target and of this VM may differ, so the start may seem to be in the future.
    const ageMilliseconds = clock.wallNow() - startedAt
    if (startedAt === 0 || Math.abs(ageMilliseconds) >= STARTED_MILLISECONDS || paces.has(target.key)) return
    begin(target, 'started', clock.now() - Math.max(0, ageMilliseconds))
  }

  const reach = (key: TargetKey, pace: Pace): void => {
    pace.limit = Infinity
    logger.info('the requests to a target are no longer limited by its pace', { event: 'target-pace-reached', target: key, reason: pace.reason, milliseconds: Math.round(clock.now() - pace.startsAt), cuts: pace.cuts })
  }

  /** Raises a limit; beyond the slots only if this daemon has seen that the target is about as fast as usual. */
  const raise = (key: TargetKey, pace: Pace, limit: number): void => {
    pace.limit = pace.time <= NEAR_BEST ? limit : Math.max(pace.limit, Math.min(limit, pace.slotShare))
    const isReached = pace.limit >= REACHED_SHARE * pace.slotShare || clock.now() - pace.startsAt >= LONGEST_MILLISECONDS
    if (isReached && clock.now() >= pace.heldUntil) reach(key, pace)
  }

  /** Applies the growth with time. A target that doesn't answer stays at its limit. */
  const grow = (key: TargetKey, pace: Pace): void => {
    const now = clock.now()
    const from = Math.max(pace.grownAt, pace.heldUntil)
    pace.grownAt = Math.max(pace.grownAt, now)
    const unanswered = sends.oldestUnanswered(key)
    if (now <= from || unanswered > Math.max(UNANSWERED_MILLISECONDS, UNANSWERED_FACTOR * sends.meanMilliseconds(pace.service))) return
    raise(key, pace, pace.limit * 2 ** ((now - from) / DOUBLING_MILLISECONDS))
  }

  const cut = (pace: Pace): void => {
    const now = clock.now()
    pace.heldUntil = now + HOLD_MILLISECONDS
    if (now - pace.cutAt < CUT_INTERVAL_MILLISECONDS) return
    pace.cutAt = now
    pace.cuts++
    pace.limit = Math.max(LEAST_REQUESTS / pace.daemons, pace.limit * CUT_FACTOR)
  }

  /**
   * Whether there is room for one more request. The fraction of a limit is used up by credit, which grows so
   * that the requests of this daemon at the target are that fraction on average; daemons have few requests
   * at a time, so a permission for a certain time would mostly be unused.
   */
  const hasCredit = (key: TargetKey, pace: Pace): boolean => {
    const count = sends.count(key)
    if (count < Math.floor(pace.limit)) return true
    const now = clock.now()
    const milliseconds = pace.workMilliseconds ?? sends.meanMilliseconds(pace.service)
    pace.credit = Math.min(1, pace.credit + (pace.limit % 1) * Math.max(0, now - pace.creditedAt) / milliseconds)
    pace.creditedAt = Math.max(pace.creditedAt, now)
    return count < Math.ceil(pace.limit) && pace.credit >= 1
  }

  const hasRoomAt: TargetPaces['hasRoomAt'] = (key) => {
    const pace = paces.get(key)
    if (!isActive(pace)) return true
    grow(key, pace)
    return !isActive(pace) || (clock.now() >= pace.startsAt && hasCredit(key, pace))
  }

  const apply = (key: TargetKey, evidence: PaceEvidence): void => {
    const pace = paces.get(key)
    // What a target shows during its pause belongs to the time before.
    if (!isActive(pace) || clock.now() < pace.startsAt) return
    grow(key, pace)
    if (!isActive(pace)) return
    switch (evidence.kind) {
      case 'trouble':
        cut(pace)
        return
      case 'answer':
        pace.time = smooth(pace.time === Infinity ? undefined : pace.time, evidence.relativeTime)
        pace.best = Math.min(pace.best, pace.time)
        if (evidence.relativeTime > NEAR_BEST && pace.time > Math.min(SLOWEST_TIME, NEAR_BEST * pace.best)) cut(pace)
        else raise(key, pace, Math.min(2 * pace.limit, pace.limit + 1))
    }
  }

  return {
    begin: (target, reason, startsInMilliseconds = 0) => begin(target, reason, clock.now() + startsInMilliseconds),
    hasRoom: (target) => {
      beginIfStarted(target)
      return hasRoomAt(target.key)
    },
    hasRoomAt,
    has: (key) => isActive(paces.get(key)),
    limitOf: (key) => {
      const pace = paces.get(key)
      if (!isActive(pace)) return undefined
      grow(key, pace)
      return isActive(pace) ? pace.limit : undefined
    },
    beginSend: ({ key, entry }) => {
      const pace = paces.get(key)
      if (isActive(pace) && sends.count(key) >= Math.floor(pace.limit)) pace.credit = 0
      const send = sends.begin(key, entry.service)
      const sentAt = clock.now()
      return {
        record: (evidence) => {
          send.answer()
          apply(key, evidence)
        },
        end: () => {
          send.end()
          if (isActive(pace)) pace.workMilliseconds = smooth(pace.workMilliseconds, Math.max(MINIMUM_WORK_MILLISECONDS, clock.now() - sentAt))
        }
      }
    },
    count: () => [...paces.values()].filter(isActive).length
  }
}
