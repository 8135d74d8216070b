import { hashToUnitInterval, type KnownTarget, type ServingService, type TargetKey } from '@fuchsiastage/fleet'
import type { InFlight, LoadEstimate } from './in-flight.js'
import type { PrefixMemory } from './prefix-memory.js'
import type { ModelDemand } from './request.js'

export interface ChoiceInputs {
  readonly service: ServingService
  readonly demand: ModelDemand | undefined
  readonly candidates: readonly KnownTarget[]
  readonly dataCentre: string
  readonly inFlight: InFlight
  readonly prefixes: PrefixMemory
  /** Whether streams of the target pause for too long at present. */
  readonly isStrained: (target: TargetKey) => boolean
  /** Part of its requests that a target may get; 0 while it is left out for failures. */
  readonly weight: (target: TargetKey) => number
}

export interface Choice {
  readonly target: KnownTarget
  readonly load: LoadEstimate
}

/** Score of a target whose cache memory or slots are all taken. */
const FULL_SCORE = 1
/** Score of one request that waits at a target already: it tells of a full batch or memory. */
const WAITING_SCORE = 0.2
/**
 * Weight of the prompt tokens that a target must read, as a share of its cache memory. Reading
 * delays the other requests of the batch, so it weighs more than the memory alone.
 */
const PREFILL_WEIGHT = 3
/** Largest bonus by which daemons that know nothing of each other send equal prompts to the same target. */
const AFFINITY_BONUS = 0.06
/** Decides between targets of equal load: distance costs about a millisecond. */
const OTHER_DATA_CENTRE_SCORE = 0.01
/** Score of a target whose batch is too slow for its streams: more than the prompts that it keeps are worth. */
const STRAINED_SCORE = 0.3
/** Score of a target that has just been readmitted. */
const READMITTED_SCORE = 0.5

/**
 * Whether a target holds what the request needs, as far as is known.
 *
 * @example
 * const candidates = directory.usable(service.name).filter((target) => holdsModel(target, demand))
 */
export function holdsModel (target: KnownTarget, demand: Pick<ModelDemand, 'model' | 'adapter'>): boolean {
  const model = target.placement.models.find(({ name }) => name === demand.model)
  return model !== undefined && (demand.adapter === undefined || model.adapters.includes(demand.adapter))
}

/**
 * Chooses the target with the lowest score: load, prompt tokens to be read, distance.
 *
 * @example
 * const choice = chooseTarget({ service, demand, candidates, dataCentre, inFlight, prefixes, weight })
 */
export function chooseTarget (inputs: ChoiceInputs): Choice | undefined {
  let best: { readonly choice: Choice, readonly score: number } | undefined
  // A target that is left out gets a request only when there is no other.
  const trusted = inputs.candidates.filter(({ key }) => inputs.weight(key) > 0)
  for (const target of trusted.length > 0 ? trusted : inputs.candidates) {
    const load = inputs.inFlight.estimate(target)
    const score = scoreOf(inputs, target, load)
    if (best === undefined || score < best.score) best = { choice: { target, load }, score }
  }
  return best?.choice
}

function scoreOf (inputs: ChoiceInputs, target: KnownTarget, load: LoadEstimate): number {
  const { service, demand } = inputs
  const distance = target.entry.dataCentre === inputs.dataCentre ? 0 : OTHER_DATA_CENTRE_SCORE
  const distrust = READMITTED_SCORE * (1 - Math.max(0, inputs.weight(target.key)))
  const { engine } = service
  if (engine === undefined || demand === undefined) {
    return FULL_SCORE * load.requests / Math.max(1, target.entry.slots) + distance + distrust
  }
  const strain = inputs.isStrained(target.key) ? STRAINED_SCORE : 0
  const unread = Math.max(0, demand.promptTokens - inputs.prefixes.keptTokens(target.key, demand))
  const shared = demand.promptParts.slice(0, -1).map(({ id }) => id).join()
  const affinity = shared === '' ? 0 : AFFINITY_BONUS * hashToUnitInterval(`${shared} ${target.key}`)
  return FULL_SCORE * Math.max(load.tokens / engine.cacheTokens, load.requests / engine.batchSlots) +
    WAITING_SCORE * load.waiting + PREFILL_WEIGHT * unread / engine.cacheTokens - affinity + strain + distance + distrust
}
