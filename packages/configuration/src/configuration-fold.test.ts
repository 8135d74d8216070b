import { isDeepStrictEqual } from 'node:util'
import test from 'ava'
import type { StreamRecord } from '@fuchsiastage/log-client'
import type { ConfigurationChange, ConfigurationPatch, JsonValue } from '@fuchsiastage/types'
import fc from 'fast-check'
import {
  checkValue,
  configurationFold,
  documentAt,
  findBrokenInvariants,
  findOutcome,
  foldConfiguration,
  indexConfiguration,
  KEPT_REJECTIONS,
  KEPT_VERSIONS,
  readCaller,
  readModel,
  readRule,
  type ConfigurationState
} from './index.js'

const role = { kind: 'engine', fencing: 'checked', memoryMegabytes: 80_000, accelerators: 2, maximumConcurrent: 8 }
const model = (memoryMegabytes = 20_000): JsonValue => ({ role: 'drafter', memoryMegabytes, weightsMegabytes: 10_000 })
const rule = (dataCentres: readonly string[], maximumReplicas = 2, minimumWarm = 0): JsonValue => ({ dataCentres, maximumReplicas, minimumWarm })
const caller = (digit: string, models: readonly string[] = ['*']): JsonValue =>
  ({ tokenSha256: digit.repeat(64), priority: 'normal', weight: 1, maximumConcurrent: 4, requestsPerSecond: 5, deadlineMilliseconds: 10_000, models, services: [] })
const format = (formatVersion: number): JsonValue => ({ formatVersion })

let patchCount = 0
const patch = (baseVersion: number, changes: Readonly<Record<string, JsonValue>>, patchId = `patch-${patchCount++}`): ConfigurationPatch =>
  ({ patchId, baseVersion, operator: 'operator-1', note: '', changes: Object.entries(changes).map(([key, value]): ConfigurationChange => ({ key, value })) })
const record = (value: ConfigurationPatch): StreamRecord =>
  ({ recordId: `record-${value.patchId}`, kind: 'patch', formatVersion: 1, patch: value as unknown as JsonValue })
const apply = (state: ConfigurationState, value: ConfigurationPatch): ConfigurationState => configurationFold.apply(state, record(value), state.version + state.rejected.length)

const initialState = foldConfiguration([record(patch(0, {
  'role/drafter': role,
  'role/ledger': { ...role, kind: 'service' },
  'model/letter': model(),
  'adapter/letter-fr': { model: 'letter', memoryMegabytes: 500, weightsMegabytes: 500 },
  'rule/letter': rule(['van-a', 'van-b']),
  'service/ledger': { role: 'ledger', dataCentres: ['van-a'], nonIdempotent: ['POST /payouts'] },
  'caller/desk': caller('a', ['letter-fr'])
}))])

const reasonFor = (changes: Readonly<Record<string, JsonValue>>): string => {
  const value = patch(initialState.version, changes)
  const outcome = findOutcome(apply(initialState, value), value.patchId)?.outcome
  return outcome?.kind === 'rejected' ? outcome.reason : String(outcome?.kind)
}

test('a patch that breaks an invariant is rejected with a reason', (t) => {
  t.snapshot({
    'rule without model': reasonFor({ 'rule/absent': rule(['van-a']) }),
    'adapter rule allows a data centre that the model rule does not': reasonFor({ 'rule/letter-fr': rule(['vic-a']) }),
    'model rule no longer allows a data centre of the adapter rule': reasonFor({ 'rule/letter-fr': rule(['van-b']), 'rule/letter': rule(['van-a']) }),
    'minimum warm replicas above maximum replicas': reasonFor({ 'rule/letter': rule(['van-a'], 1, 2) }),
    'model larger than its role': reasonFor({ 'model/letter': model(90_000) }),
    'adapter with model larger than the role': reasonFor({ 'model/letter': model(79_900) }),
    'model on a service role': reasonFor({ 'role/drafter': { ...role, kind: 'service' } }),
    'unknown role': reasonFor({ 'role/drafter': null }),
    'model removed although an adapter and a rule refer to it': reasonFor({ 'model/letter': null }),
    'adapter removed although a caller refers to it': reasonFor({ 'adapter/letter-fr': null }),
    'two callers with the same token': reasonFor({ 'caller/other': caller('a') }),
    'adapter with the name of a model': reasonFor({ 'adapter/letter': { model: 'letter', memoryMegabytes: 1, weightsMegabytes: 1 } }),
    'unknown key kind': reasonFor({ 'modle/letter': model() }),
    'unknown field': reasonFor({ 'format/configuration': { formatVersion: 1, extra: true } })
  })
})

