import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import { createKeepWarmPolicy, DEFAULT_KEEP_WARM_SETTINGS, type KeepWarmSettings } from '@fuchsiastage/keep-warm'
import { createLeasedStream, type LeasedStream, type LeaseTiming } from '@fuchsiastage/leased-stream'
import { createMemoryLogService, type LogService, type MemoryLogService } from '@fuchsiastage/log-client'
import { createMemoryLogger } from '@fuchsiastage/logger'
import type { AdapterDefinition, FencingSupport, ModelDefinition, PlacementRule, TargetRoleDefinition } from '@fuchsiastage/types'
import {
  createPlacementController, DEFAULT_PLACEMENT_SETTINGS, foldPlacement, type PlacementConfiguration, type PlacementController, type PlacementSettings, type PlacementState, type PlacementTarget, type WantReplicaAnswer, type WantReplicaRequest
} from '../index.js'
import { createFakeClient, type FakeClient } from './fake-client.js'
import { createFakeEngine, type FakeEngine } from './fake-engine.js'

export const STREAM = 'placement.bc-coast'

export const TIMING: LeaseTiming = {
  renewMilliseconds: 3_000,
  lapseMilliseconds: 9_000,
  rankDelayMilliseconds: 1_500,
  doubtMilliseconds: 6_000,
  snapshotEveryRecords: 50,
  snapshotEveryMilliseconds: 60_000
}

export interface EngineSpecification {
  readonly name: string
  readonly dataCentre?: string
  readonly fencing?: FencingSupport
}

export interface RegionOptions {
  readonly engines: readonly EngineSpecification[]
  /** Memory of each model in megabytes. */
  readonly models: Readonly<Record<string, number>>
  readonly adapters?: Readonly<Record<string, AdapterDefinition>>
  readonly rules: Readonly<Record<string, Partial<PlacementRule>>>
  readonly daemons?: number
  /** Whether the engines keep their fencing tokens across a restart. */
  readonly keepsToken?: boolean
  readonly settings?: Partial<PlacementSettings>
  readonly keepWarm?: Partial<KeepWarmSettings>
  readonly timing?: (daemon: string) => LeaseTiming
}

export interface RegionDaemon {
  readonly name: string
  readonly leased: LeasedStream<PlacementState>
  readonly controller: PlacementController
  readonly client: FakeClient
  /** Disconnects the daemon from the log service. */
  readonly setCut: (cut: boolean) => void
  /** Makes log reads of the daemon fail while its appends still arrive. */
  readonly setReadsCut: (cut: boolean) => void
  /** Holds appends in transit and fails them for the daemon, as if its process had been suspended while sending. */
  readonly setAppendsHeld: (held: boolean) => void
  /** Delivers the held appends to the log service. */
  readonly deliverAppends: () => Promise<void>
  readonly setConfigurationFresh: (fresh: boolean) => void
  /** Log lines of the daemon. */
  readonly lines: readonly string[]
  /** Ends the process. Orders and appends of the process that are in transit or held may still be delivered. */
  readonly kill: () => void
  readonly isAlive: () => boolean
}

export interface Region {
  readonly clock: ManualClock
  readonly log: MemoryLogService
  readonly engines: ReadonlyMap<string, FakeEngine>
  readonly daemons: RegionDaemon[]
  readonly addDaemon: () => RegionDaemon
  readonly engine: (name: string) => FakeEngine
  readonly holder: () => RegionDaemon | undefined
  readonly requestReplica: (model: string, request?: Partial<WantReplicaRequest>) => WantReplicaAnswer
  readonly setRule: (name: string, rule: Partial<PlacementRule>) => void
  readonly removeTarget: (name: string) => void
  readonly setTargetState: (name: string, state: 'live' | 'leaving') => void
  readonly state: () => PlacementState
  /** Names of the engines on which the model is loaded. */
  readonly enginesWith: (model: string) => readonly string[]
  /** Violations found in the state of the engines: too many replicas, too much memory in use, or a load without an intent. */
  readonly violations: () => readonly string[]
}

