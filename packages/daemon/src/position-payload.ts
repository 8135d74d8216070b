import type { MemberPosition } from '@fuchsiastage/configuration'
import type { JsonValue } from '@fuchsiastage/types'
import { z } from 'zod'

const payloadSchema = z.tuple([z.number(), z.number(), z.number(), z.number().nullable()])

/** Encodes a position as an array without field names, because every membership message carries one. */
export function encodePosition ({ nextOffset, version, uptimeMilliseconds, verifiedAgeMilliseconds }: MemberPosition): JsonValue {
  return [nextOffset, version, Math.floor(uptimeMilliseconds), verifiedAgeMilliseconds === undefined ? null : Math.ceil(verifiedAgeMilliseconds)]
}

/** Decodes a position; returns undefined if the value has another form. */
export function decodePosition (value: JsonValue): MemberPosition | undefined {
  const parsed = payloadSchema.safeParse(value)
  if (!parsed.success) return undefined
  const [nextOffset, version, uptimeMilliseconds, verifiedAge] = parsed.data
  const position = { nextOffset, version, uptimeMilliseconds }
  return verifiedAge === null ? position : { ...position, verifiedAgeMilliseconds: verifiedAge }
}
