import { createManualClock } from '@fuchsiastage/clock'
import { createTargetDirectory, type EngineDefinition, type ServingConfiguration, type TargetUpdate } from '@fuchsiastage/fleet'
import { startSimulatedExchange, type ExchangeNode } from '@fuchsiastage/fleet-daemon'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createSeededRandom } from '@fuchsiastage/membership'
import { createPlacementController, createSimulatedEngines } from '@fuchsiastage/model-placement'
import { measureCost, quantile, roundSignificant, scaleSizes, type CapacityOptions, type CapacityPart } from './measure.js'

const LEASE_TERM = 1
const SETTLE_MILLISECONDS = 4_000
const REPORT_MILLISECONDS = 400
const BYTES_PER_KILOBYTE = 1_000

/** Reports that the lease holder reads in one interval, each of which is a change. */
const REPORTS_PER_INTERVAL = 12
/** Engines for each daemon, as on the grown deployments. */
const ENGINES_PER_DAEMON = 0.8
const MODELS_PER_ENGINE = 2.6
const REQUESTS_PER_ENGINE = 2.5
/** Share of the requests that need a placement because no known target has loaded the model. */
const PLACEMENT_SHARE = 0.25

function createBusyUpdate (index: number, round: number, ageMilliseconds: number): TargetUpdate {
  const adapters = ['a1', 'a2', 'a3']
  return {
    key: `i-${String(index).padStart(10, '0')}@0`,
    placement: { orderCount: 1, models: [{ name: 'letters-7b', adapters }, { name: 'audits-13b', adapters }], pendingAdapters: [], modelsInMemory: [], modelsOnDisk: [] },
    load: { running: 3 + round % 5, waiting: 0, cacheTokensUsed: 12_345 + round, cacheTokens: 198_758 },
    ageMilliseconds
  }
}

async function measureExchange (daemons: number, { seed, scale }: CapacityOptions): Promise<readonly number[]> {
  const clock = createManualClock()
  const fleet = startSimulatedExchange(clock, daemons, createSeededRandom(seed))
  const holder = fleet.nodes[Math.floor(daemons / 2)]
  if (holder === undefined) throw new Error('the simulated fleet is empty')
  holder.leaseTerm = LEASE_TERM
  const engines = Math.ceil(daemons * ENGINES_PER_DAEMON)
  const rounds = new Array<number>(engines).fill(0)
  const measuredAt = new Array<number>(engines).fill(0)
  holder.updates = () => rounds.map((round, index) => createBusyUpdate(index, round, clock.now() - (measuredAt[index] ?? 0)))
  let nextEngine = 0
  const advance = async (milliseconds: number): Promise<void> => {
    for (let at = 0; at < milliseconds; at += REPORT_MILLISECONDS) {
      for (let read = 0; read < Math.min(REPORTS_PER_INTERVAL, engines); read++) {
        const index = nextEngine++ % engines
        rounds[index] = (rounds[index] ?? 0) + 1
        measuredAt[index] = clock.now()
      }
      await clock.advance(REPORT_MILLISECONDS)
    }
  }
  await advance(SETTLE_MILLISECONDS)
  for (const node of fleet.nodes) {
    node.calls = 0
    node.bytes = 0
  }
  const seconds = Math.max(2, Math.round(10 * scale))
  await advance(seconds * 1_000)
  fleet.stop()
  await clock.advance(SETTLE_MILLISECONDS)
  const others = fleet.nodes.filter((node) => node !== holder)
  const perSecond = (value: (node: ExchangeNode) => number, nodes: readonly ExchangeNode[], fraction: number): number => quantile(nodes.map(value), fraction) / seconds
  const calls = (node: ExchangeNode): number => node.calls
  const kilobytes = (node: ExchangeNode): number => node.bytes / BYTES_PER_KILOBYTE
  return [daemons, engines, holder.calls / seconds, kilobytes(holder) / seconds, perSecond(calls, others, 1), perSecond(kilobytes, others, 1), perSecond(calls, others, 0.5), perSecond(kilobytes, others, 0.5)]
}

