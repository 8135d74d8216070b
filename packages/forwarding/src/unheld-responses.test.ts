import test from 'ava'
import { answer, createFixture, outcomeOf, SAFE, UNSAFE } from './forwarder-fixture.test-helper.js'

test('a response for which there is no memory is relayed as it arrives', async (t) => {
  for (const kind of [SAFE, UNSAFE]) {
    t.deepEqual(await outcomeOf(createFixture({ kind, holdsResponses: false, answers: [answer(200, ['a', 'b', 'c'])] })), { outcome: { kind: 'delivered', status: 200 }, received: '200 abc end', sends: 1 })
  }
})

// The response of a second target would follow the part that the client has.
test('a request of whose response the client has a part is not sent again', async (t) => {
  for (const kind of [SAFE, UNSAFE]) {
    const { outcome, received, sends } = await outcomeOf(createFixture({ kind, maximumTargets: 2, holdsResponses: false, answers: [answer(200, ['part'], { isReset: true }), answer(200, ['other'])] }))
    t.is(outcome.kind, 'broken')
    t.is(received, '200 part destroyed')
    t.is(sends, 1)
  }
})
