import { createHash } from 'node:crypto'
import type { ConfigurationChange, JsonValue, VmRecord } from '@fuchsiastage/types'
import { createSeededRandom } from '@fuchsiastage/membership'

/** Deployment sizes, from section 1.2 of the design page where it gives them. */
export const DESIGN_SIZE = {
  daemons: 370,
  targets: 5_900,
  models: 1_200,
  adapters: 3_400,
  regions: ['region-1', 'region-2'],
  dataCentres: ['dc-1', 'dc-2', 'dc-3', 'dc-4', 'dc-5'],
  /** Section 1.2 gives no numbers of callers, roles and services. */
  callers: 200,
  roles: 20,
  services: 10
} as const

export const ENGINE_MEMORY_MEGABYTES = 160_000
export const MODEL_MEGABYTES = 24_000
export const ADAPTER_MEGABYTES = 400

export function modelName (index: number): string {
  return `model-${String(index).padStart(4, '0')}`
}

export function adapterName (index: number): string {
  return `adapter-${String(index).padStart(4, '0')}`
}

export function regionOf (dataCentre: string): string {
  return DESIGN_SIZE.dataCentres.indexOf(dataCentre as never) < 3 ? DESIGN_SIZE.regions[0] : DESIGN_SIZE.regions[1]
}

/** Returns the number of models in a total number of models and adapters, in the proportion of the design. */
export function modelCount (nameCount: number): number {
  return Math.max(1, Math.round(nameCount * DESIGN_SIZE.models / (DESIGN_SIZE.models + DESIGN_SIZE.adapters)))
}

/**
 * Creates the changes of a configuration with the given total number of models and adapters.
 *
 * @example
 * const changes = createConfigurationChanges(4_600)
 */
export function createConfigurationChanges (nameCount: number, dataCentres: readonly string[] = DESIGN_SIZE.dataCentres): readonly ConfigurationChange[] {
  const models = modelCount(nameCount)
  const rule = { dataCentres, maximumReplicas: 4, minimumWarm: 0 }
  const changes: ConfigurationChange[] = []
  const add = (key: string, value: unknown): void => { changes.push({ key, value: value as JsonValue }) }
  for (let index = 0; index < DESIGN_SIZE.roles; index++) {
    add(`role/role-${index}`, { kind: index < DESIGN_SIZE.roles / 2 ? 'engine' : 'service', fencing: 'checked', memoryMegabytes: ENGINE_MEMORY_MEGABYTES, accelerators: 2, maximumConcurrent: 10_000 })
  }
  for (let index = 0; index < models; index++) {
    const name = modelName(index)
    add(`model/${name}`, { role: 'role-0', memoryMegabytes: MODEL_MEGABYTES, weightsMegabytes: MODEL_MEGABYTES - 2_000 })
    add(`rule/${name}`, rule)
  }
  for (let index = 0; index < nameCount - models; index++) {
    const name = adapterName(index)
    add(`adapter/${name}`, { model: modelName(index % models), memoryMegabytes: ADAPTER_MEGABYTES, weightsMegabytes: ADAPTER_MEGABYTES - 50 })
    add(`rule/${name}`, rule)
  }
  for (let index = 0; index < DESIGN_SIZE.services; index++) {
    add(`service/service-${index}`, { role: `role-${DESIGN_SIZE.roles / 2}`, dataCentres, nonIdempotent: ['POST /rollovers', 'POST /payouts'] })
  }
  for (let index = 0; index < DESIGN_SIZE.callers; index++) {
    add(`caller/caller-${index}`, {
      tokenSha256: tokenDigest(callerToken(index)),
      priority: (['urgent', 'normal', 'bulk'] as const)[index % 3],
      weight: 1,
      maximumConcurrent: 10_000,
      requestsPerSecond: 100_000,
      deadlineMilliseconds: 120_000,
      models: ['*'],
      services: ['*']
    })
  }
  return changes
}

export function callerToken (index: number): string {
  return `caller-token-${index}`
}

function tokenDigest (token: string): string {
  return createHash('sha256').update(token).digest('hex')
}

/** Creates the daemon records of a VM list. Names and addresses have realistic lengths. */
export function createDaemonRecords (count: number): readonly VmRecord[] {
  return Array.from({ length: count }, (_, index) => {
    const dataCentre = DESIGN_SIZE.dataCentres[index % DESIGN_SIZE.dataCentres.length] ?? ''
    const host = `10.${Math.floor(index / 250)}.0.${index % 250 + 1}`
    return { name: `entry-${String(index).padStart(4, '0')}`, role: 'entry', region: regionOf(dataCentre), dataCentre, address: `${host}:8080`, peerAddress: `${host}:8082`, state: 'live' }
  })
}

export function createTargetRecords (count: number, addressOf?: (index: number) => string): readonly VmRecord[] {
  return Array.from({ length: count }, (_, index) => {
    const dataCentre = DESIGN_SIZE.dataCentres[index % DESIGN_SIZE.dataCentres.length] ?? ''
    const address = addressOf?.(index) ?? `10.${10 + Math.floor(index / 62_500)}.${Math.floor(index / 250)}.${index % 250 + 1}:8000`
    return { name: `target-${String(index).padStart(5, '0')}`, role: 'role-0', region: regionOf(dataCentre), dataCentre, address, state: 'live' }
  })
}

/** Number of models and adapters loaded on one engine; section 1.2 of the design page gives none. */
export const LOADED_MODELS_PER_TARGET = 4
/** Numbers of cached weights and of executed orders in the state of an engine. */
export const CACHED_WEIGHTS_PER_TARGET = 12
export const EXECUTED_ORDERS_PER_TARGET = 20

/** Creates the state of an engine at the design size, as its `/state` endpoint returns it. */
export function createEngineState (index: number): JsonValue {
  const random = createSeededRandom(index + 1)
  const uuid = (): string => '00000000-0000-4000-8000-000000000000'.replace(/0/g, () => Math.floor(random() * 16).toString(16))
  const names = Array.from({ length: CACHED_WEIGHTS_PER_TARGET }, (_, entry) => modelName((index * 7 + entry) % DESIGN_SIZE.models))
  return {
    kind: 'engine',
    incarnation: uuid(),
    state: 'live',
    fencingToken: 12,
    memoryMegabytes: ENGINE_MEMORY_MEGABYTES,
    models: names.slice(0, LOADED_MODELS_PER_TARGET).map((model) => ({ model, state: 'loaded', orderId: uuid(), memoryMegabytes: MODEL_MEGABYTES })),
    executedOrders: Array.from({ length: EXECUTED_ORDERS_PER_TARGET }, uuid),
    cachedWeights: Object.fromEntries(names.map((name, entry) => [name, entry < LOADED_MODELS_PER_TARGET ? 'memory' : 'disk'])),
    load: { running: 5, waiting: 0, capacity: 32, ageMilliseconds: 500 }
  }
}
