import { isDeepStrictEqual } from 'node:util'
import type { CustomerDirectory, ServingConfiguration, ServingRoute, ServingService } from '../serving-configuration.js'
import { customerLocation, modelLocation, routeLocation, serviceLocation } from './entry-locations.js'
import type { ConfigurationDifference, ConfigurationField, ConfigurationFinding, ConfigurationValue, EntryLocation } from './findings.js'

export interface ConfigurationComparison {
  /** Reasons why the later version cannot or should not replace the one before. */
  readonly findings: readonly ConfigurationFinding[]
  readonly differences: readonly ConfigurationDifference[]
}

/** An entry with the values that are compared, and for a customer the digests of its keys. */
interface Entry {
  readonly location: EntryLocation
  readonly values: ReadonlyArray<readonly [ConfigurationField, ConfigurationValue]>
  readonly keyDigests: readonly string[]
}

/**
 * Compares a configuration with the one that it is to replace. Routes are matched by host and prefix; services,
 * models and customers by their names. Neither keys nor their digests are part of the result.
 *
 * @example
 * const { findings, differences } = compareConfigurations(inForce, next)
 */
export function compareConfigurations (before: ServingConfiguration, after: ServingConfiguration): ConfigurationComparison {
  const location = { kind: 'configuration' } as const
  return {
    findings: [
      ...after.version > before.version ? [] : [{ kind: 'version-not-higher', location, version: after.version, versionInForce: before.version } as const],
      ...before.customers !== undefined && after.customers === undefined ? [{ kind: 'keys-no-longer-required', location } as const] : []
    ],
    differences: compareEntries(entriesOf(before), entriesOf(after))
  }
}

function compareEntries (before: ReadonlyMap<string, Entry>, after: ReadonlyMap<string, Entry>): readonly ConfigurationDifference[] {
  const removed = [...before].filter(([identity]) => !after.has(identity)).flatMap(([, entry]): readonly ConfigurationDifference[] =>
    [{ kind: 'entry-removed', location: entry.location }, ...compareKeys(entry, { ...entry, keyDigests: [] })])
  const others = [...after].flatMap(([identity, entry]): readonly ConfigurationDifference[] => {
    const previous = before.get(identity)
    if (previous === undefined) return [{ kind: 'entry-added', location: entry.location }, ...compareKeys({ ...entry, keyDigests: [] }, entry)]
    return [...compareValues(previous, entry), ...compareKeys(previous, entry)]
  })
  return [...removed, ...others]
}

function compareValues (before: Entry, after: Entry): readonly ConfigurationDifference[] {
  const { location } = after
  const previousValues = new Map(before.values)
  return after.values.flatMap(([field, value]) => {
    const previous = previousValues.get(field) ?? null
    return isDeepStrictEqual(previous, value) ? [] : [{ kind: 'value-changed', location, field, before: previous, after: value }]
  })
}

function compareKeys (before: Entry, after: Entry): readonly ConfigurationDifference[] {
  const removed = positionsMissingIn(after, before)
  const added = positionsMissingIn(before, after)
  return [
    ...[...removed].map((keyPosition): ConfigurationDifference => added.has(keyPosition)
      ? { kind: 'key-replaced', location: after.location, keyPosition }
      : { kind: 'key-removed', location: before.location, keyPosition }),
    ...[...added].filter((keyPosition) => !removed.has(keyPosition)).map((keyPosition): ConfigurationDifference => ({ kind: 'key-added', location: after.location, keyPosition }))
  ]
}

/** Positions of the keys of an entry that another version of the entry does not have. */
function positionsMissingIn (other: Entry, entry: Entry): ReadonlySet<number> {
  const otherDigests = new Set(other.keyDigests)
  return new Set(entry.keyDigests.flatMap((digest, position) => otherDigests.has(digest) ? [] : [position]))
}

