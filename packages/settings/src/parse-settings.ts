import { err, ok, type Result } from 'true-myth/result'
import type { z } from 'zod'
import { camelCaseKeys, toCamelCase, type CamelCase, type CamelCased } from './camel-case.js'
import { parseIni, type ParsedFile, type SettingsFault } from './parse-ini.js'
import { settingsGroups, settingsSections } from './settings-schema.js'

type Sections = typeof settingsSections

export type DataCentreSettings = CamelCased<z.output<(typeof settingsGroups)['data-centre']>>

/** The read-only settings of a daemon, with section and key names in camel case. */
export type Settings =
  { readonly [Section in keyof Sections as CamelCase<Section>]: CamelCased<z.output<Sections[Section]>> } &
  { readonly dataCentres: ReadonlyMap<string, DataCentreSettings> }

/**
 * Parses and validates a daemon's settings. The error lists all faults, not only the first.
 *
 * @example
 * const settings = parseSettings(await readFile('entry-1.ini', 'utf8'))
 * if (settings.isErr) console.error(formatFaults(settings.error).join('\n'))
 */
export function parseSettings (text: string): Result<Settings, readonly SettingsFault[]> {
  const parsed = parseIni(text, { sections: settingsSections, groups: settingsGroups })
  const faults = [...parsed.faults, ...checkConstraints(parsed)]
  if (faults.length > 0) return err(faults)
  const sections = [...parsed.sections].map(([section, values]) => [toCamelCase(section), camelCaseKeys(values)] as const)
  const dataCentres = new Map([...parsed.groups.get('data-centre') ?? []].map(([name, values]) => [name, camelCaseKeys(values)] as const))
  return ok(Object.freeze({ ...Object.fromEntries(sections), dataCentres }) as unknown as Settings)
}

type ValidatedSection<Name extends keyof Sections> = Partial<z.output<Sections[Name]>>

/** Checks the constraints between keys. A key whose own value is invalid is not compared. */
function checkConstraints (parsed: ParsedFile): readonly SettingsFault[] {
  const valuesOfSection = <Name extends keyof Sections>(name: Name): ValidatedSection<Name> => (parsed.sections.get(name) ?? {}) as ValidatedSection<Name>
  return [
    ...checkDataCentre(valuesOfSection('daemon'), parsed),
    ...checkListeners(valuesOfSection('listen')),
    ...checkLease(valuesOfSection('log-service')),
    ...checkRotation('peers', 'previous-key', valuesOfSection('peers').key, valuesOfSection('peers')['previous-key']),
    ...checkRotation('operators', 'previous-token', valuesOfSection('operators').token, valuesOfSection('operators')['previous-token']),
    ...checkAscending('routing', valuesOfSection('routing'), 'backoff-first-milliseconds', 'backoff-maximum-milliseconds')
  ]
}

function checkDataCentre (daemon: ValidatedSection<'daemon'>, parsed: ParsedFile): readonly SettingsFault[] {
  const { region, 'data-centre': dataCentre } = daemon
  if (dataCentre === undefined) return []
  const dataCentres = parsed.groups.get('data-centre')
  const own = dataCentres?.get(dataCentre)
  if (own === undefined) {
    const expected = `one of the sections data-centre.name: ${[...dataCentres?.keys() ?? []].join(', ') || 'none is given'}`
    return [{ section: 'daemon', key: 'data-centre', given: dataCentre, expected }]
  }
  if (region === undefined || own.region === undefined || own.region === region) return []
  return [{ section: 'daemon', key: 'region', given: region, expected: `${String(own.region)}, the region of data centre ${dataCentre}` }]
}

function checkListeners (listen: ValidatedSection<'listen'>): readonly SettingsFault[] {
  const keysByAddress = new Map<string, string>()
  const faults: SettingsFault[] = []
  for (const [key, value] of Object.entries(listen)) {
    const firstKey = keysByAddress.get(value)
    if (firstKey === undefined) keysByAddress.set(value, key)
    else faults.push({ section: 'listen', key, given: value, expected: `an address other than that of ${firstKey}` })
  }
  return faults
}

function checkLease (log: ValidatedSection<'log-service'>): readonly SettingsFault[] {
  return [
    ...checkAscending('log-service', log, 'lease-renew-milliseconds', 'lease-doubt-milliseconds'),
    ...checkAscending('log-service', log, 'lease-doubt-milliseconds', 'lease-lapse-milliseconds')
  ]
}

function checkAscending<Key extends string> (section: string, values: { readonly [Name in Key]?: number }, shorter: Key, longer: Key): readonly SettingsFault[] {
  const [low, high] = [values[shorter], values[longer]]
  if (low === undefined || high === undefined || high > low) return []
  return [{ section, key: longer, given: String(high), expected: `more than ${shorter}, which is ${low}` }]
}

function checkRotation (section: string, key: string, current: string | undefined, previous: string | undefined): readonly SettingsFault[] {
  if (previous === undefined || previous !== current) return []
  return [{ section, key, given: '(not shown)', expected: 'a value other than the current one' }]
}

/**
 * Returns a fault if the environment enables io_uring. libuv parses `UV_USE_IO_URING` as a number
 * and enables io_uring for every value except zero.
 *
 * @example
 * findEnvironmentFaults(process.env)
 */
export function findEnvironmentFaults (environment: Readonly<Record<string, string | undefined>>): readonly SettingsFault[] {
  const given = environment.UV_USE_IO_URING
  const value = Number.parseInt(given ?? '', 10)
  if (given === undefined || Number.isNaN(value) || value === 0) return []
  return [{ section: 'environment', key: 'UV_USE_IO_URING', given, expected: 'unset or 0; this program does not use io_uring' }]
}
