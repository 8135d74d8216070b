import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import { createTargetDirectory, targetKeyOf, type EngineDefinition, type KnownTarget, type ServingConfiguration } from '@fuchsiastage/fleet'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test from 'ava'
import { createSimulatedEngines, type EngineFaults, type SimulatedEngines } from './simulated-engines.js'
import { createPlacementController, type EngineOrder, type EnginePort, type PlacementController, type PlacementResult } from './index.js'

const LARGE = 34_000
const SMALL = 16_000

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

interface Fixture {
  readonly clock: ManualClock
  readonly engines: SimulatedEngines
  readonly placement: PlacementController
  /** Creates the placement of another daemon, which has not started it yet. */
  readonly addHolder: (holder: string, term: () => number | undefined) => PlacementController
  readonly requestModel: (model: string, options?: { readonly adapter?: string, readonly remainingMilliseconds?: number }) => Promise<PlacementResult>
  /** Advances the clock until the first reports have been read. */
  readonly waitForReports: () => Promise<void>
  /** Numbers of reads of the list of all targets and of reports. */
  readonly reads: { targets: number, reports: number }
  /** Number of orders that engines refused because of their order count or another order. */
  readonly conflicts: () => number
}

interface FixtureOptions {
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

function createFixture ({ sizes, inventories, faults, random = () => 1, term = () => 1, registeredAfter = [], orderResponseMilliseconds = 0 }: FixtureOptions): Fixture {
  const clock = createManualClock()
  const { logger } = createMemoryLogger(clock)
  const engine = engineDefinition(sizes)
  const engines = createSimulatedEngines(clock, engine, inventories, random, faults)
  const directory = createTargetDirectory({ clock, logger, lapseGraceMilliseconds: 2_300 })
  engines.entries().forEach((entry, index) => {
    const delay = registeredAfter[index] ?? 0
    if (delay === 0) directory.applyEntry(entry.id, entry)
    else clock.setTimer(delay, () => directory.applyEntry(entry.id, entry))
  })
  const reads = { targets: 0, reports: 0 }
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

test('a model on disk is ready after its load', async (t) => {
  const fixture = createFixture({ sizes: { loaded: LARGE, onDisk: LARGE }, inventories: [{ models: ['loaded'], disk: ['onDisk'] }] })
  await fixture.waitForReports()
  const requestedAt = fixture.clock.now()
  const response = fixture.requestModel('onDisk').then((result) => ({ result, elapsed: fixture.clock.now() - requestedAt }))
  await fixture.clock.advance(2_000)
  const { result, elapsed } = await response
  t.deepEqual(result, { kind: 'ready', target: 'e0@0' })
  t.true(elapsed < 700)
  fixture.placement.stop()
})

test('a request whose load takes too long is refused immediately with the load time, and the load continues for the retry', async (t) => {
  const fixture = createFixture({ sizes: { loaded: LARGE, rare: LARGE }, inventories: [{ models: ['loaded'], disk: [] }] })
  await fixture.waitForReports()
  const result = await fixture.requestModel('rare', { remainingMilliseconds: 4_000 })
  t.is(result.kind, 'refused')
  t.true(result.kind === 'refused' && result.reason === 'cold-start-too-long' && result.retryAfterMilliseconds >= 5_000)
  await fixture.clock.advance(8_000)
  t.deepEqual(await fixture.requestModel('rare', { remainingMilliseconds: 4_000 }), { kind: 'ready', target: 'e0@0' })
  fixture.placement.stop()
})

test('no order is sent without the lease', async (t) => {
  const fixture = createFixture({ sizes: { loaded: LARGE, onDisk: LARGE }, inventories: [{ models: ['loaded'], disk: ['onDisk'] }], term: () => undefined })
  await fixture.waitForReports()
  t.is((await fixture.requestModel('onDisk')).kind, 'refused')
  await fixture.clock.advance(3_000)
  t.is(fixture.engines.engines[0]?.orderCount, 0)
  fixture.placement.stop()
})

test('a model in high demand is not evicted for a single request', async (t) => {
  const fixture = createFixture({ sizes: { hot: LARGE, other: LARGE, rare: LARGE }, inventories: [{ models: ['hot', 'other'], disk: [] }] })
  // Without demand, a preload would evict one of them.
  fixture.placement.demand.record('hot', 60)
  fixture.placement.demand.record('other', 60)
  await fixture.waitForReports()
  const result = await fixture.requestModel('rare')
  t.true(result.kind === 'refused' && result.reason === 'no-room-for-model')
  fixture.placement.stop()
})

test('free accelerator memory is filled with models whose weights the engine has on disk', async (t) => {
  const fixture = createFixture({ sizes: { loaded: LARGE, onDisk: LARGE, uncached: SMALL }, inventories: [{ models: ['loaded'], disk: ['onDisk'] }, { models: ['loaded'], disk: [] }] })
  await fixture.clock.advance(4_000)
  t.true(fixture.engines.engines[0]?.models.has('onDisk'))
  fixture.placement.stop()
})

test('preloads from the store run one at a time while requests arrive, and otherwise as many as the store serves at full speed', async (t) => {
  const sizes = Object.fromEntries(['loaded', 'r1', 'r2', 'r3', 'r4', 'r5'].map((name) => [name, SMALL]))
  const inventories = [1, 2, 3, 4].map(() => ({ models: ['loaded'], disk: [] }))
  const countStoreLoads = async (hasRequests: boolean): Promise<number> => {
    const fixture = createFixture({ sizes, inventories })
    for (let step = 0; step < 50; step++) {
      if (hasRequests) fixture.placement.demand.record('loaded', 1)
      await fixture.clock.advance(100)
    }
    fixture.placement.stop()
    return fixture.engines.engines.reduce((sum, { storeLoads }) => sum + storeLoads, 0)
  }
  t.is(await countStoreLoads(true), 1)
  t.is(await countStoreLoads(false), 3)
})

test('no model is evicted before the daemons have had time to report their demand', async (t) => {
  const fixture = createFixture({ sizes: { one: LARGE, other: LARGE, rare: LARGE }, inventories: [{ models: ['one', 'other'], disk: ['rare'] }] })
  const loadedModels = (): readonly string[] => [...fixture.engines.engines[0]?.models.keys() ?? []].sort()
  // Time for the first reports to be read.
  await fixture.clock.advance(50)
  const response = fixture.requestModel('rare')
  await fixture.clock.advance(1_000)
  t.deepEqual(loadedModels(), ['one', 'other'])
  await fixture.clock.advance(2_000)
  t.deepEqual(await response, { kind: 'ready', target: 'e0@0' })
  fixture.placement.stop()
})

test('without the lease a daemon does not refuse a model as unknown', async (t) => {
  const fixture = createFixture({ sizes: { loaded: LARGE }, inventories: [{ models: ['loaded'], disk: [] }], term: () => undefined })
  const result = await fixture.requestModel('nobody-knows')
  t.true(result.kind === 'refused' && result.reason === 'no-order-lease')
  fixture.placement.stop()
})

test('a request waits for an eviction while the demand for the loaded models may decay before its deadline', async (t) => {
  const fixture = createFixture({ sizes: { hot: LARGE, other: LARGE, rare: LARGE }, inventories: [{ models: ['hot', 'other'], disk: ['rare'] }] })
  fixture.placement.demand.record('hot', 50)
  fixture.placement.demand.record('other', 50)
  await fixture.waitForReports()
  const response = fixture.requestModel('rare', { remainingMilliseconds: 12_000 })
  await fixture.clock.advance(12_000)
  t.deepEqual(await response, { kind: 'ready', target: 'e0@0' })
  fixture.placement.stop()
})

test('a model whose only engine is overloaded gets a second replica', async (t) => {
  const fixture = createFixture({ sizes: { hot: LARGE }, inventories: [{ models: ['hot'], disk: [] }, { models: [], disk: ['hot'] }] })
  const replicaCount = (): number => fixture.engines.engines.filter(({ models }) => models.has('hot')).length
  const runSteps = async (isOverloaded: boolean): Promise<void> => {
    for (let step = 0; step < 10; step++) {
      fixture.placement.demand.record('hot', step % 5 === 0 ? 0.5 : 0)
      if (isOverloaded) fixture.placement.recordOverloaded(['e0@0'])
      await fixture.clock.advance(100)
    }
  }
  await runSteps(false)
  t.is(replicaCount(), 1)
  await runSteps(true)
  await fixture.clock.advance(1_000)
  t.is(replicaCount(), 2)
  fixture.placement.stop()
})

test('while requests arrive, most engines do not load from the store, so that their cached models can be loaded', async (t) => {
  const names = ['loaded', 'r1', 'r2', 'r3', 'r4']
  const fixture = createFixture({ sizes: Object.fromEntries(names.map((name) => [name, LARGE])), inventories: [1, 2, 3, 4].map(() => ({ models: ['loaded'], disk: [] })) })
  fixture.placement.demand.record('loaded', 1)
  await fixture.waitForReports()
  const responses = names.map(async (name) => await fixture.requestModel(name, { remainingMilliseconds: 60_000 }))
  for (let step = 0; step < 4; step++) {
    fixture.placement.demand.record('loaded', 1)
    await fixture.clock.advance(1_000)
    t.true(fixture.engines.engines.filter(({ isBusy }) => isBusy).length <= 1)
  }
  await fixture.clock.advance(50_000)
  t.deepEqual((await Promise.all(responses)).map(({ kind }) => kind), names.map(() => 'ready'))
  fixture.placement.stop()
})

test('a model in high demand whose clients cannot wait for the store is loaded before rarely requested models that others wait for', async (t) => {
  const names = ['loaded', 'r1', 'r2', 'r3', 'r4', 'busy']
  const fixture = createFixture({ sizes: Object.fromEntries(names.map((name) => [name, LARGE])), inventories: [1, 2, 3, 4].map(() => ({ models: ['loaded'], disk: [] })) })
  fixture.placement.demand.record('loaded', 1)
  await fixture.waitForReports()
  const rare = ['r1', 'r2', 'r3', 'r4'].map(async (name) => await fixture.requestModel(name, { remainingMilliseconds: 60_000 }))
  const loadedAt = async (): Promise<number> => {
    for (let step = 0; step < 400; step++) {
      void fixture.requestModel('busy', { remainingMilliseconds: 4_000 })
      await fixture.clock.advance(100)
      if (fixture.engines.engines.some(({ models }) => models.has('busy'))) return step * 100
    }
    return Infinity
  }
  t.true(await loadedAt() <= 13_000)
  await fixture.clock.advance(60_000)
  t.deepEqual((await Promise.all(rare)).map(({ kind }) => kind), ['ready', 'ready', 'ready', 'ready'])
  fixture.placement.stop()
})

test('an idle adapter is evicted when all places are taken', async (t) => {
  const fixture = createFixture({ sizes: { loaded: LARGE }, inventories: [{ models: ['loaded'], disk: [] }] })
  await fixture.waitForReports()
  for (const adapter of ['a1', 'a2', 'a3', 'a4', 'a5']) {
    const response = fixture.requestModel('loaded', { adapter })
    await fixture.clock.advance(2_000)
    t.is((await response).kind, 'ready')
  }
  t.deepEqual([...fixture.engines.engines[0]?.models.get('loaded') ?? []], ['a2', 'a3', 'a4', 'a5'])
  t.deepEqual(fixture.engines.violations, [])
  fixture.placement.stop()
})

test('an adapter unload whose response comes after a report of it is counted once', async (t) => {
  const fixture = createFixture({ sizes: { loaded: LARGE }, inventories: [{ models: ['loaded'], disk: [] }], orderResponseMilliseconds: 500 })
  await fixture.waitForReports()
  for (const adapter of ['a1', 'a2', 'a3', 'a4']) {
    const response = fixture.requestModel('loaded', { adapter })
    await fixture.clock.advance(1_500)
    t.is((await response).kind, 'ready')
  }
  const response = fixture.requestModel('loaded', { adapter: 'a5' })
  await fixture.clock.advance(3_000)
  fixture.placement.stop()
  t.is((await response).kind, 'ready')
  t.is(fixture.conflicts(), 0)
})

test('an adapter that serves requests is not evicted', async (t) => {
  const fixture = createFixture({ sizes: { loaded: LARGE }, inventories: [{ models: ['loaded'], disk: [] }] })
  await fixture.waitForReports()
  for (const adapter of ['a1', 'a2', 'a3', 'a4']) {
    const response = fixture.requestModel('loaded', { adapter })
    await fixture.clock.advance(1_000)
    await response
  }
  await fixture.clock.advance(2_000)
  fixture.placement.recordInUse(['e0@0 loaded/a1'])
  const response = fixture.requestModel('loaded', { adapter: 'a5' })
  await fixture.clock.advance(200)
  t.is((await response).kind, 'ready')
  t.true(fixture.engines.engines[0]?.models.get('loaded')?.has('a1'))
  fixture.placement.stop()
})

/** Creates a linear congruential generator, so that a failing seed can be reproduced. */
function createRandom (seed: number): () => number {
  let state = seed
  return () => {
    state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0
    return state / 2 ** 32
  }
}

/** Runs random requests for models and adapters over about a minute, while some responses to orders are lost and some orders are delayed. */
async function runSeed (seed: number): Promise<{ readonly violations: readonly string[], readonly ready: number, readonly requested: number }> {
  const random = createRandom(seed)
  const sizes = Object.fromEntries(Array.from({ length: 12 }, (_value, index) => [`m${index}`, index % 2 === 0 ? LARGE : SMALL]))
  const names = Object.keys(sizes)
  const inventories = [0, 1, 2, 3].map((engine) => ({ models: [names[engine] ?? ''], disk: names.filter((_name, index) => index % 4 === engine) }))
  const fixture = createFixture({ sizes, inventories, random, faults: { responseLossRate: 0.1, orderDelayRate: 0.1 } })
  await fixture.waitForReports()
  const results: Array<Promise<PlacementResult>> = []
  for (let step = 0; step < 120; step++) {
    const model = names[Math.floor(random() ** 2 * names.length)] ?? 'm0'
    results.push(fixture.requestModel(model, random() < 0.4 ? { adapter: `a${Math.floor(random() * 8)}` } : {}))
    await fixture.clock.advance(Math.floor(random() * 600))
  }
  await fixture.clock.advance(20_000)
  fixture.placement.stop()
  const settled = await Promise.all(results)
  return { violations: fixture.engines.violations, ready: settled.filter(({ kind }) => kind === 'ready').length, requested: settled.length }
}

for (const seed of [1, 2, 3, 4]) {
  test(`memory and adapter places are never exceeded while responses are lost and orders are delayed, seed ${seed}`, async (t) => {
    const { violations, ready, requested } = await runSeed(seed)
    t.deepEqual(violations, [])
    t.true(ready > requested / 2)
  })
}

/** Sends an order of a lease holder that this daemon does not know, as one that an engine executes late. */
async function executeLateOrder ({ engines }: Fixture, order: Pick<EngineOrder, 'model' | 'adapter' | 'expectedOrderCount'>): Promise<void> {
  const [entry] = engines.entries()
  if (entry === undefined) throw new Error('the fixture has no engine')
  const target: KnownTarget = { key: targetKeyOf(entry), entry, placement: entry.placement, load: undefined, loadMeasuredAt: undefined, leavesAt: undefined }
  await engines.order(target, { ...order, operation: 'load', holder: 'entry-0', term: 0 })
}

test('a load that conflicts with a late order is not sent into the memory that the late order has taken', async (t) => {
  const fixture = createFixture({ sizes: { letters: LARGE, late: LARGE, requested: LARGE }, inventories: [{ models: ['letters'], disk: ['late', 'requested'] }] })
  await fixture.waitForReports()
  await executeLateOrder(fixture, { model: 'late', adapter: undefined, expectedOrderCount: 0 })
  const response = fixture.requestModel('requested', { remainingMilliseconds: 4_000 })
  await fixture.clock.advance(5_000)
  fixture.placement.stop()
  await response
  t.deepEqual(fixture.engines.violations, [])
})

test('an adapter is not loaded into memory that a late load of a model is taking', async (t) => {
  const sizes = { letters: LARGE, late: 83_000 - LARGE }
  const fixture = createFixture({ sizes, inventories: [{ models: ['letters'], disk: ['late'] }] })
  await fixture.waitForReports()
  await executeLateOrder(fixture, { model: 'late', adapter: undefined, expectedOrderCount: 0 })
  const response = fixture.requestModel('letters', { adapter: 'a1', remainingMilliseconds: 3_000 })
  await fixture.clock.advance(4_000)
  fixture.placement.stop()
  await response
  t.deepEqual(fixture.engines.violations, [])
})

test('a late order that an engine executes is not taken for the unanswered load of this holder', async (t) => {
  const samples = [0]
  const fixture = createFixture({
    sizes: { letters: LARGE, late: LARGE, unanswered: SMALL, next: 33_000 },
    inventories: [{ models: ['letters'], disk: ['late', 'unanswered', 'next'] }],
    random: () => samples.shift() ?? 1,
    faults: { responseLossRate: 0, orderDelayRate: 0.5 }
  })
  await fixture.waitForReports()
  const responses = [fixture.requestModel('unanswered', { remainingMilliseconds: 4_000 })]
  await fixture.clock.advance(100)
  await executeLateOrder(fixture, { model: 'late', adapter: undefined, expectedOrderCount: 0 })
  responses.push(fixture.requestModel('next', { remainingMilliseconds: 4_000 }))
  await fixture.clock.advance(5_000)
  fixture.placement.stop()
  await Promise.all(responses)
  t.deepEqual(fixture.engines.violations, [])
})

interface HandoverResult {
  readonly violations: readonly string[]
  readonly ready: number
  readonly requested: number
}

/** Passes the lease between two daemons every few seconds, while reports lag, responses are lost and orders take effect up to 12 s late. */
async function runHandovers (seed: number): Promise<HandoverResult> {
  const random = createRandom(seed)
  const sizes = Object.fromEntries(Array.from({ length: 12 }, (_value, index) => [`m${index}`, [LARGE, SMALL, 24_000][index % 3] ?? SMALL]))
  const names = Object.keys(sizes)
  const inventories = [0, 1, 2, 3].map((engine) => ({ models: [names[engine] ?? '', names[engine + 4] ?? ''], disk: names.filter((_name, index) => index % 2 === engine % 2) }))
  let term = 1
  const faults = { responseLossRate: 0.1, orderDelayRate: 0.25, maximumOrderDelayMilliseconds: 12_000, reportLagMilliseconds: 250 }
  const fixture = createFixture({ sizes, inventories, random, faults, term: () => term % 2 === 1 ? term : undefined })
  const placements = [fixture.addHolder('entry-0', () => term % 2 === 0 ? term : undefined), fixture.placement]
  await fixture.waitForReports()
  const results: Array<Promise<PlacementResult>> = []
  for (let step = 0; step < 240; step++) {
    if (random() < 0.06) {
      placements[term % 2]?.stop()
      term++
      await fixture.clock.advance(random() < 0.5 ? 3_350 : 0)
      placements[term % 2]?.start()
    }
    const model = names[Math.floor(random() ** 2 * names.length)] ?? 'm0'
    const adapter = random() < 0.5 ? `a${Math.floor(random() * 8)}` : undefined
    const holder = placements[term % 2]
    holder?.demand.record(model, 1)
    if (holder !== undefined) results.push(holder.request({ service: 'drafter', model, adapter, request: `r${step}`, remainingMilliseconds: 8_000, avoid: [] }, new AbortController().signal))
    await fixture.clock.advance(Math.floor(random() * 400))
  }
  await fixture.clock.advance(20_000)
  for (const placement of placements) placement.stop()
  await fixture.clock.advance(1_000)
  const settled = await Promise.all(results)
  return { violations: fixture.engines.violations, ready: settled.filter(({ kind }) => kind === 'ready').length, requested: settled.length }
}

const handoverSeeds = (process.env['HANDOVER_SEEDS'] ?? '1,2,3,4,5,6,7,8').split(',').map(Number)

test('no engine is overcommitted while late orders of one lease holder meet those of the next', async (t) => {
  for (const seed of handoverSeeds) {
    const { violations, ready, requested } = await runHandovers(seed)
    t.deepEqual(violations, [], `seed ${seed}`)
    t.true(ready > requested / 3, `seed ${seed}: ${ready} of ${requested} placements`)
  }
})

/** Number of reads of all targets in one second, while requests for several models wait for an engine that is loading. */
async function targetReadsPerSecond (modelCount: number, waiting: number): Promise<number> {
  const names = Array.from({ length: modelCount }, (_, index) => `m${index}`)
  const fixture = createFixture({
    sizes: Object.fromEntries(names.map((name) => [name, LARGE])),
    inventories: [{ models: ['m0', 'm1'], disk: names }, { models: ['m0', 'm1'], disk: names }]
  })
  await fixture.waitForReports()
  for (const name of names) fixture.placement.demand.record(name, 1)
  const results = Array.from({ length: waiting }, (_, index) => fixture.requestModel(names[2 + index % (modelCount - 2)] ?? 'm2', { remainingMilliseconds: 60_000 }))
  fixture.reads.targets = 0
  await fixture.clock.advance(1_000)
  const { targets } = fixture.reads
  fixture.placement.stop()
  await fixture.clock.advance(100)
  await Promise.all(results)
  return targets
}

test('the reads of all targets do not grow with the models and the waiting requests', async (t) => {
  const few = await targetReadsPerSecond(10, 8)
  const many = await targetReadsPerSecond(80, 78)
  t.true(many <= 1.5 * few, `${few} reads a second with few models, ${many} with many`)
})

test('the reads of reports fit into the control budget of a daemon', async (t) => {
  const controlMilliseconds = 39
  const readMilliseconds = 0.64
  const engineCount = 200
  const fixture = createFixture({ sizes: { loaded: LARGE }, inventories: Array.from({ length: engineCount }, () => ({ models: ['loaded'], disk: [] })) })
  await fixture.waitForReports()
  t.true(fixture.reads.reports >= engineCount)
  fixture.reads.reports = 0
  const seconds = 4
  for (let second = 0; second < seconds; second++) {
    fixture.placement.demand.record('loaded', 100)
    await fixture.clock.advance(1_000)
  }
  fixture.placement.stop()
  t.true(fixture.reads.reports / seconds <= controlMilliseconds / readMilliseconds, `${fixture.reads.reports / seconds} reads a second`)
  t.true(fixture.reads.reports > 0)
})

test('the report of a loaded engine is read more often than those of idle engines', async (t) => {
  const fixture = createFixture({ sizes: { busy: LARGE, idle: LARGE }, inventories: [{ models: ['busy'], disk: [] }, ...Array.from({ length: 11 }, () => ({ models: ['idle'], disk: [] }))] })
  await fixture.waitForReports()
  fixture.reads.reports = 0
  for (let step = 0; step < 40; step++) {
    fixture.placement.demand.record('busy', 1)
    await fixture.clock.advance(100)
  }
  fixture.placement.stop()
  // In 4 s, ten reads of the busy engine and two or three of each idle one.
  t.true(fixture.reads.reports >= 32 && fixture.reads.reports <= 43, `${fixture.reads.reports} reads`)
})

test('no model is preloaded from the store that an engine has on disk that registers later', async (t) => {
  const fixture = createFixture({
    sizes: { letters: LARGE, audits: LARGE, notes: SMALL },
    inventories: [{ models: ['letters'], disk: [] }, { models: [], disk: ['audits'] }, { models: [], disk: ['notes'] }],
    registeredAfter: [0, 900, 1_800]
  })
  await fixture.clock.advance(12_000)
  fixture.placement.stop()
  t.is(storeLoadsOf(fixture), 0)
})

function storeLoadsOf ({ engines }: Fixture): number {
  return engines.engines.reduce((sum, { storeLoads }) => sum + storeLoads, 0)
}

test('a model that only the store has replaces one that is requested less often', async (t) => {
  const fixture = createFixture({ sizes: { seldom: LARGE, other: LARGE, uncached: LARGE }, inventories: [{ models: ['seldom', 'other'], disk: [] }] })
  // Rates of 0.35, 0.9 and 0.45 requests per second.
  fixture.placement.demand.record('seldom', 4)
  fixture.placement.demand.record('other', 10)
  fixture.placement.demand.record('uncached', 4)
  await fixture.waitForReports()
  await fixture.requestModel('uncached', { remainingMilliseconds: 4_000 })
  await fixture.clock.advance(1_000)
  t.is(storeLoadsOf(fixture), 1)
  fixture.placement.stop()
})

test('models that clients request and no engine has cached use all loads that the store serves at full speed', async (t) => {
  const uncached = ['u1', 'u2', 'u3', 'u4', 'u5', 'u6']
  const sizes = Object.fromEntries(['letters', ...uncached].map((name) => [name, SMALL]))
  const fixture = createFixture({ sizes, inventories: Array.from({ length: 20 }, () => ({ models: ['letters'], disk: [] })) })
  await fixture.waitForReports()
  for (const model of uncached) await fixture.requestModel(model, { remainingMilliseconds: 4_000 })
  await fixture.clock.advance(500)
  t.is(storeLoadsOf(fixture), 4)
  fixture.placement.stop()
})

test('a load from the store does not wait for a cheaper engine that is loading while another engine is idle', async (t) => {
  const engineCount = 8
  const loadedModels = Array.from({ length: 2 * (engineCount - 1) }, (_, index) => `m${index}`)
  const fixture = createFixture({
    sizes: Object.fromEntries(['first', 'second', ...loadedModels].map((name) => [name, LARGE])),
    inventories: [{ models: [], disk: [] }, ...Array.from({ length: engineCount - 1 }, (_, index) => ({ models: loadedModels.slice(2 * index, 2 * index + 2), disk: [] }))]
  })
  for (const name of loadedModels) fixture.placement.demand.record(name, 6)
  await fixture.waitForReports()
  await fixture.requestModel('first', { remainingMilliseconds: 4_000 })
  await fixture.clock.advance(500)
  fixture.placement.demand.record('second', 20)
  await fixture.requestModel('second', { remainingMilliseconds: 4_000 })
  await fixture.clock.advance(500)
  t.is(storeLoadsOf(fixture), 2)
  fixture.placement.stop()
})
