import test from 'ava'
import { answer, createFixture, entryOf, SAFE } from './forwarder-fixture.test-helper.js'

// 2026-01-01T00:00:00Z, at which the clock of the fixture begins.
const NOW = 1_767_225_600_000
const startedNow = (id: string) => ({ ...entryOf(id, 'ledger'), startedAt: NOW, slots: 1 })

test('a request is sent to another target while the pace of a new one leaves no room, and never rejected for it', async (t) => {
  const elsewhere = createFixture({ kind: SAFE, entries: [startedNow('new'), entryOf('old', 'ledger')], answers: ['unresponsive', answer(200)] })
  void elsewhere.run()
  await elsewhere.clock.settle()
  t.is((await elsewhere.run()).kind, 'delivered')
  t.is(new Set(elsewhere.sent.map(({ address }) => address)).size, 2)
  const alone = createFixture({ kind: SAFE, entries: [startedNow('new')], answers: ['unresponsive', answer(200)] })
  void alone.run()
  await alone.clock.settle()
  t.is((await alone.run()).kind, 'delivered')
  t.is(alone.sent.length, 2)
})

test('a target that was unreachable gets its pace when it is used again', async (t) => {
  const fixture = createFixture({ kind: SAFE, answers: [{ kind: 'not-sent', reason: 'ECONNREFUSED' }, answer(200), answer(200)] })
  await fixture.run()
  await fixture.clock.advance(2_000)
  await fixture.run()
  const paced = fixture.lines.map((line) => JSON.parse(line) as { readonly event: string, readonly reason?: string }).filter(({ event }) => event === 'target-paced')
  t.deepEqual(paced.map(({ reason }) => reason), ['reachable'])
})
