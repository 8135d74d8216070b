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

/** What a daemon's controllers reach the outside through; tests put fakes here. */
export interface DaemonPorts {
  readonly logService: LogService
  readonly targets: TargetServices
  /** Calls to peers, given the look-ups that only the daemon can answer. */
  readonly connectPeers: (lookups: PeerLookups) => PeerCalls
}

export interface PeerLookups {
  /** Peer address of a daemon by name; undefined when the VM list does not show it. */
  readonly addressOf: (daemon: string) => string | undefined
  readonly members: () => readonly string[]
}

export interface DaemonCoreOptions {
  readonly settings: Settings
  readonly clock: Clock
  readonly logger: Logger
  /** Uniform in [0, 1). */
  readonly random: () => number
  readonly ports: DaemonPorts
}

/** All controllers of a daemon without its servers. */
export interface DaemonCore {
  readonly start: () => void
  /** Answers a caller's request. */
  readonly handle: (context: RequestContext) => Promise<Answer>
  readonly entries: (callerAddress: string) => EntriesAnswer
  readonly peerHandlers: PeerHandlers
  readonly configuration: ConfigurationController
  /** Whether the configuration may be acted on, all streams can be read and no planned stop has begun. */
  readonly isReady: () => boolean
  /** Status of each followed stream. */
  readonly streams: () => Readonly<Record<string, string>>
  readonly onFirstByte: (listener: (milliseconds: Milliseconds) => void) => void
  /** Version that each daemon has in force. */
  readonly inForce: () => Promise<unknown>
  readonly status: () => DaemonStatus
  readonly gauges: () => DaemonGauges
  /** Daemon leaves the entry answers and hands over its roles; it goes on serving requests. */
  readonly leave: () => Promise<void>
  /** Resolves when the claims of this daemon are settled, or after a bound. */
  readonly settleClaims: () => Promise<void>
  /** Ends all controllers. */
  readonly stop: () => Promise<void>
  readonly onDaemonsChanged: (listener: (peerAddresses: readonly string[]) => void) => void
}

export interface EntriesAnswer {
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
  /** Reservations for which an old order may still arrive. */
  readonly reservationsInDoubt: number
  readonly placementQueue: number
}
