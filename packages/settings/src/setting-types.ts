import { isIP } from 'node:net'
import { z } from 'zod'

/** Metadata of a key for the reference page and the fault messages. */
export interface SettingMetadata {
  readonly description: string
  /** Description of the valid values, as printed in fault messages. */
  readonly expected: string
  /** The default value as text; undefined if the key is required. */
  readonly defaultText?: string
  /** Whether the value is a secret, which is never printed. */
  readonly isSecret?: boolean
}

const metadata = z.registry<SettingMetadata>()

/** Returns the metadata of a key's schema. */
export function readMetadata (schema: z.ZodType): SettingMetadata {
  return metadata.get(schema) ?? { description: '', expected: 'a value' }
}

function withMetadata<Schema extends z.ZodType> (schema: Schema, fields: SettingMetadata): Schema {
  metadata.add(schema, fields)
  return schema
}

function withDefault<Output> (schema: z.ZodType<Output>, value: Output, fields: SettingMetadata): z.ZodType<Output> {
  const result = schema.optional().transform((given) => given ?? value) as unknown as z.ZodType<Output>
  metadata.add(result, { ...fields, defaultText: String(value) })
  return result
}

const MINIMUM_SECRET_CHARACTERS = 16
const isNumber = (text: string): boolean => /^\d+(\.\d+)?$/.test(text)

function numberSchema (minimum: number, maximum: number, isInteger: boolean): z.ZodType<number> {
  return z.string()
    .refine((text) => isNumber(text) && (!isInteger || Number.isSafeInteger(Number(text))))
    .transform(Number)
    .refine((value) => value >= minimum && value <= maximum)
}

function describeRange (noun: string, minimum: number, maximum: number): string {
  return maximum === Number.MAX_SAFE_INTEGER ? `${noun} of at least ${minimum}` : `${noun} from ${minimum} to ${maximum}`
}

export interface NumberOptions {
  readonly minimum?: number
  readonly maximum?: number
  readonly default?: number
}

/** Creates the schema of a whole number. The unit is part of the key's name. */
export function integer (description: string, options: NumberOptions = {}): z.ZodType<number> {
  const { minimum = 0, maximum = Number.MAX_SAFE_INTEGER } = options
  const fields = { description, expected: describeRange('a whole number', minimum, maximum) }
  const schema = numberSchema(minimum, maximum, true)
  return options.default === undefined ? withMetadata(schema, fields) : withDefault(schema, options.default, fields)
}

/** Creates the schema of a number that may have decimals. */
export function decimal (description: string, options: NumberOptions = {}): z.ZodType<number> {
  const { minimum = 0, maximum = Number.MAX_SAFE_INTEGER } = options
  const fields = { description, expected: describeRange('a number', minimum, maximum) }
  const schema = numberSchema(minimum, maximum, false)
  return options.default === undefined ? withMetadata(schema, fields) : withDefault(schema, options.default, fields)
}

/** Creates the schema of a name, in the form that rules, streams and the VM list use. */
export function name (description: string): z.ZodType<string> {
  return withMetadata(z.string().regex(NAME_PATTERN), { description, expected: 'a name of letters, digits, dots, underscores and hyphens' })
}

export const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/

/**
 * Creates the schema of an IP address with a port, such as `127.0.0.1:8080` or `[::1]:8080`. Host
 * names are not accepted.
 */
export function address (description: string): z.ZodType<string> {
  return withMetadata(z.string().refine(isAddress), { description, expected: ADDRESS_EXPECTED })
}

/** Creates the schema of an optional address. */
export function optionalAddress (description: string): z.ZodType<string | undefined> {
  return withMetadata(z.string().refine(isAddress).optional(), { description, expected: ADDRESS_EXPECTED, defaultText: 'none' })
}

const ADDRESS_EXPECTED = 'an IP address and port, such as 127.0.0.1:8080'
const MAXIMUM_PORT = 65_535

function isAddress (text: string): boolean {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text)
  if (match === null) return false
  const [, ipv6Host, ipv4Host, port] = match
  const isHost = ipv6Host === undefined ? isIP(ipv4Host ?? '') === 4 : isIP(ipv6Host) === 6
  return isHost && Number(port) >= 1 && Number(port) <= MAXIMUM_PORT
}

/** Creates the schema of a choice from a fixed list of values. */
export function choice<const Choice extends string> (description: string, choices: readonly Choice[], fallback?: Choice): z.ZodType<Choice> {
  const schema = z.enum(choices) as unknown as z.ZodType<Choice>
  const fields = { description, expected: `one of ${choices.join(', ')}` }
  return fallback === undefined ? withMetadata(schema, fields) : withDefault(schema, fallback, fields)
}

const SECRET_EXPECTED = `at least ${MINIMUM_SECRET_CHARACTERS} characters`

/** Creates the schema of a secret: a key or token. */
export function secret (description: string): z.ZodType<string> {
  return withMetadata(z.string().min(MINIMUM_SECRET_CHARACTERS), { description, expected: SECRET_EXPECTED, isSecret: true })
}

/** Creates the schema of the optional second key or token that is accepted during a rotation. */
export function previousSecret (description: string): z.ZodType<string | undefined> {
  return withMetadata(z.string().min(MINIMUM_SECRET_CHARACTERS).optional(), { description, expected: SECRET_EXPECTED, isSecret: true, defaultText: 'none' })
}
