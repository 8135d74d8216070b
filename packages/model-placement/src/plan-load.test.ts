import { createManualClock } from '@fuchsiastage/clock'
import type { EngineDefinition, EngineModel, KnownTarget } from '@fuchsiastage/fleet'
import test from 'ava'
import { createDemandBook } from './demand-book.js'
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

interface Holding {
  readonly models?: readonly string[]
  readonly disk?: readonly string[]
  readonly memory?: readonly string[]
}

function stateOf (id: string, { models = [], disk = [], memory = [] }: Holding): EngineState {
  const placement = { orderCount: 0, models: models.map((name) => ({ name, adapters: [] })), pendingAdapters: [], modelsInMemory: memory, modelsOnDisk: disk }
  const entry = { id, startedAt: 0, service: 'drafter', address: '', dataCentre: 'a', slots: 96, isDraining: false, leavesInMilliseconds: undefined, placement }
  const target: KnownTarget = { key: `${id}@0`, entry, placement, load: undefined, loadMeasuredAt: undefined, leavesAt: undefined }
  return { ...createEngineState(target), isKnown: true }
}

function planFor (model: string, engines: readonly EngineState[], rates: Readonly<Record<string, number>> = {}, replicaCapacity?: number): LoadPlan | undefined {
  const clock = createManualClock()
  const demand = createDemandBook(clock)
  for (const [name, requests] of Object.entries(rates)) demand.record(name, requests)
  const definition = ENGINE.models.get(model)
  if (definition === undefined) throw new Error(`no model ${model}`)
  return planLoad({ engine: ENGINE, model: definition, engines, demand, replicaCapacity: () => replicaCapacity, now: clock.now(), storeSlowdown: 1, loadOf: () => 0, isInUse: () => false, isProtected: () => false })
}

function summaryOf (plan: LoadPlan | undefined): unknown {
  return plan === undefined ? undefined : { engine: plan.state.key, source: plan.source, evictions: plan.evictions, loadMilliseconds: plan.loadMilliseconds }
}

test('weights that are near go before free memory elsewhere', (t) => {
  t.snapshot(summaryOf(planFor('large-3', [stateOf('free', {}), stateOf('near', { models: ['large-1', 'large-2'], disk: ['large-3'] })])))
})

test('memory goes before disk', (t) => {
  t.snapshot(summaryOf(planFor('small-1', [stateOf('disk', { disk: ['small-1'] }), stateOf('memory', { memory: ['small-1'] })])))
})

test('the model that is asked for least makes way', (t) => {
  const plan = planFor('large-3', [stateOf('full', { models: ['large-1', 'large-2'], disk: ['large-3'] })], { 'large-1': 20, 'large-2': 1 })
  t.deepEqual(plan?.evictions, ['large-2'])
})

test('no more models make way than needed', (t) => {
  const plan = planFor('large-3', [stateOf('full', { models: ['small-1', 'large-1', 'small-2'], disk: ['large-3'] })], { 'small-1': 1, 'small-2': 2, 'large-1': 3 })
  t.deepEqual(plan?.evictions, ['small-1', 'small-2'])
})

test('the harm of an eviction grows with the requests of the model and shrinks with its replicas', (t) => {
  const holding = { models: ['large-1', 'large-2'], disk: ['large-3'] }
  const demand = { 'large-1': 10, 'large-2': 10 }
  const alone = planFor('large-3', [stateOf('full', holding)], demand)
  const replicated = planFor('large-3', [stateOf('full', holding), stateOf('other', { models: ['large-1', 'large-2'] })], demand)
  t.true((alone?.harm ?? 0) > (replicated?.harm ?? Infinity))
})

test('an engine that is busy costs the time until it is free', (t) => {
  const busy = stateOf('busy', { disk: ['small-1'] })
  busy.running = { model: 'large-1', source: 'store', startedAt: 0, expectedAt: 5_000 }
  t.is(planFor('small-1', [busy, stateOf('other', { disk: ['small-1'] })])?.state.key, 'other@0')
  t.is(planFor('small-1', [busy])?.waitMilliseconds, 5_000)
})

test('an engine of which no report was read, or that works for others, gets no order', (t) => {
  const unknown = { ...stateOf('unknown', {}), isKnown: false }
  const occupied = { ...stateOf('occupied', {}), isBusyForOthers: true }
  t.is(planFor('small-1', [unknown, occupied]), undefined)
})

test('a replica that the others cannot replace makes way last', (t) => {
  const engines = [stateOf('one', { models: ['large-1', 'large-2'], disk: ['large-3'] }), stateOf('other', { models: ['large-1'] })]
  const rates = { 'large-1': 60, 'large-2': 12 }
  t.deepEqual(planFor('large-3', engines, rates)?.evictions, ['large-1'])
  t.deepEqual(planFor('large-3', engines, rates, 3)?.evictions, ['large-2'])
})

test('a load from the store goes before the eviction of a busy model only if the copy that is near would cost much more', (t) => {
  const engines = [stateOf('near', { models: ['large-1', 'large-2'], disk: ['large-3'] }), stateOf('free', {})]
  t.is(planFor('large-3', engines, { 'large-1': 40, 'large-2': 40 })?.source, 'disk')
  t.is(planFor('large-3', engines, { 'large-1': 80, 'large-2': 80 })?.source, 'store')
})
