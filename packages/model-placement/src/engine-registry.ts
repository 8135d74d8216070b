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
  /** Whether the engine may get new requests. */
  readonly isUsable: (state: EngineState) => boolean
  /** Engines that hold the model and are ready for requests. */
  readonly holdersOf: (service: string, model: string, avoid: readonly TargetKey[]) => readonly EngineState[]
  readonly leastLoaded: (holders: readonly EngineState[]) => EngineState
  /** Cache memory in use, 0 to 1, and 1 more while requests wait or streams pause for too long. */
  readonly loadOf: (key: TargetKey) => number
  /** Runs orders to one engine one after the other. */
  readonly inLane: <Value>(key: TargetKey, run: () => Promise<Value>) => Promise<Value>
  readonly isInUse: (state: EngineState, subject: string) => boolean
  readonly recordInUse: (subjects: readonly string[]) => void
  /** Whether daemons have told lately that streams of the engine pause for too long. */
  readonly isStrained: (key: TargetKey) => boolean
  readonly recordStrained: (targets: readonly TargetKey[]) => void
  /** Tells this daemon's router what an engine holds. */
  readonly publish: (state: EngineState) => void
  /** Forgets engines that are gone, and logs what the others hold when the set has changed. */
  readonly refresh: () => void
  /** Monotonic time at which the set of engines changed last. */
  readonly changedAt: () => Milliseconds
  readonly clear: () => void
}

/** Daemons tell every few hundred milliseconds what serves their requests; older word counts as none. */
const IN_USE_MILLISECONDS = 1_300
/** As above; the daemons themselves keep such news for 1.5 s. */
const STRAINED_MILLISECONDS = 1_000

/**
 * Creates the lease holder's record of the engines.
 *
 * @example
 * const registry = createEngineRegistry({ clock, logger, directory, configuration })
 */
export function createEngineRegistry (options: EngineRegistryOptions): EngineRegistry {
  const { clock, logger, directory } = options
  const states = new Map<TargetKey, EngineState>()
  const lanes = new Map<TargetKey, Promise<unknown>>()
  const inUseAt = new Map<string, Milliseconds>()
  const strainedAt = new Map<TargetKey, Milliseconds>()
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

  const inLane = async <Value>(key: TargetKey, run: () => Promise<Value>): Promise<Value> => {
    const before = lanes.get(key) ?? Promise.resolve()
    const result = before.then(run, run)
    lanes.set(key, result.catch(() => undefined))
    return await result
  }

  const isStrained = (key: TargetKey): boolean => clock.now() - (strainedAt.get(key) ?? -Infinity) < STRAINED_MILLISECONDS

  const loadOf = (key: TargetKey): number => {
    const target = directory.find(key)
    const load = target?.load
    const slow = isStrained(key) || (load?.waiting ?? 0) > 0 ? 1 : 0
    return slow + (load !== undefined && load.cacheTokens > 0 ? load.cacheTokensUsed / load.cacheTokens : 0)
  }

  const isInUse = (state: EngineState, subject: string): boolean => clock.now() - (inUseAt.get(`${state.key} ${subject}`) ?? -Infinity) < IN_USE_MILLISECONDS

  const holdersOf = (service: string, model: string, avoid: readonly TargetKey[]): readonly EngineState[] =>
    engineTargets(service)
      .filter(({ key }) => !avoid.includes(key))
      .map(stateOf)
      .filter((state) => state.models.has(model) && state.running?.model !== model)

  const publish = (state: EngineState): void => {
    directory.applyUpdate({ key: state.key, placement: placementOf(state), load: undefined, ageMilliseconds: 0 })
  }

  const leastLoaded = (holders: readonly EngineState[]): EngineState =>
    holders.reduce((best, state) => loadOf(state.key) < loadOf(best.key) ? state : best)

  const logInventory = (): void => {
    const keys = [...states.keys()].sort().join(' ')
    if (keys === loggedInventory) return
    loggedInventory = keys
    inventoryChangedAt = clock.now()
    for (const state of states.values()) {
      logger.info('what an engine holds', {
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
    holdersOf,
    leastLoaded,
    loadOf,
    inLane,
    isInUse,
    recordInUse: (subjects) => {
      for (const subject of subjects) inUseAt.set(subject, clock.now())
      for (const [subject, at] of inUseAt) if (clock.now() - at > IN_USE_MILLISECONDS) inUseAt.delete(subject)
    },
    isStrained,
    recordStrained: (targets) => { for (const key of targets) strainedAt.set(key, clock.now()) },
    publish,
    refresh: () => {
      for (const key of states.keys()) if (directory.find(key) === undefined) states.delete(key)
      for (const key of strainedAt.keys()) if (!isStrained(key)) strainedAt.delete(key)
      if (states.size > 0) logInventory()
    },
    changedAt: () => inventoryChangedAt,
    clear: () => {
      states.clear()
      lanes.clear()
      loggedInventory = ''
    }
  }
}
