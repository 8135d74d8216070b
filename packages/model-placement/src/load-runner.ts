import { setMaxListeners } from 'node:events'
import type { Clock } from '@fuchsiastage/clock'
import type { EngineDefinition, KnownTarget, TargetKey } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import type { EngineRegistry } from './engine-registry.js'
import { applyReport, usedMegabytes, type EngineState } from './engine-state.js'
import { ORDER_CONFLICT_TIMEOUT_MILLISECONDS, type OrderExecutor } from './order-executor.js'
import { loadTime, type LoadPlan } from './plan-load.js'
import type { EnginePort } from './ports.js'
import { createStoreLoadLimiter } from './store-load-limiter.js'

export interface StoreSettings {
  /** Window over which the rate of loads from the weight store is limited. */
  readonly storeWindowMilliseconds: Milliseconds
  /** Factor on the configured rate of the weight store. */
  readonly storeTolerance: number
}

export interface LoadRunnerOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly registry: EngineRegistry
  readonly engines: EnginePort
  readonly executor: OrderExecutor
  readonly settings: () => StoreSettings
  readonly onEnded: (state: EngineState, model: string, isLoaded: boolean) => void
}

/**
 * Priority of a load from the weight store. An `urgent` load may slow down the running ones, a
 * `requested` load needs a free full-speed load, and an `optional` one leaves one free for others.
 */
export type StorePriority = 'urgent' | 'requested' | 'optional'

export interface LoadRunner {
  readonly start: (service: string, model: string, plan: LoadPlan) => void
  readonly isLoading: (model: string) => boolean
  /** Expected time until a running load of the model ends, or undefined if none is running. */
  readonly timeUntilLoaded: (model: string, avoid?: readonly TargetKey[]) => Milliseconds | undefined
  /** Whether a load from the weight store may start now. */
  readonly canLoadFromStore: (engine: EngineDefinition, priority: StorePriority) => boolean
  readonly runningStoreLoads: () => number
  /** Factor by which one more load from the store would take longer than one without concurrent loads. */
  readonly storeSlowdown: () => number
  /** Starts a term of the order lease. Loads of the previous term are no longer tracked. */
  readonly beginTerm: () => void
  readonly endTerm: () => void
}

/** Whether the orders of a load were accepted; `in-doubt` if the engine executes an order that may be another one. */
type LoadStart = 'started' | 'in-doubt' | 'failed'

/** Added to the configured load time, for the order itself and the timers of the engine. */
const LOAD_MARGIN_MILLISECONDS = 15
/** Duration of an unload of an idle model. The engine refuses orders that are sent earlier. */
const UNLOAD_MILLISECONDS = 30
/** Time for which an engine gets no further load after one has failed. */
const FAILED_LOAD_COOLDOWN_MILLISECONDS = 2_000
/** Time beyond its expected duration after which a load from the store counts as failed. */
const MAXIMUM_STORE_LOAD_OVERRUN_MILLISECONDS = 20_000
/** Expected remaining time of an overdue load, as a share of the time by which it is overdue. */
const OVERDUE_EXTENSION_SHARE = 0.5
/** Number of full-speed loads from the weight store that optional loads leave free. */
const RESERVED_STORE_LOADS = 1
/** Interval between reports that are read during a load from the store. Reports lag by about 200 ms. */
const STORE_POLL_MILLISECONDS = 250

/**
 * Creates the part of placement that executes load plans: it evicts models, orders the load and waits
 * until the model is loaded.
 *
 * @example
 * const loads = createLoadRunner({ clock, logger, registry, engines, executor, settings, onEnded })
 * loads.start('drafter', 'letters', plan)
 */
