import test from 'ava'
import type { PlacementResult } from './index.js'
import { createFixture, createRandom, LARGE, SMALL, type Fixture } from './placement-fixture.test-helper.js'

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

test('a model whose engine states in its reports that it leaves is placed on another one', async (t) => {
  const fixture = createFixture({ sizes: { loaded: LARGE, onDisk: LARGE }, inventories: [{ models: ['loaded'], disk: ['onDisk'] }, { models: [], disk: ['onDisk', 'loaded'] }] })
  await fixture.waitForReports()
  const [leaving] = fixture.engines.engines
  if (leaving !== undefined) leaving.isLeaving = true
  await fixture.clock.advance(3_000)
  const orderCount = leaving?.orderCount
  const response = Promise.all([fixture.requestModel('onDisk'), fixture.requestModel('loaded')])
  await fixture.clock.advance(2_000)
  t.deepEqual(await response, [{ kind: 'ready', target: 'e1@0' }, { kind: 'ready', target: 'e1@0' }])
  t.is(leaving?.orderCount, orderCount)
  fixture.placement.stop()
})

test('requests that wait for the same load share its estimate, so that the lease holder is not overloaded by them', async (t) => {
  const play = async (requests: number): Promise<{ readonly timers: number, readonly definitions: number }> => {
    const fixture = createFixture({ sizes: { wanted: SMALL, 'other-1': SMALL, 'other-2': SMALL }, inventories: [{ models: ['other-1'], disk: ['other-1'] }, { models: ['other-2'], disk: ['other-2'] }] })
    await fixture.waitForReports()
    const timersBefore = fixture.clock.pendingTimers()
    for (let request = 0; request < requests; request++) void fixture.requestModel('wanted')
    await fixture.clock.advance(500)
    const { definitions } = fixture.reads
    await fixture.clock.advance(1_000)
    return { timers: fixture.clock.pendingTimers() - timersBefore, definitions: fixture.reads.definitions - definitions }
  }
  const one = await play(1)
  const many = await play(200)
  t.true(many.timers <= one.timers + 2, JSON.stringify({ one, many }))
  t.true(many.definitions <= 2 * one.definitions, JSON.stringify({ one, many }))
})
