import type { WeightedService } from '../serving-configuration.js'

/** An entry of a configuration. Positions count from 0. */
export type EntryLocation =
  | { readonly kind: 'configuration' }
  | { readonly kind: 'client-limits' }
  | { readonly kind: 'route', readonly position: number, readonly name: string, readonly host: string, readonly prefix: string }
  | { readonly kind: 'service', readonly name: string }
  | { readonly kind: 'model', readonly service: string, readonly name: string }
  | { readonly kind: 'customer', readonly position: number, readonly name: string }

/** A fault of an entry, or an entry that has no effect. */
export type ConfigurationFinding = { readonly location: EntryLocation } & (
  | { readonly kind: 'route-without-service' }
  | { readonly kind: 'unknown-service', readonly service: string }
  /** All weights of the route are 0. */
  | { readonly kind: 'split-without-weight' }
  /** The service gets no requests of the route, while other services of the route do. */
  | { readonly kind: 'weight-zero', readonly service: string }
  /** The route at the stated position precedes this one and gets all its requests. */
  | { readonly kind: 'same-prefix', readonly firstPosition: number }
  /** Paths begin with a slash, and the prefix does not. */
  | { readonly kind: 'prefix-without-slash' }
  /** Requests are matched by the name of their host, without a port. */
  | { readonly kind: 'host-with-port' }
  | { readonly kind: 'timeout-zero' }
  | { readonly kind: 'timeout-below-objective', readonly timeoutMilliseconds: number, readonly objectiveMilliseconds: number }
  | { readonly kind: 'unused-service' }
  | { readonly kind: 'model-exceeds-engine', readonly megabytes: number, readonly engineMegabytes: number }
  /** The model fits into the memory of its engine, but not together with one of its adapters. */
  | { readonly kind: 'adapter-exceeds-engine', readonly megabytes: number, readonly adapterMegabytes: number, readonly engineMegabytes: number }
  /** The list of customers is empty, so that only anonymous requests are served. */
  | { readonly kind: 'no-customers' }
  | { readonly kind: 'customer-without-keys' }
  | { readonly kind: 'burst-below-plain-request', readonly burst: number, readonly plainCost: number }
  | { readonly kind: 'allowance-below-model-request', readonly perSecond: number, readonly requestTokens: number, readonly seconds: number }
  /** Daemons apply a version only if it is higher than the one that they have. */
  | { readonly kind: 'version-not-higher', readonly version: number, readonly versionInForce: number }
  /** The version in force has customers and this one has none, so that requests without a key are served. */
  | { readonly kind: 'keys-no-longer-required' }
)

export type FindingSeverity = 'error' | 'warning'

/** Names of values that may differ between two versions. */
export type ConfigurationField =
  | 'version' | 'requiresKeys'
  | 'headerBytes' | 'bodyBytes' | 'headerMilliseconds' | 'idleMilliseconds'
  | 'name' | 'requestKind' | 'isResumable' | 'maximumPauseMilliseconds' | 'timeoutMilliseconds' | 'objectiveMilliseconds'
  | 'priority' | 'maximumTargets' | 'services' | 'allowsAnonymous'
  | 'healthPath' | 'maximumConnections' | 'hasEngine' | 'megabytes' | 'adapterPlaces' | 'batchSlots' | 'cacheTokens' | 'storeLoadsPerSecond'
  | 'modelMegabytes' | 'storeLoadMilliseconds' | 'diskLoadMilliseconds' | 'memoryLoadMilliseconds' | 'adapterMegabytes'
  | 'unit' | 'perSecond' | 'burst' | 'plainTokens'

/** Null if the entry has no such value, or no limit. */
export type ConfigurationValue = string | number | boolean | null | readonly WeightedService[]

/**
 * A difference between two versions. The location of what was removed is that in the version before. Keys of
 * customers are identified by their positions among the different keys of the customer.
 */
export type ConfigurationDifference = { readonly location: EntryLocation } & (
  | { readonly kind: 'entry-added' }
  | { readonly kind: 'entry-removed' }
  | { readonly kind: 'value-changed', readonly field: ConfigurationField, readonly before: ConfigurationValue, readonly after: ConfigurationValue }
  | { readonly kind: 'key-added', readonly keyPosition: number }
  | { readonly kind: 'key-removed', readonly keyPosition: number }
  /** The key at this position is another one than before. */
  | { readonly kind: 'key-replaced', readonly keyPosition: number }
)

/** Errors are faults by which requests fail or reach another route; warnings concern entries without effect and doubtful values. */
const SEVERITIES: Readonly<Record<ConfigurationFinding['kind'], FindingSeverity>> = {
  'route-without-service': 'error',
  'unknown-service': 'error',
  'split-without-weight': 'error',
  'weight-zero': 'warning',
  'same-prefix': 'error',
  'prefix-without-slash': 'error',
  'host-with-port': 'error',
  'timeout-zero': 'error',
  'timeout-below-objective': 'warning',
  'unused-service': 'warning',
  'model-exceeds-engine': 'error',
  'adapter-exceeds-engine': 'warning',
  'no-customers': 'warning',
  'customer-without-keys': 'warning',
  'burst-below-plain-request': 'warning',
  'allowance-below-model-request': 'warning',
  'version-not-higher': 'error',
  'keys-no-longer-required': 'warning'
}

/**
 * Tells whether a finding is an error, by which requests fail, or a warning.
 *
 * @example
 * const errors = checkConfiguration(configuration).filter(({ kind }) => severityOf(kind) === 'error')
 */
export function severityOf (kind: ConfigurationFinding['kind']): FindingSeverity {
  return SEVERITIES[kind]
}
