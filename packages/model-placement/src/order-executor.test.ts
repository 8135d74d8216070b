import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import type { EngineReport, KnownTarget, TargetPlacement } from '@fuchsiastage/fleet'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test from 'ava'
import { ok } from 'true-myth/result'
import { createEngineState, type EngineState } from './engine-state.js'
import { createOrderExecutor, type OrderResult, type OrderRequest } from './order-executor.js'
import type { EngineOrder, OrderAnswer } from './ports.js'

function placementOf (orderCount: number, models: readonly string[]): TargetPlacement {
  return { orderCount, models: models.map((name) => ({ name, adapters: [] })), pendingAdapters: [], modelsInMemory: [], modelsOnDisk: [] }
}

function targetOf (placement: TargetPlacement): KnownTarget {
  const entry = { id: 'e1', startedAt: 0, service: 'drafter', address: '', dataCentre: 'a', slots: 96, isDraining: false, softwareVersion: 'v1', leavesInMilliseconds: undefined, placement }
  return { key: 'e1@0', entry, placement, load: undefined, loadMeasuredAt: undefined, leavesAt: undefined }
}

interface Fixture {
  readonly clock: ManualClock
  readonly orders: EngineOrder[]
  readonly state: EngineState
  readonly execute: (overrides?: Partial<OrderRequest>) => Promise<OrderResult>
}

function createFixture (answers: readonly OrderAnswer[], reported: TargetPlacement, term: () => number | undefined = () => 7): Fixture {
  const clock = createManualClock()
  const orders: EngineOrder[] = []
  const target = targetOf(placementOf(3, ['loaded']))
  const state = { ...createEngineState(target), hasReport: true, isExact: true }
  const report: EngineReport = { startedAt: undefined, isBusy: false, isLeaving: false, placement: reported, load: { running: 0, waiting: 0, cacheTokensUsed: 0, cacheTokens: 0 } }
  const executor = createOrderExecutor({
    clock,
    logger: createMemoryLogger(clock).logger,
    holder: 'entry-1',
    termForOrder: term,
    engines: {
      order: async (_target, order) => {
        orders.push(order)
        return answers[orders.length - 1] ?? { kind: 'conflict' }
      },
      report: async () => ok(report)
    }
  })
  const execute = async (overrides: Partial<OrderRequest> = {}): Promise<OrderResult> => {
    const running = executor.execute(target, state, { operation: 'load', model: 'm1', adapter: undefined, conflictTimeoutMilliseconds: 1_000, isStillValid: () => true, ...overrides })
    await clock.advance(5_000)
    return await running
  }
  return { clock, orders, state, execute }
}

test('an order states the expected order count, the holder and the term', async (t) => {
  const fixture = createFixture([{ kind: 'accepted' }], placementOf(3, ['loaded']))
  t.is(await fixture.execute(), 'done')
  t.deepEqual(fixture.orders, [{ operation: 'load', model: 'm1', adapter: undefined, expectedOrderCount: 3, holder: 'entry-1', term: 7 }])
  t.is(fixture.state.orderCount, 4)
})

test('no order is sent without the lease', async (t) => {
  const fixture = createFixture([{ kind: 'accepted' }], placementOf(3, ['loaded']), () => undefined)
  t.is(await fixture.execute(), 'no-lease')
  t.is(fixture.orders.length, 0)
})

test('an unanswered order that took effect is not sent again', async (t) => {
  const fixture = createFixture([{ kind: 'unanswered', reason: 'timeout' }], placementOf(4, ['loaded', 'm1']))
  t.is(await fixture.execute(), 'done')
  t.is(fixture.orders.length, 1)
})

test('an unanswered order that did not take effect is repeated with the same count, so that only one of the two can take effect', async (t) => {
  const fixture = createFixture([{ kind: 'unanswered', reason: 'timeout' }, { kind: 'accepted' }], placementOf(3, ['loaded']))
  t.is(await fixture.execute(), 'done')
  t.deepEqual(fixture.orders.map(({ expectedOrderCount }) => expectedOrderCount), [3, 3])
})

test('an order is dropped when a report shows that it is no longer valid', async (t) => {
  // Another holder has sent two orders and loaded a model in the meantime, so there is no room left.
  const fixture = createFixture([{ kind: 'conflict' }, { kind: 'accepted' }], placementOf(5, ['loaded', 'other']))
  t.is(await fixture.execute({ isStillValid: () => fixture.state.models.size < 2 }), 'outdated')
  t.is(fixture.orders.length, 1)
})

test('no order is sent to an engine of which no report has been read', async (t) => {
  const fixture = createFixture([{ kind: 'accepted' }], placementOf(3, ['loaded', 'other']))
  fixture.state.hasReport = false
  fixture.state.isExact = false
  t.is(await fixture.execute({ isStillValid: () => fixture.state.models.size < 2 }), 'outdated')
  t.is(fixture.orders.length, 0)
})

test('conflicts are retried for a bounded time', async (t) => {
  const fixture = createFixture([], placementOf(3, ['loaded']))
  t.is(await fixture.execute(), 'failed')
  t.true(fixture.orders.length < 12)
})
