import type { ServingConfiguration } from '@fuchsiastage/fleet'
import test from 'ava'
import { answer, createFixture, entryOf, EVENTS, outcomeOf, RESUMABLE, SAFE, STREAM, UNSAFE } from './forwarder-fixture.test-helper.js'
import type { TargetAnswer } from './index.js'

test('a response is relayed completely', async (t) => {
  t.snapshot(await outcomeOf(createFixture({ kind: UNSAFE, answers: [answer(200, ['a', 'b'])] })))
})

test('an unsafe request that may have run is not sent again, and its outcome is unknown', async (t) => {
  for (const first of [answer(200, ['part'], { isReset: true }), answer(200, ['x'], { headers: ['other'] }), answer(200, ['x'], { headers: ['unsealed'] }), answer(200, ['x'], { headers: ['encoded'] }), { kind: 'failed', reason: 'reset' } as const]) {
    const { outcome, sends, received } = await outcomeOf(createFixture({ kind: UNSAFE, maximumTargets: 2, answers: [first, answer(200)] }))
    t.is(outcome.kind, 'unknown')
    t.is(sends, 1)
    t.is(received, '')
  }
})

test('an unsafe request that was provably not run is sent to another target', async (t) => {
  for (const first of [answer(503, [], { headers: ['not-executed'] }), { kind: 'not-sent', reason: 'refused' } as const]) {
    const { outcome, sends } = await outcomeOf(createFixture({ kind: UNSAFE, answers: [first, answer(200)] }))
    t.deepEqual(outcome, { kind: 'delivered', status: 200 })
    t.is(sends, 2)
  }
})

// A faulty target repeated the refusal of an earlier request, and the request that it was running was sent to another target.
test('a refusal of another request does not prove that an unsafe request was not run', async (t) => {
  for (const status of [503, 429, 421, 400]) {
    const { outcome, sends } = await outcomeOf(createFixture({ kind: UNSAFE, maximumTargets: 2, answers: [answer(status, [], { headers: ['not-executed', 'other'] }), answer(200)] }))
    t.deepEqual(outcome, { kind: 'unknown', status: 502, reason: 'answer-of-another-request' }, String(status))
    t.is(sends, 1)
  }
})

test('a safe request is sent again until the maximum number of targets of its route is reached', async (t) => {
  const failed = { kind: 'failed', reason: 'reset' } as const
  t.deepEqual((await outcomeOf(createFixture({ kind: SAFE, maximumTargets: 2, answers: [failed, answer(200)] }))).outcome, { kind: 'delivered', status: 200 })
  const entries = ['t1', 't2', 't3'].map((id) => entryOf(id, 'ledger'))
  const exhausted = await outcomeOf(createFixture({ kind: SAFE, maximumTargets: 2, entries, answers: [failed, failed, answer(200)] }))
  t.is(exhausted.sends, 2)
  t.is(exhausted.outcome.kind, 'unknown')
})

test('a server error of the target is relayed when the request must not be sent again', async (t) => {
  t.snapshot(await outcomeOf(createFixture({ kind: UNSAFE, answers: [answer(500, ['broken'])] })))
})

test('a request is not sent again when the retry budget is spent', async (t) => {
  const refused = answer(503, [], { headers: ['not-executed'] })
  t.snapshot(await outcomeOf(createFixture({ kind: UNSAFE, answers: [refused, answer(200)], retrySlack: 0 })))
})

test('a request that was sent has an unknown outcome when the timeout of its route passes', async (t) => {
  const fixture = createFixture({ kind: UNSAFE, answers: ['unresponsive'] })
  const running = fixture.run()
  await fixture.clock.advance(800)
  t.deepEqual(await running, { kind: 'unknown', status: 504, reason: 'aborted' })
  t.is(fixture.clock.now(), 800)
})

test('the target receives the remaining time of the request', async (t) => {
  const fixture = createFixture({ kind: UNSAFE, answers: [answer(200)] })
  await fixture.run()
  t.deepEqual(fixture.sent[0]?.rawHeaders, ['target', 't1', 'remaining', '800'])
})

test('a client that disconnects aborts the send', async (t) => {
  const fixture = createFixture({ kind: SAFE, maximumTargets: 2, answers: ['unresponsive', answer(200)] })
  const running = fixture.run()
  await fixture.clock.advance(100)
  fixture.disconnectClient()
  t.is((await running).kind, 'abandoned')
  t.true(fixture.sent[0]?.signal.aborted)
  t.is(fixture.sent.length, 1)
})

