import test from 'ava'
import type { CrashRecord } from './crash-record.js'
import { findPromptPatterns, type PromptPattern } from './prompt-patterns.js'

/** A crash at the given time whose suspected requests were sent 100 ms before, unless another time is given. */
function crashAt (at: number, prompts: ReadonlyArray<readonly string[]>, { sentAt = at - 100, servedSince = 10 } = {}): CrashRecord {
  return { at, prompts: prompts.map((parts) => ({ parts, sentAt })), requests: [], servedSince }
}

const describe = (patterns: readonly PromptPattern[]) => patterns.map((pattern) => ({ ...pattern, records: pattern.records.map(({ at }) => at) }))
const neverServed = (): number => -Infinity

test('a part that occurs in three crashes one after the other makes a pattern', (t) => {
  const records = [crashAt(1_000, [['s', 'x']]), crashAt(2_000, [['s', 'y', 'x']]), crashAt(3_000, [['s', 'x'], ['s', 'z']])]
  const servedAt = (part: string): number => part === 's' ? 2_500 : -Infinity
  t.snapshot(describe(findPromptPatterns(records, servedAt, [])))
  t.deepEqual(findPromptPatterns(records.slice(0, 2), servedAt, []), [])
})

test('a part of a request that was served between the crashes makes no pattern', (t) => {
  const records = [1_000, 2_000, 3_000].map((at) => crashAt(at, [['s', 'x']]))
  t.deepEqual(findPromptPatterns(records, () => 1_500, []), [])
})

test('crashes of requests that were sent before the first of them make no pattern, because they have another cause in common', (t) => {
  const records = [1_000, 1_010, 1_020].map((at) => crashAt(at, [['s', 'x']], { sentAt: 900 }))
  t.deepEqual(findPromptPatterns(records, neverServed, []), [])
})

test('requests that share only some of the parts of the crashing ones match no pattern', (t) => {
  const records = [crashAt(1_000, [['s', 'caller', 'x'], ['s', 'caller']]), crashAt(2_000, [['s', 'caller', 'x']]), crashAt(3_000, [['s', 'caller', 'x']])]
  t.snapshot(describe(findPromptPatterns(records, neverServed, [])))
})

test('a part that was in flight beside the crashing one is not suspected once the crashes are explained', (t) => {
  const records = [crashAt(1_000, [['x'], ['other']]), crashAt(2_000, [['x'], ['other']]), crashAt(3_000, [['x'], ['other']]), crashAt(4_000, [['y', 'x']])]
  t.deepEqual(findPromptPatterns(records, neverServed, []).map(({ parts }) => parts), [['x']])
})

test('two parts that crash engines independently of each other make two patterns', (t) => {
  const records = [1_000, 2_000, 3_000].flatMap((at) => [crashAt(at, [['x', `a${at}`]]), crashAt(at + 500, [['y', `b${at}`]])])
  t.deepEqual(findPromptPatterns(records, neverServed, []).map(({ parts }) => parts), [['x'], ['y']])
})

test('a pattern is not distinct if no other requests were served in the meantime', (t) => {
  const records = [1_000, 2_000, 3_000].map((at) => crashAt(at, [['x']], { servedSince: 2 }))
  t.deepEqual(findPromptPatterns(records, neverServed, []).map(({ isDistinct }) => isDistinct), [false])
})
