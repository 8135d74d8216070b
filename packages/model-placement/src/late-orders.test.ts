import { targetKeyOf, type KnownTarget } from '@fuchsiastage/fleet'
import test from 'ava'
import type { EngineOrder, PlacementResult } from './index.js'
import { createFixture, createRandom, LARGE, SMALL, type Fixture } from './placement-fixture.test-helper.js'

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
