import type {
  AdapterDefinition,
  CallerDefinition,
  ConfigurationDocument,
  ModelDefinition,
  PlacementRule,
  ServiceDefinition,
  TargetRoleDefinition
} from '@fuchsiastage/types'
import { parseKey, WILDCARD, type ConfigurationKind } from './schemas.js'

/**
 * Lists the broken invariants of a document. With `changedKeys`, only those keys and the values that
 * refer to them are checked, which is sufficient if the document was valid before the change.
 *
 * @example
 * findBrokenInvariants(document, ['rule/renewal-letter'])
 */
export function findBrokenInvariants (document: ConfigurationDocument, changedKeys: Iterable<string> = document.keys()): readonly string[] {
  const affected = addDependents(document, changedKeys)
  // Sorted, because the list becomes part of the stored outcome, which must be equal for all readers, but the order of a document's keys differs between them.
  return [...affected].flatMap((key) => checkKey(document, key)).sort()
}

/** For each kind, the kinds of values whose validity depends on a value of that kind. */
const REFERRING_KINDS: Readonly<Record<ConfigurationKind, readonly ConfigurationKind[]>> = {
  role: ['model', 'service', 'adapter'],
  model: ['adapter', 'rule', 'caller'],
  adapter: ['model', 'rule', 'caller'],
  rule: ['rule'],
  service: ['caller'],
  caller: [],
  format: []
}

function addDependents (document: ConfigurationDocument, changedKeys: Iterable<string>): ReadonlySet<string> {
  const affected = new Set(changedKeys)
  const changed = new Map<ConfigurationKind, Set<string>>()
  for (const key of affected) {
    const parsed = parseKey(key)
    if (parsed === undefined) continue
    const names = changed.get(parsed.kind)
    if (names === undefined) changed.set(parsed.kind, new Set([parsed.name]))
    else names.add(parsed.name)
  }
  const isChanged = (kind: ConfigurationKind, name: string): boolean => changed.get(kind)?.has(name) === true
  const referring = new Set([...changed.keys()].flatMap((kind) => REFERRING_KINDS[kind]))
  if (referring.size === 0) return affected
  for (const [key, value] of document) {
    // Keys of a document are valid, so they are split without validation, which would be slow because this loop visits all keys.
    const slash = key.indexOf('/')
    const kind = key.slice(0, slash) as ConfigurationKind
    if (!referring.has(kind) || affected.has(key)) continue
    if (refersToChanged(document, kind, key.slice(slash + 1), value, isChanged)) affected.add(key)
  }
  return affected
}

function refersToChanged (
  document: ConfigurationDocument,
  kind: ConfigurationKind,
  name: string,
  value: unknown,
  isChanged: (kind: ConfigurationKind, name: string) => boolean
): boolean {
  switch (kind) {
    case 'model': return isChanged('role', (value as ModelDefinition).role) || isChanged('adapter', name)
    case 'service': return isChanged('role', (value as ServiceDefinition).role)
    case 'adapter': {
      const { model } = value as AdapterDefinition
      const role = readValue<ModelDefinition>(document, 'model', model)?.role
      return isChanged('model', model) || isChanged('model', name) || (role !== undefined && isChanged('role', role))
    }
    case 'rule': {
      const adapter = readValue<AdapterDefinition>(document, 'adapter', name)
      return isChanged('model', name) || isChanged('adapter', name) || (adapter !== undefined && isChanged('rule', adapter.model))
    }
    case 'caller': {
      const { models, services } = value as CallerDefinition
      return models.some((model) => isChanged('model', model) || isChanged('adapter', model)) ||
        services.some((service) => isChanged('service', service))
    }
    default: return false
  }
}

function checkKey (document: ConfigurationDocument, key: string): readonly string[] {
  const parsed = parseKey(key)
  const value = document.get(key)
  if (parsed === undefined || value === undefined) return []
  const { kind, name } = parsed
  switch (kind) {
    case 'model': return checkModel(document, name, value as unknown as ModelDefinition)
    case 'adapter': return checkAdapter(document, name, value as unknown as AdapterDefinition)
    case 'rule': return checkRule(document, name, value as unknown as PlacementRule)
    case 'caller': return checkCaller(document, name, value as unknown as CallerDefinition)
    case 'service': return checkService(document, name, value as unknown as ServiceDefinition)
    default: return []
  }
}

