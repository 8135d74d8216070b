import test from 'ava'
import { fingerprintOf } from './index.js'

const REQUEST = {
  method: 'POST',
  host: 'h',
  path: '/ledger/1?x=2',
  body: Buffer.from('body'),
  description: { id: 'r1', deadlineMilliseconds: 1_000, demand: undefined, lastEventId: undefined, resumes: undefined, credentials: 'Bearer a' }
}

test('a request that comes again has the same fingerprint, whatever its identifier and its deadline are', (t) => {
  t.is(fingerprintOf({ ...REQUEST, description: { ...REQUEST.description, id: 'r2', deadlineMilliseconds: 200, lastEventId: '4' } }), fingerprintOf(REQUEST))
  t.regex(fingerprintOf(REQUEST), /^[0-9a-f]{16}$/)
})

test('requests that differ in method, host, path, query, caller or body have different fingerprints', (t) => {
  const others = [
    { ...REQUEST, method: 'PUT' },
    { ...REQUEST, host: 'other' },
    { ...REQUEST, path: '/ledger/2?x=2' },
    { ...REQUEST, path: '/ledger/1?x=3' },
    { ...REQUEST, body: Buffer.from('other') },
    { ...REQUEST, body: Buffer.alloc(0) },
    { ...REQUEST, description: { ...REQUEST.description, credentials: 'Bearer b' } },
    { ...REQUEST, description: { ...REQUEST.description, credentials: undefined } }
  ]
  t.is(new Set([REQUEST, ...others].map(fingerprintOf)).size, others.length + 1)
})
