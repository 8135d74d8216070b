import test from 'ava'
import { claimPartition, keyTime, parseIdempotencyKey, requestFingerprint } from './index.js'

const createdAt = 1_767_225_600_000
const key = '019b76da-a800-7000-8000-00000000000a'
const limits = { wallNow: createdAt, horizonMilliseconds: 3_600_000 }

test('reads the timestamp in a key and normalises its case', (t) => {
  t.is(keyTime(key), createdAt)
  t.deepEqual(parseIdempotencyKey(` ${key.toUpperCase()} `, limits).unwrapOr(undefined), { key, createdAt })
})

test('refuses text that is not a UUID of version 7, because its age cannot be determined', (t) => {
  for (const text of ['', 'rollover-1', key.replace('-7000-', '-4000-'), key.replace('-8000-', '-c000-'), `${key}0`]) {
    t.is(parseIdempotencyKey(text, limits).match({ Ok: () => 'accepted', Err: ({ code }) => code }), 'idempotency-key-invalid', text)
  }
})

test('refuses keys that are older than the horizon or more than one minute in the future, and accepts keys exactly at these limits', (t) => {
  const codeAt = (wallNow: number) => parseIdempotencyKey(key, { ...limits, wallNow }).match({ Ok: () => 'accepted', Err: ({ code }) => code })
  t.is(codeAt(createdAt + 3_600_000), 'accepted')
  t.is(codeAt(createdAt + 3_600_001), 'idempotency-key-expired')
  t.is(codeAt(createdAt - 60_000), 'accepted')
  t.is(codeAt(createdAt - 60_001), 'idempotency-key-expired')
})

test('distributes keys over all partitions and distinguishes callers', (t) => {
  const partitions = new Set<number>()
  for (let index = 0; index < 2_000; index++) partitions.add(claimPartition('desk', `key-${index}`, 64))
  t.is(partitions.size, 64)
  t.not(claimPartition('ab', 'c', 1 << 30), claimPartition('a', 'bc', 1 << 30))
})

test('fingerprints of requests that differ in method, path or body are different', (t) => {
  const requestParts = [['POST', '/a', 'b'], ['PUT', '/a', 'b'], ['POST', '/ab', ''], ['POST', '/a', 'c']] as const
  t.is(new Set(requestParts.map(([method, path, body]) => requestFingerprint(method, path, body))).size, requestParts.length)
})
