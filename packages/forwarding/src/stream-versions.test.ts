import type { TargetEntry } from '@fuchsiastage/fleet'
import type { OriginAnswer } from '@fuchsiastage/stream-origins'
import test from 'ava'
import { answer, createFixture, entryOf, EVENTS, RESUMABLE, type FixtureOptions, type TakeUp } from './forwarder-fixture.test-helper.js'
import type { HandoverAnswer, HandoverRequest, TargetAnswer } from './index.js'

const TAKE_UP: TakeUp = { lastEventId: '2', resumes: 'r0' }
const broken = (): TargetAnswer => answer(200, EVENTS.slice(0, 2), { isReset: true })
const rest = (): TargetAnswer => answer(200, EVENTS.slice(2))

function targetsOf (...versions: ReadonlyArray<string | undefined>): readonly TargetEntry[] {
  return versions.map((softwareVersion, index) => ({ ...entryOf(`t${index + 1}`, 'ledger'), softwareVersion }))
}

function createVersionsFixture (versions: ReadonlyArray<string | undefined>, answers: readonly TargetAnswer[], options: Partial<FixtureOptions> = {}) {
  return createFixture({ kind: RESUMABLE, maximumTargets: 4, entries: targetsOf(...versions), answers, ...options })
}

function knownOrigin (softwareVersion: string): FixtureOptions['findOrigin'] {
  return async () => ({ kind: 'known', softwareVersion })
}

test('a broken stream goes on only at the target of the version that began it', async (t) => {
  const fixture = createVersionsFixture(['v1', 'v2', 'v2', 'v1'], [broken(), rest()])
  for (const id of ['t2', 't3', 't4']) fixture.report(id, 3)
  t.like(await fixture.run(), { kind: 'delivered' })
  t.deepEqual(fixture.sent.map(({ address }) => address), ['t1:1', 't4:1'])
  t.is(fixture.received(), `200 ${EVENTS.join('')} end`)
})

test('a stream that a target of an unstated version began does not go on at another one', async (t) => {
  const fixture = createVersionsFixture([undefined, undefined], [broken(), rest()])
  t.like(await fixture.run(), { kind: 'broken' })
  t.is(fixture.sent.length, 1)
})

test('a stream does not go on after its target has restarted with another version', async (t) => {
  let replace = (): void => undefined
  async function * body (): AsyncIterable<Buffer> {
    yield Buffer.from(EVENTS[0] ?? '')
    replace()
    throw new Error('reset')
  }
  const fixture = createVersionsFixture(['v1', 'v1'], [{ kind: 'answer', status: 200, rawHeaders: [], body: body(), close: () => undefined }, rest()])
  replace = () => fixture.replace({ ...entryOf('t1', 'ledger'), startedAt: 1, softwareVersion: 'v2' })
  fixture.report('t2', 3)
  t.like(await fixture.run(), { kind: 'broken' })
  t.is(fixture.sent.length, 1)
})

test('a request begins anew at any version while its client has no event', async (t) => {
  const fixture = createVersionsFixture(['v1', 'v2'], [answer(200, [], { isReset: true }), answer(200, EVENTS)])
  t.like(await fixture.run(), { kind: 'delivered' })
  t.is(fixture.sent.length, 2)
})

test('a stream that a client takes up goes on at a target of the version that began it', async (t) => {
  const fixture = createVersionsFixture(['v2', 'v2', 'v1'], [rest()], { findOrigin: knownOrigin('v1') })
  fixture.report('t3', 5)
  t.like(await fixture.run(undefined, undefined, undefined, TAKE_UP), { kind: 'delivered' })
  t.deepEqual(fixture.sent.map(({ address }) => address), ['t3:1'])
})

test('a stream that a client takes up is refused at once after the last target of its version has left', async (t) => {
  const fixture = createVersionsFixture(['v2', 'v2'], [rest()], { findOrigin: knownOrigin('v1') })
  t.deepEqual(await fixture.run(undefined, undefined, undefined, TAKE_UP), { kind: 'refused', reason: 'stream-version-gone', retryAfterMilliseconds: 800 })
  t.is(fixture.sent.length, 0)
})

test('a stream that a client takes up does not go on while it is not known which version began it', async (t) => {
  const unknown: ReadonlyArray<readonly [Extract<OriginAnswer, { kind: 'unknown' }>['reason'], number]> = [['log-unavailable', 1_000], ['not-recorded', 1_000], ['request-not-named', 800], ['of-another-caller', 800]]
  for (const [reason, retryAfterMilliseconds] of unknown) {
    const fixture = createVersionsFixture(['v1', 'v1'], [rest()], { findOrigin: async () => ({ kind: 'unknown', reason }) })
    t.deepEqual(await fixture.run(undefined, undefined, undefined, TAKE_UP), { kind: 'refused', reason: `stream-origin-${reason}`, retryAfterMilliseconds })
    t.is(fixture.sent.length, 0)
  }
})

