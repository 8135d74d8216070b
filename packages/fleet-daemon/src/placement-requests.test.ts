import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import { createError } from '@fuchsiastage/errors'
import type { FleetPeerClient } from '@fuchsiastage/fleet-peer'
import type { PlacementAnswer, RequestedPlacement } from '@fuchsiastage/forwarding'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test from 'ava'
import { err, ok } from 'true-myth/result'
import { createPlacementRequests } from './placement-requests.js'

const REQUESTED: RequestedPlacement = { service: 'drafter', model: 'letters', adapter: undefined, request: 'r1', priority: 0, remainingMilliseconds: 4_000, avoid: [] }

interface Scenario {
  /** Response of the peer that holds the lease; undefined if no holder is known. */
  readonly holder?: PlacementAnswer
  /** Milliseconds since the last contact with a holder at the start of the request. */
  readonly sinceContact?: number
  /** Milliseconds until a daemon may send orders. */
  readonly expectedIn?: number
}

async function simulateRequest ({ holder, sinceContact = 0, expectedIn }: Scenario): Promise<{ readonly answer: PlacementAnswer, readonly after: number }> {
  const clock: ManualClock = createManualClock()
  const peers: Pick<FleetPeerClient, 'place'> = {
    place: async () => holder === undefined ? err(createError({ code: 'peer-failed', message: 'no holder', step: 'place' })) : ok(holder)
  }
  const requestPlacement = createPlacementRequests({
    clock,
    logger: createMemoryLogger(clock).logger,
    peers,
    ownPlacement: () => undefined,
    holderAddress: () => holder === undefined ? undefined : '10.0.0.1:1',
    sinceHolderContact: () => sinceContact + clock.now(),
    ordersExpectedIn: () => expectedIn === undefined ? undefined : expectedIn - clock.now()
  })
  const startedAt = clock.now()
  const pending = requestPlacement(REQUESTED, new AbortController().signal).then((answer) => ({ answer, after: clock.now() - startedAt }))
  await clock.advance(10_000)
  return await pending
}

test('a request is refused immediately, with the time to retry, when no daemon can send orders before its deadline', async (t) => {
  t.deepEqual(await simulateRequest({ sinceContact: 5_000, expectedIn: 8_000 }), { answer: { kind: 'refused', reason: 'no-order-lease', retryAfterMilliseconds: 8_000 }, after: 0 })
  const holder: PlacementAnswer = { kind: 'refused', reason: 'no-order-lease', retryAfterMilliseconds: 3_600 }
  t.deepEqual(await simulateRequest({ holder }), { answer: holder, after: 0 })
})

test('a request waits while a lease holder may appear before its deadline', async (t) => {
  const restarts = await simulateRequest({ sinceContact: 500, expectedIn: 12_000 })
  t.true(restarts.answer.kind === 'refused' && restarts.after >= 2_400 && restarts.after < 3_000)
  const unknown = await simulateRequest({ sinceContact: 5_000 })
  t.true(unknown.after >= 3_000)
  const soon = await simulateRequest({ holder: { kind: 'refused', reason: 'no-order-lease', retryAfterMilliseconds: 1_000 } })
  t.true(soon.after >= 2_300)
})

test('the decision of the lease holder is returned', async (t) => {
  const ready: PlacementAnswer = { kind: 'ready', target: 'e0@0' }
  t.deepEqual(await simulateRequest({ holder: ready }), { answer: ready, after: 0 })
})

test('a call to a lease holder that stops responding is aborted before the deadline of the request', async (t) => {
  const clock = createManualClock()
  let isAborted = false
  const requestPlacement = createPlacementRequests({
    clock,
    logger: createMemoryLogger(clock).logger,
    peers: {
      place: async (_address, _message, _timeout, signal) => await new Promise((resolve) => {
        signal.addEventListener('abort', () => {
          isAborted = true
          resolve(err(createError({ code: 'peer-failed', message: 'aborted', step: 'place' })))
        })
      })
    },
    ownPlacement: () => undefined,
    holderAddress: () => clock.now() < 1_000 ? '10.0.0.1:1' : undefined,
    sinceHolderContact: () => clock.now(),
    ordersExpectedIn: () => 12_000
  })
  const pending = requestPlacement({ ...REQUESTED, remainingMilliseconds: 8_000 }, new AbortController().signal).then((answer) => ({ answer, at: clock.now() }))
  await clock.advance(8_000)
  const { answer, at } = await pending
  t.true(isAborted)
  t.true(answer.kind === 'refused' && answer.retryAfterMilliseconds === 12_000)
  t.true(at < 3_500)
})

test('a refusal without a lease holder states a retry delay of at least one second', async (t) => {
  const { answer } = await simulateRequest({ sinceContact: 0, expectedIn: 0 })
  t.true(answer.kind === 'refused' && answer.retryAfterMilliseconds >= 1_000)
})

test('a request whose client leaves is not logged as one for which no lease holder could be reached', async (t) => {
  const clock = createManualClock()
  const client = new AbortController()
  const { logger, lines } = createMemoryLogger(clock)
  const requestPlacement = createPlacementRequests({
    clock,
    logger,
    peers: {
      place: async (_address, _message, timeoutMilliseconds, signal) => {
        await clock.sleep(timeoutMilliseconds, signal)
        return err(createError({ code: 'peer-failed', message: 'aborted', step: 'place' }))
      }
    },
    ownPlacement: () => undefined,
    holderAddress: () => '10.0.0.1:1',
    sinceHolderContact: () => 0,
    ordersExpectedIn: () => undefined
  })
  const pending = requestPlacement(REQUESTED, client.signal)
  await clock.advance(500)
  client.abort()
  await clock.advance(500)
  t.like(await pending, { kind: 'refused', reason: 'request-ended' })
  t.deepEqual(lines, [])
})
