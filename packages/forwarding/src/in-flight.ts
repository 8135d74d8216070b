import type { Clock } from '@fuchsiastage/clock'
import type { KnownTarget, TargetKey } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'
import type { ModelDemand } from './request.js'

interface Running {
  readonly tokens: number
  readonly sentAt: Milliseconds
  readonly subjects: readonly string[]
}

export interface LoadEstimate {
  readonly requests: number
  readonly tokens: number
  readonly waiting: number
}

export interface InFlight {
  /** Notes a send; the function returned notes its end. */
  readonly begin: (target: TargetKey, tokens: number, demand?: Pick<ModelDemand, 'model' | 'adapter'>) => () => void
  /**
   * Load of a target now: the newest report, and what this daemon has sent since then.
   */
  readonly estimate: (target: KnownTarget) => LoadEstimate
  readonly countOf: (target: TargetKey) => number
  readonly total: () => number
  /** Models and adapters with requests at a target, as `target model` and `target model/adapter`. */
  readonly subjectsInUse: () => readonly string[]
}

/**
 * Creates the count of this daemon's requests at targets. Reports lag, so requests that were sent
 * after a report count on top of it.
 *
 * @example
 * const end = inFlight.begin(target.key, 9190)
 * const { tokens } = inFlight.estimate(target)
 */
export function createInFlight (clock: Clock): InFlight {
  const runningAt = new Map<TargetKey, Set<Running>>()

  const begin: InFlight['begin'] = (target, tokens, demand) => {
    const running: Running = { tokens, sentAt: clock.now(), subjects: demand === undefined ? [] : subjectsOf(target, demand) }
    const known = runningAt.get(target) ?? new Set()
    runningAt.set(target, known.add(running))
    return () => {
      known.delete(running)
      if (known.size === 0 && runningAt.get(target) === known) runningAt.delete(target)
    }
  }

  const estimate = (target: KnownTarget): LoadEstimate => {
    const own = [...runningAt.get(target.key) ?? []]
    const { load, loadMeasuredAt: loadAt } = target
    const since = load === undefined || loadAt === undefined ? own : own.filter(({ sentAt }) => sentAt >= loadAt)
    const tokensOf = (list: readonly Running[]): number => list.reduce((sum, { tokens }) => sum + tokens, 0)
    return {
      requests: Math.max(own.length, (load === undefined ? 0 : load.running + load.waiting) + since.length),
      tokens: Math.max(tokensOf(own), (load?.cacheTokensUsed ?? 0) + tokensOf(since)),
      waiting: load?.waiting ?? 0
    }
  }

  return {
    begin,
    estimate,
    countOf: (target) => runningAt.get(target)?.size ?? 0,
    subjectsInUse: () => [...new Set([...runningAt.values()].flatMap((set) => [...set].flatMap(({ subjects }) => subjects)))],
    total: () => [...runningAt.values()].reduce((sum, set) => sum + set.size, 0)
  }
}

function subjectsOf (target: TargetKey, { model, adapter }: Pick<ModelDemand, 'model' | 'adapter'>): readonly string[] {
  return adapter === undefined ? [`${target} ${model}`] : [`${target} ${model}`, `${target} ${model}/${adapter}`]
}
