import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import type { EngineReport, KnownTarget, TargetPlacement } from '@fuchsiastage/fleet'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test from 'ava'
import { ok } from 'true-myth/result'
import { createEngineState, type EngineState } from './engine-state.js'
import { createOrderExecutor, type OrderResult, type WantedOrder } from './order-executor.js'
import type { EngineOrder, OrderAnswer } from './ports.js'

function placementOf (orderCount: number, models: readonly string[]): TargetPlacement {
  return { orderCount, models: models.map((name) => ({ name, adapters: [] })), pendingAdapters: [], modelsInMemory: [], modelsOnDisk: [] }
}

function targetOf (placement: TargetPlacement): KnownTarget {
  const entry = { id: 'e1', startedAt: 0, service: 'drafter', address: '', dataCentre: 'a', slots: 96, isDraining: false, leavesInMilliseconds: undefined, placement }
  return { key: 'e1@0', entry, placement, load: undefined, loadMeasuredAt: undefined, leavesAt: undefined }
}

interface Scene {
  readonly clock: ManualClock
  readonly orders: EngineOrder[]
  readonly state: EngineState
  readonly execute: (wanted?: Partial<WantedOrder>) => Promise<OrderResult>
}

function createScene (answers: readonly OrderAnswer[], reported: TargetPlacement, term: () => number | undefined = () => 7): Scene {
  const clock = createManualClock()
  const orders: EngineOrder[] = []
  const target = targetOf(placementOf(3, ['kept']))
  const state = { ...createEngineState(target), isKnown: true }
  const report: EngineReport = { startedAt: undefined, isBusy: false, placement: reported, load: { running: 0, waiting: 0, cacheTokensUsed: 0, cacheTokens: 0 } }
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
  const execute = async (wanted: Partial<WantedOrder> = {}): Promise<OrderResult> => {
    const running = executor.execute(target, state, { operation: 'load', model: 'm1', adapter: undefined, patienceMilliseconds: 1_000, isStillRight: () => true, ...wanted })
    await clock.advance(5_000)
    return await running
  }
  return { clock, orders, state, execute }
}

test('an order names the count that it expects, the holder and the term', async (t) => {
  const scene = createScene([{ kind: 'accepted' }], placementOf(3, ['kept']))
  t.is(await scene.execute(), 'done')
  t.deepEqual(scene.orders, [{ operation: 'load', model: 'm1', adapter: undefined, expectedOrderCount: 3, holder: 'entry-1', term: 7 }])
  t.is(scene.state.orderCount, 4)
})

test('nothing is sent without the lease', async (t) => {
  const scene = createScene([{ kind: 'accepted' }], placementOf(3, ['kept']), () => undefined)
  t.is(await scene.execute(), 'no-lease')
  t.is(scene.orders.length, 0)
})

test('an order without an answer that has taken effect is not sent again', async (t) => {
  const scene = createScene([{ kind: 'unanswered', reason: 'timeout' }], placementOf(4, ['kept', 'm1']))
  t.is(await scene.execute(), 'done')
  t.is(scene.orders.length, 1)
})

test('an order without an answer that has not taken effect is repeated with the same count, so that only one of the two can', async (t) => {
  const scene = createScene([{ kind: 'unanswered', reason: 'timeout' }, { kind: 'accepted' }], placementOf(3, ['kept']))
  t.is(await scene.execute(), 'done')
  t.deepEqual(scene.orders.map(({ expectedOrderCount }) => expectedOrderCount), [3, 3])
})

test('an order is dropped when a report shows that it is no longer right', async (t) => {
  // Another holder has loaded two models meanwhile: there is no room any more.
  const scene = createScene([{ kind: 'conflict' }, { kind: 'accepted' }], placementOf(5, ['kept', 'other']))
  t.is(await scene.execute({ isStillRight: () => scene.state.models.size < 2 }), 'outdated')
  t.is(scene.orders.length, 1)
})

test('conflicts are retried for a bounded time', async (t) => {
  const scene = createScene([], placementOf(3, ['kept']))
  t.is(await scene.execute(), 'failed')
  t.true(scene.orders.length < 12)
})
