import type { Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import type { FencingSupport, LoadOrder, ModelState, UnloadOrder } from '@fuchsiastage/types'
import type { EngineCounters } from './engine-counters.js'
import type { EngineTiming } from './engine-options.js'
import type { WeightsCache } from './weights-cache.js'

export type OrderResponse =
  | { readonly kind: 'done' }
  | { readonly kind: 'refused-token', readonly currentToken: number }
  | { readonly kind: 'failed', readonly reason: string }

interface HeldModel {
  readonly model: string
  readonly baseModel: string | undefined
  readonly orderId: string
  readonly memoryMegabytes: number
  readonly release: () => void
  state: ModelState['state']
}

export interface ModelOrdersOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly counters: EngineCounters
  readonly fencing: FencingSupport
  readonly memoryMegabytes: number
  readonly timing: EngineTiming
  readonly weights: WeightsCache
  readonly slowFactor: () => number
  /** Fetches weights from the weight store; resolves a reason when that failed. */
  readonly download: (model: string, weightsMegabytes: number, signal: AbortSignal) => Promise<string | undefined>
  /** Resolves when no request runs on the model or on its adapters. */
  readonly waitUntilDrained: (models: readonly string[]) => Promise<void>
  readonly waitWhileFrozen: () => Promise<void>
  readonly onUnloaded: (model: string) => void
  /** Aborted when the incarnation ends. */
  readonly signal: AbortSignal
}

/** The models on one incarnation's accelerators and the orders that change them. */
export interface ModelOrders {
  readonly submit: (order: LoadOrder | UnloadOrder) => Promise<OrderResponse>
  readonly isLoaded: (model: string) => boolean
  readonly states: () => readonly ModelState[]
  readonly executedOrders: () => readonly string[]
  readonly fencingToken: () => number
  readonly releaseAll: () => void
}

/** Order ids kept; a repetition of an older order would be executed again. */
const KEPT_ORDERS = 1_000

/**
 * Creates the executor of load and unload orders. Orders for one model are executed one after the
 * other; an order id is executed once and a repetition gets the first answer.
 *
 * @example
 * const orders = createModelOrders(options)
 * await orders.submit({ kind: 'unload', orderId: 'o-2', fencingToken: 3, model: 'renewal-letter' })
 */
