import { createManualClock } from '@fuchsiastage/clock'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test from 'ava'
import { createTargetPaces, type PacedTarget, type PaceEvidence } from './index.js'

const GOOD: PaceEvidence = { kind: 'answer', relativeTime: 1 }
const TROUBLE: PaceEvidence = { kind: 'trouble' }

function targetOf (startedAt: number, slots = 96): PacedTarget {
  return { key: `t@${startedAt}`, entry: { service: 'ledger', slots, startedAt } }
}

function createFixture (daemons: number, random = () => 0.5) {
  const clock = createManualClock()
  const { logger, lines } = createMemoryLogger(clock)
  const paces = createTargetPaces({ clock, logger, appliesTo: () => true, daemonCount: () => daemons, random })
  const events = (): readonly string[] => lines.map((line) => (JSON.parse(line) as { readonly event: string }).event)
  const answer = (target: PacedTarget, evidence: PaceEvidence): void => {
    const send = paces.beginSend(target)
    send.record(evidence)
    send.end()
  }
  return { clock, paces, events, answer }
}

test('a target that has been running for long, or does not state its start, is not limited', (t) => {
  const { clock, paces, events } = createFixture(63)
  for (const startedAt of [0, clock.wallNow() - 10_000, clock.wallNow() + 10_000]) {
    t.true(paces.hasRoom(targetOf(startedAt)))
    t.is(paces.limitOf(targetOf(startedAt).key), undefined)
  }
  t.deepEqual([paces.count(), events()], [0, []])
})

test('60 daemons together begin with a quarter of the slots of a new target, and each with one request at most', async (t) => {
  const { clock, paces } = createFixture(60)
  const target = targetOf(clock.wallNow())
  paces.hasRoom(target)
  t.is(paces.limitOf(target.key), 0.4)
  await clock.advance(200)
  t.true(paces.hasRoom(target))
  paces.beginSend(target)
  t.false(paces.hasRoom(target))
})

test('the pace is reached by good answers, sooner than by time, and only once', async (t) => {
  const { clock, paces, events, answer } = createFixture(12)
  const target = targetOf(clock.wallNow())
  paces.hasRoom(target)
  t.is(paces.limitOf(target.key), 2)
  for (let count = 0; count < 14; count++) answer(target, GOOD)
  t.false(paces.has(target.key))
  await clock.advance(1_000)
  t.true(paces.hasRoom(target))
  t.deepEqual(events(), ['target-paced', 'target-pace-reached'])
})

test('without requests to a target its limit grows to the slots, and ends after ten seconds', async (t) => {
  const { clock, paces } = createFixture(12)
  const target = targetOf(clock.wallNow())
  paces.hasRoom(target)
  await clock.advance(4_000)
  t.is(paces.limitOf(target.key), 8)
  await clock.advance(6_000)
  t.is(paces.limitOf(target.key), undefined)
})

test('refusals and answers that take longer than the best ones lower the limit, and it stays for a while', async (t) => {
  const { clock, paces, answer } = createFixture(12)
  const target = targetOf(clock.wallNow())
  paces.hasRoom(target)
  answer(target, { kind: 'answer', relativeTime: 2.4 })
  const risen = paces.limitOf(target.key) ?? 0
  t.true(risen > 2, 'a target that is slow from the beginning, but does not get slower, gets more requests')
  for (let count = 0; count < 3; count++) answer(target, { kind: 'answer', relativeTime: 6 })
  t.is(paces.limitOf(target.key), risen / 2, 'several slow answers at the same time count once')
  await clock.advance(300)
  answer(target, TROUBLE)
  t.is(paces.limitOf(target.key), risen / 4)
  await clock.advance(400)
  t.is(paces.limitOf(target.key), risen / 4)
  await clock.advance(400)
  t.true((paces.limitOf(target.key) ?? 0) > risen / 4)
})

test('a target that does not answer stays at its limit, with one request at a time', async (t) => {
  const { clock, paces } = createFixture(60)
  const target = targetOf(clock.wallNow())
  paces.hasRoom(target)
  paces.beginSend(target)
  await clock.advance(1_500)
  const limit = paces.limitOf(target.key)
  await clock.advance(8_000)
  t.is(paces.limitOf(target.key), limit)
  t.false(paces.hasRoom(target))
})

test('a target gets nothing until its pause is over, and a new incarnation begins again', async (t) => {
  const { clock, paces, answer } = createFixture(12)
  const target = targetOf(clock.wallNow())
  paces.begin(target, 'paused', 2_000)
  await clock.advance(1_900)
  t.false(paces.hasRoom(target))
  await clock.advance(100)
  t.true(paces.hasRoom(target))
  for (let count = 0; count < 14; count++) answer(target, GOOD)
  t.is(paces.limitOf(target.key), undefined)
  const restarted = targetOf(clock.wallNow())
  paces.hasRoom(restarted)
  t.is(paces.limitOf(restarted.key), 2)
})

test('daemons do not all send their first request to a new target at the same time', async (t) => {
  const clock = createManualClock()
  const target = targetOf(clock.wallNow(), 6)
  const daemons = Array.from({ length: 60 }, (_, index) => createTargetPaces({ clock, logger: createMemoryLogger(clock).logger, appliesTo: () => true, daemonCount: () => 60, random: () => index / 60 }))
  const sentAt: number[] = []
  for (let step = 0; step < 30; step++) {
    for (const paces of daemons) {
      if (!paces.hasRoom(target)) continue
      paces.beginSend(target).end()
      sentAt.push(clock.now())
    }
    await clock.advance(10)
  }
  t.true(sentAt.length >= 1 && sentAt.length <= 12, `${sentAt.length} requests in 300 ms`)
})

test('targets of a service to which no pace applies are never limited', (t) => {
  const clock = createManualClock()
  const paces = createTargetPaces({ clock, logger: createMemoryLogger(clock).logger, appliesTo: () => false, daemonCount: () => 60, random: () => 0 })
  const target = { key: 't1@1', entry: { service: 'ledger', slots: 6, startedAt: clock.wallNow() } }
  paces.begin(target, 'readmitted')
  t.true(paces.hasRoom(target))
  t.false(paces.has(target.key))
})
