import type { Clock } from '@fuchsiastage/clock'
import type { TargetKey } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'

/** Response of a target that asks this daemon for a pause. */
export interface StatedPause {
  readonly milliseconds: Milliseconds
  /** Identifier of the request that was turned away. */
  readonly request: string
}

/**
 * The pauses that targets have asked this daemon for. After a pause the target gets one request first, and
 * two more with each one that it answers, until it has answered several.
 */
export interface TargetPauses {
  /** Records that a target turned a request away and wants none from this daemon for some time. */
  readonly recordPause: (target: TargetKey, pause: StatedPause) => void
  /** Records that a target answered a request, sent at the given time, without turning it away. */
  readonly recordAnswer: (target: TargetKey, sentAt: Milliseconds) => void
  /** Whether the target has asked for a pause and has not answered enough requests since its end. */
  readonly has: (target: TargetKey) => boolean
  /** Time until the target may get a request; 0 if it may get one now. */
  readonly remaining: (target: TargetKey) => Milliseconds
  /** Takes the turn of a request that is sent now. */
  readonly takeTurn: (target: TargetKey) => void
  /** Targets whose pauses are not over. */
  readonly list: () => readonly TargetKey[]
}

export interface TargetPausesOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** Source of random numbers from 0 to 1, for the spread of the first requests after a pause. */
  readonly random: () => number
}

interface Pause {
  readonly until: Milliseconds
  readonly request: string
  /** Requests that may be sent after the pause now. */
  turns: number
  /** Requests that the target has answered since the pause. */
  answers: number
  /** Monotonic time at which the last turn was taken. */
  takenAt: Milliseconds
}

/** A target that asks for more gets a request after an hour all the same, so that a mistaken value does not lose it for good. */
const MAXIMUM_PAUSE_MILLISECONDS = 3_600_000
/** Longest time by which a daemon exceeds a pause, so that daemons that were turned away together do not return together. */
const MAXIMUM_SPREAD_MILLISECONDS = 1_000
/** Share of the pause by which a daemon exceeds it at most. */
const SPREAD_SHARE = 0.25
/** Requests that a target gets first after a pause, and with each one that it answers. */
const FIRST_TURNS = 1
const TURNS_FOR_ANSWER = 2
/** Answers after a pause with which it is over. */
const ANSWERS_TO_RESUME = 8
/** Time after which another request is sent if those after a pause have got no answer. */
const TRY_MILLISECONDS = 1_000
/** Time after which a request asks again for a turn after a pause; a target answers within about this time. */
const ASK_AGAIN_MILLISECONDS = 50
/** Number of targets from which on pauses that ended long ago are forgotten. */
const MAXIMUM_TRACKED_TARGETS = 256
const FORGET_MILLISECONDS = 60_000

/**
 * Creates the record of the pauses that targets have asked this daemon for.
 *
 * @example
 * const pauses = createTargetPauses({ clock, logger, random: Math.random })
 * pauses.recordPause(target.key, { milliseconds: 3_000, request: '9c41' })
 */
export function createTargetPauses ({ clock, logger, random }: TargetPausesOptions): TargetPauses {
  const pauses = new Map<TargetKey, Pause>()

  const remaining = (target: TargetKey): Milliseconds => {
    const pause = pauses.get(target)
    if (pause === undefined) return 0
    const now = clock.now()
    if (now < pause.until) return pause.until - now
    return pause.turns > 0 ? 0 : Math.min(ASK_AGAIN_MILLISECONDS, Math.max(0, pause.takenAt + TRY_MILLISECONDS - now))
  }

  const forgetOldPauses = (): void => {
    for (const [target, { until }] of pauses) if (clock.now() - until > FORGET_MILLISECONDS) pauses.delete(target)
  }

  return {
    recordPause: (target, { milliseconds, request }) => {
      if (milliseconds <= 0) return
      const duration = Math.min(MAXIMUM_PAUSE_MILLISECONDS, milliseconds)
      const until = clock.now() + duration + random() * Math.min(MAXIMUM_SPREAD_MILLISECONDS, SPREAD_SHARE * duration)
      const known = pauses.get(target)
      // Each response asks for a pause of its own, so a shorter one does not end a longer one.
      if (known !== undefined && known.until >= until) return
      if (known === undefined || clock.now() >= known.until) logger.info('a target turned a request away and wants none from this daemon for some time', { event: 'target-paused', target, request, milliseconds })
      pauses.set(target, { until, request, turns: FIRST_TURNS, answers: 0, takenAt: -Infinity })
      if (pauses.size > MAXIMUM_TRACKED_TARGETS) forgetOldPauses()
    },
    recordAnswer: (target, sentAt) => {
      const pause = pauses.get(target)
      if (pause === undefined || sentAt < pause.until) return
      pause.answers++
      pause.turns += TURNS_FOR_ANSWER
      if (pause.answers < ANSWERS_TO_RESUME) return
      pauses.delete(target)
      logger.info('a target gets requests again after its pause', { event: 'target-resumed', target, request: pause.request })
    },
    has: (target) => pauses.has(target),
    remaining,
    takeTurn: (target) => {
      const pause = pauses.get(target)
      if (pause === undefined) return
      pause.turns = Math.max(0, pause.turns - 1)
      pause.takenAt = clock.now()
    },
    list: () => [...pauses].filter(([, { until }]) => clock.now() < until).map(([target]) => target)
  }
}
