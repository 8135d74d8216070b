import type { AllowanceUnit } from '@fuchsiastage/fleet'

/**
 * Returns the key under which the amounts of a customer are kept. After a change of the unit, amounts in the
 * earlier one do not count; daemons with the earlier configuration still use it for some seconds.
 *
 * @example
 * const bucket = buckets.get(amountKey('hule930', 'tokens'))
 */
export function amountKey (customer: string, unit: AllowanceUnit): string {
  return `${unit} ${customer}`
}
