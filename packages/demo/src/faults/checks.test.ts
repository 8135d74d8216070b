import test from 'ava'
import { readAnswer } from './callers.js'
import { checkEvidence, type Evidence } from './checks.js'
import type { RequestRecord } from './records.js'

const record: RequestRecord = {
  kind: 'call', daemon: 'entry-1', sentAt: 1_000, deadlineMilliseconds: 4_000, endedAt: 2_000, outcome: 'done', status: 200, code: 'ok', requestId: 'request-1', key: 'key-1', text: undefined, callerLagMilliseconds: 0
}
const target = { name: 'ledger-1', runs: { 'request-1': 1 }, runsByKey: { 'key-1': 1 }, replicas: [], overcommitAttempts: 0 }
const whole: Evidence = { records: [record], targets: [target], maximumReplicas: new Map([['letter', 1]]), daemonOutages: [], versions: [], marginMilliseconds: 1_000 }

function failedChecks (change: Partial<Evidence>): readonly string[] {
  return checkEvidence({ ...whole, ...change }).filter(({ failures }) => failures.length > 0).map(({ name }) => name)
}

test('evidence without a fault passes all checks', (t) => {
  t.deepEqual(failedChecks({}), [])
})

test('runs of one key at two services are added, so that a double run is found', (t) => {
  t.deepEqual(failedChecks({ targets: [target, { ...target, name: 'ledger-2' }] }), ['once'])
})

test('a call that was answered as done and never ran is found', (t) => {
  t.deepEqual(failedChecks({ targets: [{ ...target, runs: {}, runsByKey: {} }] }), ['once'])
})

test('a request that was refused as not-run and has run is found', (t) => {
  t.deepEqual(failedChecks({ records: [{ ...record, outcome: 'not-run', status: 503 }] }), ['not-run'])
})

test('a refusal as not-run without a request id is found, because it cannot be compared', (t) => {
  t.deepEqual(failedChecks({ records: [{ ...record, outcome: 'not-run', status: 503, requestId: undefined }] }), ['not-run'])
})

test('a stream that ends with its end mark and lacks a token is found', (t) => {
  const text = { expected: 'a b ', received: 'a ', hasEnded: true }
  t.deepEqual(failedChecks({ records: [{ ...record, kind: 'stream', text }] }), ['text'])
})

test('a broken stream may be short and may not hold foreign text', (t) => {
  const broken = { ...record, kind: 'stream', outcome: 'broken' } as const
  const daemonOutages = [{ daemon: 'entry-1', kind: 'killed', from: 1_500, to: 1_500 }] as const
  t.deepEqual(failedChecks({ records: [{ ...broken, text: { expected: 'a b ', received: 'a ', hasEnded: false } }], daemonOutages }), [])
  t.deepEqual(failedChecks({ records: [{ ...broken, text: { expected: 'a b ', received: 'b ', hasEnded: false } }], daemonOutages }), ['text'])
})

test('replicas of one model at two engines at the same time are added', (t) => {
  const replicas = [{ model: 'letter', memoryMegabytes: 1, from: 0, to: 10 }]
  const other = [{ model: 'letter', memoryMegabytes: 1, from: 9, to: undefined }]
  t.deepEqual(failedChecks({ targets: [{ ...target, replicas }, { ...target, name: 'ledger-2', runs: {}, runsByKey: {}, replicas: other }] }), ['replicas'])
})

test('a load that an engine refused for want of memory is found', (t) => {
  t.deepEqual(failedChecks({ targets: [{ ...target, overcommitAttempts: 1 }] }), ['memory'])
})

test('an answer after deadline and margin is found, unless its daemon was killed', (t) => {
  const records = [{ ...record, endedAt: 6_100 }]
  t.deepEqual(failedChecks({ records }), ['answered'])
  t.deepEqual(failedChecks({ records, daemonOutages: [{ daemon: 'entry-1', kind: 'killed', from: 2_000, to: 2_000 }] }), [])
  t.deepEqual(failedChecks({ records, daemonOutages: [{ daemon: 'entry-2', kind: 'killed', from: 2_000, to: 2_000 }] }), ['answered'])
})

test('a connection that breaks without an answer is found, unless its daemon was killed', (t) => {
  const records = [{ ...record, outcome: 'broken' as const }]
  t.deepEqual(failedChecks({ records }), ['answered'])
  t.deepEqual(failedChecks({ records, daemonOutages: [{ daemon: 'entry-1', kind: 'killed', from: 1_500, to: 1_500 }] }), [])
})

test('a paused daemon owes its answers within the margin after it runs again', (t) => {
  const daemonOutages = [{ daemon: 'entry-1', kind: 'paused', from: 1_500, to: 16_500 }] as const
  t.deepEqual(failedChecks({ daemonOutages, records: [{ ...record, endedAt: 17_400 }] }), [])
  t.deepEqual(failedChecks({ daemonOutages, records: [{ ...record, endedAt: 17_600 }] }), ['answered'])
})

test('the deadline of a request that waited unread at a paused daemon begins when the daemon runs again', (t) => {
  const daemonOutages = [{ daemon: 'entry-1', kind: 'paused', from: 500, to: 15_500 }] as const
  t.deepEqual(failedChecks({ daemonOutages, records: [{ ...record, endedAt: 20_400 }] }), [])
  t.deepEqual(failedChecks({ daemonOutages, records: [{ ...record, endedAt: 20_600 }] }), ['answered'])
})

test('time by which the callers themselves ran late is not counted against the daemon', (t) => {
  t.deepEqual(failedChecks({ records: [{ ...record, endedAt: 6_400, callerLagMilliseconds: 500 }] }), [])
  t.deepEqual(failedChecks({ records: [{ ...record, endedAt: 6_600, callerLagMilliseconds: 500 }] }), ['answered'])
})

test('a version that goes back in one process, or in a fresh process that says it is ready, is found', (t) => {
  const sample = { daemon: 'entry-1', process: 1, at: 0, version: 7, isReady: true }
  t.deepEqual(failedChecks({ versions: [sample, { ...sample, version: 6, isReady: false }] }), ['version'])
  t.deepEqual(failedChecks({ versions: [sample, { ...sample, process: 2, version: 0, isReady: false }] }), [])
  t.deepEqual(failedChecks({ versions: [sample, { ...sample, process: 2, version: 6 }] }), ['version'])
})

test('a stream that ends in order without its end mark is not taken for a whole answer', (t) => {
  const told = readAnswer('stream', 200, 'id: 1\ndata: {"choices":[{"text":"a "}]}\n\n', undefined, 'a ')
  t.is(told.code, 'no-end-mark')
  t.deepEqual(failedChecks({ records: [{ ...record, kind: 'stream', ...told }] }), ['text'])
})