test('a patch with an older base version is rebased if its changes are disjoint from later ones', (t) => {
  const first = apply(initialState, patch(1, { 'rule/letter': rule(['van-a', 'van-b'], 3) }))
  const second = patch(1, { 'rule/letter': rule(['van-a'], 2) })
  const state = apply(first, second)
  t.deepEqual(findOutcome(state, second.patchId)?.outcome, { kind: 'accepted', version: 3, rebased: true })
  t.deepEqual(state.document.get('rule/letter'), rule(['van-a'], 3))
})

test('a conflicting patch is rejected with key, field and the three values', (t) => {
  const first = apply(initialState, patch(1, { 'model/letter': model(30_000) }))
  const second = patch(1, { 'model/letter': model(40_000) })
  const outcome = findOutcome(apply(first, second), second.patchId)?.outcome
  t.snapshot(outcome)
})

test('a patch is rejected if it is valid alone but breaks an invariant after the merge', (t) => {
  const first = apply(initialState, patch(1, { 'rule/letter': rule(['van-a', 'van-b'], 1) }))
  const second = patch(1, { 'rule/letter': rule(['van-a', 'van-b'], 2, 2) })
  const outcome = findOutcome(apply(first, second), second.patchId)?.outcome
  t.is(outcome?.kind, 'rejected')
})

test('a repeated patch id does not change the outcome of the first record', (t) => {
  const value = patch(1, { 'model/letter': model(30_000) })
  const once = apply(initialState, value)
  t.is(apply(once, value), once)
  t.is(apply(once, { ...value, baseVersion: 2, changes: [{ key: 'model/letter', value: null }] }), once)
})

test('an accepted patch is not applied again after its outcome has been dropped from the history', (t) => {
  const value = patch(1, { 'format/a': format(2) })
  let state = apply(initialState, value)
  for (let index = 0; index <= KEPT_VERSIONS; index++) state = apply(state, patch(state.version, { 'format/a': format(index + 3) }))
  t.is(findOutcome(state, value.patchId), undefined)
  const again = apply(state, value)
  t.is(findOutcome(again, value.patchId)?.outcome.kind, 'rejected')
  t.is(again.version, state.version)
})

test('the numbers of kept versions and rejections are bounded', (t) => {
  let state = initialState
  for (let index = 0; index < KEPT_VERSIONS + 5; index++) {
    state = apply(state, patch(state.version, { 'format/a': format(index + 1) }))
    state = apply(state, patch(state.version + 1, { 'format/a': format(index + 1) }))
  }
  t.is(state.history.length, KEPT_VERSIONS)
  t.is(state.rejected.length, KEPT_REJECTIONS)
  const oldest = state.version - KEPT_VERSIONS
  t.deepEqual(documentAt(state, oldest)?.get('format/a'), format(oldest - 1))
  t.is(documentAt(state, oldest - 1), undefined)
  const fromOldest = patch(oldest, { 'format/b': format(1) })
  t.is(findOutcome(apply(state, fromOldest), fromOldest.patchId)?.outcome.kind, 'accepted')
  const tooOld = patch(oldest - 1, { 'format/b': format(1) })
  t.is(findOutcome(apply(state, tooOld), tooOld.patchId)?.outcome.kind, 'rejected')
})

test('a record without a valid patch id does not change the state', (t) => {
  for (const value of [{}, { patch: null }, { patch: { patchId: '' } }, { patch: 7 }]) {
    t.is(configurationFold.apply(initialState, { recordId: 'r', kind: 'patch', formatVersion: 1, ...value } as StreamRecord, 9), initialState)
  }
})

test('the encoding of a state does not depend on the order of its changes, and decodes to an equal state', (t) => {
  const changes = { 'format/a': format(1), 'format/b': format(2) }
  const left = apply(initialState, patch(1, changes, 'p'))
  const right = apply(initialState, patch(1, Object.fromEntries(Object.entries(changes).reverse()), 'p'))
  const documentOf = (state: ConfigurationState) => (configurationFold.encode(state) as { document: JsonValue }).document
  t.deepEqual(documentOf(left), documentOf(right))
  t.true(isDeepStrictEqual(configurationFold.decode(JSON.parse(JSON.stringify(configurationFold.encode(left)))), left))
})

