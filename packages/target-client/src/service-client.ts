import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import type { ServiceOutcome, ServiceRequest } from './outcomes.js'

export interface ServiceClientOptions {
  readonly clock: Clock
  readonly connectTimeoutMilliseconds: Milliseconds
  readonly maximumAnswerBytes: number
}

export interface ServiceClient {
  readonly call: (address: string, request: ServiceRequest, signal: AbortSignal) => Promise<ServiceOutcome>
  readonly close: () => Promise<void>
}

export declare function createServiceClient (options: ServiceClientOptions): ServiceClient
