import { DEFAULT_KEEP_WARM_SETTINGS, type KeepWarmFeatures, type KeepWarmSettings } from '@fuchsiastage/keep-warm'
import type { PlacementConfiguration } from '@fuchsiastage/placement'
import { readFileSync } from 'node:fs'
import { formatFaults, parseSettings } from '@fuchsiastage/settings'
import { REPOSITORY_ROOT, readExampleDeployment, type DeploymentName, type ExampleDeployment } from '../example-deployment.js'
import { mean, quantile, round } from '../statistics.js'
import { createDemand } from './demand.js'
import { createFixedKeepAlivePolicy, createLearnedPolicy, createLeastRecentlyUsedPolicy } from './policies.js'
import { simulate, type CallerResult, type SimulationOptions, type SimulationResult } from './simulate.js'

/** Figures of one policy over all seeds of a run. */
export interface ColdStartFigures {
  readonly p50: number
  readonly p95: number
  readonly p99: number
  readonly max: number
  /** Median cold-start time of the requests that waited and were then served. */
  readonly coldP50: number
  /** 99th percentile of the same times. */
  readonly coldP99: number
  /** Mean over the seeds. */
  readonly idleAcceleratorHours: number
  readonly requests: number
  readonly refused: number
  readonly loads: { readonly memory: number, readonly disk: number, readonly remote: number }
  readonly byCaller: Readonly<Record<string, CallerResult>>
}

export interface ColdStartResult {
  readonly deployment: DeploymentName
  readonly seeds: readonly number[]
  readonly weights: { readonly coldStart: number, readonly idle: number }
  readonly policy: ColdStartFigures
  readonly baselines: Readonly<Record<'fixed-keep-alive' | 'always-warm' | 'least-recently-used', ColdStartFigures>>
  readonly ablations: Readonly<Record<string, ColdStartFigures>>
}

/** Default seeds of the check and of the command. They were fixed before the policy weights, so they cannot have been selected to favour these weights. */
export const DEFAULT_SEEDS: readonly number[] = [11, 12]

type Variant = Omit<SimulationOptions, 'example' | 'demand' | 'seed' | 'configuration'> & { readonly configuration?: PlacementConfiguration }

function readPolicyWeights (name: DeploymentName): { readonly coldStart: number, readonly idle: number, readonly interval: number } {
  const settings = parseSettings(readFileSync(new URL(`examples/${name}/entry-1.ini`, REPOSITORY_ROOT), 'utf8'))
  if (settings.isErr) throw new Error(String(formatFaults(settings.error)))
  const { coldStartWeight, idleWeight, intervalMilliseconds } = settings.value.keepWarm
  return { coldStart: coldStartWeight, idle: idleWeight, interval: intervalMilliseconds }
}

/** Returns a configuration in which each adapter is a separate model that includes a copy of its base model. */
function withoutReplicaSharing (configuration: PlacementConfiguration): PlacementConfiguration {
  const models = new Map(configuration.models)
  for (const [name, adapter] of configuration.adapters) {
    const base = configuration.models.get(adapter.model)
    if (base === undefined) continue
    models.set(name, {
      role: base.role,
      memoryMegabytes: base.memoryMegabytes + adapter.memoryMegabytes,
      weightsMegabytes: base.weightsMegabytes + adapter.weightsMegabytes
    })
  }
  return { ...configuration, models, adapters: new Map() }
}

function summarise (results: readonly SimulationResult[]): ColdStartFigures {
  const first = results.flatMap(({ firstWaits }) => firstWaits)
  const cold = results.flatMap(({ coldWaits }) => coldWaits)
  const byCaller: Record<string, CallerResult> = {}
  for (const result of results) {
    for (const [caller, { requests, refused }] of result.byCaller) {
      const sum = byCaller[caller] ??= { requests: 0, refused: 0 }
      sum.requests += requests
      sum.refused += refused
    }
  }
  const total = (select: (result: SimulationResult) => number): number => results.reduce((sum, result) => sum + select(result), 0)
  return {
    p50: round(quantile(first, 0.5), 0),
    p95: round(quantile(first, 0.95), 0),
    p99: round(quantile(first, 0.99), 0),
    max: round(quantile(first, 1), 0),
    coldP50: round(quantile(cold, 0.5), 0),
    coldP99: round(quantile(cold, 0.99), 0),
    idleAcceleratorHours: round(mean(results.map(({ idleAcceleratorHours }) => idleAcceleratorHours)), 1),
    requests: total(({ requests }) => requests),
    refused: total(({ refused }) => refused),
    loads: { memory: total(({ loads }) => loads.memory), disk: total(({ loads }) => loads.disk), remote: total(({ loads }) => loads.remote) },
    byCaller
  }
}