function entriesOf (configuration: ServingConfiguration): ReadonlyMap<string, Entry> {
  const { version, routes, services, limits, customers } = configuration
  const entries = new Map<string, Entry>()
  const add = (identity: readonly string[], location: EntryLocation, values: Entry['values'], keyDigests: readonly string[] = []): void => {
    entries.set(JSON.stringify([location.kind, ...identity]), { location, values, keyDigests })
  }
  add([], { kind: 'configuration' }, [['version', version], ['requiresKeys', customers !== undefined]])
  add([], { kind: 'client-limits' }, [['headerBytes', limits.headerBytes], ['bodyBytes', limits.bodyBytes], ['headerMilliseconds', limits.headerMilliseconds], ['idleMilliseconds', limits.idleMilliseconds]])
  const seen = new Map<string, number>()
  routes.forEach((route, position) => {
    // Routes of the same host and prefix are told apart by their order.
    const identity = JSON.stringify([route.host, route.prefix])
    const earlier = seen.get(identity) ?? 0
    seen.set(identity, earlier + 1)
    add([identity, String(earlier)], routeLocation(route, position), routeValues(route))
  })
  for (const service of services.values()) {
    add([service.name], serviceLocation(service.name), serviceValues(service))
    for (const model of service.engine?.models.values() ?? []) {
      add([service.name, model.name], modelLocation(service.name, model.name), [
        ['modelMegabytes', model.megabytes],
        ['storeLoadMilliseconds', model.storeLoadMilliseconds],
        ['diskLoadMilliseconds', model.diskLoadMilliseconds],
        ['memoryLoadMilliseconds', model.memoryLoadMilliseconds],
        ['adapterMegabytes', model.adapterMegabytes]
      ])
    }
  }
  const digests = customers === undefined ? new Map<string, readonly string[]>() : digestsByCustomer(customers)
  customers?.customers.forEach((customer, position) => {
    const { name, priority, allowance } = customer
    add([name], customerLocation(customer, position), [
      ['priority', priority ?? null],
      ['unit', allowance?.unit ?? null],
      ['perSecond', allowance?.perSecond ?? null],
      ['burst', allowance?.burst ?? null],
      ['plainTokens', allowance?.plainTokens ?? null]
    ], digests.get(name))
  })
  return entries
}

/** The digests of the keys of each customer, in the order of the document. */
function digestsByCustomer ({ byKeyDigest }: CustomerDirectory): ReadonlyMap<string, readonly string[]> {
  const digests = new Map<string, string[]>()
  for (const [digest, { name }] of byKeyDigest) {
    const list = digests.get(name)
    if (list === undefined) digests.set(name, [digest])
    else list.push(digest)
  }
  return digests
}

function routeValues (route: ServingRoute): Entry['values'] {
  const { requestKind } = route
  return [
    ['name', route.name],
    ['requestKind', requestKind.kind],
    ['isResumable', requestKind.kind === 'stream' ? requestKind.isResumable : null],
    ['maximumPauseMilliseconds', requestKind.kind === 'stream' ? requestKind.maximumPauseMilliseconds ?? null : null],
    ['timeoutMilliseconds', route.timeoutMilliseconds ?? null],
    ['objectiveMilliseconds', route.objectiveMilliseconds],
    ['priority', route.priority],
    ['maximumTargets', route.maximumTargets],
    ['services', route.services],
    ['allowsAnonymous', route.allowsAnonymous ?? false]
  ]
}

function serviceValues ({ healthPath, maximumConnections, engine }: ServingService): Entry['values'] {
  return [
    ['healthPath', healthPath],
    ['maximumConnections', finiteOrNull(maximumConnections)],
    ['hasEngine', engine !== undefined],
    ['megabytes', engine?.megabytes ?? null],
    ['adapterPlaces', engine?.adapterPlaces ?? null],
    ['batchSlots', engine?.batchSlots ?? null],
    ['cacheTokens', finiteOrNull(engine?.cacheTokens)],
    ['storeLoadsPerSecond', engine?.storeLoadsPerSecond ?? null]
  ]
}

/** JSON has no infinite numbers, and the decoder uses them for missing limits. */
function finiteOrNull (value: number | undefined): number | null {
  return value === undefined || !Number.isFinite(value) ? null : value
}
