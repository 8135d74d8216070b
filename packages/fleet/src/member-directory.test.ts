import { createManualClock } from '@fuchsiastage/clock'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test from 'ava'
import { createMemberDirectory, type Member } from './index.js'

const LIVENESS_TIMEOUT_MILLISECONDS = 2_000

function memberOf (name: string, changes: Partial<Member> = {}): Member {
  return { name, startedAt: 1, frontAddress: `${name}:80`, peerAddress: `${name}:90`, dataCentre: 'a', state: 'serving', ...changes }
}

function createFixture () {
  const clock = createManualClock()
  let own = memberOf('self')
  const { logger, lines } = createMemoryLogger(clock)
  const members = createMemberDirectory({ clock, logger, self: () => own, livenessTimeoutMilliseconds: LIVENESS_TIMEOUT_MILLISECONDS })
  return { clock, members, lines, leave: () => { own = { ...own, state: 'leaving' } } }
}

test('a log record alone does not make a member an entry, because its VM may have been removed long ago', (t) => {
  const { members } = createFixture()
  members.applyRecord(memberOf('gone'))
  t.deepEqual(members.entryAddresses(), ['self:80'])
  t.deepEqual(members.others().map(({ name }) => name), ['gone'])
})

test('reading a log record again does not mark an unresponsive member alive', async (t) => {
  const { clock, members } = createFixture()
  members.recordContact(memberOf('peer'))
  t.deepEqual(members.entryAddresses(), ['self:80', 'peer:80'])
  await clock.advance(LIVENESS_TIMEOUT_MILLISECONDS)
  members.applyRecord(memberOf('peer'))
  t.deepEqual(members.entryAddresses(), ['self:80'])
})

test('the age of a membership update counts towards the liveness timeout', async (t) => {
  const { clock, members } = createFixture()
  members.applyUpdates([{ member: memberOf('peer'), heardAgoMilliseconds: 1_500 }])
  t.true(members.isAlive('peer'))
  await clock.advance(500)
  t.false(members.isAlive('peer'))
})

test('a leaving member does not return to serving in the same incarnation', (t) => {
  const { members } = createFixture()
  members.recordContact(memberOf('peer', { state: 'leaving' }))
  members.recordContact(memberOf('peer'))
  t.deepEqual(members.entryAddresses(), ['self:80'])
  members.recordContact(memberOf('peer', { startedAt: 2 }))
  t.deepEqual(members.entryAddresses(), ['self:80', 'peer:80'])
})

test('a restarted member whose wall clock was set back is accepted immediately, and gossip about its previous incarnation is ignored', (t) => {
  const { members } = createFixture()
  members.recordContact(memberOf('peer', { startedAt: 5_000, state: 'leaving' }))
  members.recordContact(memberOf('peer', { startedAt: 3_000 }))
  members.applyUpdates([{ member: memberOf('peer', { startedAt: 5_000, state: 'leaving' }), heardAgoMilliseconds: 10 }])
  t.deepEqual(members.entryAddresses(), ['self:80', 'peer:80'])
})

test('a leaving daemon returns only the other members as entries', (t) => {
  const { members, leave } = createFixture()
  members.recordContact(memberOf('peer'))
  leave()
  t.deepEqual(members.entryAddresses(), ['peer:80'])
})

test('a member that becomes unresponsive and then responsive is logged once each time', async (t) => {
  const { clock, members, lines } = createFixture()
  const events = (): readonly string[] => lines.map((line) => (JSON.parse(line) as { readonly event: string }).event).filter((event) => event === 'member-silent' || event === 'member-heard')
  members.applyRecord(memberOf('never-heard'))
  members.recordContact(memberOf('peer'))
  members.logLivenessChanges()
  await clock.advance(LIVENESS_TIMEOUT_MILLISECONDS)
  members.logLivenessChanges()
  members.logLivenessChanges()
  t.deepEqual(events(), ['member-silent'])
  members.recordContact(memberOf('peer'))
  members.logLivenessChanges()
  members.logLivenessChanges()
  t.deepEqual(events(), ['member-silent', 'member-heard'])
})

test('contacts of other daemons keep the known incarnation of a member alive, and no other one', async (t) => {
  const { clock, members } = createFixture()
  members.applyRecord(memberOf('one', { startedAt: 5 }))
  members.applyRecord(memberOf('other', { startedAt: 5 }))
  members.applyContacts([['one', 5, 400], ['other', 6, 0], ['unknown', 1, 0]])
  t.deepEqual([members.isAlive('one'), members.isAlive('other'), members.isAlive('unknown')], [true, false, false])
  await clock.advance(600)
  t.deepEqual(members.recentContacts(8), [['one', 5, 1_000]])
  members.applyContacts([['one', 5, 1_500]])
  t.is(members.sinceLastContact('one'), 1_000)
  await clock.advance(1_000)
  t.false(members.isAlive('one'))
})

test('gossip describes only members that changed recently', async (t) => {
  const { clock, members } = createFixture()
  const described = (): readonly string[] => members.recentUpdates(8).map(({ member: { name, state } }) => `${name} ${state}`)
  members.recordContact(memberOf('one'))
  members.recordContact(memberOf('other'))
  t.deepEqual([...described()].sort(), ['one serving', 'other serving', 'self serving'])
  await clock.advance(11_000)
  members.recordContact(memberOf('one'))
  members.recordContact(memberOf('other', { state: 'leaving' }))
  t.deepEqual(described(), ['self serving', 'other leaving'])
})
