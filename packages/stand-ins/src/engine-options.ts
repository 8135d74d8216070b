import type { Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import type { FencingSupport, Milliseconds, WeightsLocation } from '@fuchsiastage/types'
import { z } from 'zod'
import { commonControlSchema, type ListenOptions, type StandIn } from './http-server.js'

/** Durations, rates and factors that determine the timing of an engine. */
export interface EngineTiming {
  /** Time of one token step of a batch with a single request. */
  readonly stepMilliseconds: Milliseconds
  /** Fraction of `stepMilliseconds` that each further request in the batch adds to a step. */
  readonly stepGrowth: number
  /** Prefill time per thousand characters of the prompt. */
  readonly prefillMillisecondsPerThousandCharacters: Milliseconds
  /** Fraction of the prefill time that remains on a prefix-cache hit. */
  readonly prefixHitFactor: number
  /** Rate at which weights are loaded from host memory. */
  readonly memoryMegabytesPerSecond: number
  /** Rate at which weights are loaded from disk. */
  readonly diskMegabytesPerSecond: number
  /** Download rate of remote weights if there is no weight store. */
  readonly remoteMegabytesPerSecond: number
  readonly unloadMilliseconds: Milliseconds
  /** Interval of the comment lines that keep an event stream alive. */
  readonly commentMilliseconds: Milliseconds
  /** Age of the load report in the engine's state. */
  readonly loadReportLagMilliseconds: Milliseconds
  /** Delay after which a prefix-cache event becomes visible. */
  readonly cacheEventLagMilliseconds: Milliseconds
  /** Time within which a stream can be resumed after its client has disconnected or its generation has ended. */
  readonly resumeMilliseconds: Milliseconds
}

export const DEFAULT_ENGINE_TIMING: EngineTiming = {
  stepMilliseconds: 25,
  stepGrowth: 0.02,
  prefillMillisecondsPerThousandCharacters: 40,
  prefixHitFactor: 0.2,
  memoryMegabytesPerSecond: 20_000,
  diskMegabytesPerSecond: 4_000,
  remoteMegabytesPerSecond: 1_000,
  unloadMilliseconds: 50,
  commentMilliseconds: 500,
  loadReportLagMilliseconds: 500,
  cacheEventLagMilliseconds: 1_000,
  resumeMilliseconds: 30_000
}

export interface EngineStandInOptions {
  readonly clock: Clock
  readonly logger?: Logger
  readonly listen?: ListenOptions
  /** Accelerator memory. */
  readonly memoryMegabytes: number
  /** Maximum number of running and waiting requests; further requests get 503 `busy`. */
  readonly maximumConcurrent: number
  /** Maximum number of requests in the batch; further accepted requests wait by priority. Default: `maximumConcurrent`. */
  readonly maximumBatch?: number
  readonly fencing: FencingSupport
  /** Address of the weight store. Without it, downloads are simulated at `remoteMegabytesPerSecond`. */
  readonly weightStore?: string
  /** Initial locations of cached weights, by model. */
  readonly cachedWeights?: Readonly<Record<string, WeightsLocation>>
  /** Capacity for weights in host memory. Default: twice `memoryMegabytes`. */
  readonly hostMemoryMegabytes?: number
  /** Capacity for weights on disk. Default: ten times `memoryMegabytes`. */
  readonly diskMegabytes?: number
  /** Maximum number of cached prompt prefixes. */
  readonly prefixCacheEntries?: number
  /** Every n-th cache event is not published; 0 publishes all events. */
  readonly cacheEventGapEvery?: number
  readonly timing?: Partial<EngineTiming>
}

export const engineControlSchema = commonControlSchema.extend({
  state: z.enum(['live', 'leaving']),
  /** Closes all connections and starts a new incarnation with empty accelerator and host memory. */
  restart: z.literal(true),
  /** Multiplies the durations of token steps, prefills, loads and unloads. */
  slowFactor: z.number().positive(),
  /** Cuts `times` stream connections, each after it has carried `afterTokens` events. */
  cutStreams: z.strictObject({ afterTokens: z.number().int().nonnegative(), times: z.number().int().nonnegative().default(1) }),
  /** Number of next accepted completions that get the response and the request id of another request. */
  crossAnswers: z.number().int().nonnegative(),
  /** Responds to every resume with 410. */
  refuseResume: z.boolean(),
  /** Delays the next orders before their fencing token is checked, as if they arrived late. */
  delayOrders: z.strictObject({ milliseconds: z.number().nonnegative(), times: z.number().int().nonnegative().default(1) }),
  /** Number of next orders that are executed but whose connection is closed without a response. */
  loseOrderReplies: z.number().int().nonnegative()
}).partial()

export type EngineControl = z.input<typeof engineControlSchema>

export type OrderResult = 'done' | 'refused-token' | 'failed'

/** One order and its result. */
export interface OrderRecord {
  readonly kind: 'load' | 'unload'
  readonly orderId: string
  readonly fencingToken: number
  readonly model: string
  readonly result: OrderResult
}

/** Interval, in wall time, during which a model or adapter occupied accelerator memory. */
export interface ReplicaInterval {
  readonly model: string
  readonly memoryMegabytes: number
  readonly from: Milliseconds
  readonly to: Milliseconds | undefined
}

export interface EngineCounts {
  readonly incarnation: string
  /** Number of incarnations so far. */
  readonly incarnations: number
  /** Received completion requests by request id, whether or not they were accepted. */
  readonly arrived: Readonly<Record<string, number>>
  /** Accepted completion requests by request id. */
  readonly started: Readonly<Record<string, number>>
  readonly finished: Readonly<Record<string, number>>
  readonly cancelled: number
  readonly resumed: number
  /** Refused completion requests by code. */
  readonly refused: Readonly<Record<string, number>>
  readonly generatedTokens: number
  readonly prefixHits: number
  readonly peakRunning: number
  readonly orders: readonly OrderRecord[]
  readonly replicas: readonly ReplicaInterval[]
  /** Highest number of concurrent replicas of each model on this engine. */
  readonly peakReplicas: Readonly<Record<string, number>>
  readonly peakMemoryMegabytes: number
  readonly peakMemoryByModel: Readonly<Record<string, number>>
  /** Load orders that failed because the accelerator memory was insufficient. */
  readonly overcommitAttempts: number
  /** Requests and background activities that wait while the stand-in is suspended. */
  readonly frozenActivities: number
}

export type EngineStandIn = StandIn<EngineControl, EngineCounts>
