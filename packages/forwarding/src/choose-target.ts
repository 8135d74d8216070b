import { hashToUnitInterval, type KnownTarget, type ServingService, type TargetKey } from '@fuchsiastage/fleet'
import type { InFlightTracker, LoadEstimate } from './in-flight.js'
import type { PrefixTracker } from './prefix-tracker.js'
import { sharedPartIds, type ModelDemand } from './request.js'

export interface TargetChoiceInputs {
  readonly service: ServingService
  readonly demand: ModelDemand | undefined
  readonly candidates: readonly KnownTarget[]
  readonly dataCentre: string
  readonly inFlight: InFlightTracker
  readonly prefixes: PrefixTracker
  /** Whether a stream of the target has recently paused for too long. */
  readonly isOverloaded: (target: TargetKey) => boolean
  /** Whether the target has recently stated a limit on the requests that it accepts. */
  readonly isLimited: (target: TargetKey) => boolean
  /** Share of its usual requests that a target receives, from 0 to 1; 0 while it is ejected or unreachable. */
  readonly weight: (target: TargetKey) => number
}

export interface TargetChoice {
  readonly target: KnownTarget
  readonly load: LoadEstimate
}

/** Score of a target whose cache memory or slots are full. */
const FULL_LOAD_SCORE = 1
/** Score of each request that already waits at a target: a waiting request means that the batch or the memory is full. */
const WAITING_REQUEST_SCORE = 0.2
/**
 * Weight of the prompt tokens that a target must process, as a share of its cache memory. Processing
 * them delays the other requests of the batch, so they weigh more than the memory that they take up.
 */
const PREFILL_WEIGHT = 3
/** Largest bonus from hashing the shared part of a prompt: it makes daemons choose the same target for the same prompt without coordination. */
const AFFINITY_BONUS = 0.06
/** Penalty for another data centre, which adds about a millisecond; it decides only between targets of nearly equal load. */
const OTHER_DATA_CENTRE_SCORE = 0.01
/** Penalty for a target whose batch is too slow for its streams; it outweighs a cached prompt of up to a tenth of the cache memory. */
const OVERLOADED_SCORE = 0.3
/** Penalty for a target that limits its requests, so that it is used when the others are loaded. */
const LIMITED_SCORE = 0.3
/** Penalty for a target that has just been readmitted after an ejection; it falls to zero as the target's weight returns to 1. */
const READMITTED_SCORE = 0.5

/**
 * Whether a target has loaded the model and the adapter of the request, according to the last known placement.
 *
 * @example
 * const candidates = directory.usable(service.name).filter((target) => hasLoadedModel(target, demand))
 */
export function hasLoadedModel (target: KnownTarget, demand: Pick<ModelDemand, 'model' | 'adapter'>): boolean {
  const model = target.placement.models.find(({ name }) => name === demand.model)
  return model !== undefined && (demand.adapter === undefined || model.adapters.includes(demand.adapter))
}

/**
 * Chooses the target with the lowest score. The score is the sum of load, prompt tokens to
 * process and penalties, less the affinity bonus.
 *
 * @example
 * const choice = chooseTarget({ service, demand, candidates, dataCentre, inFlight, prefixes, isOverloaded, weight })
 */
export function chooseTarget (inputs: TargetChoiceInputs): TargetChoice | undefined {
  let best: { readonly choice: TargetChoice, readonly score: number } | undefined
  // Ejected and unreachable targets are used only when no other target is available.
  const healthy = inputs.candidates.filter(({ key }) => inputs.weight(key) > 0)
  for (const target of healthy.length > 0 ? healthy : inputs.candidates) {
    const load = inputs.inFlight.estimate(target)
    const score = scoreOf(inputs, target, load)
    if (best === undefined || score < best.score) best = { choice: { target, load }, score }
  }
  return best?.choice
}

function scoreOf (inputs: TargetChoiceInputs, target: KnownTarget, load: LoadEstimate): number {
  const { service, demand } = inputs
  const distanceScore = target.entry.dataCentre === inputs.dataCentre ? 0 : OTHER_DATA_CENTRE_SCORE
  const readmissionScore = READMITTED_SCORE * (1 - Math.max(0, inputs.weight(target.key)))
  const limitedScore = inputs.isLimited(target.key) ? LIMITED_SCORE : 0
  const { engine } = service
  if (engine === undefined || demand === undefined) {
    return FULL_LOAD_SCORE * load.requests / Math.max(1, target.entry.slots) + distanceScore + readmissionScore + limitedScore
  }
  const overloadScore = inputs.isOverloaded(target.key) ? OVERLOADED_SCORE : 0
  const uncachedTokens = Math.max(0, demand.promptTokens - inputs.prefixes.cachedTokens(target.key, demand))
  const sharedPrefix = sharedPartIds(demand).join()
  const affinityBonus = sharedPrefix === '' ? 0 : AFFINITY_BONUS * hashToUnitInterval(`${sharedPrefix} ${target.key}`)
  return FULL_LOAD_SCORE * Math.max(load.tokens / engine.cacheTokens, load.requests / engine.batchSlots) +
    WAITING_REQUEST_SCORE * load.waiting + PREFILL_WEIGHT * uncachedTokens / engine.cacheTokens - affinityBonus + overloadScore + distanceScore + readmissionScore + limitedScore
}
