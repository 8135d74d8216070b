import { hashToUnitInterval } from '@fuchsiastage/fleet'

/**
 * Chooses the relay through which a daemon reports to the lease holder; undefined if the daemon is a
 * relay itself. The square root of the daemons are relays, so that the holder and each relay have about
 * as many daemons that report to them. They change with the term of the lease. Daemons that know
 * different members may disagree on some relays, which does no harm: a daemon that receives reports
 * passes them on to the holder.
 *
 * @example
 * const relay = chooseRelay('entry-7', ['entry-1', 'entry-2', 'entry-7'], 41)
 */
export function chooseRelay (selfName: string, responsiveNames: readonly string[], term: number): string | undefined {
  const relayCount = Math.ceil(Math.sqrt(responsiveNames.length))
  const relays = responsiveNames
    .map((name) => ({ name, order: hashToUnitInterval(`${term} ${name}`) }))
    .sort((one, other) => one.order - other.order)
    .slice(0, relayCount)
    .map(({ name }) => name)
  return relays.includes(selfName) ? undefined : relays[Math.floor(hashToUnitInterval(selfName) * relays.length)]
}
