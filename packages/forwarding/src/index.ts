/**
 * Forwarding of raw HTTP requests: route, deadline, placement, choice of target, sending, retries and relaying of the response.
 */
export { chooseTarget, hasLoadedModel } from './choose-target.js'
export type { TargetChoice, TargetChoiceInputs } from './choose-target.js'
export { UNCONFIRMED_REASON, UNCONFIRMED_RETRY_MILLISECONDS } from './configuration-state.js'
export type { ConfigurationState } from './configuration-state.js'
export { createDaemonStop } from './daemon-stop.js'
export type { DaemonStop, DaemonStopOptions, StopSchedule } from './daemon-stop.js'
export { createForwarder } from './forwarder.js'
export type { FinishedRequest, Forwarder, ForwarderOptions, RetrySettings } from './forwarder.js'
export { createInFlightTracker } from './in-flight.js'
export type { InFlightTracker, LoadEstimate } from './in-flight.js'
export type {
  AcquireTrial,
  AcquireTurn,
  AnswerDescription,
  HandOver,
  HandoverAnswer,
  HandoverRequest,
  HeaderCodec,
  PeerOutcome,
  PlacementAnswer,
  RequestPlacement,
  SendInRoom,
  SendToTarget,
  SystemHeaders,
  TargetAnswer,
  TargetRequest,
  TargetRooms,
  RequestedPlacement
} from './ports.js'
export { createTargetProbe } from './probe-target.js'
export type { ProbeTarget } from './probe-target.js'
export { createPrefixTracker } from './prefix-tracker.js'
export type { PrefixTracker } from './prefix-tracker.js'
export { fingerprintOf } from './request-fingerprint.js'
export type { ClientResponse, ForwardOutcome, Handover, HandoverProgress, HandoverRecord, InboundRequest, ModelDemand, PromptPart, RequestDescription, ResponseFraming, SendRecord, StatedKey } from './request.js'
export { createSender } from './send-to-target.js'
export type { SenderSettings } from './send-to-target.js'
export type { TargetProbes } from './target-probes.js'
export type { TargetReachability } from './target-reachability.js'
export { createEventSplitter } from './stream-events.js'
export type { EventSplitter, StreamEvent } from './stream-events.js'
