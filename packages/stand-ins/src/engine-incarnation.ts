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

/** A generation that clients can be attached to. */
export interface ResumableStream {
  readonly generation: Generation
  /** Cuts the connection that now receives the events, if any. */
  cutConnection: (() => void) | undefined
  expiry: Timer | undefined
}

export interface StartedRequest {
  readonly requestId: string
  readonly request: CompletionRequest
}

/** All that is lost when an engine restarts. */
export interface EngineIncarnation {
  readonly id: string
  readonly orders: ModelOrders
  readonly batch: GenerationBatch
  readonly prefixes: PrefixCache
  readonly load: LaggedValue<{ readonly running: number, readonly waiting: number }>
  /** `answered` differs from `started` only while the crossing fault acts. */
  readonly begin: (started: StartedRequest, answered: StartedRequest, priority: number) => ResumableStream
  readonly findStream: (streamId: string) => ResumableStream | undefined
  /** Forgets the stream, and cancels it, unless a client resumes it in time. */
  readonly scheduleExpiry: (stream: ResumableStream) => void
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

const DEFAULT_PREFIX_ENTRIES = 256

/**
 * Starts an incarnation with empty accelerators.
 *
 * @example
 * let current = createEngineIncarnation(options)
 */
export function createEngineIncarnation (options: IncarnationOptions): EngineIncarnation {
  const { engine, timing, counters, slowFactor, waitWhileFrozen } = options
  const { clock } = engine
  const id = randomUUID()
  const ending = new AbortController()
  const { signal } = ending
  const load = createLaggedValue(clock, { running: 0, waiting: 0 })
  const streams = new Map<string, ResumableStream>()
  const prefixes = createPrefixCache({
    clock,
    entries: engine.prefixCacheEntries ?? DEFAULT_PREFIX_ENTRIES,
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

  const forget = (stream: ResumableStream): void => {
    streams.delete(stream.generation.streamId)
    stream.generation.cancel()
  }

  return {
    id,
    orders,
    batch,
    prefixes,
    load,
    begin: (started, answered, priority) => {
      const isPrefixHit = prefixes.use(started.request.model, promptPrefix(started.request.prompt))
      if (isPrefixHit) counters.prefixHit()
      const generation = batch.start({
        streamId: randomUUID(),
        requestId: started.requestId,
        responseRequestId: answered.requestId,
        request: started.request,
        tokens: expectedTokens(answered.request),
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
      // Streams that end with the incarnation must not leave a timer behind.
      if (signal.aborted) return
      stream.expiry = clock.setTimer(timing.resumeMilliseconds, () => forget(stream))
    },
    end: () => {
      ending.abort()
      for (const stream of streams.values()) {
        stream.expiry?.cancel()
        stream.generation.cancel()
      }
      orders.releaseAll()
    }
  }
}
