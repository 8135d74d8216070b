/** A duration or a point in time in milliseconds. */
export type Milliseconds = number

export type JsonValue =
  | null
  | boolean
  | number
  | string
  | readonly JsonValue[]
  | { readonly [key: string]: JsonValue }

/**
 * Makes the compiler check that a switch over a discriminated union covers every variant; throws if
 * an unknown variant occurs at run time.
 *
 * @example
 * switch (shape.kind) {
 *   case 'circle': return shape.radius
 *   default: return assertNever(shape)
 * }
 */
export function assertNever (value: never): never {
  throw new Error(`unexpected variant: ${JSON.stringify(value)}`)
}
