import { randomUUID } from 'node:crypto'
import { createManualClock, createSystemClock } from '@fuchsiastage/clock'
import { createKeepWarmPolicy, DEFAULT_KEEP_WARM_SETTINGS } from '@fuchsiastage/keep-warm'
import { createLeasedStream, type EpochRecord } from '@fuchsiastage/leased-stream'
import { createMemoryLogService, parseStreamRecord } from '@fuchsiastage/log-client'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createSeededRandom, type RandomSource } from '@fuchsiastage/membership'
import {
  createPlacementController, createReplicaDirectory, DEFAULT_PLACEMENT_SETTINGS, foldPlacement, RECORD_KINDS, reservationKey,
  type PlacementConfiguration, type PlacementController, type PlacementEngineClient, type PlacementState, type PlacementTarget, type Reservation, type ReservedTarget
} from '@fuchsiastage/placement'
import type { AdapterDefinition, EngineState, JsonValue, ModelDefinition, ModelState, PlacementRule, TargetRoleDefinition } from '@fuchsiastage/types'
import { ok } from 'true-myth/result'
import { adapterName, ADAPTER_MEGABYTES, DESIGN_SIZE, LOADED_MODELS_PER_TARGET, MODEL_MEGABYTES, ENGINE_MEMORY_MEGABYTES, modelCount, modelName, createTargetRecords } from './fixtures.js'
import { fitLine, heapBytes, jsonBytes, measureCost, medianMilliseconds, roundSignificant, scaleSizes, type CapacityOptions, type CapacityPart, type CapacityTable } from './measure.js'

const systemClock = createSystemClock()
const EPOCH = 3
const DAEMON = 'entry-0001'
const STREAM = 'placement.region-1'
/** Number of models and adapters. */
const NAME_COUNT = DESIGN_SIZE.models + DESIGN_SIZE.adapters
const TARGET_SIZES = [100, 1_000, 3_000]
/** 31% of the models and adapters become active or idle within an hour. */
const ACTIVITY_CHANGES_PER_SECOND = 0.31 * NAME_COUNT / 3_600
/** Share of models that are active at any one time; section 1.2 of the design page only says that most are idle. */
const ACTIVE_SHARE = 0.3
const ADAPTERS_PER_MODEL = 2
const MEASURED_FOLD_ROUNDS = 100
const SIMULATED_MILLISECONDS = 60_000
/** Number of idle models that are requested at the same time. */
const BURST_MODELS = 50
const USAGE_REPORT_MILLISECONDS = 5_000
/** Daemons of a region that report usage, and models in one report. */
const REPORTING_DAEMONS = 185
const MODELS_PER_REPORT = 20

interface LoadedModel {
  readonly model: string
  readonly baseModel: string | null
  readonly memoryMegabytes: number
}

/** Returns the models loaded on a target: two active models and one adapter of each. */
function loadedModelsOn (target: number): readonly LoadedModel[] {
  const models = modelCount(NAME_COUNT)
  const active = Math.round(models * ACTIVE_SHARE)
  return Array.from({ length: LOADED_MODELS_PER_TARGET / 2 }, (_, slot) => {
    const model = (target * 2 + slot) % active
    const base = modelName(model)
    const adapter = adapterName(model + models * (Math.floor(target * 2 / active) % ADAPTERS_PER_MODEL))
    return [
      { model: base, baseModel: null, memoryMegabytes: MODEL_MEGABYTES },
      { model: adapter, baseModel: base, memoryMegabytes: ADAPTER_MEGABYTES }
    ]
  }).flat()
}

function incarnationOf (target: string): string {
  return `00000000-0000-4000-8000-0000000${target.slice(-5)}`
}

export function createPlacementState (targetCount: number): PlacementState {
  const targets = new Map<string, ReservedTarget>()
  const reservations = new Map<string, Reservation>()
  createTargetRecords(targetCount).forEach(({ name, address, role, dataCentre }, index) => {
    targets.set(name, { target: name, incarnation: incarnationOf(name), address, role, dataCentre, fencing: 'checked', memoryMegabytes: ENGINE_MEMORY_MEGABYTES })
    for (const { model, baseModel, memoryMegabytes } of loadedModelsOn(index)) {
      const orderId = randomUUID()
      reservations.set(reservationKey(name, model), { reservationId: orderId, lastOrderId: orderId, target: name, model, baseModel, memoryMegabytes, configurationVersion: 20_000, isUsable: true, unsettled: [] })
    }
  })
  return { targets, reservations, decisionEpoch: EPOCH, decisionSequence: 1 }
}

function createRecord (kind: string, fields: object): EpochRecord {
  return { ...fields, recordId: randomUUID(), kind, formatVersion: 1, epoch: EPOCH, author: DAEMON } as EpochRecord
}

