import type { Member, MemberDirectory } from '@fuchsiastage/fleet'
import type { FleetPeerClient } from '@fuchsiastage/fleet-peer'
import type { AcquireTrial } from '@fuchsiastage/forwarding'
import type { RequestQuarantine } from '@fuchsiastage/request-quarantine'
import { chooseResponsible } from './responsible-member.js'

export interface RequestTrialsOptions {
  readonly members: MemberDirectory
  readonly peers: Pick<FleetPeerClient, 'trial'>
  readonly self: () => Member
  readonly quarantine: Pick<RequestQuarantine, 'check' | 'grantTrial' | 'awaitTrial'>
}

/** A call takes a few milliseconds; the request waits for it. */
const TRIAL_CALL_MILLISECONDS = 200

/**
 * Creates the function that asks for trials of quarantined prompts. One daemon grants them, chosen by a
 * hash of the prompt parts, so that one request in the fleet is tried and not one at each daemon. If it
 * does not respond, the trial is denied.
 *
 * @example
 * const acquireTrial = createRequestTrials({ members, peers, self, quarantine })
 * if (await acquireTrial(parts, signal)) await send()
 */
export function createRequestTrials ({ members, peers, self, quarantine }: RequestTrialsOptions): AcquireTrial {
  return async (parts, signal) => {
    const decision = quarantine.check(parts)
    if (decision.kind === 'allowed') return true
    const responsible = chooseResponsible(decision.parts.join(), self(), members)
    if (responsible.name === self().name) return quarantine.grantTrial(parts)
    // Further requests at this daemon are not tried, whatever the response is.
    quarantine.awaitTrial(parts)
    const answer = await peers.trial(responsible.peerAddress, { parts: [...parts] }, TRIAL_CALL_MILLISECONDS, signal)
    return answer.isOk && answer.value
  }
}