test('a stream that fails at the target breaks the connection to the client', async (t) => {
  t.snapshot(await outcomeOf(createFixture({ kind: STREAM, answers: [answer(200, EVENTS.slice(0, 2), { isReset: true }), answer(200, EVENTS)] })))
})

test('a resumable stream continues at another target after the last complete event', async (t) => {
  const entries = [entryOf('t1', 'ledger'), entryOf('t2', 'ledger')]
  const fixture = createFixture({ kind: RESUMABLE, maximumTargets: 2, entries, answers: [answer(200, [EVENTS[0] ?? '', 'id: 2\nda'], { isReset: true }), answer(200, EVENTS.slice(1))] })
  t.snapshot(await outcomeOf(fixture))
  t.true(fixture.sent[1]?.rawHeaders.includes('last-event-id'))
})

test('a resumable stream does not go on at a target of another software version', async (t) => {
  const entries = ['t1', 't2'].map((id, index) => ({ ...entryOf(id, 'ledger'), softwareVersion: `v${index}` }))
  const fixture = createFixture({ kind: RESUMABLE, maximumTargets: 3, entries, answers: [answer(200, EVENTS.slice(0, 2), { isReset: true }), answer(200, EVENTS.slice(2))] })
  t.like(await fixture.run(), { kind: 'broken' })
  t.is(fixture.sent.length, 1)
})

// The response of the second target was relayed into the stream of the first.
test('a stream that broke off goes on at no target that answers with another status, and does not end as if it were complete', async (t) => {
  const entries = ['t1', 't2', 't3'].map((id) => entryOf(id, 'ledger'))
  const broken = (): TargetAnswer => answer(200, EVENTS.slice(0, 2), { isReset: true })
  for (const status of [301, 400, 404, 429, 500, 503]) {
    for (const holdsResponses of [true, false]) {
      const ended = createFixture({ kind: RESUMABLE, maximumTargets: 2, entries, holdsResponses, answers: [broken(), answer(status, ['error text'])] })
      const { outcome, received } = await outcomeOf(ended)
      t.like(outcome, { kind: 'broken' }, `${status}`)
      t.is(received, `200 ${EVENTS.slice(0, 2).join('')} destroyed`, `${status}`)
      const continued = createFixture({ kind: RESUMABLE, maximumTargets: 3, entries, holdsResponses, answers: [broken(), answer(status, ['error text']), answer(200, EVENTS.slice(2))] })
      t.is((await outcomeOf(continued)).received, `200 ${EVENTS.join('')} end`, `${status}`)
    }
  }
})

test('events that a resumed stream repeats are not relayed again', async (t) => {
  const fixture = createFixture({ kind: RESUMABLE, maximumTargets: 2, answers: [answer(200, EVENTS.slice(0, 2), { isReset: true }), answer(200, EVENTS)] })
  t.is((await outcomeOf(fixture)).received, `200 ${EVENTS.join('')} end`)
})

test('a request for a model that no target has loaded is refused immediately with the retry time of the placement', async (t) => {
  t.snapshot(await outcomeOf(createFixture({ kind: STREAM, entries: [entryOf('e1', 'drafter')], answers: [] }), '/model/x'))
})

test('a placement request states the time until the client gives up on the stream', async (t) => {
  const fixture = createFixture({ kind: STREAM, entries: [entryOf('e1', 'drafter')], answers: [] })
  await fixture.run('/model/x')
  t.is(fixture.requestedPlacements[0]?.remainingMilliseconds, 4_000)
})

test('a request is sent to the target that the placement returned', async (t) => {
  const fixture = createFixture({ kind: STREAM, entries: [entryOf('e1', 'drafter')], answers: [answer(200, EVENTS)], placement: { kind: 'ready', target: 'e1@0' } })
  t.is((await outcomeOf(fixture, '/model/x')).outcome.kind, 'delivered')
})

test('a response without a length is relayed without one, because its end cannot be distinguished from a crash of the target', async (t) => {
  t.snapshot(await outcomeOf(createFixture({ kind: UNSAFE, answers: [answer(200, ['part'], { headers: ['unframed'] })] })))
})

