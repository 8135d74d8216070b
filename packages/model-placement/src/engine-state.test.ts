import type { EngineReport, KnownTarget, TargetPlacement } from '@fuchsiastage/fleet'
import test from 'ava'
import { applyReport, createEngineState, type EngineState } from './engine-state.js'

function placementOf (orderCount: number, models: Readonly<Record<string, readonly string[]>>, pendingAdapters: readonly string[] = []): TargetPlacement {
  return { orderCount, models: Object.entries(models).map(([name, adapters]) => ({ name, adapters })), pendingAdapters, modelsInMemory: [], modelsOnDisk: [] }
}

function reportOf (placement: TargetPlacement, isBusy = false): EngineReport {
  return { startedAt: undefined, isBusy, isLeaving: false, placement, load: { running: 0, waiting: 0, cacheTokensUsed: 0, cacheTokens: 0 } }
}

function stateOf (placement: TargetPlacement): EngineState {
  const entry = { id: 'e1', startedAt: 0, service: 'drafter', address: '', dataCentre: 'a', slots: 96, isDraining: false, softwareVersion: 'v1', leavesInMilliseconds: undefined, placement }
  const target: KnownTarget = { key: 'e1@0', entry, placement, load: undefined, loadMeasuredAt: undefined, leavesAt: undefined }
  return createEngineState(target)
}

function modelsOf (state: EngineState): Readonly<Record<string, readonly string[]>> {
  return Object.fromEntries([...state.models].map(([name, adapters]) => [name, [...adapters]]))
}

test('a load ordered by a previous holder that ends between orders of this holder is applied', (t) => {
  const state = stateOf(placementOf(4, { m1: [] }))
  applyReport(state, reportOf(placementOf(4, { m1: [] }), true), false)
  t.true(state.hasForeignOrder)
  // This holder has just loaded an adapter, so no report is authoritative yet.
  state.orderCount = 5
  applyReport(state, reportOf(placementOf(5, { m1: ['a1'], m2: [] })), false)
  t.deepEqual(modelsOf(state), { m1: ['a1'], m2: [] })
  t.false(state.hasForeignOrder)
})

test('an engine that executed a foreign order stays blocked until a report lists its current models', (t) => {
  const state = stateOf(placementOf(4, { m1: [] }))
  applyReport(state, reportOf(placementOf(4, { m1: [] }), true), false)
  state.orderCount = 5
  // This report was made before the order of this holder.
  applyReport(state, reportOf(placementOf(4, { m1: [] })), false)
  t.true(state.hasForeignOrder)
})

test('a report that is older than the last order does not change the state', (t) => {
  const state = stateOf(placementOf(4, { m1: [] }))
  applyReport(state, reportOf(placementOf(4, { m1: [] })), false)
  state.orderCount = 5
  state.models.set('m2', new Set())
  applyReport(state, reportOf(placementOf(4, { m1: [] })), false)
  t.deepEqual(modelsOf(state), { m1: [], m2: [] })
})

test('a model that is being loaded occupies its memory while reports do not list it yet', (t) => {
  const state = stateOf(placementOf(4, { m1: [] }))
  state.runningLoad = { model: 'm2', source: 'disk', startedAt: 0, expectedAt: 500, isAccepted: true }
  state.models.set('m2', new Set())
  applyReport(state, reportOf(placementOf(6, { m1: ['late'] }), true), false)
  t.deepEqual(modelsOf(state), { m1: ['late'], m2: [] })
})

test('pending adapters occupy their places', (t) => {
  const state = stateOf(placementOf(4, { m1: [] }))
  applyReport(state, reportOf(placementOf(5, { m1: ['a1'] }, ['m1/a2'])), false)
  t.deepEqual(modelsOf(state), { m1: ['a1', 'a2'] })
})

test('an adapter that is being unloaded keeps its place until a report no longer lists it', (t) => {
  const state = stateOf(placementOf(4, { m1: ['a1', 'a2'] }))
  applyReport(state, reportOf(placementOf(4, { m1: ['a1', 'a2'] })), false)
  state.unloadingAdapters.add('m1/a1')
  state.orderCount = 5
  applyReport(state, reportOf(placementOf(5, { m1: ['a1', 'a2'] })), false)
  t.deepEqual([...state.unloadingAdapters], ['m1/a1'])
  applyReport(state, reportOf(placementOf(5, { m1: ['a2'] })), false)
  t.deepEqual([...state.unloadingAdapters], [])
  t.deepEqual(modelsOf(state), { m1: ['a2'] })
})
