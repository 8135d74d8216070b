import type { PlacementConfiguration, PlacementTarget } from './interfaces.js'
import type { Reservation } from './state.js'

/** A model or an adapter, with the values of its definition and its rule that placement uses. */
export interface Subject {
  readonly name: string
  readonly baseModel: string | null
  readonly role: string
  readonly memoryMegabytes: number
  readonly weightsMegabytes: number
  readonly dataCentres: readonly string[]
  readonly maximumReplicas: number
  readonly minimumWarm: number
}

/**
 * Returns the model or adapter of the given name, or undefined if it or the base model of the adapter
 * is not defined, or if it has no placement rule.
 *
 * @example
 * const subject = subjectOf(configuration, 'renewal-letter')
 */
export function subjectOf (configuration: PlacementConfiguration, name: string): Subject | undefined {
  const rule = configuration.rules.get(name)
  const adapter = configuration.adapters.get(name)
  const baseModel = adapter?.model ?? null
  const model = configuration.models.get(baseModel ?? name)
  if (rule === undefined || model === undefined) return undefined
  return {
    name,
    baseModel,
    role: model.role,
    memoryMegabytes: (adapter ?? model).memoryMegabytes,
    weightsMegabytes: (adapter ?? model).weightsMegabytes,
    dataCentres: rule.dataCentres,
    maximumReplicas: rule.maximumReplicas,
    minimumWarm: rule.minimumWarm
  }
}

/** Whether the rule and the role permit the model or adapter on the target. */
export function isPermitted (subject: Subject, target: PlacementTarget): boolean {
  return subject.maximumReplicas > 0 && subject.role === target.role && subject.dataCentres.includes(target.dataCentre)
}

/** Whether memory and base model of the reservation still match the definition of the model or adapter in the configuration. */
export function matchesDefinition (subject: Subject, reservation: Reservation): boolean {
  return subject.memoryMegabytes === reservation.memoryMegabytes && subject.baseModel === reservation.baseModel
}
