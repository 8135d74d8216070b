import type { EngineDefinition, KnownTarget } from '@fuchsiastage/fleet'
import test from 'ava'
import { createEngineState, type EngineState } from './engine-state.js'
import { createPlacementView } from './placement-view.js'

const ENGINE: EngineDefinition = { models: new Map(), megabytes: 83_000, adapterPlaces: 8, batchSlots: 96, cacheTokens: 200_000, storeLoadsPerSecond: 2 }

interface EngineSetup {
  readonly models: readonly string[]
  readonly disk?: readonly string[]
  readonly isLeaving?: boolean
  readonly loading?: string
  readonly hasReport?: boolean
}

function createTarget (id: string, { models, disk = [], isLeaving = false }: EngineSetup): KnownTarget {
  const placement = { orderCount: 0, models: models.map((name) => ({ name, adapters: [] })), pendingAdapters: [], modelsInMemory: [], modelsOnDisk: disk }
  const entry = { id, startedAt: 0, service: 'drafter', address: '', dataCentre: 'a', slots: 96, isDraining: false, softwareVersion: 'v1', leavesInMilliseconds: undefined, placement }
  return { key: `${id}@0`, entry, placement, load: undefined, loadMeasuredAt: undefined, leavesAt: isLeaving ? 1_000 : undefined }
}

test('the view indexes the engines by model', (t) => {
  const setups: Readonly<Record<string, EngineSetup>> = {
    first: { models: ['letters'], disk: ['audits'] },
    loading: { models: ['letters', 'clauses'], loading: 'clauses' },
    leaving: { models: ['letters'], isLeaving: true },
    unread: { models: ['drafts'], disk: ['notes'], hasReport: false }
  }
  const states = new Map<string, EngineState>()
  const targets = Object.entries(setups).map(([id, setup]) => {
    const target = createTarget(id, setup)
    const runningLoad = setup.loading === undefined ? undefined : { model: setup.loading, source: 'disk' as const, startedAt: 0, expectedAt: 500, isAccepted: true }
    states.set(target.key, { ...createEngineState(target), hasReport: setup.hasReport ?? true, runningLoad })
    return target
  })
  const view = createPlacementView('drafter', ENGINE, targets, (target) => states.get(target.key) ?? createEngineState(target))
  t.snapshot({
    engines: view.engines.map(({ key }) => key),
    loadTargets: view.loadTargets.map(({ key }) => key),
    models: Object.fromEntries(['letters', 'clauses', 'audits', 'drafts', 'notes', 'unknown'].map((model) => [model, {
      replicas: view.replicasOf(model).map(({ key }) => key), count: view.replicaCount(model), isCached: view.isCached(model)
    }]))
  })
})