/** Creates the records of one load and one unload. */
export function createRoundRecords (state: PlacementState, random: RandomSource): readonly EpochRecord[] {
  const targets = [...state.targets.values()]
  const target = targets[Math.floor(random() * targets.length)] as ReservedTarget
  const model = modelName(DESIGN_SIZE.models + Math.floor(random() * 1_000))
  const orderId = randomUUID()
  const targetAndModel = { target: target.target, model }
  return [
    createRecord(RECORD_KINDS.intent, { ...targetAndModel, orderId, sequence: state.decisionSequence + 1, targetIncarnation: target.incarnation, baseModel: null, memoryMegabytes: MODEL_MEGABYTES, replicaLimit: 4, configurationVersion: 20_000 }),
    createRecord(RECORD_KINDS.settlement, { orderId, outcome: 'loaded' }),
    createRecord(RECORD_KINDS.release, { ...targetAndModel, sequence: state.decisionSequence + 2, reservationId: orderId, lastOrderId: orderId, fencingToken: EPOCH })
  ]
}

async function measureFold (targetCount: number, options: CapacityOptions): Promise<readonly number[]> {
  const random = createSeededRandom(options.seed)
  const before = heapBytes()
  let state = createPlacementState(targetCount)
  const stateBytes = heapBytes() - before
  const initial = state.reservations.size
  const directory = createReplicaDirectory(() => state)
  directory.replicaCount('none')
  const indexedBytes = heapBytes() - before
  const rounds = Math.max(5, Math.round(MEASURED_FOLD_ROUNDS * options.scale))
  let bytes = 0
  let records = 0
  let directoryMilliseconds = 0
  const { cost } = await measureCost(() => {
    for (let index = 0; index < rounds; index++) {
      for (const record of createRoundRecords(state, random)) {
        state = foldPlacement.apply(state, record, index, 'current')
        bytes += jsonBytes(record)
        records++
        // After each record a daemon looks up the replicas of the models that it serves, here 20.
        const startedAt = systemClock.now()
        for (let model = 0; model < MODELS_PER_REPORT; model++) directory.replicasOf(modelName(model))
        directoryMilliseconds += systemClock.now() - startedAt
      }
    }
  })
  if (state.reservations.size !== initial) throw new Error('the fold rejected a measured record: the number of reservations changed')
  const encoded = foldPlacement.encode(state)
  const encodeMilliseconds = medianMilliseconds(3, () => JSON.stringify(foldPlacement.encode(state)))
  const decodeMilliseconds = medianMilliseconds(3, () => foldPlacement.decode(encoded))
  return [targetCount, state.reservations.size, (cost.processorMilliseconds - directoryMilliseconds) / records, directoryMilliseconds / records, bytes / records, stateBytes / initial, indexedBytes / 1e6, jsonBytes(encoded) / 1e6, encodeMilliseconds, decodeMilliseconds]
}

function createConfiguration (): PlacementConfiguration {
  const models = modelCount(NAME_COUNT)
  const definitions = Array.from({ length: models }, (_, index): [string, ModelDefinition] => [modelName(index), { role: 'role-0', memoryMegabytes: MODEL_MEGABYTES, weightsMegabytes: MODEL_MEGABYTES }])
  const adapters = Array.from({ length: NAME_COUNT - models }, (_, index): [string, AdapterDefinition] => [adapterName(index), { model: modelName(index % models), memoryMegabytes: ADAPTER_MEGABYTES, weightsMegabytes: ADAPTER_MEGABYTES }])
  const rule: PlacementRule = { dataCentres: DESIGN_SIZE.dataCentres, maximumReplicas: 64, minimumWarm: 0 }
  const role: TargetRoleDefinition = { kind: 'engine', fencing: 'checked', memoryMegabytes: ENGINE_MEMORY_MEGABYTES, accelerators: 2, maximumConcurrent: 32 }
  return {
    version: 20_000,
    isFresh: true,
    models: new Map(definitions),
    adapters: new Map(adapters),
    rules: new Map([...definitions, ...adapters].map(([name]) => [name, rule])),
    roles: new Map([['role-0', role]])
  }
}

