import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test from 'ava'
import { createTargetPauses, type TargetPauses } from './index.js'

const TARGET = 't1@0'

function createFixture (random = (): number => 0): { readonly clock: ManualClock, readonly pauses: TargetPauses, readonly lines: readonly string[] } {
  const clock = createManualClock()
  const { logger, lines } = createMemoryLogger(clock)
  return { clock, pauses: createTargetPauses({ clock, logger, random }), lines }
}

function eventsOf (lines: readonly string[]): readonly string[] {
  return lines.map((line) => {
    const { event, request } = JSON.parse(line) as { event: string, request: string }
    return `${event} ${request}`
  })
}

test('a target that has asked for no pause may get a request at any time', (t) => {
  const { pauses } = createFixture()
  pauses.takeTurn(TARGET)
  t.false(pauses.has(TARGET))
  t.is(pauses.remaining(TARGET), 0)
  t.deepEqual(pauses.list(), [])
})

test('a pause lasts for the time that the target states', async (t) => {
  const { clock, pauses, lines } = createFixture()
  pauses.recordPause(TARGET, { milliseconds: 3_000, request: 'r1' })
  await clock.advance(2_999)
  t.is(pauses.remaining(TARGET), 1)
  t.deepEqual(pauses.list(), [TARGET])
  await clock.advance(1)
  t.is(pauses.remaining(TARGET), 0)
  t.deepEqual(eventsOf(lines), ['target-paused r1'])
})

test('after a pause one request is sent first, then two more with each answer, and all after eight answers', async (t) => {
  const { clock, pauses, lines } = createFixture()
  pauses.recordPause(TARGET, { milliseconds: 3_000, request: 'r1' })
  await clock.advance(3_000)
  const sentAt = clock.now()
  const takeTurns = (): number => {
    let taken = 0
    for (; taken < 100 && pauses.remaining(TARGET) === 0; taken++) pauses.takeTurn(TARGET)
    return taken
  }
  t.is(takeTurns(), 1)
  t.is(pauses.remaining(TARGET), 50)
  pauses.recordAnswer(TARGET, sentAt)
  t.is(takeTurns(), 2)
  for (let answered = 0; answered < 2; answered++) pauses.recordAnswer(TARGET, sentAt)
  t.is(takeTurns(), 4)
  for (let answered = 0; answered < 4; answered++) pauses.recordAnswer(TARGET, sentAt)
  t.true(pauses.has(TARGET))
  pauses.recordAnswer(TARGET, sentAt)
  t.false(pauses.has(TARGET))
  t.is(takeTurns(), 100)
  t.deepEqual(eventsOf(lines), ['target-paused r1', 'target-resumed r1'])
})

test('another request is tried if the first one after a pause gets no answer', async (t) => {
  const { clock, pauses } = createFixture()
  pauses.recordPause(TARGET, { milliseconds: 500, request: 'r1' })
  await clock.advance(500)
  pauses.takeTurn(TARGET)
  await clock.advance(1_000)
  t.is(pauses.remaining(TARGET), 0)
  t.true(pauses.has(TARGET))
})

test('an answer to a request that was sent before the end of a pause does not end it', async (t) => {
  const { clock, pauses } = createFixture()
  pauses.recordPause(TARGET, { milliseconds: 3_000, request: 'r1' })
  pauses.recordAnswer(TARGET, clock.now() - 100)
  await clock.advance(1_000)
  pauses.recordAnswer(TARGET, clock.now() - 10)
  t.is(pauses.remaining(TARGET), 2_000)
})

test('of several pauses the one that ends last counts', async (t) => {
  const { clock, pauses, lines } = createFixture()
  pauses.recordPause(TARGET, { milliseconds: 3_000, request: 'r1' })
  await clock.advance(100)
  pauses.recordPause(TARGET, { milliseconds: 1_000, request: 'r2' })
  t.is(pauses.remaining(TARGET), 2_900)
  pauses.recordPause(TARGET, { milliseconds: 5_000, request: 'r3' })
  t.is(pauses.remaining(TARGET), 5_000)
  t.deepEqual(eventsOf(lines), ['target-paused r1'])
})

test('a pause after the first request begins a new pause', async (t) => {
  const { clock, pauses, lines } = createFixture()
  pauses.recordPause(TARGET, { milliseconds: 1_000, request: 'r1' })
  await clock.advance(1_000)
  pauses.takeTurn(TARGET)
  pauses.recordPause(TARGET, { milliseconds: 1_000, request: 'r2' })
  t.is(pauses.remaining(TARGET), 1_000)
  t.deepEqual(eventsOf(lines), ['target-paused r1', 'target-paused r2'])
})

test('a pause of zero is none, and an enormous one counts as an hour', async (t) => {
  const { clock, pauses } = createFixture()
  pauses.recordPause(TARGET, { milliseconds: 0, request: 'r1' })
  t.false(pauses.has(TARGET))
  pauses.recordPause(TARGET, { milliseconds: 1e12, request: 'r2' })
  t.is(pauses.remaining(TARGET), 3_600_000)
  await clock.advance(3_600_000)
  t.is(pauses.remaining(TARGET), 0)
})

test('daemons exceed a pause by different times, of at most a quarter of it and a second', (t) => {
  for (const [milliseconds, most] of [[400, 100], [3_000, 750], [60_000, 1_000]] as const) {
    const ends = [0, 0.25, 0.5, 1].map((sample) => {
      const { pauses } = createFixture(() => sample)
      pauses.recordPause(TARGET, { milliseconds, request: 'r1' })
      return pauses.remaining(TARGET) - milliseconds
    })
    t.deepEqual(ends, [0, most / 4, most / 2, most])
  }
})
