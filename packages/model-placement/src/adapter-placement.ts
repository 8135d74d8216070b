import type { Clock } from '@fuchsiastage/clock'
import type { EngineDefinition, KnownTarget } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'
import type { DemandTracker } from './demand-tracker.js'
import type { EngineRegistry } from './engine-registry.js'
import { adapterCount, usedMegabytes, type EngineState } from './engine-state.js'
import { ORDER_CONFLICT_TIMEOUT_MILLISECONDS, type OrderExecutor } from './order-executor.js'

export interface AdapterPlacementOptions {
  readonly clock: Clock
  readonly registry: EngineRegistry
  readonly executor: OrderExecutor
  readonly demand: DemandTracker
}

export interface AdapterPlacement {
  /** Returns the engine that has the adapter loaded, after a load if needed, or undefined while all adapter places serve requests. */
  readonly place: (service: string, model: string, adapter: string, candidates: readonly EngineState[]) => Promise<EngineState | undefined>
}

/** Duration of an adapter load. The engine refuses requests that are sent earlier. */
const ADAPTER_LOAD_MILLISECONDS = 12
/** An adapter that was used within this time probably still serves a request. */
const ADAPTER_IDLE_MILLISECONDS = 1_200

/**
 * Creates the part of placement that loads adapters on engines that have their models loaded. When all
 * places are taken, the least recently used idle adapter is evicted.
 *
 * @example
 * const adapters = createAdapterPlacement({ clock, registry, executor, demand })
 * const state = await adapters.place('drafter', 'letters', 'a3', candidates)
 */
export function createAdapterPlacement ({ clock, registry, executor, demand }: AdapterPlacementOptions): AdapterPlacement {
  const place: AdapterPlacement['place'] = async (service, model, adapter, candidates) => {
    const subject = `${model}/${adapter}`
    const ready = candidates.filter((state) => state.models.get(model)?.has(adapter) === true && !state.unloadingAdapters.has(subject))
    if (ready.length > 0) {
      const state = registry.leastLoaded(ready)
      state.adapterUsedAt.set(subject, clock.now())
      return state
    }
    const byFreePlaces = [...candidates].sort((one, other) => Number(!one.isExact) - Number(!other.isExact) || Number(one.runningLoad !== undefined) - Number(other.runningLoad !== undefined) || adapterCount(one) - adapterCount(other))
    for (const state of byFreePlaces) {
      const target = registry.targetOf(state)
      const engine = registry.engineOf(service)
      if (target === undefined || engine === undefined) continue
      const isLoaded = await registry.runExclusive(state.key, async () => await loadAdapter(target, state, engine, model, adapter))
      if (!isLoaded) continue
      await clock.sleep(ADAPTER_LOAD_MILLISECONDS)
      registry.publish(state)
      return state
    }
    return undefined
  }

  const loadAdapter = async (target: KnownTarget, state: EngineState, engine: EngineDefinition, model: string, adapter: string): Promise<boolean> => {
    const subject = `${model}/${adapter}`
    const megabytes = engine.models.get(model)?.adapterMegabytes ?? 0
    const hasRoom = (): boolean => adapterCount(state) < engine.adapterPlaces && usedMegabytes(state, engine) + megabytes <= engine.megabytes
    if (state.models.get(model)?.has(adapter) === true) return !state.unloadingAdapters.has(subject)
    while (!hasRoom()) {
      const evicted = idleAdapter(state)
      if (evicted === undefined || !await unloadAdapter(target, state, evicted.model, evicted.adapter)) return false
    }
    const result = await executor.execute(target, state, {
      operation: 'load', model, adapter, conflictTimeoutMilliseconds: ORDER_CONFLICT_TIMEOUT_MILLISECONDS, isStillValid: () => state.models.has(model) && hasRoom()
    })
    if (result !== 'done' && result !== 'holds') return false
    state.models.get(model)?.add(adapter)
    state.adapterUsedAt.set(subject, clock.now())
    return true
  }

  /** Returns whether the place of the adapter is free now. An adapter that still serves requests keeps it until they have ended. */
  const unloadAdapter = async (target: KnownTarget, state: EngineState, model: string, adapter: string): Promise<boolean> => {
    const subject = `${model}/${adapter}`
    state.unloadingAdapters.add(subject)
    registry.publish(state)
    const result = await executor.execute(target, state, {
      operation: 'unload', model, adapter, conflictTimeoutMilliseconds: ORDER_CONFLICT_TIMEOUT_MILLISECONDS, isStillValid: () => state.models.get(model)?.has(adapter) === true
    })
    if (result === 'done') return false
    state.unloadingAdapters.delete(subject)
    if (result !== 'holds') return false
    state.models.get(model)?.delete(adapter)
    return true
  }

  /** The least recently used adapter that probably serves no request. */
  const idleAdapter = (state: EngineState): { readonly model: string, readonly adapter: string } | undefined => {
    let oldest: { readonly model: string, readonly adapter: string, readonly at: Milliseconds } | undefined
    for (const [model, adapters] of state.models) {
      for (const adapter of adapters) {
        const subject = `${model}/${adapter}`
        if (state.unloadingAdapters.has(subject) || registry.isInUse(state, subject)) continue
        const at = Math.max(demand.lastUsedAt(subject), state.adapterUsedAt.get(subject) ?? -Infinity)
        if (clock.now() - at > ADAPTER_IDLE_MILLISECONDS && (oldest === undefined || at < oldest.at)) oldest = { model, adapter, at }
      }
    }
    return oldest
  }

  return { place }
}
