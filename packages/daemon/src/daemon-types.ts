import type { Clock } from '@fuchsiastage/clock'
import type { ConfigurationController } from '@fuchsiastage/configuration'
import type { Answer, RequestContext } from '@fuchsiastage/filters'
import type { LogService } from '@fuchsiastage/log-client'
import type { Logger } from '@fuchsiastage/logger'
import type { EntryAddress } from '@fuchsiastage/membership'
import type { PeerHandlers } from '@fuchsiastage/peer'
import type { PlacementStatus } from '@fuchsiastage/placement'
import type { Settings } from '@fuchsiastage/settings'
import type { Milliseconds } from '@fuchsiastage/types'
import type { PeerCalls } from './peer-calls.js'
import type { TargetServices } from './target-services.js'

/** The interfaces to the systems outside the daemon; tests replace them with fakes. */
export interface DaemonPorts {
  readonly logService: LogService
  readonly targets: TargetServices
  /** Creates the calls to peers with the lookups that the daemon provides. */
  readonly connectPeers: (lookups: PeerLookups) => PeerCalls
}

export interface PeerLookups {
  /** Returns the peer address of a daemon; undefined if the VM list contains none. */
  readonly addressOf: (daemon: string) => string | undefined
  readonly members: () => readonly string[]
}

export interface DaemonCoreOptions {
  readonly settings: Settings
  readonly clock: Clock
  readonly logger: Logger
  /** Returns uniformly distributed random numbers in [0, 1). */
  readonly random: () => number
  readonly ports: DaemonPorts
}

/** All controllers of a daemon, without its servers. */
export interface DaemonCore {
  readonly start: () => void
  /** Handles the request of a caller. */
  readonly handle: (context: RequestContext) => Promise<Answer>
  readonly entries: (callerAddress: string) => EntryList
  readonly peerHandlers: PeerHandlers
  readonly configuration: ConfigurationController
  /**
   * Returns whether the daemon may act on its configuration, supports the record formats of all its
   * streams, and has not started a planned stop.
   */
  readonly isReady: () => boolean
  /** Status of each followed stream. */
  readonly streams: () => Readonly<Record<string, string>>
  readonly onFirstByte: (listener: (milliseconds: Milliseconds) => void) => void
  /** Requests the configuration version that each daemon has in force. */
  readonly versionsInForce: () => Promise<unknown>
  readonly status: () => DaemonStatus
  readonly gauges: () => DaemonGauges
  /** Removes the daemon from the entry lists and hands over its roles. It continues to serve requests. */
  readonly leave: () => Promise<void>
  /** Resolves when all claims of this daemon are settled, or after a timeout. */
  readonly settleClaims: () => Promise<void>
  /** Stops all controllers. */
  readonly stop: () => Promise<void>
  readonly onDaemonsChanged: (listener: (peerAddresses: readonly string[]) => void) => void
}

export interface EntryList {
  readonly entries: readonly EntryAddress[]
  readonly keepMilliseconds: Milliseconds
}

export interface DaemonStatus {
  readonly daemon: string
  readonly members: readonly { readonly name: string, readonly dataCentre: string, readonly status: string, readonly isLeaving: boolean }[]
  readonly placement: PlacementStatus & { readonly holder: string | null }
  readonly claims: readonly { readonly partition: number, readonly holder: string | null, readonly isOwner: boolean }[]
  readonly leavingTargets: readonly string[]
  readonly reservations: readonly { readonly target: string, readonly model: string, readonly isUsable: boolean, readonly isInDoubt: boolean }[]
}

export interface DaemonGauges {
  readonly waiting: number
  readonly running: number
  readonly version: number
  readonly verifiedAgeMilliseconds: Milliseconds
  readonly isRefusing: boolean
  readonly membersAlive: number
  readonly unsettledClaims: number
  readonly rolesHeld: number
  /** Reservations for which an outdated order may still reach the target. */
  readonly reservationsInDoubt: number
  readonly placementQueue: number
}
