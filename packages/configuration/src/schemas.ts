import { PRIORITY_CLASSES, type ConfigurationPatch, type JsonValue } from '@fuchsiastage/types'
import { z } from 'zod'

/** Kinds of configuration values; a key is `kind/name`. */
export const CONFIGURATION_KINDS = ['role', 'model', 'adapter', 'rule', 'caller', 'service', 'format'] as const

export type ConfigurationKind = (typeof CONFIGURATION_KINDS)[number]

/** Permits all models or all services in the lists of a caller. */
export const WILDCARD = '*'

/** Keeps the size of a patch well below the body limit of the operators' server. */
const MAXIMUM_CHANGES = 5_000
const MAXIMUM_NOTE_LENGTH = 2_000

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/
const KINDS: ReadonlySet<string> = new Set(CONFIGURATION_KINDS)

const nameSchema = z.string().regex(NAME_PATTERN, 'a name of letters, digits, dots, underscores and hyphens')
const countSchema = z.number().int().nonnegative()
const positiveSchema = z.number().int().positive()
const namesSchema = z.array(nameSchema).refine((list) => new Set(list).size === list.length, 'each name once')
const namesOrWildcardSchema = z.array(z.union([nameSchema, z.literal(WILDCARD)]))
  .refine((list) => new Set(list).size === list.length, 'each name once')

// These schemas decide which patches the fold accepts, and their messages are part of the stored
// reasons of rejections. A change to either changes the outcome of existing records, so it requires
// a new format version of the fold.
export const roleSchema = z.strictObject({
  kind: z.enum(['engine', 'service']),
  fencing: z.enum(['checked', 'ignored']),
  memoryMegabytes: countSchema,
  accelerators: countSchema,
  maximumConcurrent: positiveSchema
})

export const modelSchema = z.strictObject({ role: nameSchema, memoryMegabytes: positiveSchema, weightsMegabytes: positiveSchema })

export const adapterSchema = z.strictObject({ model: nameSchema, memoryMegabytes: positiveSchema, weightsMegabytes: positiveSchema })

export const ruleSchema = z.strictObject({ dataCentres: namesSchema, maximumReplicas: countSchema, minimumWarm: countSchema })

const sha256Schema = z.string().regex(/^[0-9a-f]{64}$/, 'a SHA-256 in lower-case hexadecimal')

export const callerSchema = z.strictObject({
  tokenSha256: sha256Schema,
  previousTokenSha256: sha256Schema.optional(),
  priority: z.enum(PRIORITY_CLASSES),
  weight: z.number().positive(),
  maximumConcurrent: positiveSchema,
  requestsPerSecond: z.number().positive(),
  deadlineMilliseconds: positiveSchema,
  models: namesOrWildcardSchema,
  services: namesOrWildcardSchema
})

export const serviceSchema = z.strictObject({
  role: nameSchema,
  dataCentres: namesSchema,
  nonIdempotent: z.array(z.string().regex(/^[A-Z]+ \/\S*$/, 'METHOD /path-prefix'))
})

export const formatSchema = z.strictObject({ formatVersion: positiveSchema })

const valueSchemas: Readonly<Record<ConfigurationKind, z.ZodType>> = {
  role: roleSchema,
  model: modelSchema,
  adapter: adapterSchema,
  rule: ruleSchema,
  caller: callerSchema,
  service: serviceSchema,
  format: formatSchema
}

const keySchema = z.string().refine((text) => parseKey(text) !== undefined, `a key kind/name, kind one of ${CONFIGURATION_KINDS.join(', ')}`)

/** Schema of a patch. `checkValue` validates the values of its changes. */
export const patchSchema = z.strictObject({
  patchId: z.string().min(1).max(128),
  baseVersion: countSchema,
  operator: z.string().min(1).max(128),
  note: z.string().max(MAXIMUM_NOTE_LENGTH),
  changes: z.array(z.strictObject({ key: keySchema, value: z.json() })).min(1).max(MAXIMUM_CHANGES)
    .refine((changes) => new Set(changes.map((change) => change.key)).size === changes.length, 'each key at most once')
})

export interface ParsedKey {
  readonly kind: ConfigurationKind
  readonly name: string
}

/**
 * Splits a key into kind and name. Returns undefined if the text is not a configuration key.
 *
 * @example
 * parseKey('model/renewal-letter') // { kind: 'model', name: 'renewal-letter' }
 */
export function parseKey (text: string): ParsedKey | undefined {
  const slash = text.indexOf('/')
  const kind = text.slice(0, slash)
  const rest = text.slice(slash + 1)
  return KINDS.has(kind) && NAME_PATTERN.test(rest) ? { kind: kind as ConfigurationKind, name: rest } : undefined
}

/**
 * Validates a value against the schema of its key's kind. Returns a description of the faults, or
 * undefined if the value is valid.
 *
 * @example
 * checkValue('format/configuration', { formatVersion: 0 }) // 'format/configuration: formatVersion: Too small: …'
 */
export function checkValue (keyText: string, value: JsonValue): string | undefined {
  const parsedKey = parseKey(keyText)
  if (parsedKey === undefined) return `${keyText}: not a configuration key`
  const parsed = valueSchemas[parsedKey.kind].safeParse(value)
  return parsed.success ? undefined : `${keyText}: ${describeIssues(parsed.error)}`
}

/**
 * Validates a patch independently of any state. Returns a description of the faults, or undefined if
 * the patch is valid.
 */
export function checkPatch (patch: ConfigurationPatch): string | undefined {
  const parsed = patchSchema.safeParse(patch)
  if (!parsed.success) return describeIssues(parsed.error)
  const faults = patch.changes.flatMap((change) => change.value === null ? [] : checkValue(change.key, change.value) ?? [])
  return faults.length === 0 ? undefined : faults.join('; ')
}

function describeIssues (error: z.ZodError): string {
  return error.issues.map(({ path, message }) => path.length === 0 ? message : `${path.join('.')}: ${message}`).join('; ')
}
