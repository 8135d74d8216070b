import test from 'ava'
import { readResponse } from './callers.js'
import { checkEvidence, type Evidence } from './checks.js'
import type { RequestRecord } from './records.js'

const record: RequestRecord = {
  kind: 'call', daemon: 'entry-1', sentAt: 1_000, deadlineMilliseconds: 4_000, endedAt: 2_000, outcome: 'done', status: 200, code: 'ok', requestId: 'request-1', key: 'key-1', text: undefined, callerLagMilliseconds: 0
}
const target = { name: 'ledger-1', runs: { 'request-1': 1 }, runsByKey: { 'key-1': 1 }, replicas: [], overcommitAttempts: 0 }
const passingEvidence: Evidence = { records: [record], targets: [target], maximumReplicas: new Map([['letter', 1]]), daemonOutages: [], versions: [], marginMilliseconds: 1_000 }

function failedChecks (change: Partial<Evidence>): readonly string[] {
  return checkEvidence({ ...passingEvidence, ...change }).filter(({ failures }) => failures.length > 0).map(({ name }) => name)
}

test('evidence without a failure passes all checks', (t) => {
  t.deepEqual(failedChecks({}), [])
})

test('runs of one key at two services are added, so that a duplicate run is detected', (t) => {
  t.deepEqual(failedChecks({ targets: [target, { ...target, name: 'ledger-2' }] }), ['once'])
})

test('a call that was reported as done but never ran is detected', (t) => {
  t.deepEqual(failedChecks({ targets: [{ ...target, runs: {}, runsByKey: {} }] }), ['once'])
})

test('a request that was reported as not-run but ran is detected', (t) => {
  t.deepEqual(failedChecks({ records: [{ ...record, outcome: 'not-run', status: 503 }] }), ['not-run'])
})

test('a not-run response without a request id is detected, because it cannot be compared with the counts', (t) => {
  t.deepEqual(failedChecks({ records: [{ ...record, outcome: 'not-run', status: 503, requestId: undefined }] }), ['not-run'])
})

test('a stream that ends with [DONE] but lacks a token is detected', (t) => {
  const text = { expected: 'a b ', received: 'a ', hasEnded: true }
  t.deepEqual(failedChecks({ records: [{ ...record, kind: 'stream', text }] }), ['text'])
})

test('a broken stream may be incomplete but must not contain foreign text', (t) => {
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

test('a load that an engine refused because of insufficient memory is detected', (t) => {
  t.deepEqual(failedChecks({ targets: [{ ...target, overcommitAttempts: 1 }] }), ['memory'])
})

test('a response after deadline and margin is detected, unless its daemon was killed', (t) => {
  const records = [{ ...record, endedAt: 6_100 }]
  t.deepEqual(failedChecks({ records }), ['answered'])
  t.deepEqual(failedChecks({ records, daemonOutages: [{ daemon: 'entry-1', kind: 'killed', from: 2_000, to: 2_000 }] }), [])
  t.deepEqual(failedChecks({ records, daemonOutages: [{ daemon: 'entry-2', kind: 'killed', from: 2_000, to: 2_000 }] }), ['answered'])
})

test('a connection that is closed without a response is detected, unless its daemon was killed', (t) => {
  const records = [{ ...record, outcome: 'broken' as const }]
  t.deepEqual(failedChecks({ records }), ['answered'])
  t.deepEqual(failedChecks({ records, daemonOutages: [{ daemon: 'entry-1', kind: 'killed', from: 1_500, to: 1_500 }] }), [])
})

test('a request that a daemon read before a pause is due within the margin after the resume', (t) => {
  const daemonOutages = [{ daemon: 'entry-1', kind: 'paused', from: 1_500, to: 16_500 }] as const
  t.deepEqual(failedChecks({ daemonOutages, records: [{ ...record, endedAt: 17_400 }] }), [])
  t.deepEqual(failedChecks({ daemonOutages, records: [{ ...record, endedAt: 17_600 }] }), ['answered'])
})

test('the deadline of a request that was sent to a paused daemon starts at the resume', (t) => {
  const daemonOutages = [{ daemon: 'entry-1', kind: 'paused', from: 500, to: 15_500 }] as const
  t.deepEqual(failedChecks({ daemonOutages, records: [{ ...record, endedAt: 20_400 }] }), [])
  t.deepEqual(failedChecks({ daemonOutages, records: [{ ...record, endedAt: 20_600 }] }), ['answered'])
})

test('lag of the callers themselves is not counted as a late response', (t) => {
  t.deepEqual(failedChecks({ records: [{ ...record, endedAt: 6_400, callerLagMilliseconds: 500 }] }), [])
  t.deepEqual(failedChecks({ records: [{ ...record, endedAt: 6_600, callerLagMilliseconds: 500 }] }), ['answered'])
})

test('a version that decreases in one process, or in a new process that reports that it is ready, is detected', (t) => {
  const sample = { daemon: 'entry-1', process: 1, at: 0, version: 7, isReady: true }
  t.deepEqual(failedChecks({ versions: [sample, { ...sample, version: 6, isReady: false }] }), ['version'])
  t.deepEqual(failedChecks({ versions: [sample, { ...sample, process: 2, version: 0, isReady: false }] }), [])
  t.deepEqual(failedChecks({ versions: [sample, { ...sample, process: 2, version: 6 }] }), ['version'])
})

test('a stream that ends without an error and without [DONE] is not accepted as complete', (t) => {
  const response = readResponse('stream', 200, 'id: 1\ndata: {"choices":[{"text":"a "}]}\n\n', undefined, 'a ')
  t.is(response.code, 'no-end-mark')
  t.deepEqual(failedChecks({ records: [{ ...record, kind: 'stream', ...response }] }), ['text'])
})
