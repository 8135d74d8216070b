import { isDeepStrictEqual } from 'node:util'
import type { ConfigurationChange, ConfigurationConflict, JsonValue } from '@fuchsiastage/types'

/** Looks up a value by key; undefined if the key is absent. */
export type ValueLookup = Pick<ReadonlyMap<string, JsonValue>, 'get'>

export type MergeResult =
  | { readonly kind: 'merged'; readonly changes: readonly ConfigurationChange[] }
  | { readonly kind: 'conflict'; readonly conflicts: readonly ConfigurationConflict[] }

interface ObjectValue {
  readonly [field: string]: JsonValue
}

type ValueMerge =
  | { readonly kind: 'merged'; readonly value: JsonValue }
  | { readonly kind: 'conflict'; readonly conflicts: readonly ConfigurationConflict[] }

/** Field name of a conflict that concerns the whole value: one side removed it and the other changed it. */
export const WHOLE_VALUE = ''

/**
 * Merges a patch into the current values with a three-way merge, by key and, within a value, by
 * field. Disjoint changes are combined, equal changes are applied once, and different changes to one
 * field are a conflict. The result contains only changes that differ from the current values.
 *
 * @example
 * mergePatch(baseDocument, currentDocument, [{ key: 'format/configuration', value: { formatVersion: 2 } }])
 */
export function mergePatch (base: ValueLookup, current: ValueLookup, changes: readonly ConfigurationChange[]): MergeResult {
  const merged: ConfigurationChange[] = []
  const conflicts: ConfigurationConflict[] = []
  for (const { key, value: proposed } of changes) {
    const currentValue = current.get(key) ?? null
    const result = mergeValue(key, base.get(key) ?? null, currentValue, proposed)
    if (result.kind === 'conflict') conflicts.push(...result.conflicts)
    else if (!isDeepStrictEqual(result.value, currentValue)) merged.push({ key, value: result.value })
  }
  return conflicts.length === 0 ? { kind: 'merged', changes: merged } : { kind: 'conflict', conflicts }
}

function mergeValue (key: string, base: JsonValue, current: JsonValue, proposed: JsonValue): ValueMerge {
  if (isDeepStrictEqual(current, base) || isDeepStrictEqual(current, proposed)) return { kind: 'merged', value: proposed }
  if (isDeepStrictEqual(proposed, base)) return { kind: 'merged', value: current }
  if (!isObject(current) || !isObject(proposed)) {
    return { kind: 'conflict', conflicts: [{ key, field: WHOLE_VALUE, base, current, proposed }] }
  }
  // If both sides added the key, the base has no fields, so a field that both sides set must be equal.
  return mergeFields(key, isObject(base) ? base : {}, current, proposed)
}

function mergeFields (key: string, base: ObjectValue, current: ObjectValue, proposed: ObjectValue): ValueMerge {
  const fields = [...new Set([...Object.keys(current), ...Object.keys(proposed), ...Object.keys(base)])].sort()
  const merged: [string, JsonValue][] = []
  const conflicts: ConfigurationConflict[] = []
  for (const field of fields) {
    const [baseField, currentField, proposedField] = [ownField(base, field), ownField(current, field), ownField(proposed, field)]
    const takesProposed = isDeepStrictEqual(currentField, baseField) || isDeepStrictEqual(currentField, proposedField)
    if (!takesProposed && !isDeepStrictEqual(proposedField, baseField)) {
      conflicts.push({ key, field, base: baseField ?? null, current: currentField ?? null, proposed: proposedField ?? null })
      continue
    }
    const mergedField = takesProposed ? proposedField : currentField
    if (mergedField !== undefined) merged.push([field, mergedField])
  }
  return conflicts.length === 0 ? { kind: 'merged', value: Object.fromEntries(merged) } : { kind: 'conflict', conflicts }
}

function ownField (value: ObjectValue, field: string): JsonValue | undefined {
  return Object.hasOwn(value, field) ? value[field] : undefined
}

function isObject (value: JsonValue): value is ObjectValue {
  return typeof value === 'object' && value !== null && !Array.isArray(value)
}
