import type {
  AdapterDefinition,
  CallerDefinition,
  ConfigurationDocument,
  FormatPermission,
  ModelDefinition,
  PlacementRule,
  ServiceDefinition,
  TargetRoleDefinition
} from '@fuchsiastage/types'
import { parseKey } from './schemas.js'

export interface NamedCaller extends CallerDefinition {
  readonly name: string
}

/** The typed values of one document, by name. */
export interface ConfigurationIndex {
  readonly roles: ReadonlyMap<string, TargetRoleDefinition>
  readonly models: ReadonlyMap<string, ModelDefinition>
  readonly adapters: ReadonlyMap<string, AdapterDefinition>
  readonly rules: ReadonlyMap<string, PlacementRule>
  readonly services: ReadonlyMap<string, ServiceDefinition>
  readonly callers: ReadonlyMap<string, NamedCaller>
  readonly callersByTokenSha256: ReadonlyMap<string, NamedCaller>
  readonly formats: ReadonlyMap<string, FormatPermission>
}

// Documents are immutable, so each index is cached by the identity of its document.
const indexes = new WeakMap<ConfigurationDocument, ConfigurationIndex>()

/**
 * Returns the typed index of a document. The index is built once per document and then reused. The
 * values are not validated again, because the fold accepts only values that match their schema.
 *
 * @example
 * const { models } = indexConfiguration(controller.document())
 */
export function indexConfiguration (document: ConfigurationDocument): ConfigurationIndex {
  const cachedIndex = indexes.get(document)
  if (cachedIndex !== undefined) return cachedIndex
  const index = buildIndex(document)
  indexes.set(document, index)
  return index
}

function buildIndex (document: ConfigurationDocument): ConfigurationIndex {
  const byKind = {
    role: new Map<string, unknown>(),
    model: new Map<string, unknown>(),
    adapter: new Map<string, unknown>(),
    rule: new Map<string, unknown>(),
    caller: new Map<string, unknown>(),
    service: new Map<string, unknown>(),
    format: new Map<string, unknown>()
  }
  const callersByTokenSha256 = new Map<string, NamedCaller>()
  for (const [key, value] of document) {
    const parsed = parseKey(key)
    if (parsed === undefined) continue
    const { kind, name } = parsed
    if (kind !== 'caller') {
      byKind[kind].set(name, value)
      continue
    }
    const caller: NamedCaller = { ...(value as unknown as CallerDefinition), name }
    byKind.caller.set(name, caller)
    callersByTokenSha256.set(caller.tokenSha256, caller)
    if (caller.previousTokenSha256 !== undefined) callersByTokenSha256.set(caller.previousTokenSha256, caller)
  }
  return {
    roles: byKind.role as Map<string, TargetRoleDefinition>,
    models: byKind.model as Map<string, ModelDefinition>,
    adapters: byKind.adapter as Map<string, AdapterDefinition>,
    rules: byKind.rule as Map<string, PlacementRule>,
    services: byKind.service as Map<string, ServiceDefinition>,
    callers: byKind.caller as Map<string, NamedCaller>,
    callersByTokenSha256,
    formats: byKind.format as Map<string, FormatPermission>
  }
}

/**
 * @example
 * readRole(document, 'drafter')?.maximumConcurrent
 */
export function readRole (document: ConfigurationDocument, name: string): TargetRoleDefinition | undefined {
  return indexConfiguration(document).roles.get(name)
}

/**
 * @example
 * readModel(document, 'renewal-letter')?.memoryMegabytes
 */
export function readModel (document: ConfigurationDocument, name: string): ModelDefinition | undefined {
  return indexConfiguration(document).models.get(name)
}

/**
 * @example
 * readAdapter(document, 'renewal-letter-fr')?.model
 */
export function readAdapter (document: ConfigurationDocument, name: string): AdapterDefinition | undefined {
  return indexConfiguration(document).adapters.get(name)
}

/**
 * Returns the placement rule of a model or adapter. An adapter without its own rule uses the rule of
 * its model. A model without a rule is not placed anywhere.
 *
 * @example
 * readRule(document, 'renewal-letter')?.dataCentres
 */
export function readRule (document: ConfigurationDocument, name: string): PlacementRule | undefined {
  const { rules, adapters } = indexConfiguration(document)
  const own = rules.get(name)
  if (own !== undefined) return own
  const adapter = adapters.get(name)
  return adapter === undefined ? undefined : rules.get(adapter.model)
}

/**
 * Finds the caller whose token has the given SHA-256, in lower-case hexadecimal.
 *
 * @example
 * readCaller(document, createHash('sha256').update(token).digest('hex'))?.priority
 */
export function readCaller (document: ConfigurationDocument, tokenSha256: string): NamedCaller | undefined {
  return indexConfiguration(document).callersByTokenSha256.get(tokenSha256)
}

/**
 * @example
 * readService(document, 'ledger')?.nonIdempotent
 */
export function readService (document: ConfigurationDocument, name: string): ServiceDefinition | undefined {
  return indexConfiguration(document).services.get(name)
}

/** Returns the record format that daemons may write to a stream. Format 1 needs no permission. */
export function readPermittedFormat (document: ConfigurationDocument, stream: string): number {
  return indexConfiguration(document).formats.get(stream)?.formatVersion ?? 1
}
