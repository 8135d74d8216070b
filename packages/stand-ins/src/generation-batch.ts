import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import type { CompletionRequest } from './completion.js'
import type { EngineCounters } from './engine-counters.js'
import type { EngineTiming } from './engine-options.js'

/** One completion that is waiting, running or has ended. */
export interface Generation {
  readonly streamId: string
  /** Request id in the response headers; differs from that of the request while the fault `crossAnswers` is active. */
  readonly responseRequestId: string
  readonly request: CompletionRequest
  readonly tokens: readonly string[]
  /** Number of tokens generated so far. */
  readonly emitted: () => number
  readonly status: () => 'active' | 'finished' | 'cancelled'
  /** Calls back after each token and at the end. Returns a function that removes the callback. */
  readonly onProgress: (callback: () => void) => () => void
  readonly cancel: () => void
}

export interface GenerationStart {
  readonly streamId: string
  readonly requestId: string
  readonly responseRequestId: string
  readonly request: CompletionRequest
  readonly tokens: readonly string[]
  readonly priority: number
  readonly isPrefixHit: boolean
}

export interface GenerationBatchOptions {
  readonly clock: Clock
  readonly counters: EngineCounters
  readonly timing: EngineTiming
  readonly maximumBatch: number
  readonly slowFactor: () => number
  readonly waitWhileFrozen: () => Promise<void>
  readonly onChange: (load: { readonly running: number, readonly waiting: number }) => void
  readonly signal: AbortSignal
}

/** The continuous batch of one engine incarnation. */
export interface GenerationBatch {
  readonly start: (start: GenerationStart) => Generation
  /** Number of running and waiting requests. */
  readonly size: () => number
  /** Resolves when no request for one of the models is running or waiting, or when the incarnation ends. */
  readonly waitUntilDrained: (models: readonly string[]) => Promise<void>
}

interface BatchEntry {
  readonly start: GenerationStart
  readonly sequence: number
  readonly callbacks: Set<() => void>
  emitted: number
  status: 'active' | 'finished' | 'cancelled'
  readyAt: Milliseconds
}

/**
 * Creates a continuous batch: waiting requests join by priority, and each step generates one token
 * for every request whose prefill is complete.
 *
 * @example
 * const batch = createGenerationBatch(options)
 * const generation = batch.start(start)
 */
export function createGenerationBatch (options: GenerationBatchOptions): GenerationBatch {
  const { clock, counters, timing, signal } = options
  const waiting = new Set<BatchEntry>()
  const running = new Set<BatchEntry>()
  const drainWaiters = new Set<() => void>()
  let nextSequence = 0
  let isStepping = false

  const reportChange = (): void => {
    options.onChange({ running: running.size, waiting: waiting.size })
    for (const resolveIfDrained of [...drainWaiters]) resolveIfDrained()
  }
  const notify = (entry: BatchEntry): void => {
    for (const callback of [...entry.callbacks]) callback()
  }
  const endEntry = (entry: BatchEntry, status: 'finished' | 'cancelled'): void => {
    if (entry.status !== 'active') return
    entry.status = status
    waiting.delete(entry)
    running.delete(entry)
    if (status === 'finished') counters.requestFinished(entry.start.requestId)
    else counters.requestCancelled()
    notify(entry)
    reportChange()
  }

  const prefillMilliseconds = ({ request, isPrefixHit }: GenerationStart): Milliseconds => {
    const uncachedMilliseconds = request.prompt.length / 1_000 * timing.prefillMillisecondsPerThousandCharacters
    return uncachedMilliseconds * (isPrefixHit ? timing.prefixHitFactor : 1) * options.slowFactor()
  }
  const admitWaiting = (): void => {
    while (running.size < options.maximumBatch && waiting.size > 0) {
      const [next] = [...waiting].sort((left, right) => left.start.priority - right.start.priority || left.sequence - right.sequence)
      if (next === undefined) return
      waiting.delete(next)
      running.add(next)
      next.readyAt = clock.now() + prefillMilliseconds(next.start)
    }
  }
  const emitTokens = (): void => {
    for (const entry of [...running]) {
      if (entry.readyAt > clock.now() || entry.status !== 'active') continue
      entry.emitted++
      counters.tokenGenerated(running.size)
      if (entry.emitted < entry.start.tokens.length) notify(entry)
      else endEntry(entry, 'finished')
    }
  }
  const runSteps = async (): Promise<void> => {
    if (isStepping) return
    isStepping = true
    while (!signal.aborted) {
      admitWaiting()
      if (running.size === 0) break
      reportChange()
      const batchFactor = 1 + timing.stepGrowth * (running.size - 1)
      await clock.sleep(timing.stepMilliseconds * batchFactor * options.slowFactor(), signal)
      await options.waitWhileFrozen()
      if (!signal.aborted) emitTokens()
    }
    isStepping = false
  }

  return {
    start: (start) => {
      const entry: BatchEntry = { start, sequence: nextSequence++, callbacks: new Set(), emitted: 0, status: 'active', readyAt: Infinity }
      waiting.add(entry)
      counters.requestStarted(start.requestId)
      void runSteps()
      reportChange()
      return {
        streamId: start.streamId,
        responseRequestId: start.responseRequestId,
        request: start.request,
        tokens: start.tokens,
        emitted: () => entry.emitted,
        status: () => entry.status,
        onProgress: (callback) => {
          entry.callbacks.add(callback)
          return () => { entry.callbacks.delete(callback) }
        },
        cancel: () => endEntry(entry, 'cancelled')
      }
    },
    size: () => running.size + waiting.size,
    waitUntilDrained: (models) => new Promise((resolve) => {
      const resolveIfDrained = (): void => {
        const isBusy = [...running, ...waiting].some(({ start }) => models.includes(start.request.model))
        if (isBusy && !signal.aborted) return
        drainWaiters.delete(resolveIfDrained)
        signal.removeEventListener('abort', resolveIfDrained)
        resolve()
      }
      drainWaiters.add(resolveIfDrained)
      signal.addEventListener('abort', resolveIfDrained)
      resolveIfDrained()
    })
  }
}
