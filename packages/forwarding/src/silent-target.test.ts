import test from 'ava'
import { answer, createFixture, entryOf, EVENTS, SAFE, STREAM } from './forwarder-fixture.test-helper.js'
import type { TargetAnswer } from './index.js'

const SILENCE_MILLISECONDS = 1_200

test('a target that falls silent for a second in the middle of a stream and goes on is not left', async (t) => {
  const fixture = createFixture({
    kind: STREAM,
    entries: [entryOf('e1', 'drafter', ['m1']), entryOf('e2', 'drafter', ['m1'])],
    answers: [{ ...answer(200), kind: 'answer', body: pausingBody(async () => await fixture.clock.sleep(SILENCE_MILLISECONDS)) } as TargetAnswer, answer(200, EVENTS)]
  })
  const outcome = fixture.run('/model/x')
  await fixture.clock.advance(SILENCE_MILLISECONDS)
  t.deepEqual(await outcome, { kind: 'delivered', status: 200 })
  t.is(fixture.received(), `200 ${EVENTS.join('')} end`)
  t.is(fixture.sent.length, 1)
})

test('a target whose silence outlasts the time of one request gets further ones', async (t) => {
  const fixture = createFixture({ kind: SAFE, entries: [entryOf('t1', 'ledger')], answers: ['unresponsive', answer(200), answer(200)] })
  const silent = fixture.run()
  await fixture.clock.advance(800)
  t.like(await silent, { kind: 'unknown', status: 504 })
  t.deepEqual(await fixture.run(), { kind: 'delivered', status: 200 })
})

async function * pausingBody (pause: () => Promise<unknown>): AsyncIterable<Buffer> {
  yield Buffer.from(EVENTS[0] ?? '')
  await pause()
  for (const event of EVENTS.slice(1)) yield Buffer.from(event)
}
