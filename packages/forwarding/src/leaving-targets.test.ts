import test from 'ava'
import { answer, createFixture, entryOf, EVENTS, RESUMABLE, SAFE, STREAM } from './forwarder-fixture.test-helper.js'

const LEAVING = { headers: ['leaving'] }

test('a target that states in a response that it leaves gets no further request', async (t) => {
  const fixture = createFixture({ kind: SAFE, answers: [answer(200, ['ok'], LEAVING), answer(200), answer(200)] })
  for (let run = 0; run < 3; run++) {
    t.deepEqual(await fixture.run(), { kind: 'delivered', status: 200 })
    fixture.report('t2', 96)
  }
  t.deepEqual(fixture.sent.map(({ address }) => address), ['t1:1', 't2:1', 't2:1'])
  t.true(fixture.lines.some((line) => line.includes('"event":"target-leaving"') && line.includes('"request":"r1"')))
})

test('a request that a leaving target turns away goes elsewhere, and a further one is refused when no target is left', async (t) => {
  const turnedAway = answer(503, [], { headers: ['not-executed', 'leaving'] })
  const fixture = createFixture({ kind: SAFE, answers: [turnedAway, answer(200, ['ok'], LEAVING)] })
  t.deepEqual(await fixture.run(), { kind: 'delivered', status: 200 })
  t.like(await fixture.run(), { kind: 'refused', reason: 'no-target' })
  t.is(fixture.sent.length, 2)
})

test('a request that waited for its turn at a target is not sent there when the target has stated meanwhile that it leaves', async (t) => {
  const limited = answer(200, ['ok'], { headers: ['per-second=20'] })
  const fixture = createFixture({ kind: SAFE, entries: [entryOf('t1', 'ledger')], answers: [limited, limited, answer(200, ['ok'], LEAVING), answer(200)] })
  await fixture.run()
  const first = [fixture.run(), fixture.run()]
  await fixture.clock.advance(49)
  t.is(fixture.sent.length, 2)
  await fixture.clock.advance(1)
  const waiting = fixture.run()
  await fixture.clock.advance(200)
  await Promise.all(first)
  t.like(await waiting, { kind: 'refused' })
  t.is(fixture.sent.length, 3)
})

test('a request for a model is not sent to the engine where it was placed when that one has stated that it leaves', async (t) => {
  const fixture = createFixture({
    kind: STREAM,
    entries: [entryOf('e1', 'drafter', ['m1'])],
    answers: [answer(200, EVENTS, LEAVING), answer(200, EVENTS)],
    placement: { kind: 'ready', target: 'e1@0' }
  })
  t.deepEqual(await fixture.run('/model/x'), { kind: 'delivered', status: 200 })
  t.like(await fixture.run('/model/x'), { kind: 'refused', reason: 'placed-target-unusable' })
  t.is(fixture.sent.length, 1)
})

test('a stream that breaks at a leaving engine goes on at another one', async (t) => {
  const broken = answer(200, EVENTS.slice(0, 1), { ...LEAVING, isReset: true })
  const fixture = createFixture({ kind: RESUMABLE, maximumTargets: 3, entries: ['e1', 'e2'].map((id) => entryOf(id, 'drafter', ['m1'])), answers: [broken, answer(200, EVENTS.slice(1))] })
  t.deepEqual(await fixture.run('/model/x'), { kind: 'delivered', status: 200 })
  t.deepEqual(fixture.sent.map(({ address }) => address), ['e1:1', 'e2:1'])
})

test('a statement in a response to another request is ignored', async (t) => {
  const fixture = createFixture({ kind: SAFE, entries: [entryOf('t1', 'ledger')], answers: [answer(200, ['ok'], { headers: ['leaving', 'other'] }), answer(200)] })
  await fixture.run()
  t.deepEqual(await fixture.run(), { kind: 'delivered', status: 200 })
})

test('a request whose placement is refused after a wait is not sent to an engine that has been drained meanwhile', async (t) => {
  let isDrained = false
  const fixture = createFixture({
    kind: STREAM,
    entries: [entryOf('e1', 'drafter', ['m1']), entryOf('t1', 'ledger')],
    answers: [{ kind: 'not-sent', reason: 'connection refused' }, answer(200, EVENTS)],
    onPlacement: () => { if (isDrained) fixture.drain('e1') }
  })
  t.like(await fixture.run('/model/x'), { kind: 'refused' })
  isDrained = true
  t.like(await fixture.run('/model/x'), { kind: 'refused', reason: 'cold-start-too-long' })
  t.is(fixture.sent.length, 1)
})
