import test from 'ava'
import type { QuarantineDecision } from '@fuchsiastage/request-quarantine'
import { answer, createFixture, ENGINE, entryOf, EVENTS, RESUMABLE, SAFE, STREAM, type Fixture, type FixtureOptions } from './forwarder-fixture.test-helper.js'
import type { AcquireTrial, ForwardOutcome, TargetAnswer } from './index.js'

const PARTS = [{ id: 'system', tokens: 50 }, { id: 'deadly', tokens: 40 }, { id: 'own', tokens: 10 }]
const QUARANTINED: QuarantineDecision = { kind: 'quarantined', cause: { kind: 'prompt', parts: ['deadly'] }, retryAfterMilliseconds: 60_000 }

/** Three engines lose their connections one after the other at requests with the same parts; a fourth one is left. */
async function loseThreeEngines (options: Partial<FixtureOptions> = {}): Promise<Fixture> {
  const entries = ['e1', 'e2', 'e3', 'e4'].map((id) => entryOf(id, 'drafter', ['m1']))
  const lost = (): TargetAnswer => answer(200, [], { isReset: true })
  const fixture = createFixture({ kind: STREAM, entries, answers: [lost(), lost(), lost(), answer(200, EVENTS)], promptParts: PARTS, isAccepting: false, ...options })
  for (let crash = 0; crash < 3; crash++) {
    await fixture.run('/model/x')
    await fixture.clock.advance(10)
    // The next request goes to another engine.
    fixture.report(fixture.sent.at(-1)?.address.split(':')[0] ?? '', ENGINE.batchSlots)
  }
  return fixture
}

test('a request whose prompt part crashed three engines is rejected at once and demands no model', async (t) => {
  const fixture = await loseThreeEngines()
  t.is(fixture.sent.length, 3)
  t.like(await fixture.run('/model/x'), { kind: 'refused', reason: 'prompt-quarantined' })
  t.is(fixture.sent.length, 3)
  t.is(fixture.demands.length, 3)
  t.true(fixture.lines.some((line) => line.includes('"quarantined":["deadly","system"]')))
})

test('connections that are lost while the targets accept new ones are no crashes', async (t) => {
  const fixture = await loseThreeEngines({ isAccepting: true })
  t.deepEqual(await fixture.run('/model/x'), { kind: 'delivered', status: 200 })
})

test('a request whose prompt is quarantined while it waits for a placement is not sent', async (t) => {
  let isQuarantined = false
  const fixture = createFixture({
    kind: STREAM,
    entries: [entryOf('e1', 'drafter')],
    answers: [],
    promptParts: PARTS,
    placement: { kind: 'ready', target: 'e1@0' },
    quarantine: { check: () => isQuarantined ? QUARANTINED : { kind: 'allowed' } },
    onPlacement: () => { isQuarantined = true }
  })
  t.like(await fixture.run('/model/x'), { kind: 'refused', reason: 'prompt-quarantined', retryAfterMilliseconds: 60_000 })
  t.is(fixture.requestedPlacements.length, 1)
  t.is(fixture.sent.length, 0)
})

test('a request that may be a trial is sent only if the trial is granted', async (t) => {
  const quarantine = { check: (): QuarantineDecision => ({ kind: 'trial', cause: { kind: 'prompt', parts: ['deadly'] }, retryAfterMilliseconds: 10_000 }) }
  const tried: Array<readonly string[]> = []
  const runWith = async (isGranted: boolean): Promise<ForwardOutcome> => {
    const acquireTrial: AcquireTrial = async ({ parts }) => {
      tried.push(parts)
      return isGranted
    }
    return await createFixture({ kind: STREAM, entries: [entryOf('e1', 'drafter', ['m1'])], answers: [answer(200, EVENTS)], promptParts: PARTS, quarantine, acquireTrial }).run('/model/x')
  }
  t.deepEqual(await runWith(true), { kind: 'delivered', status: 200 })
  t.like(await runWith(false), { kind: 'refused', reason: 'prompt-quarantined', retryAfterMilliseconds: 10_000 })
  t.deepEqual(tried, [['system', 'deadly'], ['system', 'deadly']])
})

test('a trial goes on at another engine if the first one cannot be reached, and ends when an engine has received it', async (t) => {
  const quarantine = { check: (): QuarantineDecision => ({ kind: 'trial', cause: { kind: 'prompt', parts: ['deadly'] }, retryAfterMilliseconds: 10_000 }) }
  const entries = ['e1', 'e2', 'e3'].map((id) => entryOf(id, 'drafter', ['m1']))
  let trials = 0
  const acquireTrial = async (): Promise<boolean> => trials++ === 0
  const answers: readonly TargetAnswer[] = [{ kind: 'not-sent', reason: 'ECONNREFUSED' }, { kind: 'failed', reason: 'connection closed' }, answer(200, EVENTS)]
  const fixture = createFixture({ kind: RESUMABLE, maximumTargets: 3, entries, answers, promptParts: PARTS, quarantine, acquireTrial })
  t.like(await fixture.run('/model/x'), { kind: 'unknown', status: 502 })
  t.is(fixture.sent.length, 2)
})

test('a request that two engines did not survive is not sent to a third one, though its route allows it', async (t) => {
  const lost = [1, 2, 3].map((): TargetAnswer => ({ kind: 'failed', reason: 'connection closed' }))
  const engines = ['e1', 'e2', 'e3'].map((id) => entryOf(id, 'drafter', ['m1']))
  const fixture = createFixture({ kind: RESUMABLE, maximumTargets: 4, entries: engines, answers: lost })
  t.like(await fixture.run('/model/x'), { kind: 'unknown', status: 502 })
  t.is(fixture.sent.length, 2)
  const services = ['t1', 't2', 't3'].map((id) => entryOf(id, 'ledger'))
  const service = createFixture({ kind: SAFE, maximumTargets: 4, entries: services, answers: lost })
  await service.run()
  t.is(service.sent.length, 3)
})