// Random patches to a small document, with older base versions and repeated patch ids.
const arbitraryChange = fc.oneof(
  fc.record({ key: fc.constantFrom('model/letter', 'model/review'), value: fc.oneof(fc.constant(null), fc.constantFrom(model(10_000), model(20_000), model(79_800))) }),
  fc.record({ key: fc.constantFrom('adapter/letter-fr', 'adapter/review-fr'), value: fc.oneof(fc.constant(null), fc.constantFrom('letter', 'review').map((name): JsonValue => ({ model: name, memoryMegabytes: 500, weightsMegabytes: 400 }))) }),
  fc.record({
    key: fc.constantFrom('rule/letter', 'rule/review', 'rule/letter-fr'),
    value: fc.oneof(fc.constant(null), fc.tuple(fc.subarray(['van-a', 'van-b']), fc.integer({ min: 0, max: 2 }), fc.integer({ min: 0, max: 2 })).map(([dataCentres, most, least]) => rule(dataCentres, most, least)))
  }),
  fc.record({ key: fc.constantFrom('role/drafter', 'role/ledger'), value: fc.oneof(fc.constant(null), fc.constantFrom<JsonValue>(role, { ...role, memoryMegabytes: 15_000 }, { ...role, kind: 'service' })) }),
  fc.record({ key: fc.constantFrom('caller/desk', 'caller/other'), value: fc.oneof(fc.constant(null), fc.tuple(fc.constantFrom('a', 'b'), fc.subarray(['letter', 'letter-fr'])).map(([digit, models]) => caller(digit, models))) })
)
const arbitraryPatch = fc.record({ age: fc.integer({ min: 0, max: 4 }), id: fc.integer({ min: 0, max: 200 }), changes: fc.uniqueArray(arbitraryChange, { selector: ({ key }) => key, minLength: 1, maxLength: 3 }) })

test('all invariants hold after any sequence of patches, so the check of the changed keys is sufficient', (t) => {
  let accepted = 0
  fc.assert(fc.property(fc.array(arbitraryPatch, { maxLength: 30 }), (entries) => {
    let state = initialState
    for (const { age, id, changes } of entries) {
      const previous = state
      state = apply(state, { patchId: `random-${id}`, baseVersion: Math.max(0, state.version - age), operator: 'o', note: '', changes: changes as ConfigurationChange[] })
      accepted += state.version - previous.version
      if (findBrokenInvariants(state.document).length > 0) return false
      // Maps with a different insertion order are equal documents.
      if (!isDeepStrictEqual(documentAt(state, previous.version), previous.document)) return false
    }
    return [...state.document].every(([key, value]) => checkValue(key, value) === undefined)
  }), { seed: 11, numRuns: 300 })
  t.true(accepted > 300)
})

test('a reader that starts from the state after any record reaches the same final state', (t) => {
  fc.assert(fc.property(fc.array(arbitraryPatch, { minLength: 2, maxLength: 30 }), fc.nat(), (entries, cut) => {
    const patches = entries.map(({ age, id, changes }, index) => ({ patchId: `random-${id}`, baseVersion: Math.max(0, index - age), operator: 'o', note: '', changes: changes as ConfigurationChange[] }))
    const fold = (from: ConfigurationState, values: readonly ConfigurationPatch[], offset: number) => values.reduce((state, value, index) => configurationFold.apply(state, record(value), offset + index), from)
    const middle = cut % patches.length
    const whole = fold(initialState, patches, 1)
    const restored = configurationFold.decode(JSON.parse(JSON.stringify(configurationFold.encode(fold(initialState, patches.slice(0, middle), 1)))))
    return JSON.stringify(configurationFold.encode(fold(restored, patches.slice(middle), 1 + middle))) === JSON.stringify(configurationFold.encode(whole))
  }), { seed: 12, numRuns: 300 })
  t.pass()
})

test('typed values are read from an index that is built once per document', (t) => {
  const { document } = initialState
  t.is(indexConfiguration(document), indexConfiguration(document))
  t.is(readModel(document, 'letter')?.memoryMegabytes, 20_000)
  t.is(readCaller(document, 'a'.repeat(64))?.name, 'desk')
  t.is(readCaller(document, 'b'.repeat(64)), undefined)
  t.deepEqual(readRule(document, 'letter-fr')?.dataCentres, ['van-a', 'van-b'])
  t.is(readRule(document, 'absent'), undefined)
})