test('a model is not placed on an engine of another version for a stream that goes on', async (t) => {
  const entries = [{ ...entryOf('e1', 'drafter'), softwareVersion: 'v1' }, { ...entryOf('e2', 'drafter'), softwareVersion: 'v2' }]
  const fixture = createFixture({ kind: RESUMABLE, entries, answers: [rest()], findOrigin: knownOrigin('v1'), placement: { kind: 'ready', target: 'e2@0' } })
  t.like(await fixture.run('/model/x', undefined, undefined, TAKE_UP), { kind: 'refused', reason: 'placed-target-unusable' })
  t.deepEqual(fixture.requestedPlacements.map(({ avoid }) => avoid), [['e2@0']])
  t.is(fixture.sent.length, 0)
})

test('the origin of a stream is recorded with its first event, and not again when it goes on', async (t) => {
  const fixture = createVersionsFixture(['v1', 'v1'], [broken(), rest(), rest()], { findOrigin: knownOrigin('v1') })
  await fixture.run()
  await fixture.run(undefined, undefined, undefined, TAKE_UP)
  t.deepEqual(fixture.begunStreams, [{ request: 'r1', service: 'ledger', softwareVersion: 'v1', caller: '' }])
})

const NO_CONNECTION: TargetAnswer = { kind: 'not-sent', reason: 'no connection' }

function peerAnswer (given: TargetAnswer, softwareVersion: string | undefined, target = 't9@0'): HandoverAnswer {
  if (given.kind !== 'answer') throw new Error('the peer relays a response')
  return { kind: 'answer', peer: 'p1', target, softwareVersion, answer: { ...given, framing: 'framed' }, mayHaveRun: () => [target] }
}

async function playHandovers (answers: readonly HandoverAnswer[], options: Partial<FixtureOptions> = {}, takeUp?: TakeUp) {
  const required: Array<HandoverRequest['progress']['requiredVersion']> = []
  const fixture = createVersionsFixture(['v1', 'v2', 'v1', 'v2'], Array.from({ length: 4 }, () => NO_CONNECTION), {
    isReachingTargets: false,
    handOver: async ({ progress }) => {
      required.push(progress.requiredVersion)
      return answers[required.length - 1] ?? { kind: 'declined', reason: 'no-peer' }
    },
    ...options
  })
  const outcome = await fixture.run(undefined, undefined, undefined, takeUp)
  return { outcome, required, received: fixture.received() }
}

test('a stream that a peer began goes on only at the version that the peer states', async (t) => {
  const { outcome, required, received } = await playHandovers([peerAnswer(broken(), 'v1'), peerAnswer(rest(), 'v1')])
  t.like(outcome, { kind: 'delivered' })
  t.is(received, `200 ${EVENTS.join('')} end`)
  t.deepEqual(required, [{ kind: 'any' }, { kind: 'exactly', softwareVersion: 'v1' }])
})

test('a response of another version is not relayed when a peer of an earlier version of this system goes on with a stream', async (t) => {
  // Such a peer states no version; the second and the fourth target are known to have another one.
  const { outcome, received } = await playHandovers([peerAnswer(rest(), undefined, 't2@0'), peerAnswer(rest(), undefined, 't4@0')], { findOrigin: knownOrigin('v1') }, TAKE_UP)
  t.like(outcome, { kind: 'unknown' })
  t.is(received, '')
})

test('a stream that a peer hands over goes on here only at the version that it states', async (t) => {
  const fixture = createVersionsFixture(['v2', 'v1'], [rest()])
  fixture.report('t2', 5)
  const progress = { excluded: new Set<string>(), mayHaveRun: new Set<string>(), lostBeginnings: 0, lastEventId: '2', requiredVersion: { kind: 'exactly', softwareVersion: 'v1' } as const }
  t.like(await fixture.run(undefined, undefined, { from: 'p2', isCounted: true, progress }), { kind: 'delivered' })
  t.deepEqual(fixture.sent.map(({ address }) => address), ['t2:1'])
})

test('a stream that a peer of an earlier version of this system hands over does not go on while its origin is not known', async (t) => {
  const fixture = createVersionsFixture(['v2', 'v1'], [rest()])
  const progress = { excluded: new Set<string>(), mayHaveRun: new Set<string>(), lostBeginnings: 0, lastEventId: '2', requiredVersion: { kind: 'any' } as const }
  t.like(await fixture.run(undefined, undefined, { from: 'p2', isCounted: true, progress }), { kind: 'refused', reason: 'stream-origin-not-recorded' })
  t.is(fixture.sent.length, 0)
})
