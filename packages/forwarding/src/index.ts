/**
 * The path of a raw HTTP request: route, deadline, placement, choice of target, sending, retries and relaying.
 */
export { chooseTarget, holdsModel } from './choose-target.js'
export type { Choice, ChoiceInputs } from './choose-target.js'
export { createForwarder } from './forwarder.js'
export type { FinishedRequest, Forwarder, ForwarderOptions, RetrySettings } from './forwarder.js'
export { createInFlight } from './in-flight.js'
export type { InFlight, LoadEstimate } from './in-flight.js'
export type {
  AnswerDescription,
  HeaderCodec,
  PlacementAnswer,
  RequestPlacement,
  SendToTarget,
  SystemHeaders,
  TargetAnswer,
  TargetRequest,
  WantedPlacement
} from './ports.js'
export { createPrefixMemory } from './prefix-memory.js'
export type { PrefixMemory } from './prefix-memory.js'
export type { ClientResponse, ForwardOutcome, InboundRequest, ModelDemand, PromptPart, RequestDescription, ResponseFraming, SendNote } from './request.js'
export { createSender } from './send-to-target.js'
export type { SenderSettings } from './send-to-target.js'
export { createEventSplitter } from './stream-events.js'
export type { EventSplitter, StreamEvent } from './stream-events.js'
