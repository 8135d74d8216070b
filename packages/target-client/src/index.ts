/**
 * HTTP clients for model engines, plain services and the VM list, and the relay of engine streams.
 */
export { createEngineClient } from './engine-client.js'
export type { EngineClient, EngineClientOptions } from './engine-client.js'
export { createOrderSender } from './order-sender.js'
export type { OrderDestination, OrderSender, OrderSenderOptions } from './order-sender.js'
export { createServiceClient } from './service-client.js'
export type { ServiceClient, ServiceClientOptions } from './service-client.js'
export { createVmListClient } from './vm-list-client.js'
export type { VmListClient, VmListClientOptions } from './vm-list-client.js'
export { relayStream } from './relay-stream.js'
export type { RelayOptions, RelayOutcome, RelaySettings, RelayStatistics, StreamSink } from './relay-stream.js'
export type {
  Answered,
  AnswerHeaders,
  CacheEvent,
  CacheEvents,
  CompletionOutcome,
  CompletionRequest,
  NotSent,
  RefusalCode,
  Refused,
  ResumeOutcome,
  ServiceOutcome,
  ServiceRequest,
  SourceChunk,
  Streaming,
  StreamSource,
  Unknown
} from './outcomes.js'
