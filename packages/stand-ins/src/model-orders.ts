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

/** A model or adapter that occupies accelerator memory. */
interface ModelReplica {
  readonly model: string
  readonly baseModel: string | undefined
  readonly orderId: string
  readonly memoryMegabytes: number
  /** Records the release of the memory in the counters. */
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
  /** Downloads weights from the weight store. Resolves to the reason if it fails. */
  readonly download: (model: string, weightsMegabytes: number, signal: AbortSignal) => Promise<string | undefined>
  /** Resolves when no request for one of the models is running or waiting. */
  readonly waitUntilDrained: (models: readonly string[]) => Promise<void>
  readonly waitWhileFrozen: () => Promise<void>
  readonly onUnloaded: (model: string) => void
  /** Aborted when the incarnation ends. */
  readonly signal: AbortSignal
}

/** Executes the orders of one engine incarnation and tracks the models in its accelerator memory. */
export interface ModelOrders {
  readonly submit: (order: LoadOrder | UnloadOrder) => Promise<OrderResponse>
  readonly isLoaded: (model: string) => boolean
  readonly states: () => readonly ModelState[]
  readonly executedOrders: () => readonly string[]
  readonly fencingToken: () => number
  /** Records the release of all models in the counters. */
  readonly releaseAll: () => void
}

/** Number of executed orders whose id and response are stored. A repetition of an older order would be executed again. */
const MAXIMUM_TRACKED_ORDERS = 1_000

/**
 * Creates the executor of load and unload orders. Orders for the same model are executed
 * sequentially. Each order id is executed once; a repetition gets the response of the first execution.
 *
 * @example
 * const orders = createModelOrders(options)
 * await orders.submit({ kind: 'unload', orderId: 'o-2', fencingToken: 3, model: 'renewal-letter' })
 */
export function createModelOrders (options: ModelOrdersOptions): ModelOrders {
  const { clock, logger, counters, timing, weights, signal } = options
  const replicas = new Map<string, ModelReplica>()
  const queues = new Map<string, Promise<unknown>>()
  const responses = new Map<string, Promise<OrderResponse>>()
  const executedOrderIds: string[] = []
  let fencingToken = 0

  const simulateDuration = async (milliseconds: number): Promise<void> => {
    await clock.sleep(milliseconds * options.slowFactor(), signal)
    await options.waitWhileFrozen()
  }
  const usedMegabytes = (): number => [...replicas.values()].reduce((sum, { memoryMegabytes }) => sum + memoryMegabytes, 0)
  const isLoaded = (model: string): boolean => replicas.get(model)?.state === 'loaded'
  const removeReplica = (replica: ModelReplica): void => {
    if (replicas.get(replica.model) === replica) replicas.delete(replica.model)
    replica.release()
    options.onUnloaded(replica.model)
    logger.info('replica released', { event: 'replica-released', model: replica.model })
  }

  const fetchWeights = async ({ model, weightsMegabytes }: LoadOrder): Promise<string | undefined> => {
    const location = weights.locate(model)
    if (location === 'memory') {
      await simulateDuration(weightsMegabytes / timing.memoryMegabytesPerSecond * 1_000)
      return undefined
    }
    if (location === 'remote') {
      const reason = await options.download(model, weightsMegabytes, signal)
      if (reason !== undefined) return reason
    }
    await simulateDuration(weightsMegabytes / timing.diskMegabytesPerSecond * 1_000)
    return undefined
  }

  const load = async (order: LoadOrder): Promise<OrderResponse> => {
    if (signal.aborted) return { kind: 'failed', reason: 'restarted' }
    if (isLoaded(order.model)) return { kind: 'done' }
    const isBaseLoaded = (): boolean => order.baseModel === undefined || isLoaded(order.baseModel)
    if (!isBaseLoaded()) return { kind: 'failed', reason: 'base-model-not-loaded' }
    if (usedMegabytes() + order.memoryMegabytes > options.memoryMegabytes) {
      counters.loadOvercommitted()
      return { kind: 'failed', reason: 'memory-exhausted' }
    }
    const replica: ModelReplica = {
      model: order.model,
      baseModel: order.baseModel,
      orderId: order.orderId,
      memoryMegabytes: order.memoryMegabytes,
      release: counters.replicaAllocated(order.model, order.memoryMegabytes),
      state: 'loading'
    }
    replicas.set(order.model, replica)
    logger.info('replica loading', { event: 'replica-loading', model: order.model, order: order.orderId, epoch: order.fencingToken })
    const failure = await fetchWeights(order) ?? (isBaseLoaded() ? undefined : 'base-model-not-loaded')
    if (signal.aborted) return { kind: 'failed', reason: 'restarted' }
    if (failure !== undefined) {
      removeReplica(replica)
      return { kind: 'failed', reason: failure }
    }
    weights.store(order.model, order.weightsMegabytes)
    replica.state = 'loaded'
    logger.info('replica loaded', { event: 'replica-loaded', model: order.model, order: order.orderId, epoch: order.fencingToken })
    return { kind: 'done' }
  }

  const unload = async ({ model }: UnloadOrder): Promise<OrderResponse> => {
    const replica = replicas.get(model)
    if (replica === undefined) return { kind: 'done' }
    const adapters = [...replicas.values()].filter(({ baseModel, state }) => baseModel === model && state === 'loaded')
    for (const affectedReplica of [replica, ...adapters]) affectedReplica.state = 'unloading'
    await options.waitUntilDrained([model, ...adapters.map((adapter) => adapter.model)])
    await simulateDuration(timing.unloadMilliseconds)
    if (signal.aborted) return { kind: 'failed', reason: 'restarted' }
    for (const affectedReplica of [...adapters, replica]) if (replicas.get(affectedReplica.model) === affectedReplica) removeReplica(affectedReplica)
    return { kind: 'done' }
  }

  const recordOutcome = (order: LoadOrder | UnloadOrder, response: OrderResponse): void => {
    const { kind, orderId, fencingToken: token, model } = order
    counters.orderEnded({ kind, orderId, fencingToken: token, model, result: response.kind })
    logger.info('order ended', { event: 'order-ended', kind, order: orderId, epoch: token, model, result: response.kind })
  }

  const execute = async (order: LoadOrder | UnloadOrder): Promise<OrderResponse> => {
    const previous = queues.get(order.model) ?? Promise.resolve()
    const execution = previous.then(() => order.kind === 'load' ? load(order) : unload(order))
    queues.set(order.model, execution)
    const response = await execution
    if (queues.get(order.model) === execution) queues.delete(order.model)
    executedOrderIds.push(order.orderId)
    if (executedOrderIds.length > MAXIMUM_TRACKED_ORDERS) responses.delete(executedOrderIds.shift() ?? '')
    recordOutcome(order, response)
    return response
  }

  const submit = async (order: LoadOrder | UnloadOrder): Promise<OrderResponse> => {
    if (options.fencing === 'checked' && order.fencingToken < fencingToken) {
      const refusal: OrderResponse = { kind: 'refused-token', currentToken: fencingToken }
      recordOutcome(order, refusal)
      return refusal
    }
    fencingToken = Math.max(fencingToken, order.fencingToken)
    const response = responses.get(order.orderId) ?? execute(order)
    responses.set(order.orderId, response)
    return await response
  }

  return {
    submit,
    isLoaded,
    states: () => [...replicas.values()].map(({ model, state, orderId, memoryMegabytes }) => ({ model, state, orderId, memoryMegabytes })),
    executedOrders: () => [...executedOrderIds],
    fencingToken: () => fencingToken,
    releaseAll: () => {
      for (const replica of replicas.values()) replica.release()
    }
  }
}
