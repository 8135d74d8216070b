import type { JsonValue, Milliseconds } from './basic.js'

/** Priority classes of callers, from the highest to the lowest priority. */
export const PRIORITY_CLASSES = ['urgent', 'normal', 'bulk'] as const

export type PriorityClass = (typeof PRIORITY_CLASSES)[number]

/** Whether a target checks the fencing token of an order and refuses an outdated one, or ignores the token. */
export type FencingSupport = 'checked' | 'ignored'

export interface TargetRoleDefinition {
  readonly kind: 'engine' | 'service'
  readonly fencing: FencingSupport
  readonly memoryMegabytes: number
  readonly accelerators: number
  readonly maximumConcurrent: number
}

export interface ModelDefinition {
  readonly role: string
  readonly memoryMegabytes: number
  readonly weightsMegabytes: number
}

export interface AdapterDefinition {
  readonly model: string
  readonly memoryMegabytes: number
  readonly weightsMegabytes: number
}

/** Data centres in which a model or adapter may run, and bounds on its number of loaded replicas per region. */
export interface PlacementRule {
  readonly dataCentres: readonly string[]
  readonly maximumReplicas: number
  readonly minimumWarm: number
}

export interface CallerDefinition {
  readonly tokenSha256: string
  /** Hash of the token before the last rotation. It stays valid until it is removed, so that callers can switch. */
  readonly previousTokenSha256?: string
  readonly priority: PriorityClass
  readonly weight: number
  readonly maximumConcurrent: number
  readonly requestsPerSecond: number
  readonly deadlineMilliseconds: Milliseconds
  /** Models and adapters the caller may use; `*` permits all. */
  readonly models: readonly string[]
  readonly services: readonly string[]
}

export interface ServiceDefinition {
  readonly role: string
  readonly dataCentres: readonly string[]
  /** Calls that are not idempotent and must not be repeated, each as `METHOD /path-prefix`. */
  readonly nonIdempotent: readonly string[]
}

/** Newest record format that daemons may write to a stream. */
export interface FormatPermission {
  readonly formatVersion: number
}

/** Configuration key of the form `kind/name`, for example `model/renewal-letter`. */
export type ConfigurationKey = string

/** A complete configuration: a map from each `kind/name` key to its value. */
export type ConfigurationDocument = ReadonlyMap<ConfigurationKey, JsonValue>

export interface ConfigurationChange {
  readonly key: ConfigurationKey
  /** New value of the key; `null` removes the key. */
  readonly value: JsonValue
}

export interface ConfigurationPatch {
  readonly patchId: string
  readonly baseVersion: number
  readonly operator: string
  readonly note: string
  readonly changes: readonly ConfigurationChange[]
}

export interface ConfigurationConflict {
  readonly key: ConfigurationKey
  readonly field: string
  readonly base: JsonValue
  readonly current: JsonValue
  readonly proposed: JsonValue
}

/**
 * The decision on a patch, which is the same for every reader of the stream. `undecided`:
 * the decision is not known yet, or has not been confirmed by a majority of the daemons.
 */
export type PatchOutcome =
  | { readonly kind: 'accepted'; readonly version: number; readonly rebased: boolean }
  | { readonly kind: 'rejected'; readonly reason: string; readonly conflicts: readonly ConfigurationConflict[] }
  | { readonly kind: 'undecided'; readonly reason: string }