function checkModel (document: ConfigurationDocument, name: string, model: ModelDefinition): readonly string[] {
  const role = readValue<TargetRoleDefinition>(document, 'role', model.role)
  const faults: string[] = []
  if (role === undefined) return [`model/${name}: role ${model.role} does not exist`]
  if (role.kind !== 'engine') faults.push(`model/${name}: role ${model.role} is not of kind engine`)
  if (model.memoryMegabytes > role.memoryMegabytes) faults.push(`model/${name}: needs ${model.memoryMegabytes} MB, role ${model.role} has ${role.memoryMegabytes} MB`)
  // A request names a model or an adapter in the same field, so their names must not overlap.
  if (document.has(`adapter/${name}`)) faults.push(`model/${name}: an adapter has the same name`)
  return faults
}

function checkAdapter (document: ConfigurationDocument, name: string, adapter: AdapterDefinition): readonly string[] {
  const model = readValue<ModelDefinition>(document, 'model', adapter.model)
  if (model === undefined) return [`adapter/${name}: model ${adapter.model} does not exist`]
  const role = readValue<TargetRoleDefinition>(document, 'role', model.role)
  const needed = model.memoryMegabytes + adapter.memoryMegabytes
  if (role !== undefined && needed > role.memoryMegabytes) return [`adapter/${name}: needs ${needed} MB with its model, role ${model.role} has ${role.memoryMegabytes} MB`]
  return []
}

function checkRule (document: ConfigurationDocument, name: string, rule: PlacementRule): readonly string[] {
  const faults: string[] = []
  const adapter = readValue<AdapterDefinition>(document, 'adapter', name)
  if (adapter === undefined && !document.has(`model/${name}`)) faults.push(`rule/${name}: no model or adapter has this name`)
  if (rule.minimumWarm > rule.maximumReplicas) faults.push(`rule/${name}: minimumWarm ${rule.minimumWarm} exceeds maximumReplicas ${rule.maximumReplicas}`)
  if (adapter !== undefined) {
    const allowed = readValue<PlacementRule>(document, 'rule', adapter.model)?.dataCentres ?? []
    const disallowed = rule.dataCentres.filter((dataCentre) => !allowed.includes(dataCentre))
    if (disallowed.length > 0) faults.push(`rule/${name}: the rule of model ${adapter.model} does not allow ${disallowed.join(', ')}`)
  }
  return faults
}

function checkCaller (document: ConfigurationDocument, name: string, caller: CallerDefinition): readonly string[] {
  const faults: string[] = []
  for (const model of caller.models) {
    if (model !== WILDCARD && !document.has(`model/${model}`) && !document.has(`adapter/${model}`)) faults.push(`caller/${name}: model or adapter ${model} does not exist`)
  }
  for (const service of caller.services) {
    if (service !== WILDCARD && !document.has(`service/${service}`)) faults.push(`caller/${name}: service ${service} does not exist`)
  }
  for (const [key, value] of document) {
    if (!key.startsWith('caller/') || key === `caller/${name}`) continue
    // A request is attributed to a caller by its token alone, so tokens must be unique.
    const others = tokensOf(value as unknown as CallerDefinition)
    if (tokensOf(caller).some((token) => others.includes(token))) faults.push(`caller/${name}: ${key} has the same token`)
  }
  return faults
}

function tokensOf ({ tokenSha256, previousTokenSha256 }: CallerDefinition): readonly string[] {
  return previousTokenSha256 === undefined ? [tokenSha256] : [tokenSha256, previousTokenSha256]
}

function checkService (document: ConfigurationDocument, name: string, service: ServiceDefinition): readonly string[] {
  const role = readValue<TargetRoleDefinition>(document, 'role', service.role)
  if (role === undefined) return [`service/${name}: role ${service.role} does not exist`]
  return role.kind === 'service' ? [] : [`service/${name}: role ${service.role} is not of kind service`]
}

function readValue<Value> (document: ConfigurationDocument, kind: ConfigurationKind, name: string): Value | undefined {
  return document.get(`${kind}/${name}`) as Value | undefined
}

/**
 * Lists the data centres in changes that are not known. The known data centres come from the
 * settings of the daemon that receives the patch. The fold cannot check them, because every reader
 * has to reach the same outcome regardless of its own settings.
 *
 * @example
 * findUnknownDataCentres(patch.changes, new Set(['van-a', 'van-b']))
 */
export function findUnknownDataCentres (changes: readonly { readonly key: string; readonly value: unknown }[], known: ReadonlySet<string>): readonly string[] {
  return changes.flatMap(({ key, value }) => {
    const dataCentres = (value as Partial<PlacementRule> | null)?.dataCentres
    if (!Array.isArray(dataCentres)) return []
    return dataCentres.filter((dataCentre) => !known.has(dataCentre)).map((dataCentre) => `${key}: data centre ${dataCentre} is not known`)
  })
}
