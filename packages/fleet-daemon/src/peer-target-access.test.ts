import { createManualClock } from '@fuchsiastage/clock'
import { createMemberDirectory, type Member } from '@fuchsiastage/fleet'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test from 'ava'
import { createPeerTargetAccess, type PeerTargetAccess } from './peer-target-access.js'

const LIVENESS_TIMEOUT_MILLISECONDS = 2_000

function memberOf (name: string, state: Member['state'] = 'serving', startedAt = 1): Member {
  return { name, startedAt, frontAddress: `${name}:1`, peerAddress: `${name}:2`, dataCentre: 'a', state }
}

function createFixture () {
  const clock = createManualClock()
  const members = createMemberDirectory({ clock, logger: createMemoryLogger(clock).logger, self: () => memberOf('self'), livenessTimeoutMilliseconds: LIVENESS_TIMEOUT_MILLISECONDS })
  const access = createPeerTargetAccess({ clock, members, random: () => 0 })
  const state = (member: Member, targetAccess: 'reached' | 'lost' | undefined): void => {
    members.recordContact(member)
    access.recordStatement(member, targetAccess)
  }
  return { clock, members, access, state }
}

function namesOf (access: PeerTargetAccess): Readonly<Record<'reaching' | 'unknown' | 'leaving', readonly string[]>> {
  const { reaching, unknown, leaving } = access.candidates()
  return { reaching: reaching.map(({ name }) => name), unknown: unknown.map(({ name }) => name), leaving: leaving.map(({ name }) => name) }
}

test('only peers that state their access, and have not lost it, take requests over, leaving ones last', (t) => {
  const { access, state } = createFixture()
  state(memberOf('reaching'), 'reached')
  state(memberOf('cut-off'), 'lost')
  state(memberOf('earlier-version'), undefined)
  state(memberOf('leaving', 'leaving'), 'reached')
  state(memberOf('leaving-cut-off', 'leaving'), 'lost')
  t.deepEqual(namesOf(access), { reaching: ['reaching'], unknown: [], leaving: ['leaving'] })
  t.true(access.isReachedByPeer())
})

test('an old statement tells only that the peer understands the call, and a new incarnation has made none', async (t) => {
  const { clock, members, access, state } = createFixture()
  state(memberOf('one'), 'reached')
  state(memberOf('two'), 'lost')
  await clock.advance(3_100)
  for (const name of ['one', 'two']) members.recordContact(memberOf(name))
  t.like(namesOf(access), { reaching: [], unknown: ['one', 'two'] })
  t.false(access.isReachedByPeer())
  members.recordContact(memberOf('one', 'serving', 2))
  t.like(namesOf(access), { reaching: [], unknown: ['two'] })
})

test('a peer that was restarted with an earlier version takes no requests over', (t) => {
  const { access, state } = createFixture()
  state(memberOf('one'), 'reached')
  state(memberOf('one', 'serving', 2), undefined)
  t.like(namesOf(access), { reaching: [], unknown: [] })
})

test('a peer that is not alive, or that has just declined, is not asked', async (t) => {
  const { clock, access, state } = createFixture()
  state(memberOf('silent'), 'reached')
  await clock.advance(LIVENESS_TIMEOUT_MILLISECONDS)
  state(memberOf('declining'), 'reached')
  t.like(namesOf(access), { reaching: ['declining'], unknown: [] })
  access.recordFailure(memberOf('declining'))
  t.like(namesOf(access), { reaching: [], unknown: [] })
  await clock.advance(1_000)
  state(memberOf('declining'), 'reached')
  t.like(namesOf(access), { reaching: ['declining'], unknown: [] })
})

test('gossip names peers that reach targets, and a later statement of the peer itself counts', async (t) => {
  const { clock, members, access, state } = createFixture()
  for (const name of ['one', 'two', 'three']) members.recordContact(memberOf(name))
  access.applyGossip([['one', 100], ['two', 3_100], ['unknown-member', 0]], [])
  t.like(namesOf(access), { reaching: ['one'], unknown: ['two'] })
  t.deepEqual(access.reachingMembers(), [['one', 100]])
  await clock.advance(50)
  state(memberOf('one'), 'lost')
  access.applyGossip([['one', 100]], [])
  t.like(namesOf(access), { reaching: [], unknown: ['two'] })
  for (let peer = 0; peer < 20; peer++) state(memberOf(`p${peer}`), 'reached')
  t.is(access.reachingMembers().length, 8)
})

// A peer of the previous release would forward the key of a customer to a target.
test('only the incarnation of a peer that has stated to support customers counts as supporting them', (t) => {
  const { members, access } = createFixture()
  const supporting = (): readonly string[] => members.others().filter(access.supportsCustomers).map(({ name }) => name)
  for (const name of ['stated', 'of-earlier-version', 'gossiped', 'gossiped-before-restart']) members.recordContact(memberOf(name, 'serving', 2))
  access.recordStatement(memberOf('stated', 'serving', 2), 'reached', true)
  access.recordStatement(memberOf('of-earlier-version', 'serving', 2), 'reached')
  access.applyGossip([], [['gossiped', 2], ['gossiped-before-restart', 1], ['unknown-member', 2]])
  t.deepEqual(supporting(), ['stated', 'gossiped'])
  t.deepEqual(access.supportingMembers(['stated', 'of-earlier-version']), [['stated', 2]])
  members.recordContact(memberOf('stated', 'serving', 3))
  access.recordStatement(memberOf('gossiped', 'serving', 2), 'reached')
  t.deepEqual(supporting(), [])
})

test('members that have left the fleet are forgotten', (t) => {
  const { members, access, state } = createFixture()
  state(memberOf('one'), 'reached')
  access.recordFailure(memberOf('one'))
  members.remove('one')
  state(memberOf('two'), 'reached')
  members.recordContact(memberOf('one'))
  t.deepEqual(namesOf(access), { reaching: ['two'], unknown: [], leaving: [] })
})