export function createLoadRunner (options: LoadRunnerOptions): LoadRunner {
  const { clock, logger, registry, engines, executor } = options
  let limiter = createStoreLoadLimiter(clock)
  let termAbort = new AbortController()
  /** Engines with a running load, by its model. */
  let loadingEngines = new Map<string, Set<EngineState>>()

  const enginesLoading = (model: string): readonly EngineState[] =>
    [...loadingEngines.get(model) ?? []].filter((state) => state.runningLoad?.model === model && registry.isUsable(state))

  const endLoad = (state: EngineState, model: string): void => {
    state.runningLoad = undefined
    loadingEngines.get(model)?.delete(state)
    if (loadingEngines.get(model)?.size === 0) loadingEngines.delete(model)
  }

  const isLoading = (model: string): boolean => enginesLoading(model).length > 0

  const timeUntilLoaded: LoadRunner['timeUntilLoaded'] = (model, avoid = []) => {
    const now = clock.now()
    const times = enginesLoading(model)
      .filter(({ key }) => !avoid.includes(key))
      .map(({ runningLoad }) => runningLoad === undefined ? Infinity : Math.max(runningLoad.expectedAt - now, OVERDUE_EXTENSION_SHARE * (now - runningLoad.expectedAt)))
    return times.length === 0 ? undefined : Math.min(...times)
  }

  const storeLimits = (engine: EngineDefinition): { readonly perWindow: number, readonly windowMilliseconds: Milliseconds } => {
    const { storeWindowMilliseconds, storeTolerance } = options.settings()
    return {
      perWindow: Math.max(1, Math.floor(engine.storeLoadsPerSecond * storeTolerance * storeWindowMilliseconds / 1000)),
      windowMilliseconds: storeWindowMilliseconds
    }
  }

  const hasStoreSlot = (priority: StorePriority): boolean => {
    switch (priority) {
      case 'urgent':
        return true
      case 'requested':
        return limiter.runningLoads() === 0 || limiter.freeFullSpeedLoads() > 0
      case 'optional':
        return limiter.runningLoads() === 0 || limiter.freeFullSpeedLoads() > RESERVED_STORE_LOADS
    }
  }

  const canLoadFromStore: LoadRunner['canLoadFromStore'] = (engine, priority) => hasStoreSlot(priority) && limiter.canStart(storeLimits(engine))

  const start: LoadRunner['start'] = (service, modelName, plan) => {
    const engine = registry.engineOf(service)
    const model = engine?.models.get(modelName)
    const target = registry.targetOf(plan.state)
    if (engine === undefined || model === undefined || target === undefined) return
    const { state, source, evictions } = plan
    if (source === 'store') limiter.recordStart()
    const startedAt = clock.now()
    state.runningLoad = { model: modelName, source, startedAt, expectedAt: startedAt + plan.loadMilliseconds, isAccepted: false }
    loadingEngines.set(modelName, (loadingEngines.get(modelName) ?? new Set()).add(state))
    logger.info('starting a load', { event: 'load-decided', target: state.key, model: modelName, source, evictions: [...evictions], expected: Math.round(plan.loadMilliseconds), cost: Math.round(plan.cost) })
    void runLoad(target, state, modelName, plan).then((isLoaded) => {
      const durationMilliseconds = clock.now() - startedAt
      endLoad(state, modelName)
      if (source === 'store') {
        if (isLoaded) limiter.recordEnd(durationMilliseconds, loadTime(model, source))
        else limiter.recordCancelled()
      }
      if (isLoaded) {
        state.modelsInMemory = new Set([...state.modelsInMemory, modelName])
        state.modelsOnDisk = new Set([...state.modelsOnDisk, modelName])
        registry.publish(state)
      } else {
        state.cooldownUntil = clock.now() + FAILED_LOAD_COOLDOWN_MILLISECONDS
      }
      logger.info('load ended', { event: 'load-ended', target: state.key, model: modelName, source, loaded: isLoaded, milliseconds: Math.round(durationMilliseconds) })
      options.onEnded(state, modelName, isLoaded)
    }, (reason: unknown) => {
      endLoad(state, modelName)
      if (source === 'store') limiter.recordCancelled()
      logger.error('load failed with an unexpected error', { event: 'load-failed', target: state.key, model: modelName, reason: String(reason) })
      options.onEnded(state, modelName, false)
    })
  }

  /** Sends the orders of a load. Returns before the load itself has ended, so that further orders can follow. */
  const sendLoadOrders = async (target: KnownTarget, state: EngineState, model: string, plan: LoadPlan): Promise<LoadStart> => {
    for (const eviction of plan.evictions) {
      // The placement without the model is published first, so that this daemon sends no new requests for it to the engine.
      const adapters = state.models.get(eviction)
      state.models.delete(eviction)
      registry.publish(state)
      const unloadResult = await executor.execute(target, state, {
        operation: 'unload', model: eviction, adapter: undefined, conflictTimeoutMilliseconds: ORDER_CONFLICT_TIMEOUT_MILLISECONDS, isStillValid: () => true
      })
      if (unloadResult === 'done') await clock.sleep(UNLOAD_MILLISECONDS)
      if (unloadResult !== 'done' && unloadResult !== 'holds') {
        if (adapters !== undefined) state.models.set(eviction, adapters)
        return 'failed'
      }
    }
    const result = await executor.execute(target, state, {
      operation: 'load', model, adapter: undefined, conflictTimeoutMilliseconds: ORDER_CONFLICT_TIMEOUT_MILLISECONDS, isStillValid: () => fits(target.entry.service, state, model)
    })
    if (result === 'in-doubt') return 'in-doubt'
    if (result !== 'done' && result !== 'holds') return 'failed'
    if (!state.models.has(model)) state.models.set(model, new Set())
    if (state.runningLoad !== undefined) state.runningLoad = { ...state.runningLoad, isAccepted: true }
    return 'started'
  }

  const fits = (service: string, state: EngineState, modelName: string): boolean => {
    const engine = registry.engineOf(service)
    const model = engine?.models.get(modelName)
    if (engine === undefined || model === undefined) return false
    return state.models.has(modelName) || usedMegabytes(state, engine) + model.megabytes <= engine.megabytes
  }

  const runLoad = async (target: KnownTarget, state: EngineState, model: string, plan: LoadPlan): Promise<boolean> => {
    const { signal } = termAbort
    const loadStart = await registry.runExclusive(state.key, async () => await sendLoadOrders(target, state, model, plan))
    if (loadStart === 'failed') return false
    if (loadStart === 'started' && plan.source !== 'store') {
      const engine = registry.engineOf(target.entry.service)
      const definition = engine?.models.get(model)
      await clock.sleep((definition === undefined ? 0 : loadTime(definition, plan.source)) + LOAD_MARGIN_MILLISECONDS, signal)
      return !signal.aborted
    }
    return await awaitReportedLoad(target, state, model, plan)
  }

  /** Waits until a report lists the model: a load from the store takes longer while others run, and a load in doubt may not run at all. */
  const awaitReportedLoad = async (target: KnownTarget, state: EngineState, model: string, plan: LoadPlan): Promise<boolean> => {
    const { signal } = termAbort
    const startedAt = clock.now()
    const { orderCount } = state
    const definition = registry.engineOf(target.entry.service)?.models.get(model)
    await clock.sleep(definition === undefined ? plan.loadMilliseconds : loadTime(definition, plan.source), signal)
    while (!signal.aborted && clock.now() - startedAt < plan.loadMilliseconds + MAXIMUM_STORE_LOAD_OVERRUN_MILLISECONDS) {
      if (registry.targetOf(state) === undefined) return false
      const report = await engines.report(target)
      if (report.isOk && report.value.placement.orderCount >= orderCount) {
        if (!state.isExact) applyReport(state, report.value, false)
        if (!report.value.isBusy) return report.value.placement.models.some(({ name }) => name === model)
      }
      await clock.sleep(STORE_POLL_MILLISECONDS, signal)
    }
    return false
  }

  return {
    start,
    isLoading,
    timeUntilLoaded,
    canLoadFromStore,
    runningStoreLoads: () => limiter.runningLoads(),
    storeSlowdown: () => limiter.slowdown(),
    beginTerm: () => {
      termAbort = new AbortController()
      // Each running load listens to it, and there may be as many as engines.
      setMaxListeners(0, termAbort.signal)
      loadingEngines = new Map()
      limiter = createStoreLoadLimiter(clock)
    },
    endTerm: () => termAbort.abort()
  }
}
