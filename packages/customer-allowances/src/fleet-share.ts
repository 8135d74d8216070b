import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import type { FleetView } from './messages.js'

export interface FleetShare {
  /** Records the present share; call it several times a second. */
  readonly observe: () => void
  /** Share of the known daemons that are responsive, from 0 to 1. */
  readonly current: () => number
}

/** Time within which all daemons learn that a partition is over; until then the issuers of both sides may be in use. */
export const AGREEMENT_MILLISECONDS = 2_000

/**
 * Creates the share of an allowance that an issuer may grant: the lowest share of responsive daemons
 * in the last two seconds. After a partition, the issuers of both sides together stay below the limit
 * until all daemons ask the same one. In the first two seconds after the start the present share applies.
 *
 * @example
 * const share = createFleetShare(clock, () => ({ responsive: 66, known: 68 }))
 * const perSecond = allowance.perSecond * share.current()
 */
export function createFleetShare (clock: Clock, view: () => FleetView): FleetShare {
  const startedAt = clock.now()
  let observations: ReadonlyArray<{ readonly at: Milliseconds, readonly share: number }> = []
  const present = (): number => {
    const { responsive, known } = view()
    return Math.min(1, Math.max(1, responsive) / Math.max(1, known))
  }
  return {
    observe: () => {
      const now = clock.now()
      // A daemon that has just started has not heard of the others yet.
      if (now - startedAt < AGREEMENT_MILLISECONDS || !Number.isFinite(view().known)) return
      observations = [...observations.filter(({ at }) => now - at < AGREEMENT_MILLISECONDS), { at: now, share: present() }]
    },
    current: () => {
      const now = clock.now()
      if (now - startedAt < AGREEMENT_MILLISECONDS) return present()
      return observations.reduce((lowest, { at, share }) => now - at < AGREEMENT_MILLISECONDS ? Math.min(lowest, share) : lowest, present())
    }
  }
}
