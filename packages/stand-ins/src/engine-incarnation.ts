import { randomUUID } from 'node:crypto'
import type { Timer } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import { expectedTokens, promptPrefix, type CompletionRequest } from './completion.js'
import type { EngineCounters } from './engine-counters.js'
import type { EngineStandInOptions, EngineTiming } from './engine-options.js'
import { createGenerationBatch, type Generation, type GenerationBatch } from './generation-batch.js'
import { createLaggedValue, type LaggedValue } from './lagged-value.js'
import { createModelOrders, type ModelOrders } from './model-orders.js'
import { createPrefixCache, type PrefixCache } from './prefix-cache.js'
import type { WeightsCache } from './weights-cache.js'

/** A generation whose event stream a client can receive and, after a disconnect, resume. */
export interface ResumableStream {
  readonly generation: Generation
  /** Cuts the connection that currently receives the events, if there is one. */
  cutConnection: (() => void) | undefined
  /** Timer that discards the stream when no client resumes it in time. */
  expiry: Timer | undefined
}

/** An accepted completion request with its id. */
export interface StartedRequest {
  readonly requestId: string
  readonly request: CompletionRequest
}

/** The state of an engine that is lost when it restarts. */
export interface EngineIncarnation {
  readonly id: string
  readonly orders: ModelOrders
  readonly batch: GenerationBatch
  readonly prefixes: PrefixCache
  readonly load: LaggedValue<{ readonly running: number, readonly waiting: number }>
  /** Starts a generation. `responseRequest` is the request to which the response belongs; it differs from `startedRequest` only while the fault `crossAnswers` is active. */
  readonly startGeneration: (startedRequest: StartedRequest, responseRequest: StartedRequest, priority: number) => ResumableStream
  readonly findStream: (streamId: string) => ResumableStream | undefined
  /** Discards and cancels the stream after `resumeMilliseconds`, unless a client resumes it before. */
  readonly scheduleExpiry: (stream: ResumableStream) => void
  /** Ends the incarnation: aborts its activities, cancels its streams and releases its memory. */
  readonly end: () => void
}

export interface IncarnationOptions {
  readonly engine: EngineStandInOptions
  readonly logger: Logger
  readonly timing: EngineTiming
  readonly counters: EngineCounters
  readonly weights: WeightsCache
  readonly slowFactor: () => number
  readonly waitWhileFrozen: () => Promise<void>
  readonly download: (model: string, weightsMegabytes: number, signal: AbortSignal) => Promise<string | undefined>
}

const DEFAULT_PREFIX_CACHE_ENTRIES = 256

/**
 * Starts an engine incarnation with no models in accelerator memory.
 *
 * @example
 * let current = createEngineIncarnation(options)
 */
export function createEngineIncarnation (options: IncarnationOptions): EngineIncarnation {
  const { engine, timing, counters, slowFactor, waitWhileFrozen } = options
  const { clock } = engine
  const id = randomUUID()
  const endController = new AbortController()
  const { signal } = endController
  const load = createLaggedValue(clock, { running: 0, waiting: 0 })
  const streams = new Map<string, ResumableStream>()
  const prefixes = createPrefixCache({
    clock,
    entries: engine.prefixCacheEntries ?? DEFAULT_PREFIX_CACHE_ENTRIES,
    lagMilliseconds: timing.cacheEventLagMilliseconds,
    gapEvery: engine.cacheEventGapEvery ?? 0
  })
  const batch = createGenerationBatch({
    clock,
    counters,
    timing,
    maximumBatch: engine.maximumBatch ?? engine.maximumConcurrent,
    slowFactor,
    waitWhileFrozen,
    onChange: load.set,
    signal
  })
  const orders = createModelOrders({
    clock,
    logger: options.logger,
    counters,
    fencing: engine.fencing,
    memoryMegabytes: engine.memoryMegabytes,
    timing,
    weights: options.weights,
    slowFactor,
    download: options.download,
    waitUntilDrained: batch.waitUntilDrained,
    waitWhileFrozen,
    onUnloaded: prefixes.evictModel,
    signal
  })

  const discardStream = (stream: ResumableStream): void => {
    streams.delete(stream.generation.streamId)
    stream.generation.cancel()
  }

  return {
    id,
    orders,
    batch,
    prefixes,
    load,
    startGeneration: (startedRequest, responseRequest, priority) => {
      const isPrefixHit = prefixes.use(startedRequest.request.model, promptPrefix(startedRequest.request.prompt))
      if (isPrefixHit) counters.prefixHit()
      const generation = batch.start({
        streamId: randomUUID(),
        requestId: startedRequest.requestId,
        responseRequestId: responseRequest.requestId,
        request: startedRequest.request,
        tokens: expectedTokens(responseRequest.request),
        priority,
        isPrefixHit
      })
      const stream: ResumableStream = { generation, cutConnection: undefined, expiry: undefined }
      streams.set(generation.streamId, stream)
      return stream
    },
    findStream: (streamId) => streams.get(streamId),
    scheduleExpiry: (stream) => {
      stream.expiry?.cancel()
      // Ending the incarnation cancels its streams, which calls this function; no timer may remain after that.
      if (signal.aborted) return
      stream.expiry = clock.setTimer(timing.resumeMilliseconds, () => discardStream(stream))
    },
    end: () => {
      endController.abort()
      for (const stream of streams.values()) {
        stream.expiry?.cancel()
        stream.generation.cancel()
      }
      orders.releaseAll()
    }
  }
}
