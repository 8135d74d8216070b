import type { EngineState, WeightsLocation } from '@fuchsiastage/types'
import type { PlacementConfiguration, PlacementTarget } from './interfaces.js'
import { isSettled, reservationKey, reservationsOf, reservationsOn, reservedMegabytes, type PlacementState, type Reservation } from './state.js'
import { isPermitted, matchesDefinition, subjectOf, type Subject } from './subject.js'
import { chooseEviction, chooseTarget, type EvictableGroup, type TargetCandidate } from './target-choice.js'

export interface PlanInput {
  readonly state: PlacementState
  readonly configuration: PlacementConfiguration
  readonly targets: ReadonlyMap<string, PlacementTarget>
  /** Newest known state of the engine; it may be out of date. */
  readonly hint: (target: string) => EngineState | undefined
  readonly epoch: number
  /** Whether an operation of this daemon on the pair is running: a load or a removal of the model on the target. */
  readonly isBusy: (target: string, model: string) => boolean
  /** Whether a load of the model on the target failed within the cooldown. */
  readonly isInCooldown: (target: string, model: string) => boolean
  readonly isEvictable: (reservation: Reservation) => boolean
  readonly valueOf: (reservation: Reservation) => number
  /** Memory, on the given target, of running loads whose intents the fold has not applied yet. */
  readonly pendingMegabytes: (target: string) => number
  /** Number of running loads of the model or adapter whose intents the fold has not applied yet. */
  readonly pendingReplicas: (name: string) => number
}

/** Next step towards a requested replica. */
export type LoadPlan =
  | { readonly kind: 'load', readonly target: PlacementTarget, readonly location: WeightsLocation }
  | { readonly kind: 'evict', readonly target: PlacementTarget, readonly victims: readonly Reservation[] }
  /** The replica limit is reached; existing reservations may still become usable. */
  | { readonly kind: 'wait' }
  /** The base model of the adapter must be loaded first, on a target that the rules permit for both. */
  | { readonly kind: 'base-first', readonly base: Subject, readonly plan: LoadPlan }
  /** No permitted target has enough free memory, and eviction cannot free it. */
  | { readonly kind: 'none' }
/**
 * Decides where a requested replica is loaded: within an existing reservation whose model is not
 * loaded, otherwise on a target with enough free memory, otherwise on a target where eviction frees
 * enough memory.
 *
 * @example
 * const plan = planLoad(subject, input)
 */
export function planLoad (subject: Subject, input: PlanInput): LoadPlan {
  const reservations = reservationsOf(input.state, subject.name)
  const repeatable = reservations.find((reservation) => canRepeatLoad(subject, reservation, input))
  if (repeatable !== undefined) {
    const target = input.targets.get(repeatable.target)
    if (target !== undefined) return { kind: 'load', target, location: locationOf(subject.name, input.hint(target.name)) }
  }
  if (reservations.length + input.pendingReplicas(subject.name) >= subject.maximumReplicas) return { kind: 'wait' }
  const permitted = [...input.targets.values()].filter((target) => isCandidate(subject, target, input))
  if (subject.baseModel !== null && !hasUsableBase(subject.baseModel, permitted, input.state)) return planBase(subject, subject.baseModel, input)
  const candidates = permitted
    .filter((target) => subject.baseModel === null || isUsableOn(subject.baseModel, target, input.state))
    .map((target) => candidateOf(subject, target, input))
  const chosen = chooseTarget(candidates, subject.memoryMegabytes, countByDataCentre(reservations, input.state))
  if (chosen !== undefined) return { kind: 'load', target: chosen.target, location: chosen.location }
  const eviction = chooseEviction(candidates, subject.memoryMegabytes)
  return eviction === undefined ? { kind: 'none' } : { kind: 'evict', ...eviction }
}

/**
 * Plans the load of an adapter's base model on the targets that the adapter's rule permits. If all
 * replicas that the limit of the base model permits are on other targets, the least valuable
 * evictable one is evicted. Without that eviction, the adapter would wait until its deadline for a
 * base model that cannot be loaded.
 */