/** Creates simulated engines that complete each order after a fixed time. */
function createSimulatedEngines (clock: ReturnType<typeof createManualClock>, targetCount: number): PlacementEngineClient {
  const states = new Map(createTargetRecords(targetCount).map(({ name }, index): [string, EngineState] => [name, {
    kind: 'engine',
    incarnation: incarnationOf(name),
    state: 'live',
    fencingToken: 1,
    memoryMegabytes: ENGINE_MEMORY_MEGABYTES,
    models: loadedModelsOn(index).map(({ model, memoryMegabytes }): ModelState => ({ model, state: 'loaded', orderId: 'former', memoryMegabytes })),
    executedOrders: [],
    cachedWeights: {},
    load: { running: 0, waiting: 0, capacity: 32, ageMilliseconds: 500 }
  }]))
  return {
    readState: async (target) => ok(states.get(target.name) as EngineState),
    sendOrder: async (target, order) => {
      await clock.sleep(order.kind === 'load' ? 4_000 : 100)
      const state = states.get(target.name) as EngineState
      const others = state.models.filter(({ model }) => model !== order.model)
      const models: readonly ModelState[] = order.kind === 'load' ? [...others, { model: order.model, state: 'loaded', orderId: order.orderId, memoryMegabytes: order.memoryMegabytes }] : others
      states.set(target.name, { ...state, fencingToken: order.fencingToken, models, executedOrders: [...state.executedOrders, order.orderId].slice(-100) })
      return { kind: 'done' }
    }
  }
}

async function measureHolder (targetCount: number, options: CapacityOptions): Promise<readonly number[]> {
  const clock = createManualClock()
  const random = createSeededRandom(options.seed)
  const { logger } = createMemoryLogger(clock)
  const logService = createMemoryLogService(clock)
  const before = heapBytes()
  const encoded = { lease: { epoch: EPOCH, holder: null, lastRecordOffset: 0, acquireRecordId: 'former' }, payload: foldPlacement.encode(createPlacementState(targetCount)) }
  await logService.append(STREAM, [{}, { recordId: 'first', kind: 'snapshot', formatVersion: 1, epoch: EPOCH, author: 'former', throughOffset: 0, state: encoded }])
  logService.expire(STREAM, 1)
  const leased = createLeasedStream({
    stream: STREAM,
    daemon: DAEMON,
    fold: foldPlacement,
    logService,
    clock,
    logger,
    rank: () => 0,
    timing: { renewMilliseconds: 3_000, lapseMilliseconds: 9_000, rankDelayMilliseconds: 1_500, doubtMilliseconds: 6_000, snapshotEveryRecords: 1_000, snapshotEveryMilliseconds: 21_600_000 },
    pollMilliseconds: 2_000,
    retryMilliseconds: 500
  })
  const configuration = createConfiguration()
  const targets = new Map(createTargetRecords(targetCount).map(({ name, address, role, dataCentre, state }): [string, PlacementTarget] => [name, { name, address, role, dataCentre, state }]))
  const controller = createPlacementController({
    leased,
    engineClient: createSimulatedEngines(clock, targetCount),
    configuration: () => configuration,
    targets: () => targets,
    keepWarm: createKeepWarmPolicy(DEFAULT_KEEP_WARM_SETTINGS),
    clock,
    logger,
    settings: { ...DEFAULT_PLACEMENT_SETTINGS, loadsPerSecond: 4, concurrentLoads: 8 }
  })
  const { cost: startCost } = await measureCost(async () => {
    leased.start()
    controller.start()
    await clock.advance(20_000)
  })
  if (leased.currentEpoch() === undefined) throw new Error('the daemon did not acquire the placement lease')
  const names = [...configuration.rules.keys()]
  const pickName = (): string => names[Math.floor(random() * names.length)] ?? ''
  const activeNames = [...new Set(Array.from({ length: targetCount }, (_, index) => loadedModelsOn(index).map(({ model }) => model)).flat())]
  const pickActiveName = (): string => activeNames[Math.floor(random() * activeNames.length)] ?? ''
  const duration = Math.max(5_000, SIMULATED_MILLISECONDS * options.scale)
  const firstOffset = leased.follower.view().nextOffset
  let replicaRequests = 0
  let replicaRequestMilliseconds = 0
  const { cost } = await measureCost(async () => {
    const end = clock.now() + duration
    let dueRequests = 0
    while (clock.now() < end) {
      for (let daemon = 0; daemon < REPORTING_DAEMONS * 1_000 / USAGE_REPORT_MILLISECONDS; daemon++) {
        for (let model = 0; model < MODELS_PER_REPORT; model++) controller.reportUsage({ daemon: `entry-${Math.floor(random() * REPORTING_DAEMONS)}`, name: pickActiveName(), requests: 5, inFlight: 1 })
      }
      for (dueRequests += ACTIVITY_CHANGES_PER_SECOND / 2; dueRequests >= 1; dueRequests--) {
        const name = pickName()
        const adapter = configuration.adapters.get(name)
        const { cost: requestCost } = await measureCost(() => controller.wantReplica({ model: adapter?.model ?? name, adapter: adapter === undefined ? undefined : name, deadlineMilliseconds: 60_000, priority: 'normal', waiting: 1, replicas: 64 }))
        replicaRequestMilliseconds += requestCost.wallMilliseconds
        replicaRequests++
      }
      await clock.advance(1_000)
    }
  })
  const burst = await measureBurst(controller, configuration, activeNames)
  const memory = heapBytes() - before
  const writtenRecords = logService.contents(STREAM).filter(({ offset }) => offset >= firstOffset).map(({ value }) => value)
  const decisions = writtenRecords.filter((value) => Object.values(RECORD_KINDS).includes(parseStreamRecord(value)?.kind as never))
  const result = [targetCount, cost.processorMilliseconds / duration * 1_000, startCost.processorMilliseconds, replicaRequests === 0 ? 0 : replicaRequestMilliseconds / replicaRequests, replicaRequests / duration * 1_000, writtenRecords.length / duration * 1_000, decisions.length / duration * 1_000, sumBytes(writtenRecords) / duration * 1_000, memory / 1e6, burst]
  const stopped = Promise.all([controller.stop(), leased.stop()])
  for (let step = 0; step < 30; step++) await clock.advance(1_000)
  await stopped
  return result
}

