import { err, ok, type Result } from 'true-myth/result'
import type { z } from 'zod'
import { camelCaseKeys, toCamelCase, type CamelCase, type CamelCased } from './camel-case.js'
import { parseIni, type ParsedFile, type SettingsFault } from './parse-ini.js'
import { settingsGroups, settingsSections } from './settings-schema.js'

type Sections = typeof settingsSections

export type DataCentreSettings = CamelCased<z.output<(typeof settingsGroups)['data-centre']>>

/** A daemon's settings, read-only; section and key names in camel case. */
export type Settings =
  { readonly [Section in keyof Sections as CamelCase<Section>]: CamelCased<z.output<Sections[Section]>> } &
  { readonly dataCentres: ReadonlyMap<string, DataCentreSettings> }

/**
 * Parses and checks a daemon's settings. All faults are listed.
 *
 * @example
 * const settings = parseSettings(await readFile('entry-1.ini', 'utf8'))
 * if (settings.isErr) console.error(formatFaults(settings.error).join('\n'))
 */
export function parseSettings (text: string): Result<Settings, readonly SettingsFault[]> {
  const parsed = parseIni(text, { sections: settingsSections, groups: settingsGroups })
  const faults = [...parsed.faults, ...findContradictions(parsed)]
  if (faults.length > 0) return err(faults)
  const sections = [...parsed.sections].map(([section, values]) => [toCamelCase(section), camelCaseKeys(values)] as const)
  const dataCentres = new Map([...parsed.groups.get('data-centre') ?? []].map(([name, values]) => [name, camelCaseKeys(values)] as const))
  return ok(Object.freeze({ ...Object.fromEntries(sections), dataCentres }) as unknown as Settings)
}

type Checked<Name extends keyof Sections> = Partial<z.output<Sections[Name]>>

/** Faults between keys; a key that has a fault of its own is not compared. */
function findContradictions (parsed: ParsedFile): readonly SettingsFault[] {
  const section = <Name extends keyof Sections>(name: Name): Checked<Name> => (parsed.sections.get(name) ?? {}) as Checked<Name>
  return [
    ...checkDataCentre(section('daemon'), parsed),
    ...checkListeners(section('listen')),
    ...checkLease(section('log-service')),
    ...checkRotation('peers', 'previous-key', section('peers').key, section('peers')['previous-key']),
    ...checkRotation('operators', 'previous-token', section('operators').token, section('operators')['previous-token']),
    ...checkOrder('routing', section('routing'), 'backoff-first-milliseconds', 'backoff-maximum-milliseconds')
  ]
}

function checkDataCentre (daemon: Checked<'daemon'>, parsed: ParsedFile): readonly SettingsFault[] {
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

function checkListeners (listen: Checked<'listen'>): readonly SettingsFault[] {
  const seen = new Map<string, string>()
  const faults: SettingsFault[] = []
  for (const [key, value] of Object.entries(listen)) {
    const other = seen.get(value)
    if (other === undefined) seen.set(value, key)
    else faults.push({ section: 'listen', key, given: value, expected: `an address other than that of ${other}` })
  }
  return faults
}

function checkLease (log: Checked<'log-service'>): readonly SettingsFault[] {
  return [
    ...checkOrder('log-service', log, 'lease-renew-milliseconds', 'lease-doubt-milliseconds'),
    ...checkOrder('log-service', log, 'lease-doubt-milliseconds', 'lease-lapse-milliseconds')
  ]
}

function checkOrder<Key extends string> (section: string, values: { readonly [Name in Key]?: number }, shorter: Key, longer: Key): readonly SettingsFault[] {
  const [low, high] = [values[shorter], values[longer]]
  if (low === undefined || high === undefined || high > low) return []
  return [{ section, key: longer, given: String(high), expected: `more than ${shorter}, which is ${low}` }]
}

function checkRotation (section: string, key: string, current: string | undefined, previous: string | undefined): readonly SettingsFault[] {
  if (previous === undefined || previous !== current) return []
  return [{ section, key, given: '(not shown)', expected: 'a value other than the current one' }]
}

/**
 * The fault of an environment that turns io_uring on, or none. libuv reads the variable as a number
 * and takes everything but zero as on.
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
