import type { Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import type { FencingSupport, Milliseconds, WeightsLocation } from '@fuchsiastage/types'
import { z } from 'zod'
import { commonControlSchema, type ListenOptions, type StandIn } from './http-server.js'

/** Times of an engine. */
export interface EngineTiming {
  /** One token for a batch of one. */
  readonly stepMilliseconds: Milliseconds
  /** Part by which a step grows with each further request of the batch. */
  readonly stepGrowth: number
  /** Time to first token for each thousand characters of the prompt. */
  readonly prefillMillisecondsPerThousandCharacters: Milliseconds
  /** Part of the prefill that remains after a prefix-cache hit. */
  readonly prefixHitFactor: number
  readonly memoryMegabytesPerSecond: number
  readonly diskMegabytesPerSecond: number
  /** Used when there is no weight store. */
  readonly remoteMegabytesPerSecond: number
  readonly unloadMilliseconds: Milliseconds
  readonly commentMilliseconds: Milliseconds
  readonly loadReportLagMilliseconds: Milliseconds
  readonly cacheEventLagMilliseconds: Milliseconds
  /** Time for which a stream without a client, or one that has ended, can be resumed. */
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
  readonly memoryMegabytes: number
  /** Requests accepted at once, running and waiting; 503 `busy` beyond. */
  readonly maximumConcurrent: number
  /** Requests decoded at once; further accepted ones wait by priority. Default: `maximumConcurrent`. */
  readonly maximumBatch?: number
  readonly fencing: FencingSupport
  /** Address of the weight store; without it a remote load takes its time at the remote rate. */
  readonly weightStore?: string
  readonly cachedWeights?: Readonly<Record<string, WeightsLocation>>
  /** Weights kept in host memory and on disk beside the accelerators. */
  readonly hostMemoryMegabytes?: number
  readonly diskMegabytes?: number
  readonly prefixCacheEntries?: number
  /** Each n-th cache event is never shown; 0 shows all. */
  readonly cacheEventGapEvery?: number
  readonly timing?: Partial<EngineTiming>
}

export const engineControlSchema = commonControlSchema.extend({
  state: z.enum(['live', 'leaving']),
  /** Cuts all connections and starts anew, with empty memory and a new incarnation. */
  restart: z.literal(true),
  /** Multiplies the times of steps, prefills and loads. */
  slowFactor: z.number().positive(),
  /** Cuts a stream's connection after so many of its events; applies to the next connections. */
  cutStreams: z.strictObject({ afterTokens: z.number().int().nonnegative(), times: z.number().int().nonnegative().default(1) }),
  /** The next accepted completions are answered with the answer and id of another request. */
  crossAnswers: z.number().int().nonnegative(),
  /** Answers 410 to every resume. */
  refuseResume: z.boolean(),
  /** Holds the next orders back before they are checked, so that they arrive late. */
  delayOrders: z.strictObject({ milliseconds: z.number().nonnegative(), times: z.number().int().nonnegative().default(1) }),
  /** The next orders are executed, then their connection is cut without an answer. */
  loseOrderReplies: z.number().int().nonnegative()
}).partial()

export type EngineControl = z.input<typeof engineControlSchema>

export type OrderResult = 'done' | 'refused-token' | 'failed'

export interface OrderRecord {
  readonly kind: 'load' | 'unload'
  readonly orderId: string
  readonly fencingToken: number
  readonly model: string
  readonly result: OrderResult
}

/** The time in which a model or adapter took accelerator memory, in wall time. */
export interface ReplicaInterval {
  readonly model: string
  readonly memoryMegabytes: number
  readonly from: Milliseconds
  readonly to: Milliseconds | undefined
}

export interface EngineCounts {
  readonly incarnation: string
  readonly incarnations: number
  /** Completions that arrived, by request id, accepted or not. */
  readonly arrived: Readonly<Record<string, number>>
  /** Completions that were accepted, by request id. */
  readonly started: Readonly<Record<string, number>>
  readonly finished: Readonly<Record<string, number>>
  readonly cancelled: number
  readonly resumed: number
  readonly refused: Readonly<Record<string, number>>
  readonly generatedTokens: number
  readonly prefixHits: number
  readonly peakRunning: number
  readonly orders: readonly OrderRecord[]
  readonly replicas: readonly ReplicaInterval[]
  /** Highest number of replicas of a model that this engine held at once. */
  readonly peakReplicas: Readonly<Record<string, number>>
  readonly peakMemoryMegabytes: number
  readonly peakMemoryByModel: Readonly<Record<string, number>>
  /** Load orders refused because the memory could not hold them. */
  readonly overcommitAttempts: number
  readonly frozenActivities: number
}

export type EngineStandIn = StandIn<EngineControl, EngineCounts>