/** Measures how long the event loop is blocked when requests for many idle models arrive at the same time. */
async function measureBurst (controller: PlacementController, configuration: PlacementConfiguration, active: readonly string[]): Promise<number> {
  const isActive = new Set(active)
  const idle = [...configuration.models.keys()].filter((name) => !isActive.has(name)).slice(-BURST_MODELS)
  const { value, cost } = await measureCost(() => idle.map((model) =>
    controller.wantReplica({ model, deadlineMilliseconds: 7_200_000, priority: 'normal', waiting: 1 })))
  const accepted = value.filter(({ kind }) => kind === 'expected').length
  if (accepted < idle.length / 2) throw new Error(`only ${accepted} of ${idle.length} requests for idle models were accepted; first response: ${JSON.stringify(value[0])}`)
  return cost.wallMilliseconds
}

function sumBytes (values: readonly JsonValue[]): number {
  return values.reduce((sum: number, value) => sum + jsonBytes(value), 0)
}

/** Placement fold and replica directory, which every daemon of a region maintains. */
export const placementPart: CapacityPart = {
  name: 'placement',
  description: 'placement fold and replica directory',
  run: async (options) => {
    const sizes = scaleSizes(TARGET_SIZES, options.scale)
    const rows: (readonly number[])[] = []
    await measureFold(sizes[0] ?? 100, options)
    for (const size of sizes) rows.push(await measureFold(size, options))
    const slope = (label: string, column: number): readonly (string | number)[] => {
      const { slope: perReservation, intercept } = fitLine(rows.map((row) => [row[1] ?? 0, row[column] ?? 0]))
      return [label, roundSignificant(perReservation * 1_000), roundSignificant(intercept)]
    }
    const tables: CapacityTable[] = [
      {
        title: `placement: fold and directory of one region, ${LOADED_MODELS_PER_TARGET} reservations on each target, ${MODELS_PER_REPORT} models looked up after each record`,
        columns: ['targets', 'reservations', 'fold ms/record', 'directory ms/record', 'bytes/record', 'state bytes/reservation', 'state+directory MB', 'snapshot MB', 'encode ms', 'decode ms'],
        rows: rows.map((row) => row.map(roundSignificant))
      },
      {
        title: 'placement: slopes per reservation',
        columns: ['figure', 'per 1,000 reservations', 'fixed'],
        rows: [slope('fold ms/record', 2), slope('directory ms/record', 3), slope('state+directory MB', 6), slope('snapshot MB', 7)]
      }
    ]
    return tables
  }
}

/** Work of the holder of the placement lease of one region. */
export const holderPart: CapacityPart = {
  name: 'holder',
  description: 'holder of the placement lease of one region',
  run: async (options) => {
    const rows: (readonly number[])[] = []
    for (const size of scaleSizes(TARGET_SIZES, options.scale)) rows.push(await measureHolder(size, options))
    const table: CapacityTable = {
      title: `placement: holder, ${ACTIVITY_CHANGES_PER_SECOND.toPrecision(2)} activity changes per second, ${REPORTING_DAEMONS} daemons report usage (simulated time)`,
      columns: ['targets', 'processor ms/s', 'takeover ms', 'ms/wantReplica', 'wantReplica/s', 'records/s', 'decisions/s', 'bytes/s', 'memory MB', `ms to request ${BURST_MODELS} idle models at once`],
      rows: rows.map((row) => row.map(roundSignificant))
    }
    return [table]
  }
}
