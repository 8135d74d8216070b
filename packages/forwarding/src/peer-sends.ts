import type { Clock } from '@fuchsiastage/clock'
import type { ServingRoute, TargetDirectory } from '@fuchsiastage/fleet'
import type { StreamOrigins } from '@fuchsiastage/stream-origins'
import { withFinalStatus } from './answer-status.js'
import { requireVersion, type DispatchProgress } from './dispatch-progress.js'
import type { HandOver, HandoverAnswer, HeaderCodec, PeerOutcome } from './ports.js'
import { relayAnswer, type RelayOutcome } from './relay.js'
import type { ForwardContext, ForwardOutcome, HandoverRecord } from './request.js'
import { isOfRequiredVersion, recordOrigin } from './resumed-streams.js'

export interface PeerSendsOptions {
  readonly clock: Clock
  readonly directory: TargetDirectory
  readonly codec: HeaderCodec
  readonly handOver: HandOver
  readonly streamOrigins: Pick<StreamOrigins, 'begin'>
}

export type PeerSendOutcome =
  /** The response of a target was relayed, or its client has left. */
  | { readonly kind: 'relayed', readonly outcome: ForwardOutcome }
  /** The request ended at the peer without a response of a target. */
  | { readonly kind: 'ended', readonly outcome: PeerOutcome }
  /** No peer has taken the request over. */
  | { readonly kind: 'declined', readonly reason: string }
  /** The peer was lost, or its response ended early; the request or the rest of its stream may be sent again if its route allows it. */
  | { readonly kind: 'lost', readonly reason: string, readonly lastEventId: string | undefined }

/** Hands a request over to a peer and relays the response. */
export type SendThroughPeer = (context: ForwardContext, route: ServingRoute, progress: DispatchProgress) => Promise<PeerSendOutcome>

/**
 * Creates the sends of requests through peers, for a daemon that cannot connect to the targets. The peer
 * chooses the target and keeps to the limits, pauses and the quarantine; this daemon relays the response.
 *
 * @example
 * const sent = await sendThroughPeer(context, route, progress)
 */
export function createPeerSends ({ clock, directory, codec, handOver, streamOrigins }: PeerSendsOptions): SendThroughPeer {
  const record = (context: ForwardContext, peer: string | undefined, result: HandoverRecord['result'], reason: string): void => {
    context.trace.handovers.push({ peer, result, reason, at: Math.round(clock.now() - context.request.receivedAt) })
  }

  /** Counts the targets that may have run the request, or the peer if it does not tell them. */
  const recordRuns = (progress: DispatchProgress, answer: Extract<HandoverAnswer, { kind: 'lost' | 'answer' }>): void => {
    const targets = answer.kind === 'answer' ? answer.mayHaveRun() ?? [] : []
    for (const target of targets.length > 0 ? targets : [`peer ${answer.peer}`]) progress.mayHaveRun.add(target)
  }

  /** A peer that runs an earlier version of this system does not state the software version of the target. */
  const versionOf = ({ softwareVersion, target }: Extract<HandoverAnswer, { kind: 'answer' }>): string | undefined => softwareVersion ?? directory.find(target)?.entry.softwareVersion

  const relay = async (context: ForwardContext, route: ServingRoute, progress: DispatchProgress, handedOver: Extract<HandoverAnswer, { kind: 'answer' }>): Promise<RelayOutcome> => {
    const { request, trace } = context
    const { target } = handedOver
    const answer = withFinalStatus(handedOver.answer)
    const softwareVersion = versionOf(handedOver)
    if (!isOfRequiredVersion(progress, softwareVersion)) {
      handedOver.answer.close()
      return { kind: 'failed', reason: 'answer-of-another-software-version', failure: { kind: 'invalid' } }
    }
    // This daemon relays the announcement too, so it keeps to it like the peer.
    if (answer.kind === 'answer' && codec.describeAnswer(answer.status, answer.rawHeaders).isLeaving) directory.recordLeaving(target, { source: 'response', request: request.description.id })
    return await relayAnswer({ clock, answer, target, codec, request, requestKind: route.requestKind, lastEventId: progress.lastEventId, timing: trace.timing, onStreamBegun: () => recordOrigin(streamOrigins, context, softwareVersion), onPause: () => undefined })
  }

  return async (context, route, progress) => {
    const { request } = context
    const answer = await handOver({ request, configurationVersion: context.configuration?.version ?? 0, hidesKey: context.configuration?.customers !== undefined, progress, isCounted: progress.isCounted }, context.signal)
    switch (answer.kind) {
      case 'declined':
        record(context, undefined, 'declined', answer.reason)
        return answer
      case 'lost':
        record(context, answer.peer, 'lost', answer.reason)
        recordRuns(progress, answer)
        return { kind: 'lost', reason: answer.reason, lastEventId: progress.lastEventId }
      case 'outcome':
        record(context, answer.peer, 'responded', `${answer.outcome.kind} ${answer.outcome.reason}`)
        return { kind: 'ended', outcome: answer.outcome }
      case 'answer':
        break
    }
    const outcome = await relay(context, route, progress, answer)
    switch (outcome.kind) {
      case 'complete':
        record(context, answer.peer, 'responded', `${answer.target} ${outcome.status}`)
        return { kind: 'relayed', outcome: { kind: 'delivered', status: outcome.status } }
      case 'server-error':
        record(context, answer.peer, 'responded', `${answer.target} ${outcome.reason}`)
        return { kind: 'relayed', outcome: outcome.deliver() }
      case 'client-gone':
        record(context, answer.peer, 'responded', 'client-gone')
        return { kind: 'relayed', outcome: { kind: 'abandoned', reason: 'client-gone' } }
      case 'not-sent':
      case 'not-executed':
      case 'failed':
      case 'broken': {
        // A peer relays only responses of targets that have run the request.
        const reason = outcome.kind === 'not-executed' ? 'answer-not-of-the-target' : outcome.reason
        record(context, answer.peer, 'lost', reason)
        recordRuns(progress, answer)
        if (outcome.kind === 'broken' && !outcome.canContinue) progress.requiredVersion = { kind: 'unknown' }
        else if (outcome.kind === 'broken' && progress.requiredVersion.kind === 'any') progress.requiredVersion = requireVersion(versionOf(answer))
        return { kind: 'lost', reason, lastEventId: outcome.kind === 'broken' ? outcome.lastEventId ?? progress.lastEventId : progress.lastEventId }
      }
    }
  }
}
