import { elapsedSince, type Clock, type Moment } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

export interface ConfigurationConfirmationOptions {
  readonly clock: Clock
  /** Moment at which the log service had no newer configuration; undefined before its first response. */
  readonly logCompleteAt: () => Moment | undefined
  /** Whether the configuration has customers; their requests depend on a confirmation more often than those without a route. */
  readonly hasCustomers: () => boolean
}

export interface ConfigurationConfirmation {
  /** Time since the log service last confirmed, to this daemon or through peers, that there is no newer configuration; undefined before that. */
  readonly age: () => Milliseconds | undefined
  /** Whether the age is low enough to reject keys that the configuration does not contain. */
  readonly isRecent: () => boolean
  /** Whether peers should be asked for a confirmation or a newer configuration, because the log service gives none. */
  readonly needsPeers: () => boolean
  /**
   * Records that a peer has no newer configuration than this daemon. The age is that of the peer's own
   * confirmation, counted from the start of the call to it, so that a response that is received late is not
   * taken for a recent one; undefined if the peer has none or is of an earlier version.
   */
  readonly recordPeer: (callStartedAt: Moment, age: Milliseconds | undefined) => void
}

/**
 * Age from which a configuration may lack a key that is in force. A version must apply within 3 s of its
 * acknowledgement, 2 s on some deployments.
 */
const MAXIMUM_AGE_MILLISECONDS = 2_000
/** Leaves two periods of the exchange with peers until the maximum age. */
const ASK_PEERS_FOR_CUSTOMERS_MILLISECONDS = 1_000
/** Above the age that a configuration reaches between two responses of the log service without news. */
const ASK_PEERS_MILLISECONDS = 1_700

/**
 * Creates the record of when the configuration was last confirmed to be the newest.
 *
 * @example
 * const confirmation = createConfigurationConfirmation({ clock, logCompleteAt: follower.completeAt, hasCustomers })
 * confirmation.recordPeer(callStartedAt, answer.configurationAge)
 * if (confirmation.isRecent()) rejectUnknownKey()
 */
export function createConfigurationConfirmation ({ clock, logCompleteAt, hasCustomers }: ConfigurationConfirmationOptions): ConfigurationConfirmation {
  let peerConfirmedAt: Moment | undefined

  const sinceMoment = (moment: Moment | undefined): Milliseconds => moment === undefined ? Infinity : elapsedSince(clock, moment)
  const elapsed = (): Milliseconds => Math.min(sinceMoment(peerConfirmedAt), sinceMoment(logCompleteAt()))

  return {
    age: () => {
      const age = elapsed()
      return Number.isFinite(age) ? age : undefined
    },
    isRecent: () => elapsed() <= MAXIMUM_AGE_MILLISECONDS,
    needsPeers: () => elapsed() > (hasCustomers() ? ASK_PEERS_FOR_CUSTOMERS_MILLISECONDS : ASK_PEERS_MILLISECONDS),
    recordPeer: ({ monotonic, wall }, age) => {
      if (age === undefined) return
      const confirmedAt = { monotonic: monotonic - Math.max(0, age), wall: wall - Math.max(0, age) }
      if (sinceMoment(confirmedAt) < sinceMoment(peerConfirmedAt)) peerConfirmedAt = confirmedAt
    }
  }
}
