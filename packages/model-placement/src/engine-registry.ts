import type { Clock } from '@fuchsiastage/clock'
import type { EngineDefinition, KnownTarget, ServingConfiguration, TargetDirectory, TargetKey } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import { createEngineState, placementOf, type EngineState } from './engine-state.js'

export interface EngineRegistryOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly directory: TargetDirectory
  readonly configuration: () => ServingConfiguration | undefined
}

export interface EngineRegistry {
  readonly engineOf: (service: string) => EngineDefinition | undefined
  readonly engineTargets: (service: string) => readonly KnownTarget[]
  readonly stateOf: (target: KnownTarget) => EngineState
  readonly targetOf: (state: EngineState) => KnownTarget | undefined
  readonly states: () => readonly EngineState[]
  /** Whether the engine may receive new requests. */
  readonly isUsable: (state: EngineState) => boolean
  /** Engines that have loaded the model and can serve requests for it. */
  readonly enginesWithModel: (service: string, model: string, avoid: readonly TargetKey[]) => readonly EngineState[]
  /** Whether the engine has loaded the model and can serve requests for it. */
  readonly isReplica: (state: EngineState, model: string) => boolean
  readonly leastLoaded: (candidates: readonly EngineState[]) => EngineState
  /** Load of an engine: the used share of its key-value cache, plus 1 while requests wait there or the engine is overloaded. */
  readonly loadOf: (key: TargetKey) => number
  /** Serialises the orders to one engine. */
  readonly runExclusive: <Value>(key: TargetKey, run: () => Promise<Value>) => Promise<Value>
  /** Whether daemons have recently reported that the model or adapter serves requests at the engine. */
  readonly isInUse: (state: EngineState, subject: string) => boolean
  readonly recordInUse: (subjects: readonly string[]) => void
  /** Whether daemons have recently reported that streams of the engine pause for too long. */
  readonly isOverloaded: (key: TargetKey) => boolean
  readonly recordOverloaded: (targets: readonly TargetKey[]) => void
  /** Updates the target directory of this daemon, which its forwarder uses, with the models loaded at an engine. */
  readonly publish: (state: EngineState) => void
  /** Removes engines that have departed, and logs the inventories of the others when the set of engines has changed. */
  readonly refresh: () => void
  /** Monotonic time of the last change to the set of engines. */
  readonly inventoryChangedAt: () => Milliseconds
  readonly clear: () => void
}

/** Validity of a report of models and adapters in use. Daemons report every few hundred milliseconds. */
const IN_USE_REPORT_VALIDITY_MILLISECONDS = 1_300
/** Validity of an overload report. The daemons that send it keep reporting an overload for 1.5 s. */
const OVERLOAD_REPORT_VALIDITY_MILLISECONDS = 1_000

/**
 * Creates the registry in which the lease holder tracks the state of all engines.
 *
 * @example
 * const registry = createEngineRegistry({ clock, logger, directory, configuration })
 */
export function createEngineRegistry (options: EngineRegistryOptions): EngineRegistry {
  const { clock, logger, directory } = options
  const states = new Map<TargetKey, EngineState>()
  const lastOrders = new Map<TargetKey, Promise<unknown>>()
  const inUseAt = new Map<string, Milliseconds>()
  const overloadedAt = new Map<TargetKey, Milliseconds>()
  let loggedInventory = ''
  let inventoryChangedAt: Milliseconds = -Infinity

  const engineOf = (service: string): EngineDefinition | undefined => options.configuration()?.services.get(service)?.engine

  const engineTargets = (service: string): readonly KnownTarget[] => directory.usable(service)

  const stateOf = (target: KnownTarget): EngineState => {
    const known = states.get(target.key)
    if (known !== undefined) return known
    const created = createEngineState(target)
    states.set(target.key, created)
    return created
  }

  const runExclusive = async <Value>(key: TargetKey, run: () => Promise<Value>): Promise<Value> => {
    const previousOrder = lastOrders.get(key) ?? Promise.resolve()
    const result = previousOrder.then(run, run)
    lastOrders.set(key, result.catch(() => undefined))
    return await result
  }

  const isOverloaded = (key: TargetKey): boolean => clock.now() - (overloadedAt.get(key) ?? -Infinity) < OVERLOAD_REPORT_VALIDITY_MILLISECONDS

  const loadOf = (key: TargetKey): number => {
    const target = directory.find(key)
    const load = target?.load
    const overloadPenalty = isOverloaded(key) || (load?.waiting ?? 0) > 0 ? 1 : 0
    return overloadPenalty + (load !== undefined && load.cacheTokens > 0 ? load.cacheTokensUsed / load.cacheTokens : 0)
  }

  const isInUse = (state: EngineState, subject: string): boolean => clock.now() - (inUseAt.get(`${state.key} ${subject}`) ?? -Infinity) < IN_USE_REPORT_VALIDITY_MILLISECONDS

  const isReplica = (state: EngineState, model: string): boolean => state.models.has(model) && state.runningLoad?.model !== model && directory.isUsable(state.key)

  const enginesWithModel = (service: string, model: string, avoid: readonly TargetKey[]): readonly EngineState[] =>
    [...states.values()].filter((state) => isReplica(state, model) && !avoid.includes(state.key) && directory.find(state.key)?.entry.service === service)

  const publish = (state: EngineState): void => {
    directory.applyUpdate({ key: state.key, placement: placementOf(state), load: undefined, ageMilliseconds: 0 })
  }

  const leastLoaded = (candidates: readonly EngineState[]): EngineState =>
    candidates.reduce((best, state) => loadOf(state.key) < loadOf(best.key) ? state : best)

  const logInventory = (): void => {
    const keys = [...states.keys()].sort().join(' ')
    if (keys === loggedInventory) return
    loggedInventory = keys
    inventoryChangedAt = clock.now()
    for (const state of states.values()) {
      logger.info('engine inventory after a change to the set of engines', {
        event: 'engine-inventory',
        target: state.key,
        orders: state.orderCount,
        models: [...state.models].map(([name, adapters]) => `${name}+${adapters.size}`),
        memory: [...state.modelsInMemory],
        disk: [...state.modelsOnDisk]
      })
    }
  }

  return {
    engineOf,
    engineTargets,
    stateOf,
    targetOf: (state) => directory.find(state.key),
    states: () => [...states.values()],
    isUsable: (state) => directory.isUsable(state.key),
    enginesWithModel,
    isReplica,
    leastLoaded,
    loadOf,
    runExclusive,
    isInUse,
    recordInUse: (subjects) => {
      for (const subject of subjects) inUseAt.set(subject, clock.now())
      for (const [subject, at] of inUseAt) if (clock.now() - at > IN_USE_REPORT_VALIDITY_MILLISECONDS) inUseAt.delete(subject)
    },
    isOverloaded,
    recordOverloaded: (targets) => { for (const key of targets) overloadedAt.set(key, clock.now()) },
    publish,
    refresh: () => {
      for (const key of states.keys()) if (directory.find(key) === undefined) states.delete(key)
      for (const key of overloadedAt.keys()) if (!isOverloaded(key)) overloadedAt.delete(key)
      if (states.size > 0) logInventory()
    },
    inventoryChangedAt: () => inventoryChangedAt,
    clear: () => {
      states.clear()
      lastOrders.clear()
      loggedInventory = ''
    }
  }
}
