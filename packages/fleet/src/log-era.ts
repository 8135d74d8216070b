/** How the era that a response states relates to the era that a reader knows. */
export type EraRelation = 'same' | 'later' | 'earlier'

/**
 * Compares the era that a response of the log service states with the known one. A response that states
 * none, or the first one, says nothing about a change.
 *
 * @example
 * if (relateEra(era, outcome.era) === 'later') readFromStart()
 */
export function relateEra (known: number | undefined, stated: number | undefined): EraRelation {
  if (known === undefined || stated === undefined || stated === known) return 'same'
  return stated > known ? 'later' : 'earlier'
}
