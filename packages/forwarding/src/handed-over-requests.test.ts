import test from 'ava'
import { answer, createFixture, entryOf, EVENTS, RESUMABLE, SAFE, STREAM, UNSAFE, type Fixture, type FixtureOptions } from './forwarder-fixture.test-helper.js'
import type { HandoverAnswer, HandoverRequest, TargetAnswer } from './index.js'

const NO_CONNECTION: TargetAnswer = { kind: 'not-sent', reason: 'no connection' }
const TARGETS = ['t1', 't2', 't3'].map((id) => entryOf(id, 'ledger'))

interface Handovers {
  readonly fixture: Fixture
  readonly handovers: HandoverRequest[]
}

/** A daemon that reaches no target, in front of a peer that gives one answer after the other. */
function createCutOffFixture (peerAnswers: readonly HandoverAnswer[], options: Partial<FixtureOptions> = {}): Handovers {
  const handovers: HandoverRequest[] = []
  const fixture = createFixture({
    kind: SAFE,
    entries: TARGETS,
    answers: [NO_CONNECTION, NO_CONNECTION, NO_CONNECTION, NO_CONNECTION],
    isReachingTargets: false,
    handOver: async (handover) => {
      // Its progress changes later.
      handovers.push({ ...handover, progress: { ...handover.progress, excluded: new Set(handover.progress.excluded), mayHaveRun: new Set(handover.progress.mayHaveRun) } })
      return peerAnswers[handovers.length - 1] ?? { kind: 'declined', reason: 'no-peer' }
    },
    ...options
  })
  return { fixture, handovers }
}

function peerAnswer (given: TargetAnswer, mayHaveRun?: readonly string[]): HandoverAnswer {
  if (given.kind !== 'answer') throw new Error('the peer relays a response')
  return { kind: 'answer', peer: 'p1', target: 't7@0', softwareVersion: 'v1', answer: { ...given, framing: given.rawHeaders.includes('unframed') ? 'until-close' : 'framed' }, mayHaveRun: () => mayHaveRun }
}

async function * endlessBody (onClosed: () => void): AsyncIterable<Buffer> {
  try {
    for (;;) yield Buffer.alloc(65_536, 'x')
  } finally {
    onClosed()
  }
}

test('a request is handed over when this daemon turns out to be cut off, and the next one at once', async (t) => {
  const { fixture, handovers } = createCutOffFixture([peerAnswer(answer(200)), peerAnswer(answer(200))])
  t.deepEqual(await fixture.run(), { kind: 'delivered', status: 200 })
  const sends = fixture.sent.length
  t.is(sends, 2)
  t.deepEqual(await fixture.run(), { kind: 'delivered', status: 200 })
  t.is(fixture.sent.length, sends)
  t.is(handovers.length, 2)
  t.deepEqual(fixture.finished.map((finished) => finished.handovers.map(({ peer, result, reason }) => ({ peer, result, reason }))), [[{ peer: 'p1', result: 'responded', reason: 't7@0 200' }], [{ peer: 'p1', result: 'responded', reason: 't7@0 200' }]])
})

test('a request that no peer takes over is refused at once while this daemon is cut off', async (t) => {
  const { fixture } = createCutOffFixture([])
  await fixture.run()
  const sends = fixture.sent.length
  t.deepEqual(await fixture.run(), { kind: 'refused', reason: 'targets-unreachable', retryAfterMilliseconds: 1_000 })
  t.is(fixture.sent.length, sends)
})

test('an unsafe request is not sent again after its peer was lost', async (t) => {
  const { fixture, handovers } = createCutOffFixture([{ kind: 'lost', peer: 'p1', reason: 'connection lost' }], { kind: UNSAFE, maximumTargets: 3 })
  t.deepEqual(await fixture.run(), { kind: 'unknown', status: 502, reason: 'connection lost' })
  t.is(handovers.length, 1)
})