// The system closes the connections of a daemon that is killed in order, so a part of a response looked whole.
test('a response without a length that leaves the daemon in several parts does not end with the connection of the client', async (t) => {
  for (const headers of [['unframed', ''], ['X-Own', '1', 'Content-Length', '45']]) {
    const stream = createFixture({ kind: STREAM, answers: [answer(200, EVENTS, { headers })] })
    t.snapshot(await outcomeOf(stream))
    t.deepEqual(stream.begunHeaders, [headers.slice(0, 2)])
  }
  const large = createFixture({ kind: UNSAFE, answers: [answer(200, ['x'.repeat(16_000), 'y'.repeat(1_000)], { headers: ['unframed', ''] })] })
  t.deepEqual(await large.run(), { kind: 'delivered', status: 200 })
  t.deepEqual(large.begunHeaders, [['unframed', '', 'Content-Length', '17000']])
  const unheld = createFixture({ kind: UNSAFE, holdsResponses: false, answers: [answer(200, ['a', 'b'], { headers: ['unframed', ''] })] })
  await unheld.run()
  t.is(unheld.received(), '200 ab end')
})

test('a response without a body keeps the length that its target states', async (t) => {
  for (const kind of [UNSAFE, STREAM]) {
    const fixture = createFixture({ kind, answers: [answer(204, [], { headers: ['unframed', '', 'Content-Length', '7'] })] })
    t.deepEqual(await fixture.run(), { kind: 'delivered', status: 204 })
    t.deepEqual(fixture.begunHeaders, [['unframed', '', 'Content-Length', '7']])
  }
})

// The system closes the connections of a process that has crashed in order, so a part of a response looked whole.
test('a response that ends with its connection is incomplete if its target does not run any more', async (t) => {
  const ended = (): TargetAnswer => answer(200, EVENTS.slice(0, 2), { headers: ['unframed', ''], hasEnded: true })
  for (const kind of [UNSAFE, STREAM]) t.snapshot(await outcomeOf(createFixture({ kind, isAccepting: false, answers: [ended()] })))
  const resumed = createFixture({ kind: RESUMABLE, maximumTargets: 2, isAccepting: false, answers: [ended(), answer(200, EVENTS.slice(2))] })
  t.snapshot(await outcomeOf(resumed))
})

// Its own connections fail while those to the targets that are open go on.
test('a response that ends with its connection is complete for a daemon that is cut off from all targets', async (t) => {
  const { outcome } = await outcomeOf(createFixture({ kind: UNSAFE, isReachingTargets: false, entries: ['t1', 't2', 't3', 't4', 't5'].map((id) => entryOf(id, 'ledger')), answers: [answer(200, ['whole'], { headers: ['unframed', ''] })] }))
  t.deepEqual(outcome, { kind: 'delivered', status: 200 })
})

test('a stream without a length that ends inside an event is broken off', async (t) => {
  const cut = (): TargetAnswer => answer(200, [EVENTS[0] ?? '', 'id: 2\nda'], { headers: ['unframed'] })
  t.snapshot(await outcomeOf(createFixture({ kind: STREAM, answers: [cut()] })))
  const resumed = createFixture({ kind: RESUMABLE, maximumTargets: 2, answers: [cut(), answer(200, EVENTS.slice(1), { headers: ['unframed'] })] })
  t.snapshot(await outcomeOf(resumed))
  t.true(resumed.sent[1]?.rawHeaders.includes('last-event-id'))
})

test('a stream without a length that ends before its first event is no response', async (t) => {
  const { outcome, received } = await outcomeOf(createFixture({ kind: STREAM, answers: [answer(200, [], { headers: ['unframed'] })] }))
  t.like(outcome, { kind: 'unknown', status: 502 })
  t.is(received, '')
})

test('the record of a send contains the age of the load report at the time of the choice', async (t) => {
  const fixture = createFixture({ kind: UNSAFE, entries: [entryOf('t1', 'ledger')], answers: ['unresponsive'] })
  fixture.report('t1')
  await fixture.clock.advance(300)
  const running = fixture.run()
  await fixture.clock.advance(800)
  await running
  t.is(fixture.finished[0]?.sends[0]?.loadAge, 300)
})

