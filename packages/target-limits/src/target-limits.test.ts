import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test from 'ava'
import { createTargetLimits, type TargetLimits } from './index.js'

const TARGET = 'e1@0'

function createFixture (): { readonly clock: ManualClock, readonly limits: TargetLimits, readonly lines: readonly string[] } {
  const clock = createManualClock()
  const { logger, lines } = createMemoryLogger(clock)
  return { clock, limits: createTargetLimits({ clock, logger, isKnown: () => true }), lines }
}

test('a target that has stated no limit has none', (t) => {
  const { limits } = createFixture()
  limits.recordAnswer(TARGET, undefined, 0)
  t.is(limits.limitOf(TARGET), undefined)
})

test('the newest response decides the limit, and each change is logged once', (t) => {
  const { limits, lines } = createFixture()
  for (const perSecond of [2, 2, 0.5]) limits.recordAnswer(TARGET, perSecond, 0)
  t.is(limits.limitOf(TARGET), 0.5)
  t.deepEqual(lines.map((line) => (JSON.parse(line) as { perSecond: number }).perSecond), [2, 0.5])
})

test('a response without a limit ends the limit', async (t) => {
  const { clock, limits } = createFixture()
  limits.recordAnswer(TARGET, 2, 0)
  await clock.advance(1_000)
  limits.recordAnswer(TARGET, undefined, 900)
  t.is(limits.limitOf(TARGET), undefined)
})

test('a response to a request that was sent before the limit was stated does not end it', async (t) => {
  const { clock, limits } = createFixture()
  await clock.advance(1_000)
  limits.recordAnswer(TARGET, 2, 950)
  await clock.advance(1_000)
  limits.recordAnswer(TARGET, undefined, 900)
  t.is(limits.limitOf(TARGET), 2)
})

test('gossip reaches other daemons, and the newest statement wins', async (t) => {
  const { clock, limits } = createFixture()
  await clock.advance(10_000)
  limits.applyUpdates([{ target: TARGET, requestsPerSecond: 2, ageMilliseconds: 300 }])
  limits.applyUpdates([{ target: TARGET, requestsPerSecond: 7, ageMilliseconds: 900 }])
  t.is(limits.limitOf(TARGET), 2)
  t.deepEqual(limits.recentUpdates(), [{ target: TARGET, requestsPerSecond: 2, ageMilliseconds: 300 }])
  limits.applyUpdates([{ target: TARGET, requestsPerSecond: null, ageMilliseconds: 0 }])
  t.is(limits.limitOf(TARGET), undefined)
})

test('a limit is passed on for five seconds after it was stated', async (t) => {
  const { clock, limits } = createFixture()
  limits.recordAnswer(TARGET, 2, 0)
  await clock.advance(4_999)
  t.is(limits.recentUpdates().length, 1)
  await clock.advance(1)
  t.is(limits.recentUpdates().length, 0)
  t.is(limits.limitOf(TARGET), 2)
})

test('a limit that was not stated for two seconds is to be confirmed', async (t) => {
  const { clock, limits } = createFixture()
  limits.recordAnswer(TARGET, 2, 0)
  t.true(limits.isRecentlyStated(TARGET))
  await clock.advance(2_000)
  t.false(limits.isRecentlyStated(TARGET))
})
