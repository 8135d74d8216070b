import { isIP } from 'node:net'
import { z } from 'zod'

/** What the reference page and the fault list need to know about a key. */
export interface SettingMetadata {
  readonly description: string
  /** What a value must be, as the fault list says it. */
  readonly expected: string
  /** Text of the default, undefined when the key is required. */
  readonly defaultText?: string
  /** A secret's value is never printed. */
  readonly isSecret?: boolean
}

const metadata = z.registry<SettingMetadata>()

/** The metadata of a key's schema. */
export function readMetadata (schema: z.ZodType): SettingMetadata {
  return metadata.get(schema) ?? { description: '', expected: 'a value' }
}

function required<Schema extends z.ZodType> (schema: Schema, fields: SettingMetadata): Schema {
  metadata.add(schema, fields)
  return schema
}

function withDefault<Output> (schema: z.ZodType<Output>, value: Output, fields: SettingMetadata): z.ZodType<Output> {
  const result = schema.optional().transform((given) => given ?? value) as unknown as z.ZodType<Output>
  metadata.add(result, { ...fields, defaultText: String(value) })
  return result
}

const SHORTEST_SECRET = 16
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

/** A whole number; the unit is in the key's name. */
export function integer (description: string, options: NumberOptions = {}): z.ZodType<number> {
  const { minimum = 0, maximum = Number.MAX_SAFE_INTEGER } = options
  const fields = { description, expected: describeRange('a whole number', minimum, maximum) }
  const schema = numberSchema(minimum, maximum, true)
  return options.default === undefined ? required(schema, fields) : withDefault(schema, options.default, fields)
}

/** A number that may have decimals. */
export function decimal (description: string, options: NumberOptions = {}): z.ZodType<number> {
  const { minimum = 0, maximum = Number.MAX_SAFE_INTEGER } = options
  const fields = { description, expected: describeRange('a number', minimum, maximum) }
  const schema = numberSchema(minimum, maximum, false)
  return options.default === undefined ? required(schema, fields) : withDefault(schema, options.default, fields)
}

/** A name as it is used in rules, streams and the VM list. */
export function name (description: string): z.ZodType<string> {
  return required(z.string().regex(NAME), { description, expected: 'a name of letters, digits, dots, underscores and hyphens' })
}

export const NAME = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/

/** An IP address with a port, as `127.0.0.1:8080` or `[::1]:8080`; host names are not accepted. */
export function address (description: string): z.ZodType<string> {
  return required(z.string().refine(isAddress), { description, expected: ADDRESS_EXPECTED })
}

/** An address that may be left out. */
export function optionalAddress (description: string): z.ZodType<string | undefined> {
  return required(z.string().refine(isAddress).optional(), { description, expected: ADDRESS_EXPECTED, defaultText: 'none' })
}

const ADDRESS_EXPECTED = 'an IP address and port, as 127.0.0.1:8080'
const LARGEST_PORT = 65_535

function isAddress (text: string): boolean {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text)
  if (match === null) return false
  const [, versionSix, versionFour, port] = match
  const isHost = versionSix === undefined ? isIP(versionFour ?? '') === 4 : isIP(versionSix) === 6
  return isHost && Number(port) >= 1 && Number(port) <= LARGEST_PORT
}

/** One of a fixed list of words. */
export function choice<const Choice extends string> (description: string, choices: readonly Choice[], fallback?: Choice): z.ZodType<Choice> {
  const schema = z.enum(choices) as unknown as z.ZodType<Choice>
  const fields = { description, expected: `one of ${choices.join(', ')}` }
  return fallback === undefined ? required(schema, fields) : withDefault(schema, fallback, fields)
}

const SECRET_EXPECTED = `at least ${SHORTEST_SECRET} characters`

/** A key or token. */
export function secret (description: string): z.ZodType<string> {
  return required(z.string().min(SHORTEST_SECRET), { description, expected: SECRET_EXPECTED, isSecret: true })
}

/** The value that a key or token had before a rotation. */
export function previousSecret (description: string): z.ZodType<string | undefined> {
  return required(z.string().min(SHORTEST_SECRET).optional(), { description, expected: SECRET_EXPECTED, isSecret: true, defaultText: 'none' })
}
