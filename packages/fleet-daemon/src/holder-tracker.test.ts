import { createManualClock } from '@fuchsiastage/clock'
import type { Member } from '@fuchsiastage/fleet'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test from 'ava'
import { createHolderTracker, type HolderTracker } from './holder-tracker.js'

function createMember (name: string): Member {
  return { name, startedAt: 1, frontAddress: `front-${name}`, peerAddress: `peer-${name}`, dataCentre: 'a', state: 'serving' }
}

function createFixture () {
  const clock = createManualClock()
  const { logger, lines } = createMemoryLogger(clock)
  const tracker: HolderTracker = createHolderTracker({ clock, logger, members: { find: createMember }, selfName: 'self' })
  return { clock, tracker, holderName: () => tracker.holder()?.member.name, events: () => lines.map((line) => (JSON.parse(line) as { readonly event: string }).event) }
}

test('a holder that makes no statement for 1.5 s is unknown, however often gossip about it arrives', async (t) => {
  const { clock, tracker, holderName } = createFixture()
  tracker.recordStatement(createMember('holder'), 7)
  await clock.advance(1_400)
  tracker.applyGossip({ name: 'holder', term: 7, heardAgoMilliseconds: 1_400 })
  t.is(holderName(), 'holder')
  await clock.advance(200)
  tracker.applyGossip({ name: 'holder', term: 7, heardAgoMilliseconds: 1_600 })
  t.is(holderName(), undefined)
  t.is(tracker.gossip(), undefined)
  t.is(tracker.sinceContact(), 1_600)
})

test('a higher term replaces a lower one, and gossip about the lower one is ignored', (t) => {
  const { tracker, holderName } = createFixture()
  tracker.recordStatement(createMember('first'), 7)
  tracker.applyGossip({ name: 'second', term: 8, heardAgoMilliseconds: 500 })
  t.is(holderName(), 'second')
  tracker.applyGossip({ name: 'first', term: 7, heardAgoMilliseconds: 0 })
  t.is(holderName(), 'second')
})

test('a holder that states no term is forgotten until it has stated a term again', async (t) => {
  const { clock, tracker, holderName } = createFixture()
  tracker.recordStatement(createMember('holder'), 7)
  await clock.advance(100)
  tracker.recordStatement(createMember('holder'), undefined)
  tracker.applyGossip({ name: 'holder', term: 7, heardAgoMilliseconds: 100 })
  t.is(holderName(), undefined)
  await clock.advance(1_000)
  tracker.applyGossip({ name: 'holder', term: 7, heardAgoMilliseconds: 300 })
  t.is(holderName(), 'holder')
})

test('gossip about this daemon itself is ignored', (t) => {
  const { tracker, holderName } = createFixture()
  tracker.applyGossip({ name: 'self', term: 7, heardAgoMilliseconds: 0 })
  t.is(holderName(), undefined)
})

test('each change of the known holder is logged once', async (t) => {
  const { clock, tracker, events } = createFixture()
  tracker.logChanges()
  tracker.recordStatement(createMember('holder'), 7)
  tracker.logChanges()
  tracker.logChanges()
  await clock.advance(2_000)
  tracker.logChanges()
  tracker.logChanges()
  t.deepEqual(events(), ['holder-known', 'holder-unknown'])
})
