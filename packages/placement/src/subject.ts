import type { PlacementConfiguration, PlacementTarget } from './interfaces.js'
import type { Reservation } from './state.js'

/** A model or an adapter as placement sees it. */
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
 * Looks a model or adapter up; undefined when it does not exist or no rule permits it.
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

/** Whether the rule in force permits the model or adapter on the target. */
export function isPermitted (subject: Subject, target: PlacementTarget): boolean {
  return subject.maximumReplicas > 0 && subject.role === target.role && subject.dataCentres.includes(target.dataCentre)
}

/** Whether a load within the reservation would load what the configuration describes. */
export function isSameDefinition (subject: Subject, reservation: Reservation): boolean {
  return subject.memoryMegabytes === reservation.memoryMegabytes && subject.baseModel === reservation.baseModel
}
