import type { Member, MemberDirectory } from '@fuchsiastage/fleet'
import type { FleetPeerClient, TrialMessage } from '@fuchsiastage/fleet-peer'
import type { AcquireTrial } from '@fuchsiastage/forwarding'
import { keyOfCause, type RequestQuarantine } from '@fuchsiastage/request-quarantine'
import { chooseResponsible } from './responsible-member.js'

export interface RequestTrialsOptions {
  readonly members: MemberDirectory
  /** Part of the fleet whose decisions this daemon may take; see `FleetSize`. */
  readonly reachedShare: () => number
  readonly peers: Pick<FleetPeerClient, 'trial'>
  readonly self: () => Member
  readonly quarantine: Pick<RequestQuarantine, 'check' | 'grantTrial' | 'awaitTrial'>
}

export interface RequestTrials {
  /** Asks whether a quarantined request may be tried now. */
  readonly acquire: AcquireTrial
  /** Decides on a request of another daemon that considers this one responsible for the cause. */
  readonly answer: (message: TrialMessage) => boolean
}

/** A call takes a few milliseconds; the request waits for it. */
const TRIAL_CALL_MILLISECONDS = 200

/**
 * Creates the trials of quarantined requests. One daemon grants those of a cause, chosen by a hash of the
 * cause, so that one request in the fleet is tried and not one at each daemon. If it does not respond, the
 * trial is denied.
 *
 * @example
 * const trials = createRequestTrials({ members, reachedShare, peers, self, quarantine })
 * if (await trials.acquire(traits, signal)) await send()
 */
export function createRequestTrials ({ members, reachedShare, peers, self, quarantine }: RequestTrialsOptions): RequestTrials {
  const acquire: AcquireTrial = async (traits, signal) => {
    const decision = quarantine.check(traits)
    if (decision.kind === 'allowed') return true
    // Each daemon that knew no others would try one.
    if (reachedShare() < 1) return false
    const { cause } = decision
    const responsible = chooseResponsible(keyOfCause(cause), self(), members)
    if (responsible.name === self().name) return quarantine.grantTrial(traits)
    // Further requests at this daemon are not tried, whatever the response is.
    quarantine.awaitTrial(traits)
    const message: TrialMessage = cause.kind === 'prompt' ? { parts: [...traits.parts] } : { fingerprint: cause.fingerprint }
    const answer = await peers.trial(responsible.peerAddress, message, TRIAL_CALL_MILLISECONDS, signal)
    return answer.isOk && answer.value
  }

  return {
    acquire,
    answer: (message) => reachedShare() >= 1 && quarantine.grantTrial('parts' in message ? { parts: message.parts, fingerprint: '' } : { parts: [], fingerprint: message.fingerprint })
  }
}
