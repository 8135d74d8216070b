import type { QuarantineDecision } from '@fuchsiastage/request-quarantine'
import test from 'ava'
import { answer, createFixture, entryOf, EVENTS, SAFE, STREAM, UNSAFE, type Fixture, type FixtureOptions } from './forwarder-fixture.test-helper.js'
import type { TargetAnswer } from './index.js'

const LOST: TargetAnswer = { kind: 'failed', reason: 'connection closed' }
const TARGETS = ['t1', 't2', 't3', 't4', 't5'].map((id) => entryOf(id, 'ledger'))

/** The request comes again and again, and each target to which it is sent loses its connections. */
async function repeat (times: number, options: Partial<FixtureOptions>): Promise<Fixture> {
  const fixture = createFixture({ kind: SAFE, entries: TARGETS, answers: [LOST, LOST, LOST, answer(200), answer(200)], isAccepting: false, ...options })
  for (let time = 0; time < times; time++) {
    await fixture.run('/plain/x', 'same')
    await fixture.clock.advance(10)
    // The next request goes to another target.
    fixture.report(fixture.sent.at(-1)?.address.split(':')[0] ?? '', 96)
  }
  return fixture
}

test('a request without a model that comes again is rejected at once after three targets crashed at it', async (t) => {
  const fixture = await repeat(3, {})
  t.like(await fixture.run('/plain/x', 'same'), { kind: 'refused', reason: 'request-quarantined' })
  t.is(fixture.sent.length, 3)
  const fingerprints = fixture.lines.map((line) => (JSON.parse(line) as { fingerprint?: string }).fingerprint).filter((fingerprint) => fingerprint !== undefined)
  t.is(new Set(fingerprints).size, 1)
  t.true(fixture.lines.some((line) => line.includes('"event":"request-quarantined"')))
})

test('other requests are served after one that comes again was rejected', async (t) => {
  const fixture = await repeat(4, {})
  t.deepEqual(await fixture.run('/plain/x', 'other'), { kind: 'delivered', status: 200 })
})

test('the sends of one attempt to several targets count as well', async (t) => {
  const fixture = await repeat(2, { maximumTargets: 2, answers: [LOST, LOST, LOST, LOST, LOST] })
  t.true(fixture.sent.length <= 4)
  const sends = fixture.sent.length
  t.like(await fixture.run('/plain/x', 'same'), { kind: 'refused', reason: 'request-quarantined' })
  t.is(fixture.sent.length, sends)
})

test('an unsafe request that comes again is rejected as well', async (t) => {
  const fixture = await repeat(3, { kind: UNSAFE })
  t.like(await fixture.run('/plain/x', 'same'), { kind: 'refused', reason: 'request-quarantined' })
})

test('connections that are lost while the targets accept new ones do not count against a request', async (t) => {
  const fixture = await repeat(3, { isAccepting: true })
  t.deepEqual(await fixture.run('/plain/x', 'same'), { kind: 'delivered', status: 200 })
})

test('a request that targets survived in the meantime is not rejected', async (t) => {
  const fixture = await repeat(4, { answers: [LOST, LOST, answer(200), LOST, answer(200)] })
  t.deepEqual(await fixture.run('/plain/x', 'same'), { kind: 'delivered', status: 200 })
})

test('a request that comes again while it is quarantined is not sent after it waited', async (t) => {
  let isQuarantined = false
  const decision = (): QuarantineDecision => isQuarantined ? { kind: 'quarantined', cause: { kind: 'request', fingerprint: 'f' }, retryAfterMilliseconds: 1_000 } : { kind: 'allowed' }
  const fixture = createFixture({
    kind: STREAM,
    entries: [entryOf('e1', 'drafter')],
    answers: [answer(200, EVENTS)],
    placement: { kind: 'ready', target: 'e1@0' },
    quarantine: { check: decision },
    onPlacement: () => { isQuarantined = true }
  })
  t.like(await fixture.run('/model/x', 'same'), { kind: 'refused', reason: 'request-quarantined', retryAfterMilliseconds: 1_000 })
  t.is(fixture.sent.length, 0)
})