async function measureVariant (example: ExampleDeployment, seeds: readonly number[], variant: Variant): Promise<ColdStartFigures> {
  const results: SimulationResult[] = []
  const configuration = { ...example.configuration, version: 1, isFresh: true }
  for (const seed of seeds) {
    const result = await simulate({ configuration, ...variant, example, demand: createDemand(example, seed), seed })
    if (result.overcommittedLoads > 0) throw new Error(`loads overcommitted the accelerator memory of an engine with seed ${seed}`)
    results.push(result)
  }
  return summarise(results)
}

export interface ColdStartOptions {
  readonly deployment: DeploymentName
  readonly seeds?: readonly number[]
  readonly ablations?: boolean
  /** Baselines that run besides the policy; all of them by default. */
  readonly baselines?: readonly (keyof ColdStartResult['baselines'])[]
}

/**
 * Runs the keep-warm policy, the baselines and the ablations on the same demand. The policy uses the
 * cost weights in the deployment's settings.
 *
 * @example
 * const result = await runColdStart({ deployment: 'co-operative', seeds: [1, 2] })
 */
export async function runColdStart (options: ColdStartOptions): Promise<ColdStartResult> {
  const { deployment, seeds = DEFAULT_SEEDS } = options
  const example = readExampleDeployment(deployment)
  const weights = readPolicyWeights(deployment)
  const settings: Partial<KeepWarmSettings> = { coldStartWeight: weights.coldStart, idleWeight: weights.idle, intervalMilliseconds: weights.interval }
  const withFeatures = (features: Partial<KeepWarmFeatures>): Variant =>
    ({ policy: createLearnedPolicy({ ...settings, features: { ...DEFAULT_KEEP_WARM_SETTINGS.features, ...features } }) })
  const fullPolicy = withFeatures({})
  const baselineVariants: Record<keyof ColdStartResult['baselines'], Variant> = {
    'fixed-keep-alive': { policy: createFixedKeepAlivePolicy() },
    'always-warm': { policy: createLeastRecentlyUsedPolicy(), loadsAll: true },
    'least-recently-used': { policy: createLeastRecentlyUsedPolicy() }
  }
  const ablationVariants: Record<string, Variant> = {
    'learned gaps': withFeatures({ perModelGaps: false }),
    decay: withFeatures({ decay: false }),
    prior: withFeatures({ prior: false }),
    'look-ahead': withFeatures({ lookAhead: false }),
    preload: withFeatures({ preload: false }),
    'tail cost': withFeatures({ tailCost: false }),
    'cached weights': { ...fullPolicy, hidesCaches: true },
    'queue by deadline and priority': { ...fullPolicy, ignoresDeadlines: true },
    'history of the base model': { ...fullPolicy, separatesHistories: true },
    'adapters share the replica': { ...fullPolicy, configuration: withoutReplicaSharing({ ...example.configuration, version: 1, isFresh: true }) }
  }
  const baselines = {} as Record<keyof ColdStartResult['baselines'], ColdStartFigures>
  for (const name of options.baselines ?? Object.keys(baselineVariants) as (keyof typeof baselineVariants)[]) baselines[name] = await measureVariant(example, seeds, baselineVariants[name])
  const ablations: Record<string, ColdStartFigures> = {}
  if (options.ablations === true) {
    for (const [name, variant] of Object.entries(ablationVariants)) ablations[name] = await measureVariant(example, seeds, variant)
  }
  return {
    deployment,
    seeds,
    weights: { coldStart: weights.coldStart, idle: weights.idle },
    policy: await measureVariant(example, seeds, fullPolicy),
    baselines,
    ablations
  }
}
