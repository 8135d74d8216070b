import test from 'ava'
import { createManualClock } from '@fuchsiastage/clock'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { err, ok, type Result } from 'true-myth/result'
import { createClaimClient, type ClaimAnswer, type ClaimMessage, type SettleAnswer, type SettleMessage } from './index.js'

const request = { caller: 'desk', key: '019b76da-a800-7000-8000-00000000000a', fingerprint: 'f'.repeat(16), waitMilliseconds: 10_000 }

interface PendingClaimRequest {
  readonly owner: string
  readonly message: ClaimMessage
  readonly respond: (result: Result<ClaimAnswer, FuchsiastageError>) => void
}

/** Creates a client whose claim requests are answered explicitly by the test. */
function createFixture (owners: readonly string[] = ['entry-2']) {
  const clock = createManualClock()
  const claimRequests: PendingClaimRequest[] = []
  const settlements: Array<{ readonly owner: string, readonly message: SettleMessage }> = []
  const settleResponses: Array<Result<SettleAnswer, FuchsiastageError>> = []
  const client = createClaimClient({
    daemon: 'entry-1',
    incarnation: 'run0',
    clock,
    logger: createMemoryLogger(clock).logger,
    partitions: 1,
    ownersOf: () => owners,
    transport: {
      claim: (owner, partition, message) => new Promise((resolve) => { claimRequests.push({ owner, message, respond: resolve }) }),
      settle: async (owner, partition, message) => {
        settlements.push({ owner, message })
        return settleResponses.shift() ?? ok({ kind: 'confirmed' })
      }
    },
    retryMilliseconds: 200,
    callMilliseconds: 2_000,
    ownerTimeoutMilliseconds: 5_000,
    claimRetentionMilliseconds: 60_000
  })
  return { clock, client, claimRequests, settlements, settleResponses }
}

const unreachable = err(createError({ code: 'peer-unreachable', message: 'the peer is unreachable', step: 'peer', outcome: 'unknown' }))

test('a grant and a state request at the same time: the claim is either used or reported as not-sent, never both', async (t) => {
  const seen = new Set<string>()
  // The state request arrives after every possible number of turns of the microtask queue.
  for (let turns = 0; turns < 15; turns++) {
    const { clock, client, claimRequests, settlements } = createFixture()
    const claiming = client.claim(request, new AbortController().signal)
    await clock.advance(1)
    claimRequests[0]?.respond(ok({ kind: 'granted', claimId: 'entry-1/run0/0' }))
    for (let turn = 0; turn < turns; turn++) await Promise.resolve()
    const state = client.claimState('entry-1/run0/0').kind
    await clock.advance(1_000)
    const result = (await claiming).kind
    t.is(result, state === 'not-sent' ? 'refused' : 'granted', `after ${turns} turns`)
    t.is(settlements.at(-1)?.message.outcome, state === 'not-sent' ? 'not-run' : undefined)
    seen.add(state)
    client.stop()
  }
  t.deepEqual([...seen].sort(), ['in-flight', 'not-sent'])
})

test('a grant for another claim id is not used', async (t) => {
  const { clock, client, claimRequests } = createFixture()
  const claiming = client.claim({ ...request, waitMilliseconds: 1_000 }, new AbortController().signal)
  await clock.advance(1)
  claimRequests[0]?.respond(ok({ kind: 'granted', claimId: 'entry-1/run0/77' }))
  await clock.advance(5_000)
  t.is((await claiming).kind, 'refused')
  client.stop()
})

test('after the caller has disconnected, the claim is settled as not run, and once more after a delayed grant', async (t) => {
  const { clock, client, claimRequests, settlements } = createFixture()
  const caller = new AbortController()
  const claiming = client.claim(request, caller.signal)
  await clock.advance(1)
  caller.abort()
  t.is((await claiming).kind, 'refused')
  await clock.advance(100)
  t.is(settlements.length, 1)
  claimRequests[0]?.respond(ok({ kind: 'granted', claimId: 'entry-1/run0/0' }))
  await clock.advance(100)
  t.deepEqual(settlements.map(({ message }) => message.outcome), ['not-run', 'not-run'])
  t.deepEqual(client.claimState('entry-1/run0/0'), { kind: 'not-sent' })
  client.stop()
})

