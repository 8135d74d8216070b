import test from 'ava'
import type { JsonValue } from '@fuchsiastage/types'
import fc from 'fast-check'
import { mergePatch } from './index.js'

const model = (memoryMegabytes: number, weightsMegabytes: number): JsonValue => ({ role: 'drafter', memoryMegabytes, weightsMegabytes })
const key = 'model/letter'
const document = (value: JsonValue): ReadonlyMap<string, JsonValue> => value === null ? new Map() : new Map([[key, value]])
const merge = (base: JsonValue, current: JsonValue, proposed: JsonValue) => mergePatch(document(base), document(current), [{ key, value: proposed }])

test('changes to different fields of one value are combined', (t) => {
  t.deepEqual(merge(model(1, 1), model(2, 1), model(1, 3)), { kind: 'merged', changes: [{ key, value: model(2, 3) }] })
})

test('the same change on both sides is applied once', (t) => {
  t.deepEqual(merge(model(1, 1), model(2, 1), model(2, 1)), { kind: 'merged', changes: [] })
})

test('different changes to one field are a conflict with base, current and proposed value', (t) => {
  t.snapshot(merge(model(1, 1), model(2, 1), model(3, 1)))
})

test('a removal on one side and a change on the other are a conflict', (t) => {
  t.is(merge(model(1, 1), null, model(2, 1)).kind, 'conflict')
  t.is(merge(model(1, 1), model(2, 1), null).kind, 'conflict')
})

test('the removal of an unchanged value is applied', (t) => {
  t.deepEqual(merge(model(1, 1), model(1, 1), null), { kind: 'merged', changes: [{ key, value: null }] })
})

test('two different additions of one key are a conflict', (t) => {
  t.is(merge(null, model(1, 1), model(2, 1)).kind, 'conflict')
})

test('a field named like a member of Object.prototype is an ordinary field', (t) => {
  const result = merge({ a: 1 }, { a: 2 }, { a: 1, constructor: 'x' })
  t.deepEqual(result, { kind: 'merged', changes: [{ key, value: { a: 2, constructor: 'x' } }] })
})

test('a merge contains every change of both sides and no other change, and is symmetric', (t) => {
  const value = fc.oneof(fc.constant(null), fc.record({ a: fc.integer({ min: 0, max: 2 }), b: fc.integer({ min: 0, max: 2 }), c: fc.integer({ min: 0, max: 2 }) }))
  fc.assert(fc.property(value, value, value, (base, current, proposed) => {
    const result = merge(base, current, proposed)
    const mirrored = merge(base, proposed, current)
    if (result.kind !== mirrored.kind) return false
    if (result.kind === 'conflict') return true
    const merged = (result.changes[0]?.value ?? (result.changes.length === 0 ? current : null)) as Record<string, number> | null
    const mergedMirrored = (mirrored.kind === 'merged' ? (mirrored.changes[0]?.value ?? (mirrored.changes.length === 0 ? proposed : null)) : null) as typeof merged
    if (JSON.stringify(merged) !== JSON.stringify(mergedMirrored)) return false
    if (base === null || current === null || proposed === null || merged === null) return true
    return (['a', 'b', 'c'] as const).every((field) => {
      const expected = current[field] === base[field] ? proposed[field] : current[field]
      return merged[field] === expected
    })
  }), { seed: 7, numRuns: 2_000 })
  t.pass()
})
