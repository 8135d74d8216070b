import test from 'ava'
import { answer, createFixture, entryOf, STREAM, type FixtureOptions } from './forwarder-fixture.test-helper.js'

/** A placement that is decided only after the daemon has ended, or never. */
const UNDECIDED: Partial<FixtureOptions> = {
  entries: [entryOf('e1', 'drafter')],
  awaitPlacement: async (signal) => await new Promise((resolve) => signal.addEventListener('abort', () => resolve({ kind: 'refused', reason: 'no-order-lease', retryAfterMilliseconds: 250 }), { once: true }))
}

test('a request that waits for a placement is refused before its daemon ends, so that it does not end without an answer', async (t) => {
  const fixture = createFixture({ kind: STREAM, answers: [], ...UNDECIDED })
  const outcome = fixture.run('/model/x')
  await fixture.clock.settle()
  fixture.endDaemon()
  t.deepEqual(await outcome, { kind: 'refused', reason: 'daemon-stopping', retryAfterMilliseconds: 0 })
  t.is(fixture.sent.length, 0)
})

test('a request that arrives while its daemon ends is refused before a target gets it', async (t) => {
  const fixture = createFixture({ kind: STREAM, answers: [answer(200)] })
  fixture.endDaemon()
  t.deepEqual(await fixture.run(), { kind: 'refused', reason: 'daemon-stopping', retryAfterMilliseconds: 0 })
  t.is(fixture.sent.length, 0)
})

test('a request that a target may have run is not said not to have run when its daemon ends', async (t) => {
  const fixture = createFixture({ kind: { kind: 'safe' }, maximumTargets: 2, answers: [{ kind: 'failed', reason: 'connection lost' }, answer(200)], onSend: () => fixture.endDaemon() })
  t.like(await fixture.run(), { kind: 'unknown', status: 502 })
})

test('a response that has begun goes on while its daemon ends', async (t) => {
  const fixture = createFixture({ kind: STREAM, answers: [answer(200)], onSend: () => fixture.endDaemon() })
  t.like(await fixture.run(), { kind: 'delivered' })
})
