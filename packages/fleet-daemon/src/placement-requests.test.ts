import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import { createError } from '@fuchsiastage/errors'
import type { FleetPeerClient } from '@fuchsiastage/fleet-peer'
import type { PlacementAnswer, RequestedPlacement } from '@fuchsiastage/forwarding'
import test from 'ava'
import { err, ok } from 'true-myth/result'
import { createPlacementRequests } from './placement-requests.js'

const WANTED: RequestedPlacement = { service: 'drafter', model: 'letters', adapter: undefined, request: 'r1', priority: 0, remainingMilliseconds: 4_000, avoid: [] }

interface Situation {
  /** What the peer that holds the lease answers; none is heard when undefined. */
  readonly holder?: PlacementAnswer
  readonly silentFor?: number
  readonly expectedIn?: number
}

async function ask ({ holder, silentFor = 0, expectedIn }: Situation): Promise<{ readonly answer: PlacementAnswer, readonly after: number }> {
  const clock: ManualClock = createManualClock()
  const peers: FleetPeerClient = {
    sync: async () => err(createError({ code: 'peer-failed', message: 'not used', step: 'sync' })),
    place: async () => holder === undefined ? err(createError({ code: 'peer-failed', message: 'no holder', step: 'place' })) : ok(holder),
    close: async () => undefined
  }
  const requestPlacement = createPlacementRequests({
    clock,
    peers,
    ownPlacement: () => undefined,
    holderAddress: () => holder === undefined ? undefined : '10.0.0.1:1',
    holderSilentFor: () => silentFor + clock.now(),
    ordersExpectedIn: () => expectedIn === undefined ? undefined : expectedIn - clock.now()
  })
  const startedAt = clock.now()
  const asked = requestPlacement(WANTED, new AbortController().signal).then((answer) => ({ answer, after: clock.now() - startedAt }))
  await clock.advance(10_000)
  return await asked
}

test('a request is refused at once, with the time, when no daemon can give orders before its deadline', async (t) => {
  t.deepEqual(await ask({ silentFor: 5_000, expectedIn: 8_000 }), { answer: { kind: 'refused', reason: 'no-order-lease', retryAfterMilliseconds: 8_000 }, after: 0 })
  const holder: PlacementAnswer = { kind: 'refused', reason: 'no-order-lease', retryAfterMilliseconds: 3_600 }
  t.deepEqual(await ask({ holder }), { answer: holder, after: 0 })
})

test('a request waits for a holder that may be there in time', async (t) => {
  const restarts = await ask({ silentFor: 500, expectedIn: 12_000 })
  t.true(restarts.answer.kind === 'refused' && restarts.after >= 2_400 && restarts.after < 3_000)
  const unknown = await ask({ silentFor: 5_000 })
  t.true(unknown.after >= 3_000)
  const soon = await ask({ holder: { kind: 'refused', reason: 'no-order-lease', retryAfterMilliseconds: 1_000 } })
  t.true(soon.after >= 2_300)
})

test('what the holder decides is passed on', async (t) => {
  const ready: PlacementAnswer = { kind: 'ready', target: 'e0@0' }
  t.deepEqual(await ask({ holder: ready }), { answer: ready, after: 0 })
})

test('a holder that falls silent does not keep a request to its end', async (t) => {
  const clock = createManualClock()
  let isAborted = false
  const requestPlacement = createPlacementRequests({
    clock,
    peers: {
      sync: async () => err(createError({ code: 'peer-failed', message: 'not used', step: 'sync' })),
      place: async (_address, _message, _timeout, signal) => await new Promise((resolve) => {
        signal.addEventListener('abort', () => {
          isAborted = true
          resolve(err(createError({ code: 'peer-failed', message: 'aborted', step: 'place' })))
        })
      }),
      close: async () => undefined
    },
    ownPlacement: () => undefined,
    holderAddress: () => clock.now() < 1_000 ? '10.0.0.1:1' : undefined,
    holderSilentFor: () => clock.now(),
    ordersExpectedIn: () => 12_000
  })
  const asked = requestPlacement({ ...WANTED, remainingMilliseconds: 8_000 }, new AbortController().signal).then((answer) => ({ answer, at: clock.now() }))
  await clock.advance(8_000)
  const { answer, at } = await asked
  t.true(isAborted)
  t.true(answer.kind === 'refused' && answer.retryAfterMilliseconds === 12_000)
  t.true(at < 3_500)
})

test('a client is never told to come back at once', async (t) => {
  const { answer } = await ask({ silentFor: 0, expectedIn: 0 })
  t.true(answer.kind === 'refused' && answer.retryAfterMilliseconds >= 1_000)
})
