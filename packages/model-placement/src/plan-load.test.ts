import { createManualClock } from '@fuchsiastage/clock'
import type { EngineDefinition, EngineModel, KnownTarget } from '@fuchsiastage/fleet'
import test from 'ava'
import { createDemandTracker } from './demand-tracker.js'
import { createEngineState, type EngineState } from './engine-state.js'
import { planLoad, type LoadPlan } from './plan-load.js'

function modelOf (name: string, megabytes: number): EngineModel {
  return { name, megabytes, storeLoadMilliseconds: 6_000, diskLoadMilliseconds: 500, memoryLoadMilliseconds: 300, adapterMegabytes: 40 }
}

const MODELS = [modelOf('large-1', 34_000), modelOf('large-2', 34_000), modelOf('large-3', 34_000), modelOf('small-1', 16_000), modelOf('small-2', 16_000)]
const ENGINE: EngineDefinition = {
  models: new Map(MODELS.map((model) => [model.name, model])),
  megabytes: 83_000,
  adapterPlaces: 8,
  batchSlots: 96,
  cacheTokens: 200_000,
  storeLoadsPerSecond: 2
}

interface Inventory {
  readonly models?: readonly string[]
  readonly disk?: readonly string[]
  readonly memory?: readonly string[]
}

function stateOf (id: string, { models = [], disk = [], memory = [] }: Inventory): EngineState {
  const placement = { orderCount: 0, models: models.map((name) => ({ name, adapters: [] })), pendingAdapters: [], modelsInMemory: memory, modelsOnDisk: disk }
  const entry = { id, startedAt: 0, service: 'drafter', address: '', dataCentre: 'a', slots: 96, isDraining: false, softwareVersion: 'v1', leavesInMilliseconds: undefined, placement }
  const target: KnownTarget = { key: `${id}@0`, entry, placement, load: undefined, loadMeasuredAt: undefined, leavesAt: undefined }
  return { ...createEngineState(target), hasReport: true, isExact: true }
}

function planFor (model: string, engines: readonly EngineState[], rates: Readonly<Record<string, number>> = {}, replicaCapacity?: number): LoadPlan | undefined {
  const clock = createManualClock()
  const demand = createDemandTracker(clock)
  for (const [name, requests] of Object.entries(rates)) demand.record(name, requests)
  const definition = ENGINE.models.get(model)
  if (definition === undefined) throw new Error(`no model ${model}`)
  const replicaCount = (loaded: string): number => engines.filter(({ models }) => models.has(loaded)).length
  return planLoad({ engine: ENGINE, model: definition, engines, demand, replicaCount, replicaCapacity: () => replicaCapacity, now: clock.now(), storeSlowdown: 1, loadOf: () => 0, isInUse: () => false, isProtected: () => false })
}

function summaryOf (plan: LoadPlan | undefined): unknown {
  return plan === undefined ? undefined : { engine: plan.state.key, source: plan.source, evictions: plan.evictions, loadMilliseconds: plan.loadMilliseconds }
}

test('an engine with the weights on disk is preferred over free accelerator memory elsewhere', (t) => {
  t.snapshot(summaryOf(planFor('large-3', [stateOf('free', {}), stateOf('cached', { models: ['large-1', 'large-2'], disk: ['large-3'] })])))
})

test('weights in host memory are preferred over weights on disk', (t) => {
  t.snapshot(summaryOf(planFor('small-1', [stateOf('disk', { disk: ['small-1'] }), stateOf('memory', { memory: ['small-1'] })])))
})

test('the model with the lowest demand is evicted', (t) => {
  const plan = planFor('large-3', [stateOf('full', { models: ['large-1', 'large-2'], disk: ['large-3'] })], { 'large-1': 20, 'large-2': 1 })
  t.deepEqual(plan?.evictions, ['large-2'])
})

test('no more models are evicted than necessary', (t) => {
  const plan = planFor('large-3', [stateOf('full', { models: ['small-1', 'large-1', 'small-2'], disk: ['large-3'] })], { 'small-1': 1, 'small-2': 2, 'large-1': 3 })
  t.deepEqual(plan?.evictions, ['small-1', 'small-2'])
})

test('the number of requests delayed by an eviction is lower for a model with other replicas', (t) => {
  const inventory = { models: ['large-1', 'large-2'], disk: ['large-3'] }
  const demand = { 'large-1': 10, 'large-2': 10 }
  const alone = planFor('large-3', [stateOf('full', inventory)], demand)
  const replicated = planFor('large-3', [stateOf('full', inventory), stateOf('other', { models: ['large-1', 'large-2'] })], demand)
  t.true((alone?.delayedRequests ?? 0) > (replicated?.delayedRequests ?? Infinity))
})

test('the time until a busy engine is free counts towards the cost', (t) => {
  const busy = stateOf('busy', { disk: ['small-1'] })
  busy.runningLoad = { model: 'large-1', source: 'store', startedAt: 0, expectedAt: 5_000, isAccepted: true }
  t.is(planFor('small-1', [busy, stateOf('other', { disk: ['small-1'] })])?.state.key, 'other@0')
  t.is(planFor('small-1', [busy])?.waitMilliseconds, 5_000)
})

test('no load is planned at an engine without a report or with a foreign order', (t) => {
  const unreported = { ...stateOf('unreported', {}), hasReport: false, isExact: false }
  const occupied = { ...stateOf('occupied', {}), hasForeignOrder: true }
  t.is(planFor('small-1', [unreported, occupied]), undefined)
})

test('a replica whose requests the other replicas cannot take over is evicted last', (t) => {
  const engines = [stateOf('one', { models: ['large-1', 'large-2'], disk: ['large-3'] }), stateOf('other', { models: ['large-1'] })]
  const rates = { 'large-1': 60, 'large-2': 12 }
  t.deepEqual(planFor('large-3', engines, rates)?.evictions, ['large-1'])
  t.deepEqual(planFor('large-3', engines, rates, 3)?.evictions, ['large-2'])
})

test('a load from the store is preferred over evicting busy models only if the cached copy costs much more', (t) => {
  const engines = [stateOf('cached', { models: ['large-1', 'large-2'], disk: ['large-3'] }), stateOf('free', {})]
  t.is(planFor('large-3', engines, { 'large-1': 40, 'large-2': 40 })?.source, 'disk')
  t.is(planFor('large-3', engines, { 'large-1': 80, 'large-2': 80 })?.source, 'store')
})