test('a safe request is handed over again after its peer was lost, within its targets and the retry budget', async (t) => {
  const lost: HandoverAnswer = { kind: 'lost', peer: 'p1', reason: 'connection lost' }
  const repeated = createCutOffFixture([lost, peerAnswer(answer(200))], { maximumTargets: 2 })
  t.deepEqual(await repeated.fixture.run(), { kind: 'delivered', status: 200 })
  t.deepEqual([...repeated.handovers[1]?.progress.mayHaveRun ?? []], ['peer p1'])
  const once = createCutOffFixture([lost, peerAnswer(answer(200))], { maximumTargets: 1 })
  t.like(await once.fixture.run(), { kind: 'unknown', status: 502 })
  const withoutBudget = createCutOffFixture([lost, peerAnswer(answer(200))], { maximumTargets: 2, retrySlack: 0 })
  t.like(await withoutBudget.fixture.run(), { kind: 'unknown', status: 502, reason: 'connection lost, retry-budget-spent' })
})

test('a resumable stream whose peer was lost goes on at another one after the last complete event', async (t) => {
  const { fixture, handovers } = createCutOffFixture([
    peerAnswer(answer(200, [...EVENTS.slice(0, 2), 'id: 3\nda'], { isReset: true })),
    peerAnswer(answer(200, EVENTS.slice(2)))
  ], { kind: RESUMABLE, maximumTargets: 3 })
  t.deepEqual(await fixture.run(), { kind: 'delivered', status: 200 })
  t.is(fixture.received(), `200 ${EVENTS.join('')} end`)
  t.is(handovers[1]?.progress.lastEventId, '2')
})

test('a stream that may not be resumed is broken off when its peer is lost', async (t) => {
  const { fixture, handovers } = createCutOffFixture([peerAnswer(answer(200, EVENTS.slice(0, 2), { isReset: true }))], { kind: STREAM, maximumTargets: 3 })
  t.like(await fixture.run(), { kind: 'broken' })
  t.true(fixture.received().endsWith(' destroyed'))
  t.is(handovers.length, 1)
})

test('a response without a length that a peer relays ends with the connection of the client', async (t) => {
  const { fixture } = createCutOffFixture([peerAnswer(answer(200, ['ok'], { headers: ['unframed'] }))])
  await fixture.run()
  t.is(fixture.received(), '200 until close, 1 headers ok end')
})

test('a failure of a target that a peer relays is passed on unchanged and not retried', async (t) => {
  const { fixture, handovers } = createCutOffFixture([peerAnswer(answer(500, ['no']))], { maximumTargets: 3 })
  t.deepEqual(await fixture.run(), { kind: 'delivered', status: 500 })
  t.is(fixture.received(), '500 no end')
  t.is(handovers.length, 1)
})

test('a response without end that a peer relays is given up, and the peer learns of it', async (t) => {
  let isClosed = false
  for (const [kind, outcome] of [[RESUMABLE, 'unknown'], [STREAM, 'broken'], [UNSAFE, 'unknown']] as const) {
    isClosed = false
    const body = endlessBody(() => { isClosed = true })
    const { fixture } = createCutOffFixture([{ kind: 'answer', peer: 'p1', target: 't7@0', softwareVersion: 'v1', answer: { kind: 'answer', status: 200, rawHeaders: [], framing: 'until-close', body, close: () => undefined }, mayHaveRun: () => undefined }], { kind })
    t.is((await fixture.run()).kind, outcome)
    t.true(isClosed)
  }
})

test('a target gets no requests after a response through a peer has announced its removal', async (t) => {
  const announcing: HandoverAnswer = { kind: 'answer', peer: 'p1', target: 't3@0', softwareVersion: 'v1', answer: { kind: 'answer', status: 200, rawHeaders: ['leaving'], framing: 'framed', body: (async function * () { yield Buffer.from('ok') })(), close: () => undefined }, mayHaveRun: () => [] }
  const { fixture } = createCutOffFixture([announcing], { answers: [NO_CONNECTION, NO_CONNECTION, answer(200), answer(200), answer(200), answer(200)] })
  await fixture.run()
  fixture.setReachingTargets(true)
  await fixture.clock.advance(1_000)
  for (let request = 0; request < 4; request++) {
    // The leaving target would be the best choice.
    for (const id of ['t1', 't2']) fixture.report(id, 90)
    await fixture.run()
  }
  t.is(fixture.sent.length, 6)
  t.false(fixture.sent.slice(2).some(({ address }) => address === 't3:1'))
})

