import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import type { CompletionRequest } from './completion.js'
import type { EngineCounters } from './engine-counters.js'
import type { EngineTiming } from './engine-options.js'

/** One completion under way. */
export interface Generation {
  readonly streamId: string
  /** The id that the answer carries. */
  readonly responseRequestId: string
  readonly request: CompletionRequest
  readonly tokens: readonly string[]
  readonly emitted: () => number
  readonly status: () => 'active' | 'finished' | 'cancelled'
  /** Calls back after each token and at the end; returns the function that unsubscribes. */
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

/** The continuous batch of one incarnation. */
export interface GenerationBatch {
  readonly start: (start: GenerationStart) => Generation
  /** Running and waiting requests. */
  readonly size: () => number
  readonly waitUntilDrained: (models: readonly string[]) => Promise<void>
}

interface Entry {
  readonly start: GenerationStart
  readonly sequence: number
  readonly callbacks: Set<() => void>
  emitted: number
  status: 'active' | 'finished' | 'cancelled'
  readyAt: Milliseconds
}

/**
 * Creates a continuous batch: waiting requests join by priority, and each step yields one token for
 * every request whose prompt has been read.
 *
 * @example
 * const batch = createGenerationBatch(options)
 * const generation = batch.start(start)
 */
export function createGenerationBatch (options: GenerationBatchOptions): GenerationBatch {
  const { clock, counters, timing, signal } = options
  const waiting = new Set<Entry>()
  const running = new Set<Entry>()
  const drainWaiters = new Set<() => void>()
  let sequence = 0
  let isStepping = false

  const changed = (): void => {
    options.onChange({ running: running.size, waiting: waiting.size })
    for (const check of [...drainWaiters]) check()
  }
  const notify = (entry: Entry): void => {
    for (const callback of [...entry.callbacks]) callback()
  }
  const end = (entry: Entry, status: 'finished' | 'cancelled'): void => {
    if (entry.status !== 'active') return
    entry.status = status
    waiting.delete(entry)
    running.delete(entry)
    if (status === 'finished') counters.finished(entry.start.requestId)
    else counters.cancelled()
    notify(entry)
    changed()
  }

  const prefill = ({ request, isPrefixHit }: GenerationStart): Milliseconds => {
    const full = request.prompt.length / 1_000 * timing.prefillMillisecondsPerThousandCharacters
    return full * (isPrefixHit ? timing.prefixHitFactor : 1) * options.slowFactor()
  }
  const admit = (): void => {
    while (running.size < options.maximumBatch && waiting.size > 0) {
      const [next] = [...waiting].sort((left, right) => left.start.priority - right.start.priority || left.sequence - right.sequence)
      if (next === undefined) return
      waiting.delete(next)
      running.add(next)
      next.readyAt = clock.now() + prefill(next.start)
    }
  }
  const emitTokens = (): void => {
    for (const entry of [...running]) {
      if (entry.readyAt > clock.now() || entry.status !== 'active') continue
      entry.emitted++
      counters.generated(running.size)
      if (entry.emitted < entry.start.tokens.length) notify(entry)
      else end(entry, 'finished')
    }
  }
  const step = async (): Promise<void> => {
    if (isStepping) return
    isStepping = true
    while (!signal.aborted) {
      admit()
      if (running.size === 0) break
      changed()
      const growth = 1 + timing.stepGrowth * (running.size - 1)
      await clock.sleep(timing.stepMilliseconds * growth * options.slowFactor(), signal)
      await options.waitWhileFrozen()
      if (!signal.aborted) emitTokens()
    }
    isStepping = false
  }

  return {
    start: (start) => {
      const entry: Entry = { start, sequence: sequence++, callbacks: new Set(), emitted: 0, status: 'active', readyAt: Infinity }
      waiting.add(entry)
      counters.started(start.requestId)
      void step()
      changed()
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
        cancel: () => end(entry, 'cancelled')
      }
    },
    size: () => running.size + waiting.size,
    waitUntilDrained: (models) => new Promise((resolve) => {
      const check = (): void => {
        const isBusy = [...running, ...waiting].some(({ start }) => models.includes(start.request.model))
        if (isBusy && !signal.aborted) return
        drainWaiters.delete(check)
        signal.removeEventListener('abort', check)
        resolve()
      }
      drainWaiters.add(check)
      signal.addEventListener('abort', check)
      check()
    })
  }
}
