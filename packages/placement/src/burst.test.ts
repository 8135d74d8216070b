import { createManualClock } from '@fuchsiastage/clock'
import { createKeepWarmPolicy, DEFAULT_KEEP_WARM_SETTINGS } from '@fuchsiastage/keep-warm'
import { createLeasedStream } from '@fuchsiastage/leased-stream'
import { createMemoryLogService } from '@fuchsiastage/log-client'
import { createMemoryLogger } from '@fuchsiastage/logger'
import type { EngineState } from '@fuchsiastage/types'
import test from 'ava'
import { ok } from 'true-myth/result'
import { createPlacementController, DEFAULT_PLACEMENT_SETTINGS, foldPlacement, type PlacementConfiguration, type PlacementTarget } from './index.js'
import { STREAM, TIMING } from './test-support/region.js'

const NAMES = Array.from({ length: 60 }, (_, index) => `model-${index}`)

/**
 * Creates a single target that counts the reads of its role. Target selection reads the role of every
 * target for each plan, so the count grows with the number of plans.
 */
function createCountingTargets () {
  let roleReads = 0
  const target: PlacementTarget = {
    name: 'drafter-1',
    address: '10.0.1.1:8000',
    get role () {
      roleReads++
      return 'drafter'
    },
    dataCentre: 'van-a',
    state: 'live'
  }
  return { targets: new Map([[target.name, target]]), count: () => roleReads }
}

// Guards against planning work that grows with the square of the number of models: when requests for
// many models that were not loaded arrived together, the lease holder was busy for seconds and lost
// its lease.
test('planning work for a burst of requested models grows linearly with their number', async (t) => {
  const clock = createManualClock()
  const { logger } = createMemoryLogger(clock)
  const leased = createLeasedStream({
    stream: STREAM, daemon: 'entry-1', fold: foldPlacement, logService: createMemoryLogService(clock), clock, logger, rank: () => 0, timing: TIMING, pollMilliseconds: 2_000, retryMilliseconds: 500
  })
  const configuration: PlacementConfiguration = {
    version: 1,
    isFresh: true,
    models: new Map(NAMES.map((name) => [name, { role: 'drafter', memoryMegabytes: 10, weightsMegabytes: 10_000 }])),
    adapters: new Map(),
    rules: new Map(NAMES.map((name) => [name, { dataCentres: ['van-a'], maximumReplicas: 1, minimumWarm: 0 }])),
    roles: new Map([['drafter', { kind: 'engine', fencing: 'checked', memoryMegabytes: 100_000, accelerators: 1, maximumConcurrent: 8 }]])
  }
  const { targets, count } = createCountingTargets()
  const engine: EngineState = { kind: 'engine', incarnation: 'drafter-1#1', state: 'live', fencingToken: 0, memoryMegabytes: 100_000, models: [], executedOrders: [], cachedWeights: {}, load: { running: 0, waiting: 0, capacity: 8, ageMilliseconds: 0 } }
  const controller = createPlacementController({
    leased,
    engineClient: {
      readState: async () => ok(engine),
      sendOrder: (_target, _order, signal) => new Promise((resolve) => signal.addEventListener('abort', () => resolve({ kind: 'unknown', reason: 'aborted' })))
    },
    configuration: () => configuration,
    targets: () => targets,
    keepWarm: createKeepWarmPolicy(DEFAULT_KEEP_WARM_SETTINGS),
    clock,
    logger,
    settings: { ...DEFAULT_PLACEMENT_SETTINGS, concurrentLoads: 1 }
  })
  leased.start()
  controller.start()
  await clock.advance(5_000)
  t.not(leased.currentEpoch(), undefined)
  const before = count()
  const answers = NAMES.map((model) => controller.wantReplica({ model, deadlineMilliseconds: 7_200_000, priority: 'normal', waiting: 1 }))
  t.true(answers.every(({ kind }) => kind === 'expected'))
  const roleReadsPerModel = (count() - before) / NAMES.length
  t.true(roleReadsPerModel <= 12, `${roleReadsPerModel} reads of the role for each requested model`)
  const stopped = Promise.all([controller.stop(), leased.stop()])
  await clock.advance(30_000)
  await stopped
})
