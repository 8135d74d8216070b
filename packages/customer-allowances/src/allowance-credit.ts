import type { CustomerAllowance } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'
import type { FleetView } from './messages.js'

/** By how much all daemons together may exceed an allowance within a window. */
export interface AllowanceTolerance {
  readonly windowMilliseconds: Milliseconds
  /** Share of what the allowance permits in a window. */
  readonly share: number
  /** Units in addition to the share. */
  readonly units: number
}

/** Part of the tolerance that grants on credit may use up; changes of the issuer use the rest. */
const CREDIT_SHARE = 0.25
const MILLISECONDS_PER_SECOND = 1_000

/**
 * Returns the units that one daemon may grant before the issuer knows of them. All daemons together then
 * exceed the allowance by at most a part of what is tolerated; without a tolerance, nothing is granted on credit.
 *
 * @example
 * const units = creditOf(allowance, { windowMilliseconds: 8_000, share: 0.1, units: 72_000 }, { responsive: 68, known: 68 })
 */
export function creditOf ({ perSecond, burst }: Pick<CustomerAllowance, 'perSecond' | 'burst'>, { windowMilliseconds, share, units }: AllowanceTolerance, { known }: FleetView): number {
  return CREDIT_SHARE * (share * (perSecond * windowMilliseconds / MILLISECONDS_PER_SECOND + burst) + units) / Math.max(1, known)
}