test('a refusal of a peer is passed on with its time, and is none once a target may have run the request', async (t) => {
  const refused: HandoverAnswer = { kind: 'outcome', peer: 'p1', outcome: { kind: 'refused', reason: 'target-paused', retryAfterMilliseconds: 400 } }
  const notRun = createCutOffFixture([refused])
  t.deepEqual(await notRun.fixture.run(), { kind: 'refused', reason: 'target-paused', retryAfterMilliseconds: 400 })
  const mayHaveRun = createCutOffFixture([{ kind: 'lost', peer: 'p1', reason: 'connection lost' }, refused], { maximumTargets: 3 })
  t.like(await mayHaveRun.fixture.run(), { kind: 'unknown', status: 502 })
})

test('the handover of a request whose client leaves is aborted', async (t) => {
  let isAborted = false
  const { fixture } = createCutOffFixture([], {
    handOver: async (_handover, signal) => await new Promise((resolve) => signal.addEventListener('abort', () => {
      isAborted = true
      resolve({ kind: 'lost', peer: 'p1', reason: 'aborted' })
    }))
  })
  const outcome = fixture.run()
  await fixture.clock.advance(100)
  fixture.disconnectClient()
  t.deepEqual(await outcome, { kind: 'abandoned', reason: 'client-gone' })
  t.true(isAborted)
})

test('a handover ends at the deadline of its request', async (t) => {
  const { fixture } = createCutOffFixture([], {
    handOver: async (_handover, signal) => await new Promise((resolve) => signal.addEventListener('abort', () => resolve({ kind: 'lost', peer: 'p1', reason: 'aborted' })))
  })
  const outcome = fixture.run()
  await fixture.clock.advance(900)
  t.like(await outcome, { kind: 'unknown', status: 504 })
})

test('a request counts as demand once, at the daemon that sends it to the targets', async (t) => {
  const { fixture, handovers } = createCutOffFixture([peerAnswer(answer(200)), peerAnswer(answer(200))], { kind: STREAM, entries: ['e1', 'e2', 'e3'].map((id) => entryOf(id, 'drafter', ['m1'])) })
  await fixture.run('/model/x')
  await fixture.run('/model/x')
  t.deepEqual(handovers.map(({ isCounted }) => isCounted), [true, false])
  t.is(fixture.demands.length, 1)
})

test('a request that a peer has handed over is not handed on by a daemon that is cut off too', async (t) => {
  const { fixture, handovers } = createCutOffFixture([peerAnswer(answer(200))])
  const progress = { excluded: new Set<string>(), mayHaveRun: new Set<string>(), lostBeginnings: 0, lastEventId: undefined, requiredVersion: { kind: 'any' } as const }
  t.like(await fixture.run('/plain/x', 'body', { from: 'p2', isCounted: true, progress }), { kind: 'refused', reason: 'targets-unreachable' })
  t.is(handovers.length, 0)
})

test('what has happened to a handed over request at the peer counts', async (t) => {
  const { fixture } = createCutOffFixture([], { kind: SAFE, maximumTargets: 2, isReachingTargets: true, answers: [{ kind: 'failed', reason: 'connection lost' }, answer(200)] })
  const progress = { excluded: new Set(['t1@0']), mayHaveRun: new Set(['t1@0']), lostBeginnings: 0, lastEventId: undefined, requiredVersion: { kind: 'any' } as const }
  t.like(await fixture.run('/plain/x', 'body', { from: 'p2', isCounted: true, progress }), { kind: 'unknown', status: 502 })
  t.deepEqual(fixture.sent.map(({ address }) => address), ['t2:1'])
  t.deepEqual([...progress.mayHaveRun], ['t1@0', 't2@0'])
  t.is(fixture.finished[0]?.from, 'p2')
})

test('an answer that a peer hands over with a status that no final response has is no answer', async (t) => {
  for (const status of [0, 99, 101, 199, 600, 999, 1_000, -200, 200.5, NaN]) {
    for (const kind of [SAFE, UNSAFE, STREAM, RESUMABLE]) {
      const { fixture } = createCutOffFixture([peerAnswer(answer(status, EVENTS))], { kind })
      t.deepEqual([await fixture.run(), fixture.received()], [{ kind: 'unknown', status: 502, reason: `answer-with-status-${status}` }, ''])
    }
  }
})