function planBase (subject: Subject, baseModel: string, input: PlanInput): LoadPlan {
  const found = subjectOf(input.configuration, baseModel)
  if (found === undefined) return { kind: 'none' }
  const base: Subject = { ...found, dataCentres: found.dataCentres.filter((dataCentre) => subject.dataCentres.includes(dataCentre)) }
  const plan = planLoad(base, input)
  if (plan.kind !== 'wait') return { kind: 'base-first', base, plan }
  const isOnPermittedTarget = ({ target }: Reservation): boolean => {
    const listed = input.targets.get(target)
    return listed !== undefined && isPermitted(base, listed)
  }
  const reservations = reservationsOf(input.state, baseModel)
  if (reservations.some(isOnPermittedTarget) || input.pendingReplicas(baseModel) > 0) return { kind: 'base-first', base, plan }
  const victim = reservations
    .flatMap((reservation) => {
      const target = input.targets.get(reservation.target)
      const group = target === undefined ? undefined : evictableOn(subject, target, input, true).find((candidate) => candidate.reservations.includes(reservation))
      return target === undefined || group === undefined ? [] : [{ target, victims: group.reservations, value: group.value }]
    })
    .sort((left, right) => left.value - right.value)[0]
  return { kind: 'base-first', base, plan: victim === undefined ? { kind: 'none' } : { kind: 'evict', target: victim.target, victims: victim.victims } }
}

/** Returns the fastest known location of the weights for a target. */
export function locationOf (name: string, hint: EngineState | undefined): WeightsLocation {
  return hint?.cachedWeights[name] ?? 'remote'
}

function isCandidate (subject: Subject, target: PlacementTarget, input: PlanInput): boolean {
  const role = input.configuration.roles.get(target.role)
  return role?.kind === 'engine' && target.state === 'live' && input.hint(target.name)?.state !== 'leaving' &&
    isPermitted(subject, target) && !input.isBusy(target.name, subject.name) && !input.isInCooldown(target.name, subject.name) &&
    !input.state.reservations.has(reservationKey(target.name, subject.name))
}

/**
 * Whether another load order may be sent within the reservation (design document, section 8.1). On a
 * target that ignores fencing tokens, unsettled orders of the current epoch prevent it, because they
 * may still arrive.
 */
function canRepeatLoad (subject: Subject, reservation: Reservation, input: PlanInput): boolean {
  const target = input.targets.get(reservation.target)
  const hint = input.hint(reservation.target)
  if (reservation.isUsable || target === undefined || target.state !== 'live' || hint === undefined || hint.state === 'leaving') return false
  if (input.isBusy(reservation.target, reservation.model) || input.isInCooldown(reservation.target, reservation.model)) return false
  if (!isPermitted(subject, target) || !matchesDefinition(subject, reservation)) return false
  if (hint.models.some(({ model, state }) => model === reservation.model && state !== 'loaded')) return false
  if (subject.baseModel !== null && !isUsableOn(subject.baseModel, target, input.state)) return false
  if (isSettled(reservation) || input.state.targets.get(reservation.target)?.fencing === 'checked') return true
  return reservation.unsettled.every(({ epoch }) => epoch < input.epoch)
}

function isUsableOn (model: string, target: PlacementTarget, state: PlacementState): boolean {
  return state.reservations.get(reservationKey(target.name, model))?.isUsable === true
}

function hasUsableBase (baseModel: string, targets: readonly PlacementTarget[], state: PlacementState): boolean {
  return targets.some((target) => isUsableOn(baseModel, target, state))
}

function candidateOf (subject: Subject, target: PlacementTarget, input: PlanInput): TargetCandidate {
  const hint = input.hint(target.name)
  const role = input.configuration.roles.get(target.role)
  const memory = Math.min(role?.memoryMegabytes ?? 0, hint?.memoryMegabytes ?? Infinity)
  return {
    target,
    freeMegabytes: memory - reservedMegabytes(input.state, target.name) - input.pendingMegabytes(target.name),
    location: locationOf(subject.name, hint),
    evictable: () => evictableOn(subject, target, input)
  }
}

function evictableOn (subject: Subject, target: PlacementTarget, input: PlanInput, mayEvictBase = false): readonly EvictableGroup[] {
  const reservations = reservationsOn(input.state, target.name)
  return reservations
    .map((reservation) => [...reservations.filter(({ baseModel }) => baseModel === reservation.model), reservation])
    .filter((group) => group.every((reservation) => isSettled(reservation) && input.isEvictable(reservation) && (mayEvictBase || reservation.model !== subject.baseModel)))
    // If the base model of an adapter is evictable too, the adapter is evicted only together with it.
    .filter((group, index, groups) => !groups.some((other, otherIndex) => otherIndex !== index && other.includes(group.at(-1) as Reservation)))
    .map((group) => ({ reservations: group, value: group.reduce((sum, reservation) => sum + input.valueOf(reservation), 0) }))
}

function countByDataCentre (reservations: readonly Reservation[], state: PlacementState): ReadonlyMap<string, number> {
  const counts = new Map<string, number>()
  for (const { target } of reservations) {
    const dataCentre = state.targets.get(target)?.dataCentre ?? ''
    counts.set(dataCentre, (counts.get(dataCentre) ?? 0) + 1)
  }
  return counts
}
