import type { CustomerAllowance, CustomerDirectory, EngineDefinition, EngineModel, ServingConfiguration, ServingCustomer, ServingRoute } from '../index.js'

export const ROUTE: ServingRoute = {
  name: 'r',
  host: 'h',
  prefix: '/a/',
  requestKind: { kind: 'safe' },
  timeoutMilliseconds: 5_000,
  objectiveMilliseconds: 1_000,
  priority: 3,
  maximumTargets: 2,
  services: [{ service: 's', weight: 1 }]
}
export const MODEL: EngineModel = { name: 'm', megabytes: 500, storeLoadMilliseconds: 6_000, diskLoadMilliseconds: 500, memoryLoadMilliseconds: 400, adapterMegabytes: 10 }
export const ENGINE: EngineDefinition = { models: new Map([['m', MODEL]]), megabytes: 1_000, adapterPlaces: 1, batchSlots: 8, cacheTokens: Infinity, storeLoadsPerSecond: 2 }
export const ALLOWANCE: CustomerAllowance = { unit: 'tokens', perSecond: 20_000, burst: 20_000, plainTokens: 200 }
export const CUSTOMER: ServingCustomer = { name: 'c', priority: 1, allowance: ALLOWANCE }

/** A directory of customers with the digests of their keys. */
export function customersOf (...entries: ReadonlyArray<readonly [ServingCustomer, readonly string[]]>): CustomerDirectory {
  return {
    customers: entries.map(([customer]) => customer),
    byKeyDigest: new Map(entries.flatMap(([customer, digests]) => digests.map((digest) => [digest, customer] as const)))
  }
}

/** A configuration without findings. */
export const SOUND: ServingConfiguration = {
  version: 7,
  routes: [ROUTE],
  services: new Map([['s', { name: 's', healthPath: '/health', maximumConnections: Infinity, engine: ENGINE }]]),
  limits: { headerBytes: 16_384, bodyBytes: 4_194_304, headerMilliseconds: 3_000, idleMilliseconds: 15_000 },
  customers: customersOf([CUSTOMER, ['digest-1', 'digest-2']])
}

/** The sound configuration with another engine of its service. */
export function withService (engine: EngineDefinition | undefined): ServingConfiguration {
  return { ...SOUND, services: new Map([['s', { name: 's', healthPath: '/health', maximumConnections: Infinity, engine }]]) }
}
