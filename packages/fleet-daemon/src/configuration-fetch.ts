import type { Clock } from '@fuchsiastage/clock'
import type { Member } from '@fuchsiastage/fleet'
import type { FleetPeerClient, RelayedDocument } from '@fuchsiastage/fleet-peer'
import type { Logger } from '@fuchsiastage/logger'

export interface ConfigurationFetchOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly peers: Pick<FleetPeerClient, 'configuration'>
  /** Version of the active configuration; undefined if there is none. */
  readonly version: () => number | undefined
  readonly accept: (document: RelayedDocument) => void
}

export interface ConfigurationFetch {
  /** Fetches the configuration of a peer that has stated a newer version, unless a fetch is in progress. Resolves when the fetch has ended. */
  readonly start: (peer: Member, version: number) => Promise<void>
}

/** The log service usually delivers a new version to all daemons within this time. */
const LOG_DELIVERY_MILLISECONDS = 300
/** A large configuration takes about half a second over a slow link that carries nothing else. */
const FETCH_TIMEOUT_MILLISECONDS = 4_000

/**
 * Creates the fetch of newer configurations from peers, for a daemon to which the log service does not deliver
 * them. Fetches run one at a time, because several copies of a large configuration would share a slow link, and
 * apart from the exchanges with peers, whose short time-out shows which peers respond.
 *
 * @example
 * const fetch = createConfigurationFetch({ clock, logger, peers, version, accept })
 * if (answer.configurationVersion > version()) void fetch.start(peer, answer.configurationVersion)
 */
export function createConfigurationFetch ({ clock, logger, peers, version: currentVersion, accept }: ConfigurationFetchOptions): ConfigurationFetch {
  let isFetching = false
  /** Version that a peer has sent and that this daemon cannot decode. */
  let unusableVersion = -Infinity

  const isWanted = (version: number): boolean => version > Math.max(unusableVersion, currentVersion() ?? -Infinity)

  const fetchFrom = async ({ name, peerAddress }: Member, version: number): Promise<void> => {
    await clock.sleep(LOG_DELIVERY_MILLISECONDS)
    if (!isWanted(version)) return
    const startedAt = clock.now()
    const answer = await peers.configuration(peerAddress, FETCH_TIMEOUT_MILLISECONDS)
    if (answer.isErr) {
      logger.info('could not fetch the configuration of a peer', { event: 'configuration-fetch-failed', member: name, version, milliseconds: Math.round(clock.now() - startedAt), reason: answer.error.message })
      return
    }
    if (answer.value === undefined) return
    accept(answer.value)
    if (isWanted(version)) unusableVersion = version
  }

  return {
    start: async (peer, version) => {
      if (isFetching || !isWanted(version)) return
      isFetching = true
      try {
        await fetchFrom(peer, version)
      } finally {
        isFetching = false
      }
    }
  }
}
