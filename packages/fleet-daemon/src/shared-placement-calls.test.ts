import { createManualClock } from '@fuchsiastage/clock'
import { createError } from '@fuchsiastage/errors'
import type { PlaceMessage } from '@fuchsiastage/fleet-peer'
import type { PlacementAnswer } from '@fuchsiastage/forwarding'
import test from 'ava'
import { err, ok } from 'true-myth/result'
import { createSharedPlacementCalls } from './shared-placement-calls.js'

const HOLDER = '10.0.0.1:1'
const READY: PlacementAnswer = { kind: 'ready', target: 'e1@0' }
const REFUSED: PlacementAnswer = { kind: 'refused', reason: 'cold-start-too-long', retryAfterMilliseconds: 6_000 }

function messageOf (remainingMilliseconds: number, model = 'letters'): PlaceMessage {
  return { service: 'drafter', model, adapter: undefined, request: 'r', remainingMilliseconds, avoid: [] }
}

/** Calls to a holder that answers each of them after a time, with what it decides then. */
function createCalls (answerAfter: number, answer: PlacementAnswer) {
  const clock = createManualClock()
  const made: AbortSignal[] = []
  const calls = createSharedPlacementCalls({
    clock,
    peers: {
      place: async (_address, _message, _timeout, signal) => {
        made.push(signal)
        await clock.sleep(answerAfter, signal)
        return signal.aborted ? err(createError({ code: 'peer-call-failed', message: 'aborted', step: 'place' })) : ok(answer)
      }
    }
  })
  return { clock, calls, made }
}

const stays = (): AbortSignal => new AbortController().signal

test('requests of a daemon that wait for the same placement occupy one connection to the lease holder', async (t) => {
  const { clock, calls, made } = createCalls(3_000, READY)
  const answers = Array.from({ length: 50 }, async () => await calls.place(HOLDER, messageOf(8_000), stays()))
  await clock.advance(500)
  const later = calls.place(HOLDER, messageOf(8_000), stays())
  const other = calls.place(HOLDER, messageOf(8_000, 'reviews'), stays())
  await clock.advance(3_000)
  t.is(made.length, 2)
  for (const { outcome } of await Promise.all([...answers, later])) t.deepEqual(outcome, ok(READY))
  t.like(await other, { outcome: ok(READY) })
})

test('a request with an earlier deadline does not wait for a load that ends too late for it', async (t) => {
  const { clock, calls, made } = createCalls(3_000, READY)
  void calls.place(HOLDER, messageOf(8_000), stays())
  await clock.advance(100)
  void calls.place(HOLDER, messageOf(2_000), stays())
  await clock.settle()
  t.is(made.length, 2)
})

test('a request whose client leaves does not end the call of the others, and the last one does', async (t) => {
  const { clock, calls, made } = createCalls(3_000, READY)
  const clients = [new AbortController(), new AbortController()]
  const ends = clients.map(async ({ signal }) => await calls.place(HOLDER, messageOf(8_000), signal).then(() => clock.now()))
  await clock.advance(500)
  clients[0]?.abort()
  await clock.advance(500)
  t.deepEqual(made.map(({ aborted }) => aborted), [false])
  clients[1]?.abort()
  await clock.advance(500)
  t.deepEqual(made.map(({ aborted }) => aborted), [true])
  t.deepEqual(await Promise.all(ends), [500, 1_000])
  void calls.place(HOLDER, messageOf(8_000), stays())
  t.is(made.length, 2)
})

test('a refusal for an earlier deadline tells a request with a later one that it may ask again', async (t) => {
  const { clock, calls } = createCalls(1_000, REFUSED)
  const first = calls.place(HOLDER, messageOf(2_000), stays())
  await clock.advance(500)
  const later = calls.place(HOLDER, messageOf(8_000), stays())
  await clock.advance(1_000)
  t.like(await first, { outcome: ok(REFUSED), wasForEarlierDeadline: false })
  t.like(await later, { outcome: ok(REFUSED), wasForEarlierDeadline: true })
})

test('a request ends at its deadline when the lease holder does not answer', async (t) => {
  const { clock, calls } = createCalls(60_000, READY)
  const end = calls.place(HOLDER, messageOf(2_000), stays()).then(({ outcome }) => ({ outcome, at: clock.now() }))
  await clock.advance(3_000)
  t.like(await end, { outcome: { isErr: true }, at: 2_000 })
})
