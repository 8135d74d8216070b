import type { Clock } from '@fuchsiastage/clock'
import type { KnownTarget, TargetKey } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'
import type { ModelDemand } from './request.js'

interface InFlightRequest {
  readonly tokens: number
  readonly sentAt: Milliseconds
  readonly modelKeys: readonly string[]
}

export interface LoadEstimate {
  readonly requests: number
  readonly tokens: number
  readonly waiting: number
}

export interface InFlightTracker {
  /** Records the start of a send; the returned function records its end. */
  readonly begin: (target: TargetKey, tokens: number, demand?: Pick<ModelDemand, 'model' | 'adapter'>) => () => void
  /** Estimates the current load of a target from its latest report and the requests that this daemon has sent since then. */
  readonly estimate: (target: KnownTarget) => LoadEstimate
  readonly countOf: (target: TargetKey) => number
  readonly total: () => number
  /** Models and adapters that have requests in flight, as `target model` and `target model/adapter`. */
  readonly modelsInUse: () => readonly string[]
}

/**
 * Creates the tracker of the requests that this daemon has in flight at targets. Load reports lag, so
 * requests that were sent after a report are added to the reported load.
 *
 * @example
 * const end = inFlight.begin(target.key, 9190)
 * const { tokens } = inFlight.estimate(target)
 */
export function createInFlightTracker (clock: Clock): InFlightTracker {
  const requestsByTarget = new Map<TargetKey, Set<InFlightRequest>>()

  const begin: InFlightTracker['begin'] = (target, tokens, demand) => {
    const inFlightRequest: InFlightRequest = { tokens, sentAt: clock.now(), modelKeys: demand === undefined ? [] : modelKeysOf(target, demand) }
    const targetRequests = requestsByTarget.get(target) ?? new Set()
    requestsByTarget.set(target, targetRequests.add(inFlightRequest))
    return () => {
      targetRequests.delete(inFlightRequest)
      if (targetRequests.size === 0 && requestsByTarget.get(target) === targetRequests) requestsByTarget.delete(target)
    }
  }

  const estimate = (target: KnownTarget): LoadEstimate => {
    const ownRequests = [...requestsByTarget.get(target.key) ?? []]
    const { load, loadMeasuredAt } = target
    const sentSinceReport = load === undefined || loadMeasuredAt === undefined ? ownRequests : ownRequests.filter(({ sentAt }) => sentAt >= loadMeasuredAt)
    const tokensOf = (list: readonly InFlightRequest[]): number => list.reduce((sum, { tokens }) => sum + tokens, 0)
    return {
      requests: Math.max(ownRequests.length, (load === undefined ? 0 : load.running + load.waiting) + sentSinceReport.length),
      tokens: Math.max(tokensOf(ownRequests), (load?.cacheTokensUsed ?? 0) + tokensOf(sentSinceReport)),
      waiting: load?.waiting ?? 0
    }
  }

  return {
    begin,
    estimate,
    countOf: (target) => requestsByTarget.get(target)?.size ?? 0,
    modelsInUse: () => [...new Set([...requestsByTarget.values()].flatMap((set) => [...set].flatMap(({ modelKeys }) => modelKeys)))],
    total: () => [...requestsByTarget.values()].reduce((sum, set) => sum + set.size, 0)
  }
}

function modelKeysOf (target: TargetKey, { model, adapter }: Pick<ModelDemand, 'model' | 'adapter'>): readonly string[] {
  return adapter === undefined ? [`${target} ${model}`] : [`${target} ${model}`, `${target} ${model}/${adapter}`]
}