export function createModelOrders (options: ModelOrdersOptions): ModelOrders {
  const { clock, logger, counters, timing, weights, signal } = options
  const held = new Map<string, HeldModel>()
  const queues = new Map<string, Promise<unknown>>()
  const answers = new Map<string, Promise<OrderResponse>>()
  const executed: string[] = []
  let fencingToken = 0

  const pause = async (milliseconds: number): Promise<void> => {
    await clock.sleep(milliseconds * options.slowFactor(), signal)
    await options.waitWhileFrozen()
  }
  const usedMegabytes = (): number => [...held.values()].reduce((sum, { memoryMegabytes }) => sum + memoryMegabytes, 0)
  const isLoaded = (model: string): boolean => held.get(model)?.state === 'loaded'
  const remove = (entry: HeldModel): void => {
    if (held.get(entry.model) === entry) held.delete(entry.model)
    entry.release()
    options.onUnloaded(entry.model)
    logger.info('replica released', { event: 'replica-released', model: entry.model })
  }

  const fetchWeights = async ({ model, weightsMegabytes }: LoadOrder): Promise<string | undefined> => {
    const location = weights.locate(model)
    if (location === 'memory') {
      await pause(weightsMegabytes / timing.memoryMegabytesPerSecond * 1_000)
      return undefined
    }
    if (location === 'remote') {
      const reason = await options.download(model, weightsMegabytes, signal)
      if (reason !== undefined) return reason
    }
    await pause(weightsMegabytes / timing.diskMegabytesPerSecond * 1_000)
    return undefined
  }

  const load = async (order: LoadOrder): Promise<OrderResponse> => {
    if (signal.aborted) return { kind: 'failed', reason: 'restarted' }
    if (isLoaded(order.model)) return { kind: 'done' }
    const isBaseLoaded = (): boolean => order.baseModel === undefined || isLoaded(order.baseModel)
    if (!isBaseLoaded()) return { kind: 'failed', reason: 'base-model-not-loaded' }
    if (usedMegabytes() + order.memoryMegabytes > options.memoryMegabytes) {
      counters.overcommitAttempt()
      return { kind: 'failed', reason: 'memory-exhausted' }
    }
    const entry: HeldModel = {
      model: order.model,
      baseModel: order.baseModel,
      orderId: order.orderId,
      memoryMegabytes: order.memoryMegabytes,
      release: counters.replica(order.model, order.memoryMegabytes),
      state: 'loading'
    }
    held.set(order.model, entry)
    logger.info('replica loading', { event: 'replica-loading', model: order.model, order: order.orderId, epoch: order.fencingToken })
    const failure = await fetchWeights(order) ?? (isBaseLoaded() ? undefined : 'base-model-not-loaded')
    if (signal.aborted) return { kind: 'failed', reason: 'restarted' }
    if (failure !== undefined) {
      remove(entry)
      return { kind: 'failed', reason: failure }
    }
    weights.store(order.model, order.weightsMegabytes)
    entry.state = 'loaded'
    logger.info('replica loaded', { event: 'replica-loaded', model: order.model, order: order.orderId, epoch: order.fencingToken })
    return { kind: 'done' }
  }

  const unload = async ({ model }: UnloadOrder): Promise<OrderResponse> => {
    const entry = held.get(model)
    if (entry === undefined) return { kind: 'done' }
    const adapters = [...held.values()].filter(({ baseModel, state }) => baseModel === model && state === 'loaded')
    for (const leaving of [entry, ...adapters]) leaving.state = 'unloading'
    await options.waitUntilDrained([model, ...adapters.map((adapter) => adapter.model)])
    await pause(timing.unloadMilliseconds)
    if (signal.aborted) return { kind: 'failed', reason: 'restarted' }
    for (const leaving of [...adapters, entry]) if (held.get(leaving.model) === leaving) remove(leaving)
    return { kind: 'done' }
  }

  const note = (order: LoadOrder | UnloadOrder, answer: OrderResponse): void => {
    const { kind, orderId, fencingToken: token, model } = order
    counters.order({ kind, orderId, fencingToken: token, model, result: answer.kind })
    logger.info('order ended', { event: 'order-ended', kind, order: orderId, epoch: token, model, result: answer.kind })
  }

  const execute = async (order: LoadOrder | UnloadOrder): Promise<OrderResponse> => {
    const before = queues.get(order.model) ?? Promise.resolve()
    const executing = before.then(() => order.kind === 'load' ? load(order) : unload(order))
    queues.set(order.model, executing)
    const answer = await executing
    if (queues.get(order.model) === executing) queues.delete(order.model)
    executed.push(order.orderId)
    if (executed.length > KEPT_ORDERS) answers.delete(executed.shift() ?? '')
    note(order, answer)
    return answer
  }

  const submit = async (order: LoadOrder | UnloadOrder): Promise<OrderResponse> => {
    if (options.fencing === 'checked' && order.fencingToken < fencingToken) {
      const refusal: OrderResponse = { kind: 'refused-token', currentToken: fencingToken }
      note(order, refusal)
      return refusal
    }
    fencingToken = Math.max(fencingToken, order.fencingToken)
    const answer = answers.get(order.orderId) ?? execute(order)
    answers.set(order.orderId, answer)
    return await answer
  }

  return {
    submit,
    isLoaded,
    states: () => [...held.values()].map(({ model, state, orderId, memoryMegabytes }) => ({ model, state, orderId, memoryMegabytes })),
    executedOrders: () => [...executed],
    fencingToken: () => fencingToken,
    releaseAll: () => {
      for (const entry of held.values()) entry.release()
    }
  }
}