test('a claim that was never in the stream is not settled', async (t) => {
  const { clock, client, claimRequests, settlements } = createFixture()
  const claiming = client.claim(request, new AbortController().signal)
  await clock.advance(1)
  claimRequests[0]?.respond(ok({ kind: 'already-done' }))
  await clock.advance(1_000)
  t.is((await claiming).kind, 'already-done')
  t.is(settlements.length, 0)
  client.stop()
})

test('candidate owners are tried in order, and a lease holder that one of them names is tried next', async (t) => {
  const { clock, client, claimRequests } = createFixture(['entry-2', 'entry-3'])
  const claiming = client.claim(request, new AbortController().signal)
  await clock.advance(1)
  claimRequests[0]?.respond(ok({ kind: 'not-owner', holder: 'entry-9' }))
  await clock.advance(1)
  claimRequests[1]?.respond(unreachable)
  await clock.advance(1)
  claimRequests[2]?.respond(ok({ kind: 'granted', claimId: 'entry-1/run0/0' }))
  await clock.advance(1)
  t.is((await claiming).kind, 'granted')
  t.deepEqual(claimRequests.map(({ owner }) => owner), ['entry-2', 'entry-9', 'entry-3'])
  t.is(new Set(claimRequests.map(({ message }) => message.claimId)).size, 1)
  client.stop()
})

test('a settlement is repeated until an owner confirms it, and the state of the claim is stored until then', async (t) => {
  const { clock, client, claimRequests, settlements, settleResponses } = createFixture()
  const claiming = client.claim(request, new AbortController().signal)
  await clock.advance(1)
  claimRequests[0]?.respond(ok({ kind: 'granted', claimId: 'entry-1/run0/0' }))
  await clock.advance(1)
  t.is((await claiming).kind, 'granted')
  t.deepEqual(client.claimState('entry-1/run0/0'), { kind: 'in-flight' })
  settleResponses.push(unreachable, ok({ kind: 'not-owner' }), ok({ kind: 'undecided' }))
  const answer = { status: 200, headers: {}, body: 'ok' }
  void client.settle('entry-1/run0/0', 'done', answer)
  t.deepEqual(client.claimState('entry-1/run0/0'), { kind: 'settled', outcome: 'done', answer })
  await clock.advance(300)
  t.is(client.unsettledCount(), 1)
  await clock.advance(10_000)
  t.is(settlements.length, 4)
  t.is(client.unsettledCount(), 0)
  client.stop()
})

test('a claim that no owner answers within the owner timeout is refused as not run before its deadline', async (t) => {
  const { clock, client, claimRequests } = createFixture()
  const claiming = client.claim({ ...request, waitMilliseconds: 60_000 }, new AbortController().signal)
  for (let step = 0; step < 100; step++) {
    for (const pending of claimRequests) pending.respond(unreachable)
    await clock.advance(100)
  }
  const result = await claiming
  t.is(result.kind, 'refused')
  if (result.kind === 'refused') t.like(result.error, { outcome: 'not-run', status: 503, retryAfterMilliseconds: 10_000 })
  client.stop()
})

test('finished claims are deleted after the retention time; their state is then unknown, never not-sent', async (t) => {
  const { clock, client, claimRequests } = createFixture()
  const first = client.claim(request, new AbortController().signal)
  await clock.advance(1)
  claimRequests[0]?.respond(ok({ kind: 'granted', claimId: 'entry-1/run0/0' }))
  await clock.advance(1)
  await first
  void client.settle('entry-1/run0/0', 'done')
  await clock.advance(60_001)
  void client.claim(request, new AbortController().signal)
  t.deepEqual(client.claimState('entry-1/run0/0'), { kind: 'unknown' })
  client.stop()
})

test('settlements of given-up claims are retried at increasing intervals, so that an outage does not cause a retry storm', async (t) => {
  const { clock, client, claimRequests, settlements, settleResponses } = createFixture()
  const caller = new AbortController()
  for (let index = 0; index < 200; index++) settleResponses.push(unreachable)
  const claiming = client.claim(request, caller.signal)
  await clock.advance(1)
  t.is(claimRequests.length, 1)
  caller.abort()
  await claiming
  await clock.advance(600_000)
  t.true(settlements.length >= 10 && settlements.length <= 20, `${settlements.length} settlements in 10 min`)
  client.stop()
})
