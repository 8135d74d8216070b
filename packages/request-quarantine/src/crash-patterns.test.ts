import test from 'ava'
import { causeOf, findCrashPatterns, type CrashPattern } from './crash-patterns.js'
import type { CrashRecord } from './crash-record.js'

/** A crash at a request with the given fingerprint and prompt parts. */
function crashAt (at: number, fingerprint: string, parts: readonly string[]): CrashRecord {
  const sentAt = at - 100
  return { at, prompts: [{ parts, sentAt }], requests: [{ fingerprint, sentAt }], servedSince: 10 }
}

const NEVER_SERVED = { part: () => -Infinity, request: () => -Infinity }
const describe = (patterns: readonly CrashPattern[]) => patterns.map((pattern) => pattern.kind === 'prompt' ? { ...causeOf(pattern), alternativeRequest: pattern.alternativeRequest } : causeOf(pattern))

test('of one request that comes again, the request may be the cause as well as its prompt parts', (t) => {
  t.snapshot(describe(findCrashPatterns([1_000, 2_000, 3_000].map((at) => crashAt(at, 'same', ['system', 'x'])), NEVER_SERVED)))
})

test('of requests that are not alike, the prompt parts are the cause', (t) => {
  t.snapshot(describe(findCrashPatterns([1_000, 2_000, 3_000].map((at) => crashAt(at, `request-${at}`, ['system', 'x'])), NEVER_SERVED)))
})

test('one crash beside those of a request that comes again does not show that the prompt parts are the cause', (t) => {
  const records = [...[1_000, 2_000, 3_000].map((at) => crashAt(at, 'same', ['x'])), crashAt(4_000, 'other', ['x'])]
  t.snapshot(describe(findCrashPatterns(records, NEVER_SERVED)))
})

test('prompt parts of which several requests come again are the cause, and the requests by themselves are not', (t) => {
  const records = [1_000, 2_000, 3_000].flatMap((at) => [crashAt(at, 'one', ['x', 'a']), crashAt(at + 500, 'other', ['x', 'b'])])
  t.snapshot(describe(findCrashPatterns(records, NEVER_SERVED)))
})

test('a request whose prompt parts were served makes the only pattern', (t) => {
  const records = [1_000, 2_000, 3_000].map((at) => crashAt(at, 'same', ['system']))
  t.deepEqual(findCrashPatterns(records, { ...NEVER_SERVED, part: () => 2_500 }).map(causeOf), [{ kind: 'request', fingerprint: 'same' }])
})
