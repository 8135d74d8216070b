import { createManualClock } from '@fuchsiastage/clock'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test from 'ava'
import { createTargetReachability, type TargetReachability } from './target-reachability.js'

function createFixture (usable: number): { readonly reachability: TargetReachability, readonly events: () => readonly string[], readonly advance: (milliseconds: number) => Promise<void>, readonly now: () => number } {
  const clock = createManualClock()
  const { logger, lines } = createMemoryLogger(clock)
  return {
    reachability: createTargetReachability({ clock, logger, usableCount: () => usable }),
    events: () => lines.map((line) => (JSON.parse(line) as { event: string }).event),
    advance: clock.advance,
    now: clock.now
  }
}

test('failed connections to four targets without a success in between mean that this daemon is cut off, until one succeeds', async (t) => {
  const { reachability, events, advance, now } = createFixture(8)
  reachability.recordUnreached('t1@0', now())
  reachability.recordUnreached('t1@0', now())
  await advance(100)
  for (const target of ['t2@0', 't3@0']) reachability.recordUnreached(target, now())
  t.false(reachability.isCutOff())
  reachability.recordUnreached('t4@0', now())
  t.true(reachability.isCutOff())
  reachability.recordReached('t9@0', now())
  t.false(reachability.isCutOff())
  t.deepEqual(events(), ['targets-lost', 'targets-regained'])
})

test('a success in between shows that single targets are down', async (t) => {
  const { reachability, advance, now } = createFixture(8)
  reachability.recordUnreached('t1@0', now())
  await advance(100)
  reachability.recordReached('t9@0', now())
  reachability.recordUnreached('t2@0', now() - 50)
  for (const target of ['t3@0', 't4@0', 't5@0']) reachability.recordUnreached(target, now())
  t.false(reachability.isCutOff())
})

test('a response on a connection from before the failed attempts does not show that new ones succeed', async (t) => {
  const { reachability, advance, now } = createFixture(8)
  const attemptedAt = now()
  await advance(100)
  reachability.recordUnreached('t1@0', now())
  reachability.recordReached('t9@0', attemptedAt)
  for (const target of ['t2@0', 't3@0', 't4@0']) reachability.recordUnreached(target, now())
  t.true(reachability.isCutOff())
  reachability.recordReached('t9@0', attemptedAt)
  t.true(reachability.isCutOff())
})

test('the only target of a daemon counts as all of them', (t) => {
  const { reachability, now } = createFixture(1)
  reachability.recordUnreached('t1@0', now())
  t.true(reachability.isCutOff())
})
