import test from 'ava'
import { answer, createFixture, entryOf, EVENTS, RESUMABLE, SAFE, STREAM, UNSAFE, type FixtureOptions } from './forwarder-fixture.test-helper.js'

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

// The connections of requests that their targets had not answered were closed without a response when the process ended.
test('a request that its target has not answered when its daemon ends gets a response, and is not sent again', async (t) => {
  for (const kind of [SAFE, UNSAFE, STREAM, RESUMABLE]) {
    const fixture = createFixture({ kind, maximumTargets: 2, answers: ['unresponsive', answer(200)] })
    const outcome = fixture.run()
    await fixture.clock.settle()
    fixture.endDaemon()
    fixture.endRequests()
    t.like(await outcome, { kind: 'unknown', status: 502 }, kind.kind)
    t.is(fixture.sent.length, 1)
  }
})

test('a response that has begun does not look complete when its daemon ends before it', async (t) => {
  const silent = async function * (): AsyncIterable<Buffer> {
    yield Buffer.from(EVENTS[0] ?? '')
    await new Promise<void>((_resolve, reject) => fixture.sent[0]?.signal.addEventListener('abort', () => reject(new Error('aborted'))))
  }
  const fixture = createFixture({ kind: RESUMABLE, maximumTargets: 2, answers: [{ kind: 'answer', status: 200, rawHeaders: [], body: silent(), close: () => undefined }, answer(200, EVENTS)] })
  const outcome = fixture.run()
  await fixture.clock.settle()
  fixture.endDaemon()
  fixture.endRequests()
  t.like(await outcome, { kind: 'broken' })
  t.is(fixture.received(), `200 ${EVENTS[0]} destroyed`)
})

const STOP = { lastLongRequestAt: 2_500, lastRequestAt: 7_000, endsAt: 7_600 }
const REFUSED = { kind: 'refused', reason: 'daemon-stopping', retryAfterMilliseconds: 0 } as const
const LOADED: Partial<FixtureOptions> = { entries: [entryOf('t1', 'ledger'), entryOf('e1', 'drafter', ['m1']), entryOf('e2', 'drafter', ['m1'])] }

// Streams that a stopping daemon accepted seconds after the stop signal were cut at its end.
test('a stopping daemon sends a request to a target only if its deadline passes before the end of the stop', async (t) => {
  // Requests for the model have 5 s until their deadline, the others 0.8 s.
  const cases = [['/model/x', 2_400, true], ['/model/x', 2_600, true], ['/model/x', 2_700, false], ['/model/x', 7_500, false], ['/plain/x', 2_700, true], ['/plain/x', 6_700, true], ['/plain/x', 6_900, false], ['/plain/x', 7_500, false]] as const
  for (const [path, at, isSent] of cases) {
    const fixture = createFixture({ kind: STREAM, answers: [answer(200)], ...LOADED })
    fixture.scheduleStop(STOP)
    await fixture.clock.advance(at)
    t.deepEqual(await fixture.run(path), isSent ? { kind: 'delivered', status: 200 } : REFUSED, `${path} at ${at} ms`)
    t.is(fixture.sent.length, isSent ? 1 : 0)
  }
})

test('a request that waits for a placement is refused as soon as its daemon sends none with its deadline any more', async (t) => {
  const fixture = createFixture({ kind: STREAM, answers: [], ...UNDECIDED })
  await fixture.clock.advance(4_000)
  const outcome = fixture.run('/model/x')
  fixture.scheduleStop({ lastLongRequestAt: 5_000, lastRequestAt: 8_000, endsAt: 8_600 })
  await fixture.clock.advance(999)
  t.is(fixture.finished.length, 0)
  await fixture.clock.advance(1)
  t.deepEqual(await outcome, REFUSED)
})

test('a request that could not be sent to a target is not sent to another one by a daemon that stops too early', async (t) => {
  const fixture = createFixture({ kind: STREAM, answers: [{ kind: 'not-sent', reason: 'refused' }, answer(200)], ...LOADED, onSend: () => { if (fixture.sent.length === 1) fixture.scheduleStop({ lastLongRequestAt: 0, lastRequestAt: 3_000, endsAt: 3_600 }) } })
  t.deepEqual(await fixture.run('/model/x'), REFUSED)
  t.is(fixture.sent.length, 1)
})

test('a client is told when to come back if all daemons stop', async (t) => {
  const fixture = createFixture({ kind: STREAM, answers: [], ...LOADED, hasServingPeer: false })
  fixture.scheduleStop(STOP)
  await fixture.clock.advance(4_000)
  t.deepEqual(await fixture.run('/model/x'), { ...REFUSED, retryAfterMilliseconds: STOP.endsAt - 4_000 + 1_000 })
  fixture.endDaemon()
  await fixture.clock.advance(4_000)
  t.deepEqual(await fixture.run('/model/x'), { ...REFUSED, retryAfterMilliseconds: 1_000 })
})
