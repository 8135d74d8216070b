import type { Milliseconds } from '@fuchsiastage/types'

/** What a route says about repeating its requests. */
export type RequestKind =
  | { readonly kind: 'safe' }
  | { readonly kind: 'unsafe' }
  | {
    readonly kind: 'stream'
    /** Whether a broken stream may be continued at another target. */
    readonly isResumable: boolean
    /** Longest pause between events of a response that is still on time. */
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
  /** Longest time that a request may be kept waiting for its complete answer. */
  readonly timeoutMilliseconds: Milliseconds | undefined
  /** Time within which a response has its full value; for streams, until the first event. */
  readonly objectiveMilliseconds: Milliseconds
  /** 0 is the most urgent. */
  readonly priority: number
  /** Most targets that one request may be sent to. */
  readonly maximumTargets: number
  readonly services: readonly WeightedService[]
}

export interface EngineModel {
  readonly name: string
  readonly megabytes: number
  readonly storeLoadMilliseconds: Milliseconds
  readonly diskLoadMilliseconds: Milliseconds
  readonly memoryLoadMilliseconds: Milliseconds
  readonly adapterMegabytes: number
}

/** Present for services whose targets are model engines. */
export interface EngineDefinition {
  readonly models: ReadonlyMap<string, EngineModel>
  /** Accelerator memory of one target, for weights and adapters. */
  readonly megabytes: number
  readonly adapterPlaces: number
  readonly batchSlots: number
  readonly cacheTokens: number
  /** Loads from the weight store that may start in a second, over all targets. */
  readonly storeLoadsPerSecond: number
}

export interface ServingService {
  readonly name: string
  readonly healthPath: string
  readonly maximumConnections: number
  readonly engine: EngineDefinition | undefined
}

/** Bounds on what a customer's client may send, and how long it may take. */
export interface ClientLimits {
  readonly headerBytes: number
  readonly bodyBytes: number
  readonly headerMilliseconds: Milliseconds
  readonly idleMilliseconds: Milliseconds
}

export interface ServingConfiguration {
  readonly version: number
  readonly routes: readonly ServingRoute[]
  readonly services: ReadonlyMap<string, ServingService>
  readonly limits: ClientLimits
}

/**
 * Finds the route of a host with the longest prefix that begins the path.
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
 * Picks one of the route's services by weight. The position, uniform in [0, 1), is derived from the
 * request, so that every daemon makes the same choice for it.
 *
 * @example
 * const service = chooseService(route, positionOf(request.id))
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