test('the log line of a request whose response was lost lists the prompt parts that other requests may share', async (t) => {
  const parts = [{ id: 'p1', tokens: 50 }, { id: 'p2', tokens: 40 }, { id: 'own', tokens: 10 }]
  const linesFor = async (first: TargetAnswer): Promise<readonly string[]> => {
    const fixture = createFixture({ kind: STREAM, entries: [entryOf('e1', 'drafter', ['m1'])], answers: [first], promptParts: parts })
    await fixture.run('/model/x')
    return fixture.lines.filter((line) => line.includes('"parts":["p1","p2"]'))
  }
  t.is((await linesFor(answer(200, [], { isReset: true }))).length, 1)
  t.is((await linesFor(answer(200, EVENTS))).length, 0)
})

test('the log lines of a request that comes again and whose response is lost each time have the same fingerprint', async (t) => {
  const fixture = createFixture({ kind: UNSAFE, answers: [{ kind: 'failed', reason: 'closed' }, { kind: 'failed', reason: 'closed' }, { kind: 'failed', reason: 'closed' }, answer(200)] })
  for (const body of ['same', 'same', 'other', 'served']) await fixture.run('/plain/x', body)
  const fingerprints = fixture.lines.map((line) => (JSON.parse(line) as { fingerprint?: string }).fingerprint).filter((fingerprint) => fingerprint !== undefined)
  t.is(fingerprints.length, 3)
  t.is(fingerprints[0], fingerprints[1])
  t.not(fingerprints[0], fingerprints[2])
})

test('a request for an unknown route is rejected', async (t) => {
  t.deepEqual(await createFixture({ kind: SAFE, answers: [] }).run('/none/'), { kind: 'rejected', status: 404, reason: 'route-unknown' })
})

// The route may be in a newer version that this daemon has not received.
test('while a newer configuration may exist, a request for an unknown route is refused for a while, and known routes are served', async (t) => {
  const isConfigurationConfirmed = (): boolean => false
  const unconfirmed = { kind: 'refused', reason: 'configuration-unconfirmed', retryAfterMilliseconds: 500 }
  t.deepEqual(await createFixture({ kind: SAFE, answers: [], isConfigurationConfirmed }).run('/none/'), unconfirmed)
  const withoutServices = (configuration: ServingConfiguration): ServingConfiguration => ({ ...configuration, services: new Map() })
  t.deepEqual(await createFixture({ kind: SAFE, answers: [], isConfigurationConfirmed, configure: withoutServices }).run(), unconfirmed)
  t.like(await createFixture({ kind: SAFE, answers: [answer(200)], isConfigurationConfirmed }).run(), { kind: 'delivered' })
})

test('requests for a model whose only engine limits them wait for their turn, or for a placement elsewhere', async (t) => {
  const limited = answer(200, ['ok'], { headers: ['per-second=0.5'] })
  const fixture = createFixture({ kind: UNSAFE, entries: [entryOf('e1', 'drafter', ['m1'])], answers: [limited, limited, limited] })
  const kinds: string[] = []
  for (let request = 0; request < 4; request++) {
    const outcome = await fixture.run('/model/x')
    kinds.push(outcome.kind === 'refused' ? `${outcome.reason} ${outcome.retryAfterMilliseconds}` : outcome.kind)
  }
  // The first states the limit, one more may follow at once, and the turns of the others come after their objective of 1 s.
  t.deepEqual(kinds, ['delivered', 'delivered', 'target-limit-reached 2000', 'target-limit-reached 2000'])
  t.deepEqual(fixture.requestedPlacements.map(({ avoid }) => avoid), [['e1@0'], ['e1@0']])
  t.is(fixture.sent.length, 2)
  const permits = fixture.lines.map((line) => (JSON.parse(line) as { readonly event?: string, readonly permits?: readonly string[] })).filter(({ event }) => event === 'request-finished').map((line) => line.permits ?? [])
  t.deepEqual(permits, [[], ['e1@0 granted wait=0 at=0'], ['e1@0 denied retryAfter=2000 at=0'], ['e1@0 denied retryAfter=2000 at=0']])
})

test('a request goes to another target when the limit of the first one leaves no room', async (t) => {
  const limited = answer(200, ['ok'], { headers: ['per-second=0.2'] })
  const fixture = createFixture({ kind: SAFE, answers: Array.from({ length: 8 }, () => limited).map((one, index) => index === 0 ? one : answer(200)) })
  for (let request = 0; request < 6; request++) t.is((await fixture.run()).kind, 'delivered')
  const targets = fixture.sent.map(({ address }) => address)
  t.deepEqual(targets, [targets[0], ...Array.from({ length: 5 }, () => targets[0] === 't1:1' ? 't2:1' : 't1:1')])
})
