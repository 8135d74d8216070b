import type { Milliseconds } from '@fuchsiastage/types'

/** Whether and how the requests of a route may be retried. */
export type RequestKind =
  /** A request that a target may have run may be sent to another target. */
  | { readonly kind: 'safe' }
  /** A request that a target may have run is not sent again. */
  | { readonly kind: 'unsafe' }
  | {
    readonly kind: 'stream'
    /** Whether a stream that failed may be sent again and resumed at another target. */
    readonly isResumable: boolean
    /** Longest pause between two events of a response that still counts as on time. */
    readonly maximumPauseMilliseconds: Milliseconds | undefined
  }

export interface WeightedService {
  readonly service: string
  readonly weight: number
}

export interface ServingRoute {
  readonly name: string
  readonly host: string
  /** Begins and ends with a slash. */
  readonly prefix: string
  readonly requestKind: RequestKind
  /** Maximum time from the arrival of a request to the end of its response. */
  readonly timeoutMilliseconds: Milliseconds | undefined
  /** Response-time objective; for streams, the objective for the time to the first event. */
  readonly objectiveMilliseconds: Milliseconds
  /** 0 is the highest priority. */
  readonly priority: number
  /** Maximum number of targets that may run one request. Targets that refused it or were unreachable do not count. */
  readonly maximumTargets: number
  readonly services: readonly WeightedService[]
  /** Whether requests need no key although the configuration has customers. */
  readonly allowsAnonymous?: boolean
}

export interface EngineModel {
  readonly name: string
  readonly megabytes: number
  readonly storeLoadMilliseconds: Milliseconds
  readonly diskLoadMilliseconds: Milliseconds
  readonly memoryLoadMilliseconds: Milliseconds
  readonly adapterMegabytes: number
}

/** Definition of the model engines that are the targets of a service. */
export interface EngineDefinition {
  readonly models: ReadonlyMap<string, EngineModel>
  /** Accelerator memory of one target that is available for weights and adapters. */
  readonly megabytes: number
  /** Maximum number of adapters that one target can have loaded. */
  readonly adapterPlaces: number
  /** Maximum number of requests that one target runs concurrently. */
  readonly batchSlots: number
  /** Size of the key-value cache of one target, in tokens. */
  readonly cacheTokens: number
  /** Maximum number of loads from the weight store that may start per second, over all targets. */
  readonly storeLoadsPerSecond: number
}

export interface ServingService {
  readonly name: string
  readonly healthPath: string
  readonly maximumConnections: number
  /** Undefined for services whose targets are not model engines. */
  readonly engine: EngineDefinition | undefined
}

/** Limits on client requests and their connections. */
export interface ClientLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerMilliseconds: Milliseconds
  readonly idleMilliseconds: Milliseconds
}

/** What the allowance of a customer counts. */
export type AllowanceUnit = 'requests' | 'tokens'

/** What the requests of a customer may use, over all daemons together. */
export interface CustomerAllowance {
  readonly unit: AllowanceUnit
  /** Units per second. */
  readonly perSecond: number
  /** Units in addition to the rate, after a pause. */
  readonly burst: number
  /** Tokens that a request counts as if it states none. */
  readonly plainTokens: number
}

export interface ServingCustomer {
  readonly name: string
  /** Takes precedence over the priority of the route; 0 is the highest. Undefined if the route's applies. */
  readonly priority: number | undefined
  /** Undefined if there is no limit. */
  readonly allowance: CustomerAllowance | undefined
}

export interface CustomerDirectory {
  readonly customers: readonly ServingCustomer[]
  /** Customers by the SHA-256 digests of their keys, in base64. The keys themselves are not kept. */
  readonly byKeyDigest: ReadonlyMap<string, ServingCustomer>
}

export interface ServingConfiguration {
  readonly version: number
  readonly routes: readonly ServingRoute[]
  readonly services: ReadonlyMap<string, ServingService>
  readonly limits: ClientLimits
  /** Absent if requests need no key. */
  readonly customers?: CustomerDirectory
}

/**
 * Finds the route of a host with the longest prefix that matches the path.
 *
 * @example
 * const route = findRoute(configuration, 'letters.example', '/draft/today')
 */
export function findRoute (configuration: ServingConfiguration, host: string, path: string): ServingRoute | undefined {
  let found: ServingRoute | undefined
  for (const route of configuration.routes) {
    if (route.host !== host || !path.startsWith(route.prefix)) continue
    if (found === undefined || route.prefix.length > found.prefix.length) found = route
  }
  return found
}

/**
 * Chooses one of the route's services by weight. The position, uniform in [0, 1), is derived from the
 * request, so that every daemon chooses the same service for a request.
 *
 * @example
 * const service = chooseService(route, hashToUnitInterval(request.id))
 */
export function chooseService (route: ServingRoute, position: number): string | undefined {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0)
  let remaining = position * total
  for (const { service, weight } of route.services) {
    remaining -= weight
    if (remaining < 0) return service
  }
  return route.services.at(-1)?.service
}