/** Calls and bytes of the exchange between the daemons, at the lease holder, at the busiest relay and at a median daemon. */
export const fleetExchangePart: CapacityPart = {
  name: 'fleet-exchange',
  description: 'exchange between the daemons on the users\' platform while all engines are busy',
  run: async (options) => {
    const rows: (readonly number[])[] = []
    for (const daemons of scaleSizes([18, 79, 185, 370], options.scale)) rows.push(await measureExchange(daemons, options))
    return [{
      title: 'fleet-exchange: calls sent and received and kilobytes of JSON a second (simulated time)',
      columns: ['daemons', 'engines', 'holder calls/s', 'holder kB/s', 'busiest other calls/s', 'busiest other kB/s', 'median calls/s', 'median kB/s'],
      rows: rows.map((row) => row.map(roundSignificant))
    }]
  }
}

async function measurePlacement (engineCount: number, { seed, scale }: CapacityOptions): Promise<readonly number[]> {
  const clock = createManualClock()
  const random = createSeededRandom(seed)
  const { logger } = createMemoryLogger(clock)
  const modelCount = Math.max(12, Math.round(engineCount * MODELS_PER_ENGINE))
  const names = Array.from({ length: modelCount }, (_, index) => `m${index}`)
  const nameAt = (index: number): string => names[index % modelCount] ?? ''
  const engine: EngineDefinition = {
    models: new Map(names.map((name, index) => [name, { name, megabytes: index % 2 === 0 ? 34_000 : 16_000, storeLoadMilliseconds: 13_200, diskLoadMilliseconds: 500, memoryLoadMilliseconds: 300, adapterMegabytes: 40 }])),
    megabytes: 83_000,
    adapterPlaces: 8,
    batchSlots: 96,
    cacheTokens: 200_000,
    storeLoadsPerSecond: 19
  }
  const busyModels = 8
  const cachedModels = Math.round(modelCount * 0.75)
  const inventories = Array.from({ length: engineCount }, (_, index) => ({
    models: [nameAt(index % busyModels), nameAt(busyModels + index % (modelCount - busyModels))],
    disk: [nameAt(index * 3 % cachedModels), nameAt((index * 3 + 1) % cachedModels), nameAt((index * 5 + 2) % cachedModels)]
  }))
  const engines = createSimulatedEngines(clock, engine, inventories, () => 1)
  const directory = createTargetDirectory({ clock, logger, lapseGraceMilliseconds: 0 })
  for (const entry of engines.entries()) directory.applyEntry(entry.id, entry)
  const configuration: ServingConfiguration = {
    version: 1,
    routes: [],
    services: new Map([['drafter', { name: 'drafter', healthPath: '/', maximumConnections: 10, engine }]]),
    limits: { headerBytes: 0, bodyBytes: 0, headerMilliseconds: 0, idleMilliseconds: 0 }
  }
  const placement = createPlacementController({
    clock,
    logger,
    directory,
    configuration: () => configuration,
    engines,
    holder: 'entry-1',
    termForOrder: () => LEASE_TERM,
    ordersExpectedIn: () => undefined,
    settings: () => ({ reportMilliseconds: REPORT_MILLISECONDS, storeWindowMilliseconds: 5_000, storeTolerance: 1 })
  })
  placement.start()
  await clock.advance(SETTLE_MILLISECONDS)
  const seconds = Math.max(1, Math.round(6 * scale))
  const rate = Math.max(1, engineCount * REQUESTS_PER_ENGINE)
  const { cost } = await measureCost(async () => {
    for (let index = 0; index < seconds * rate; index++) {
      // Few models get most of the requests.
      const model = nameAt(Math.floor(random() ** 3 * modelCount))
      placement.demand.record(model, 1)
      if (random() < PLACEMENT_SHARE) void placement.request({ service: 'drafter', model, adapter: undefined, request: `r${index}`, remainingMilliseconds: 5_000, avoid: [] }, new AbortController().signal)
      await clock.advance(1_000 / rate)
    }
  })
  placement.stop()
  await clock.advance(SETTLE_MILLISECONDS)
  return [engineCount, modelCount, rate * PLACEMENT_SHARE, cost.processorMilliseconds / seconds]
}

/** Processor time of placement at the lease holder. The calls to the engines and from the daemons are not included. */
export const fleetPlacementPart: CapacityPart = {
  name: 'fleet-placement',
  description: 'placement at the lease holder on the users\' platform',
  run: async (options) => {
    const rows: (readonly number[])[] = []
    for (const engines of scaleSizes([14, 63, 126, 252], options.scale)) rows.push(await measurePlacement(engines, options))
    return [{
      title: 'fleet-placement: processor time of the placement controller (simulated time, simulated engines)',
      columns: ['engines', 'models', 'placement requests/s', 'processor ms/s'],
      rows: rows.map((row) => row.map(roundSignificant))
    }]
  }
}
