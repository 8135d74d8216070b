import type { Clock } from '@fuchsiastage/clock'
import type { CustomerAllowance } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'
import type { FleetView } from './messages.js'

export interface LocalAllowance {
  /**
   * Takes the cost of a request, if it fits. `statedLevel` is the level of the issuer's bucket that it
   * stated last, if it did.
   */
  readonly take: (allowance: Pick<CustomerAllowance, 'perSecond' | 'burst'>, cost: number, statedLevel: number | undefined) => boolean
}

/**
 * Share of the daemon's part of the rate. The other half is left to the issuer, which may still respond to
 * other daemons until it counts this one as unresponsive. A limit is about 1.8 times the usual use.
 */
const RATE_SHARE = 0.5
const BURST_SHARE = 0.25
/** Time without a local decision after which the level that the issuer stated last applies again. */
const PHASE_MILLISECONDS = 500
const MILLISECONDS_PER_SECOND = 1_000

/**
 * Creates the allowance that a daemon grants alone while the issuer does not respond. Its level never becomes
 * negative: all daemons may do the same at the same time.
 *
 * @example
 * const local = createLocalAllowance(clock, () => ({ responsive: 60, known: 68 }))
 * const isGranted = local.take({ perSecond: 313_479, burst: 313_479 }, 200, undefined)
 */
export function createLocalAllowance (clock: Clock, fleet: () => FleetView): LocalAllowance {
  let level: number | undefined
  let refilledAt: Milliseconds = -Infinity
  return {
    take: ({ perSecond, burst }, cost, statedLevel) => {
      const now = clock.now()
      const known = Math.max(1, fleet().known)
      const capacity = BURST_SHARE * burst / known
      const refilled = level === undefined ? capacity : level + RATE_SHARE * perSecond / known * (now - refilledAt) / MILLISECONDS_PER_SECOND
      const isFirst = now - refilledAt > PHASE_MILLISECONDS
      level = Math.min(capacity, refilled, isFirst && statedLevel !== undefined ? Math.max(0, statedLevel) / known : Infinity)
      refilledAt = now
      if (level < cost) return false
      level -= cost
      return true
    }
  }
}
