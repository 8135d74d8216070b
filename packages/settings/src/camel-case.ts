/** Converts a kebab-case string type to camel case: `poll-milliseconds` becomes `pollMilliseconds`. */
export type CamelCase<Text extends string> = Text extends `${infer Head}-${infer Tail}` ? `${Head}${Capitalize<CamelCase<Tail>>}` : Text

/** Converts the keys of an object type to camel case. */
export type CamelCased<Value> = { readonly [Key in keyof Value & string as CamelCase<Key>]: Value[Key] }

/**
 * Converts a kebab-case string to camel case.
 *
 * @example
 * toCamelCase('poll-milliseconds') // 'pollMilliseconds'
 */
export function toCamelCase (text: string): string {
  return text.replace(/-([a-z0-9])/g, (_, letter: string) => letter.toUpperCase())
}

/**
 * Converts the keys of an object to camel case.
 *
 * @example
 * camelCaseKeys({ 'poll-milliseconds': 2000 }) // { pollMilliseconds: 2000 }
 */
export function camelCaseKeys<Value extends object> (value: Value): CamelCased<Value> {
  const entries = Object.entries(value).map(([key, field]) => [toCamelCase(key), field] as const)
  return Object.freeze(Object.fromEntries(entries)) as CamelCased<Value>
}
