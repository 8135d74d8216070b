import { parse } from 'ini'
import type { z } from 'zod'
import { NAME_PATTERN, readMetadata } from './setting-types.js'

/** One validation error in a settings file. It never contains the value of a secret. */
export interface SettingsFault {
  readonly section: string
  readonly key: string
  readonly given: string
  readonly expected: string
}

export type SectionSchema = z.ZodObject<Readonly<Record<string, z.ZodType>>>

/** Schemas of the sections that an INI file may contain. */
export interface FileSchema {
  /** Sections that occur once, by section name. */
  readonly sections: Readonly<Record<string, SectionSchema>>
  /** Sections named `group.name`, which occur any number of times, by group. */
  readonly groups: Readonly<Record<string, SectionSchema>>
}

export interface ParsedFile {
  /** Validated values by section; invalid keys are omitted. */
  readonly sections: ReadonlyMap<string, Readonly<Record<string, unknown>>>
  /** Validated values by group and name; invalid keys are omitted. */
  readonly groups: ReadonlyMap<string, ReadonlyMap<string, Readonly<Record<string, unknown>>>>
  readonly faults: readonly SettingsFault[]
}

type RawSection = Readonly<Record<string, unknown>>

export const MISSING_VALUE = '(nothing)'
const HIDDEN_VALUE = '(not shown)'

/**
 * Parses an INI text and validates every section against its schema. The result lists all faults,
 * not only the first.
 *
 * @example
 * const { faults } = parseIni(text, { sections: { daemon: daemonSection }, groups: {} })
 */
export function parseIni (text: string, schema: FileSchema): ParsedFile {
  // With `bracketedArray: false` the parser returns a repeated key as an array of all its values.
  const raw: RawSection = parse(text.replace(/^\uFEFF/, ''), { bracketedArray: false })
  const faults: SettingsFault[] = []
  const sections = new Map<string, Readonly<Record<string, unknown>>>()
  const groups = new Map<string, Map<string, Readonly<Record<string, unknown>>>>()

  for (const [sectionName, value] of Object.entries(raw)) {
    if (!isSection(value)) faults.push({ section: '', key: describeKey(sectionName, value), given: HIDDEN_VALUE, expected: 'a key inside a section' })
    else if (!Object.hasOwn(schema.sections, sectionName) && !Object.hasOwn(schema.groups, sectionName)) {
      faults.push(...unknownSectionFaults(sectionName, value, Object.keys(schema.sections), Object.keys(schema.groups)))
    }
  }
  for (const [sectionName, sectionSchema] of Object.entries(schema.sections)) {
    const value = raw[sectionName]
    sections.set(sectionName, validateSection(sectionName, isSection(value) ? value : {}, sectionSchema, faults))
  }
  for (const [group, sectionSchema] of Object.entries(schema.groups)) {
    const members = new Map<string, Readonly<Record<string, unknown>>>()
    const value = raw[group]
    for (const [memberName, member] of Object.entries(isSection(value) ? value : {})) {
      if (!isSection(member) || !NAME_PATTERN.test(memberName)) {
        faults.push({ section: group, key: describeKey(memberName, member), given: HIDDEN_VALUE, expected: `a section [${group}.name] around the key` })
        continue
      }
      members.set(memberName, validateSection(`${group}.${memberName}`, member, sectionSchema, faults))
    }
    groups.set(group, members)
  }
  return { sections, groups, faults }
}

function unknownSectionFaults (sectionName: string, value: RawSection, sections: readonly string[], groups: readonly string[]): readonly SettingsFault[] {
  const expected = `one of ${[...sections, ...groups.map((group) => `${group}.name`)].join(', ')}`
  return [{ section: describeKey(sectionName, value), key: '', given: '(an unknown section)', expected }]
}

function validateSection (sectionName: string, raw: RawSection, schema: SectionSchema, faults: SettingsFault[]): Readonly<Record<string, unknown>> {
  for (const [key, value] of Object.entries(raw)) {
    if (Object.hasOwn(schema.shape, key)) continue
    faults.push({ section: sectionName, key: describeKey(key, value), given: HIDDEN_VALUE, expected: `one of ${Object.keys(schema.shape).join(', ')}` })
  }
  const values: Record<string, unknown> = {}
  for (const [key, keySchema] of Object.entries(schema.shape)) {
    const { expected, isSecret } = readMetadata(keySchema)
    const given = normaliseValue(Object.hasOwn(raw, key) ? raw[key] : undefined)
    if (Array.isArray(given)) {
      faults.push({ section: sectionName, key, given: `${given.length} values`, expected: 'the key once' })
      continue
    }
    const parsed = keySchema.safeParse(given)
    if (parsed.success) values[key] = parsed.data
    else faults.push({ section: sectionName, key, given: describeValue(given, isSecret === true), expected })
  }
  return values
}

function normaliseValue (value: unknown): unknown {
  // The parser also wraps a single value in an array if the key occurred in an earlier section.
  const single: unknown = Array.isArray(value) && value.length === 1 ? value[0] : value
  return typeof single === 'number' ? String(single) : single
}

function describeValue (given: unknown, isSecret: boolean): string {
  if (given === undefined || given === '') return MISSING_VALUE
  if (isSecret) return HIDDEN_VALUE
  return typeof given === 'object' && given !== null ? '(several values)' : String(given)
}

/**
 * Returns the key, or a placeholder if it is not a valid key name. The parser turns a line without
 * an equals sign into a key with the value `true`, and such a line may contain a secret.
 */
function describeKey (key: string, value: unknown): string {
  return value === true || !/^[a-z0-9.-]{1,64}$/i.test(key) ? '(not a key name)' : key
}

function isSection (value: unknown): value is RawSection {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}

/**
 * Formats each fault as one line.
 *
 * @example
 * formatFaults(faults).join('\n') // '[listen] callers: given localhost:80, expected an IP address and port, …'
 */
export function formatFaults (faults: readonly SettingsFault[]): readonly string[] {
  return faults.map(({ section, key, given, expected }) => `[${section}]${key === '' ? '' : ` ${key}`}: given ${given}, expected ${expected}`)
}
