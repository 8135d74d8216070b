import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

/** What one choice must know to estimate the requests of other daemons that load reports don't contain yet. */
export interface SpreadInputs {
  /** Requests that other daemons send for the same subject in a millisecond. */
  readonly othersPerMillisecond: number
  readonly candidates: number
  /** Load of one request, as a share of a target's capacity. */
  readonly requestShare: number
  /** Whether daemons prefer the same target for the same prompt; then only the expected load counts, so that they still agree. */
  readonly hasAffinity: boolean
}

export interface ChoiceSpread {
  /** Records the choice of a target for a service or a model, and estimates how many requests the other daemons send for it. */
  readonly recordChoice: (subject: string) => number
  /** Draws the load that other daemons may have added to a target since its report; for a target in trouble it is the largest, so that chance doesn't favour it. */
  readonly draw: (inputs: SpreadInputs, ageMilliseconds: Milliseconds, isInTrouble: boolean) => number
}

export interface ChoiceSpreadOptions {
  readonly clock: Clock
  readonly random: () => number
  readonly daemonCount: () => number
}

/** Time over which the choices of this daemon are counted. */
const RATE_MILLISECONDS = 2_000
/** Older reports say nothing: the requests that they lack have ended by now. */
const MAXIMUM_AGE_MILLISECONDS = 1_000
/** Bounds the random part by the score of a full target. */
const MAXIMUM_SCALE = 1
/** Requests by which targets count as nearly equal while other daemons may have sent some. */
const NEARLY_EQUAL_REQUESTS = 1
/** Weight of the unseen requests of each target; with 1, daemons with stale reports still made the busiest of 20 targets 3.3 times as busy as the mean. */
const UNSEEN_WEIGHT = 2
/** Draw of a target in trouble: one of 1,600 is larger, so it isn't chosen by chance. */
const TROUBLE_DRAW = 2
/** Keeps the logarithms finite. */
const MINIMUM_RANDOM = 1e-12
const MAXIMUM_SUBJECTS = 4_096
/** Time for which the number of daemons is kept; counting them takes time in proportion to it. */
const COUNT_MILLISECONDS = 500

/**
 * Creates the random part of the scores of targets. Daemons with the same load reports would all choose the
 * target with the lowest load. Its scale is the load that they may have added meanwhile, and its distribution
 * makes the probability of a target an exponential function of its score, however many targets there are.
 *
 * @example
 * const spread = createChoiceSpread({ clock, random: Math.random, daemonCount: () => 63 })
 * const othersPerMillisecond = spread.recordChoice('ledger')
 * const score = load + spread.draw({ othersPerMillisecond, candidates: 8, requestShare: 1 / 6, hasAffinity: false }, 300, false)
 */
export function createChoiceSpread ({ clock, random, daemonCount }: ChoiceSpreadOptions): ChoiceSpread {
  const rates = new Map<string, { readonly choices: number, readonly at: Milliseconds }>()

  let count = 1
  let countedAt = -Infinity
  const otherDaemons = (): number => {
    if (clock.now() - countedAt >= COUNT_MILLISECONDS) {
      count = daemonCount()
      countedAt = clock.now()
    }
    return count - 1
  }

  return {
    recordChoice: (subject) => {
      const now = clock.now()
      const known = rates.get(subject)
      const choices = 1 + (known === undefined ? 0 : known.choices * Math.exp((known.at - now) / RATE_MILLISECONDS))
      if (known === undefined && rates.size >= MAXIMUM_SUBJECTS) rates.clear()
      rates.set(subject, { choices, at: now })
      return otherDaemons() * choices / RATE_MILLISECONDS
    },
    draw: ({ othersPerMillisecond, candidates, requestShare, hasAffinity }, ageMilliseconds, isInTrouble) => {
      if (othersPerMillisecond === 0) return 0
      const unseen = othersPerMillisecond * Math.min(MAXIMUM_AGE_MILLISECONDS, Math.max(0, ageMilliseconds))
      const requests = UNSEEN_WEIGHT * unseen / candidates + (hasAffinity ? 0 : NEARLY_EQUAL_REQUESTS * Math.min(1, unseen))
      const scale = Math.min(MAXIMUM_SCALE, requestShare * requests)
      return scale * (isInTrouble ? TROUBLE_DRAW : Math.log(-Math.log(Math.max(MINIMUM_RANDOM, random()))))
    }
  }
}
