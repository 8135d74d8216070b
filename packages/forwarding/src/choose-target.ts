import type { Clock } from '@fuchsiastage/clock'
import { hashToUnitInterval, type KnownTarget, type ServingService, type TargetKey } from '@fuchsiastage/fleet'
import type { TargetSpeeds } from '@fuchsiastage/target-pace'
import type { Milliseconds } from '@fuchsiastage/types'
import type { ChoiceSpread, SpreadInputs } from './choice-spread.js'
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
  readonly clock: Clock
  /** Learned speeds of the targets, see `firstResponseGroup`; undefined for a service whose targets count as equal. */
  readonly speeds: Pick<TargetSpeeds, 'relativeTime' | 'usualMilliseconds'> | undefined
  /** Undefined if daemons with the same load reports may choose the same target. */
  readonly spread: ChoiceSpread | undefined
  readonly route: string
  readonly objectiveMilliseconds: Milliseconds
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
/** Time for which a request is assumed to be at a target while no response of its route is known. */
const UNREPORTED_MILLISECONDS = 100

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
 * Group of the times to the first event of a route's streams, or to the responses of other routes. Models
 * differ in size, so each has its own.
 *
 * @example
 * const milliseconds = speeds.usualMilliseconds(firstResponseGroup(service.name, route.name, demand?.model), 2_890)
 */
export function firstResponseGroup (service: string, route: string, model: string | undefined): string {
  return `${service} ${route} ${model ?? ''} first`
}

/** What is the same for all candidates of a choice. */
interface ChoiceTerms {
  readonly sharedPrefix: string
  readonly spread: SpreadInputs
  /** Age of a report that doesn't exist: the time for which a request is at a target. */
  readonly unreportedMilliseconds: Milliseconds
  /** Usual time to the first event, as a share of the objective. */
  readonly objectiveShare: number
}

/**
 * Chooses the target with the lowest score. The score is the sum of load, prompt tokens to
 * process and penalties, less the affinity bonus. Load, tokens and the time of the request itself
 * count by the learned speed of the target; targets that are nearly equal are drawn by lot.
 *
 * @example
 * const choice = chooseTarget({ service, demand, candidates, dataCentre, inFlight, prefixes, isOverloaded, isLimited, weight, clock, speeds, spread, route, objectiveMilliseconds })
 */
export function chooseTarget (inputs: TargetChoiceInputs): TargetChoice | undefined {
  let best: { readonly target: KnownTarget, readonly load: LoadEstimate, readonly score: number, readonly isHealthy: boolean } | undefined
  const terms = termsOf(inputs)
  for (const target of inputs.candidates) {
    const weight = inputs.weight(target.key)
    // Ejected and unreachable targets are used only when no other target is available.
    const isHealthy = weight > 0
    if (best?.isHealthy === true && !isHealthy) continue
    const load = inputs.inFlight.estimate(target)
    const score = scoreOf(inputs, terms, target, load, weight)
    if (best === undefined || (isHealthy && !best.isHealthy) || score < best.score) best = { target, load, score, isHealthy }
  }
  return best === undefined ? undefined : { target: best.target, load: best.load }
}

function termsOf ({ service, demand, route, objectiveMilliseconds, candidates, speeds, spread }: TargetChoiceInputs): ChoiceTerms {
  const usualMilliseconds = speeds?.usualMilliseconds(firstResponseGroup(service.name, route, demand?.model), demand?.promptTokens ?? 0)
  const sharedPrefix = demand === undefined ? '' : sharedPartIds(demand).join()
  const { engine } = service
  const slots = candidates[0]?.entry.slots ?? 1
  return {
    sharedPrefix,
    spread: {
      othersPerMillisecond: spread?.recordChoice(demand === undefined ? service.name : `${service.name} ${demand.model}/${demand.adapter ?? ''}`) ?? 0,
      candidates: candidates.length,
      requestShare: engine === undefined || demand === undefined ? 1 / Math.max(1, slots) : Math.max(1 / engine.batchSlots, (demand.promptTokens + demand.maximumOutputTokens) / engine.cacheTokens),
      hasAffinity: sharedPrefix !== ''
    },
    unreportedMilliseconds: usualMilliseconds ?? UNREPORTED_MILLISECONDS,
    objectiveShare: Math.min(1, (usualMilliseconds ?? 0) / Math.max(1, objectiveMilliseconds))
  }
}

function scoreOf (inputs: TargetChoiceInputs, terms: ChoiceTerms, target: KnownTarget, load: LoadEstimate, weight: number): number {
  const { service, demand, clock } = inputs
  const distanceScore = target.entry.dataCentre === inputs.dataCentre ? 0 : OTHER_DATA_CENTRE_SCORE
  const readmissionScore = READMITTED_SCORE * (1 - Math.max(0, weight))
  const limitedScore = inputs.isLimited(target.key) ? LIMITED_SCORE : 0
  const reportAge = target.loadMeasuredAt === undefined ? terms.unreportedMilliseconds : clock.now() - target.loadMeasuredAt
  const overloadScore = service.engine !== undefined && demand !== undefined && inputs.isOverloaded(target.key) ? OVERLOADED_SCORE : 0
  const troubleScore = readmissionScore + limitedScore + overloadScore
  const commonScore = distanceScore + troubleScore + (inputs.spread?.draw(terms.spread, reportAge, troubleScore > 0) ?? 0)
  /** Adds what a target that differs from the usual takes more or less for its load and for the request itself. */
  const atSpeed = (workScore: number): number => {
    const relativeTime = inputs.speeds?.relativeTime(target.key) ?? 1
    return relativeTime === 1 ? workScore : workScore + (relativeTime - 1) * (workScore + terms.objectiveShare)
  }
  const { engine } = service
  if (engine === undefined || demand === undefined) return atSpeed(FULL_LOAD_SCORE * load.requests / Math.max(1, target.entry.slots)) + commonScore
  const uncachedTokens = Math.max(0, demand.promptTokens - inputs.prefixes.cachedTokens(target.key, demand))
  const affinityBonus = terms.sharedPrefix === '' ? 0 : AFFINITY_BONUS * hashToUnitInterval(`${terms.sharedPrefix} ${target.key}`)
  const workScore = FULL_LOAD_SCORE * Math.max(load.tokens / engine.cacheTokens, load.requests / engine.batchSlots) +
    WAITING_REQUEST_SCORE * load.waiting + PREFILL_WEIGHT * uncachedTokens / engine.cacheTokens
  return atSpeed(workScore) - affinityBonus + commonScore
}