export const ENGINE_MEMORY_MEGABYTES = 80_000
export const DATA_CENTRES = ['van-a', 'van-b', 'vic-a', 'kam-a']

const DEFAULT_RULE: PlacementRule = { dataCentres: DATA_CENTRES, maximumReplicas: 1, minimumWarm: 0 }

/** Creates a region of fake engines, an in-memory log service and daemons that run the placement controller. */
export function createRegion (options: RegionOptions): Region {
  const clock = createManualClock()
  const log = createMemoryLogService(clock)
  const engines = new Map<string, FakeEngine>()
  const targets = new Map<string, PlacementTarget>()
  const violations: string[] = []
  const daemons: RegionDaemon[] = []
  const rules = new Map<string, PlacementRule>(Object.entries(options.rules).map(([name, rule]) => [name, { ...DEFAULT_RULE, ...rule }]))
  const models = new Map<string, ModelDefinition>(Object.entries(options.models).map(([name, memoryMegabytes]) =>
    [name, { role: 'drafter', memoryMegabytes, weightsMegabytes: 5_000 }]))
  const adapters = new Map(Object.entries(options.adapters ?? {}))
  const fencingKinds = new Set(options.engines.map(({ fencing }) => fencing ?? 'checked'))
  if (fencingKinds.size > 1) throw new Error('all engines of one role must have the same fencing support')
  const fencing = [...fencingKinds][0] ?? 'checked'
  const roles = new Map<string, TargetRoleDefinition>([
    ['drafter', { kind: 'engine', fencing, memoryMegabytes: ENGINE_MEMORY_MEGABYTES, accelerators: 1, maximumConcurrent: 8 }]
  ])
  const limitsByVersion: Map<string, number>[] = []
  const recordLimits = (): void => { limitsByVersion.push(new Map([...rules].map(([name, rule]) => [name, rule.maximumReplicas]))) }
  recordLimits()
  const currentVersion = (): number => limitsByVersion.length - 1

  /** Replica limit in the configuration version of the intent, taken from the rules of this region and not from the record; undefined without an intent. */
  const limitOf = (orderId: string, model: string): number | undefined => {
    const record = log.contents(STREAM).map(({ value }) => value as Record<string, unknown>)
      // The id of an order that was repeated during a log outage starts with the order id of the original intent.
      .find((value) => value.kind === 'intent' && value.orderId === orderId.replace(/(\.repeat-\d+)+$/, ''))
    return record === undefined ? undefined : limitsByVersion[Number(record.configurationVersion)]?.get(model)
  }
  const replicasOf = (model: string): readonly { readonly engine: FakeEngine, readonly orderId: string }[] =>
    [...engines.values()].flatMap((engine) => engine.state().models.filter((reported) => reported.model === model).map(({ orderId }) => ({ engine, orderId })))

  const checkLoad = (engine: FakeEngine, model: string, orderId: string): void => {
    if (limitOf(orderId, model) === undefined) violations.push(`${engine.name} loads ${model} by ${orderId}, which has no intent in the log`)
    const replicas = replicasOf(model)
    const limit = Math.max(...replicas.map((replica) => limitOf(replica.orderId, model) ?? 0))
    if (replicas.length > limit) violations.push(`${replicas.length} replicas of ${model} with limit ${limit}: ${replicas.map((replica) => `${replica.engine.name} by ${replica.orderId}`).join(', ')}`)
    const used = engine.state().models.reduce((sum, reported) => sum + reported.memoryMegabytes, 0)
    if (used > engine.memoryMegabytes) violations.push(`${engine.name} uses ${used} of ${engine.memoryMegabytes} MB: ${engine.state().models.map((reported) => reported.model).join(', ')}`)
  }

  for (const specification of options.engines) {
    const { name, dataCentre = 'van-a' } = specification
    engines.set(name, createFakeEngine({ name, fencing, memoryMegabytes: ENGINE_MEMORY_MEGABYTES, clock, keepsToken: options.keepsToken ?? false, onLoadStart: (engine, order) => checkLoad(engine, order.model, order.orderId) }))
    targets.set(name, { name, address: `${name}:8000`, role: 'drafter', dataCentre, state: 'live' })
  }

  const addDaemon = (): RegionDaemon => {
    const rank = daemons.length
    const name = `entry-${rank + 1}`
    const connection = log.connect()
    const disconnected = log.connect()
    disconnected.setCut(true)
    const { logger, lines } = createMemoryLogger(clock, name)
    let areReadsCut = false
    let isFresh = true
    let isAlive = true
    const lateAppends: (() => Promise<unknown>)[] = []
    let areAppendsHeld = false
    const logService: LogService = {
      append: async (stream, values, signal) => {
        if (!areAppendsHeld) return await connection.append(stream, values, signal)
        lateAppends.push(() => log.append(stream, values))
        return await disconnected.append(stream, values, signal)
      },
      read: async (stream, fromOffset, readOptions, signal) => {
        const result = await connection.read(stream, fromOffset, readOptions, signal)
        return areReadsCut ? await disconnected.read(stream, fromOffset, readOptions, signal) : result
      }
    }
    const leased = createLeasedStream({
      stream: STREAM,
      daemon: name,
      fold: foldPlacement,
      logService,
      clock,
      logger,
      timing: options.timing?.(name) ?? TIMING,
      pollMilliseconds: 2_000,
      retryMilliseconds: 300,
      rank: () => rank
    })
    const client = createFakeClient(engines)
    const configuration = (): PlacementConfiguration => ({ version: currentVersion(), isFresh, models, adapters, rules, roles })
    const controller = createPlacementController({
      leased,
      engineClient: client,
      configuration,
      targets: () => targets,
      keepWarm: createKeepWarmPolicy({ ...DEFAULT_KEEP_WARM_SETTINGS, ...options.keepWarm }),
      clock,
      logger,
      settings: { ...DEFAULT_PLACEMENT_SETTINGS, ...options.settings }
    })
    const daemon: RegionDaemon = {
      name,
      leased,
      controller,
      client,
      lines,
      setCut: connection.setCut,
      setReadsCut: (cut) => { areReadsCut = cut },
      setAppendsHeld: (held) => { areAppendsHeld = held },
      deliverAppends: async () => {
        for (const deliver of lateAppends.splice(0)) await deliver()
      },
      setConfigurationFresh: (fresh) => { isFresh = fresh },
      kill: () => {
        isAlive = false
        connection.setCut(true)
        void controller.stop()
        void leased.stop()
      },
      isAlive: () => isAlive
    }
    leased.start()
    controller.start()
    daemons.push(daemon)
    return daemon
  }
  for (let count = 0; count < (options.daemons ?? 2); count++) addDaemon()

  const liveDaemons = (): readonly RegionDaemon[] => daemons.filter((daemon) => daemon.isAlive())
  const holder = (): RegionDaemon | undefined =>
    liveDaemons().filter((daemon) => daemon.leased.currentEpoch() !== undefined).sort((left, right) => (right.leased.currentEpoch() ?? 0) - (left.leased.currentEpoch() ?? 0))[0]

  return {
    clock,
    log,
    engines,
    daemons,
    addDaemon,
    engine: (name) => engines.get(name) as FakeEngine,
    holder,
    requestReplica: (model, request = {}) => (holder() ?? liveDaemons()[0] as RegionDaemon).controller
      .wantReplica({ model, deadlineMilliseconds: 60_000, priority: 'normal', waiting: 1, ...request }),
    setRule: (name, rule) => {
      rules.set(name, { ...DEFAULT_RULE, ...rules.get(name), ...rule })
      recordLimits()
    },
    removeTarget: (name) => { targets.delete(name) },
    setTargetState: (name, state) => {
      const target = targets.get(name)
      if (target !== undefined) targets.set(name, { ...target, state })
    },
    state: () => (holder() ?? liveDaemons()[0] as RegionDaemon).leased.follower.view().state.payload,
    enginesWith: (model) => replicasOf(model).filter(({ engine }) => engine.state().models.some((reported) => reported.model === model && reported.state === 'loaded')).map(({ engine }) => engine.name),
    violations: () => violations
  }
}
