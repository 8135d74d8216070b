import test from 'ava'
import type { JsonValue } from '@fuchsiastage/types'
import { findBrokenInvariants, readCaller } from './index.js'

const caller = {
  priority: 'normal',
  weight: 1,
  maximumConcurrent: 1,
  requestsPerSecond: 1,
  deadlineMilliseconds: 1_000,
  models: [],
  services: []
}
const hash = (digit: string): string => digit.repeat(64)

test('both tokens identify the same caller during a rotation, so that a repeated idempotency key belongs to the same claim', (t) => {
  const document = new Map<string, JsonValue>([['caller/desk', { ...caller, tokenSha256: hash('b'), previousTokenSha256: hash('a') }]])
  t.is(readCaller(document, hash('a'))?.name, 'desk')
  t.is(readCaller(document, hash('b'))?.name, 'desk')
})

test('the previous token of a caller must not be the token of another caller', (t) => {
  const document = new Map<string, JsonValue>([
    ['caller/desk', { ...caller, tokenSha256: hash('b'), previousTokenSha256: hash('a') }],
    ['caller/audit', { ...caller, tokenSha256: hash('a') }]
  ])
  t.true(findBrokenInvariants(document).length > 0)
})
