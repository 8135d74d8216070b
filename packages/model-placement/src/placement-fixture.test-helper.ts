import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import { createTargetDirectory, type EngineDefinition, type ServingConfiguration } from '@fuchsiastage/fleet'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createSimulatedEngines, type EngineFaults, type SimulatedEngines } from './simulated-engines.js'
import { createPlacementController, type EnginePort, type PlacementController, type PlacementResult } from './index.js'

/** Sizes of models, of which an engine of the fixture holds two large ones, or one large and three small ones. */
export const LARGE = 34_000
export const SMALL = 16_000

function engineDefinition (sizes: Readonly<Record<string, number>>): EngineDefinition {
  return {
    models: new Map(Object.entries(sizes).map(([name, megabytes]) => [name, {
      name, megabytes, storeLoadMilliseconds: 6_000, diskLoadMilliseconds: 500, memoryLoadMilliseconds: 300, adapterMegabytes: 40
    }])),
    megabytes: 83_000,
    adapterPlaces: 4,
    batchSlots: 96,
    cacheTokens: 200_000,
    storeLoadsPerSecond: 2
  }
}

export interface Fixture {
  readonly clock: ManualClock
  readonly engines: SimulatedEngines
  readonly placement: PlacementController
  /** Creates the placement of another daemon, which has not started it yet. */
  readonly addHolder: (holder: string, term: () => number | undefined) => PlacementController
  readonly requestModel: (model: string, options?: { readonly adapter?: string, readonly remainingMilliseconds?: number }) => Promise<PlacementResult>
  /** Advances the clock until the first reports have been read. */
  readonly waitForReports: () => Promise<void>
  /** Numbers of reads of the list of all targets, of reports, and of the definitions of models, which each plan of a load reads. */
  readonly reads: { targets: number, reports: number, definitions: number }
  /** Number of orders that engines refused because of their order count or another order. */
  readonly conflicts: () => number
}

export interface FixtureOptions {
  readonly sizes: Readonly<Record<string, number>>
  readonly inventories: ReadonlyArray<{ readonly models: readonly string[], readonly disk: readonly string[] }>
  readonly faults?: EngineFaults
  readonly random?: () => number
  readonly term?: () => number | undefined
  /** Milliseconds after which each engine appears in the list of targets; by default it is there at the start. */
  readonly registeredAfter?: readonly number[]
  /** Milliseconds after which the response to an order that an engine has executed arrives. */
  readonly orderResponseMilliseconds?: number
}

export function createFixture ({ sizes, inventories, faults, random = () => 1, term = () => 1, registeredAfter = [], orderResponseMilliseconds = 0 }: FixtureOptions): Fixture {
  const clock = createManualClock()
  const { logger } = createMemoryLogger(clock)
  const reads = { targets: 0, reports: 0, definitions: 0 }
  const engine = engineDefinition(sizes)
  const definitionOf = engine.models.get.bind(engine.models)
  Object.assign(engine.models, { get: (name: string) => { reads.definitions++; return definitionOf(name) } })
  const engines = createSimulatedEngines(clock, engine, inventories, random, faults)
  const directory = createTargetDirectory({ clock, logger, lapseGraceMilliseconds: 2_300 })
  engines.entries().forEach((entry, index) => {
    const delay = registeredAfter[index] ?? 0
    if (delay === 0) directory.applyEntry(entry.id, entry)
    else clock.setTimer(delay, () => directory.applyEntry(entry.id, entry))
  })
  let conflicts = 0
  const countingDirectory: typeof directory = {
    ...directory,
    usable: (service) => {
      reads.targets++
      return directory.usable(service)
    }
  }
  const countingEngines: EnginePort = {
    order: async (target, order) => {
      const answer = await engines.order(target, order)
      if (answer.kind === 'conflict') conflicts++
      if (orderResponseMilliseconds > 0) await clock.sleep(orderResponseMilliseconds)
      return answer
    },
    report: async (target) => {
      reads.reports++
      return await engines.report(target)
    }
  }
  const configuration: ServingConfiguration = {
    version: 1,
    routes: [],
    services: new Map([['drafter', { name: 'drafter', healthPath: '/', maximumConnections: 10, engine }]]),
    limits: { headerBytes: 0, bodyBytes: 0, headerMilliseconds: 0, idleMilliseconds: 0 }
  }
  const addHolder: Fixture['addHolder'] = (holder, termForOrder) => createPlacementController({
    clock,
    logger,
    directory: countingDirectory,
    configuration: () => configuration,
    engines: countingEngines,
    holder,
    termForOrder,
    ordersExpectedIn: () => undefined,
    settings: () => ({ reportMilliseconds: 400, storeWindowMilliseconds: 5_000, storeTolerance: 1 })
  })
  const placement = addHolder('entry-1', term)
  placement.start()
  const requestModel: Fixture['requestModel'] = async (model, { adapter, remainingMilliseconds = 10_000 } = {}) => {
    placement.demand.record(model, 1)
    return await placement.request({ service: 'drafter', model, adapter, request: 'r', remainingMilliseconds, avoid: [] }, new AbortController().signal)
  }
  return { clock, engines, placement, addHolder, requestModel, reads, conflicts: () => conflicts, waitForReports: async () => await clock.advance(1_000) }
}

/** Creates a linear congruential generator, so that a failing seed can be reproduced. */
export function createRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
    return state / 2 ** 32
  }
}
