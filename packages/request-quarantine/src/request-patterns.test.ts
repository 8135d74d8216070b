import test from 'ava'
import type { CrashRecord } from './crash-record.js'
import { findRequestPatterns, type RequestPattern } from './request-patterns.js'

/** A crash at the given time whose suspected requests were sent 100 ms before, unless another time is given. */
function crashAt (at: number, fingerprints: readonly string[], sentAt = at - 100): CrashRecord {
  return { at, prompts: [], requests: fingerprints.map((fingerprint) => ({ fingerprint, sentAt })), servedSince: 10 }
}

const neverServed = (): number => -Infinity
const describe = (patterns: readonly RequestPattern[]) => patterns.map(({ fingerprint, records, lastCrashAt }) => ({ fingerprint, crashes: records.map(({ at }) => at), lastCrashAt }))

test('a request that was at three targets when they crashed makes a pattern', (t) => {
  const records = [crashAt(1_000, ['x', 'a']), crashAt(2_000, ['x', 'b']), crashAt(3_000, ['c', 'x'])]
  t.snapshot(describe(findRequestPatterns(records, neverServed)))
  t.deepEqual(findRequestPatterns(records.slice(0, 2), neverServed), [])
})

test('copies that were sent at the same time make a pattern only if a later one is hit as well', (t) => {
  const copies = [1_000, 1_010, 1_020].map((at) => crashAt(at, ['x'], 900))
  t.deepEqual(findRequestPatterns(copies, neverServed), [])
  t.deepEqual(describe(findRequestPatterns([...copies, crashAt(2_000, ['x'])], neverServed)), [{ fingerprint: 'x', crashes: [1_000, 2_000, 1_010, 1_020], lastCrashAt: 2_000 }])
})

test('two copies at the same time and the repeats of both make a pattern at once', (t) => {
  const records = [crashAt(1_000, ['x'], 950), crashAt(1_020, ['x'], 980), crashAt(1_110, ['x'], 1_001), crashAt(1_130, ['x'], 1_021)]
  t.is(findRequestPatterns(records, neverServed).length, 1)
})

test('crashes before a request was served do not count against it', (t) => {
  const records = [1_000, 2_000, 3_000].map((at) => crashAt(at, ['x']))
  t.deepEqual(findRequestPatterns(records, () => 1_500), [])
})

test('a request that was in flight beside the crashing one is not suspected once the crashes are explained', (t) => {
  const records = [crashAt(1_000, ['x', 'beside']), crashAt(2_000, ['x', 'beside']), crashAt(3_000, ['x', 'beside']), crashAt(4_000, ['x'])]
  t.deepEqual(findRequestPatterns(records, neverServed).map(({ fingerprint }) => fingerprint), ['x'])
})

test('two requests that crash targets independently of each other make two patterns', (t) => {
  const records = [1_000, 2_000, 3_000].flatMap((at) => [crashAt(at, ['x']), crashAt(at + 500, ['y'])])
  t.deepEqual(findRequestPatterns(records, neverServed).map(({ fingerprint }) => fingerprint), ['x', 'y'])
})
