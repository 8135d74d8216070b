import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import { createError } from '@fuchsiastage/errors'
import { createMemberDirectory, createTargetDirectory, targetKeyOf, type KnownTarget, type Member, type TargetEntry } from '@fuchsiastage/fleet'
import type { FleetPeerClient } from '@fuchsiastage/fleet-peer'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createBrittleTargets, createPermitIssuer, type BrittleTargets } from '@fuchsiastage/target-limits'
import test from 'ava'
import { err, ok } from 'true-myth/result'
import { createTargetRooms, type FleetTargetRooms } from './target-rooms.js'

const ENTRY: TargetEntry = { id: 't1', startedAt: 0, service: 's', address: 't1', dataCentre: 'a', slots: 2, isDraining: false, softwareVersion: 'v1', leavesInMilliseconds: undefined, placement: { orderCount: 0, models: [], pendingAdapters: [], modelsInMemory: [], modelsOnDisk: [] } }
const KEY = targetKeyOf(ENTRY)
const memberOf = (name: string): Member => ({ name, startedAt: 1, frontAddress: name, peerAddress: name, dataCentre: 'a', state: 'serving' })
const { signal } = new AbortController()

interface Scene {
  readonly clock: ManualClock
  readonly rooms: FleetTargetRooms
  readonly brittle: BrittleTargets
  readonly target: KnownTarget
  readonly notices: () => number
}

type Peers = Pick<FleetPeerClient, 'permit' | 'reportRoom'>

function startScene (names: readonly string[], peers: Peers): Scene {
  const clock = createManualClock()
  const { logger } = createMemoryLogger(clock)
  const self = (): Member => memberOf('self')
  const members = createMemberDirectory({ clock, logger, self, livenessTimeoutMilliseconds: 60_000 })
  for (const name of names) members.recordContact(memberOf(name))
  const directory = createTargetDirectory({ clock, logger, lapseGraceMilliseconds: 0 })
  directory.applyEntry(ENTRY.id, ENTRY)
  const brittle = createBrittleTargets({ clock, logger, isKnown: () => true, onBrittle: (key) => rooms.reportSends(key) })
  let notices = 0
  const rooms = createTargetRooms({ clock, logger, members, reachedShare: () => 1, directory, peers, self, brittleTargets: brittle, exchangeWithAll: async () => { notices++ }, onDecision: () => undefined, random: () => 0 })
  const target = directory.find(KEY)
  if (target === undefined) throw new Error('the directory does not have the target')
  return { clock, rooms, brittle, target, notices: () => notices }
}

const lost = async () => err(createError({ code: 'peer-call-failed', message: 'no response', step: 'permit' }))
const NO_PEERS: Peers = { permit: lost, reportRoom: lost }

/** Names of daemons with which another one than `self` issues the room of the target. */
const OTHERS = Array.from({ length: 20 }, (_, index) => `other-${index}`)

test('requests that were sent before the target was known to be brittle take room', async (t) => {
  const { rooms, brittle, target } = startScene([], NO_PEERS)
  const early = rooms.beginSend(target)
  brittle.recordAnswer(KEY, 5, 0)
  t.is((await rooms.acquire(KEY, signal)).kind, 'granted')
  rooms.beginSend(target)
  t.is((await rooms.acquire(KEY, signal)).kind, 'denied')
  early.end()
  t.is((await rooms.acquire(KEY, signal)).kind, 'granted')
})

test('a request that was turned away before its daemon knew of the brittle time is told to all peers, a later one is not', async (t) => {
  const { clock, rooms, target, notices } = startScene([], NO_PEERS)
  const turnAway = (): void => {
    const send = rooms.beginSend(target)
    send.recordAnswer(5, true)
    send.end()
  }
  turnAway()
  t.is(notices(), 1)
  await clock.advance(20)
  turnAway()
  t.is(notices(), 1)
  // This daemon sends nothing there for a moment.
  t.is((await rooms.acquire(KEY, signal)).kind, 'denied')
})

test('room that is acquired and not used is returned', async (t) => {
  const { clock, rooms, brittle } = startScene([], NO_PEERS)
  brittle.recordAnswer(KEY, 5, 0)
  const kinds = async () => [(await rooms.acquire(KEY, signal)).kind, (await rooms.acquire(KEY, signal)).kind]
  t.deepEqual(await kinds(), ['granted', 'granted'])
  rooms.cancel(KEY)
  t.deepEqual(await kinds(), ['granted', 'denied'])
  await clock.advance(1_100)
  t.is((await rooms.acquire(KEY, signal)).kind, 'granted')
})

test('an issuer that does not respond gives no room, and is not asked again for a moment', async (t) => {
  let calls = 0
  const { clock, rooms, brittle } = startScene(OTHERS, { permit: async () => { calls++; return await lost() }, reportRoom: lost })
  brittle.recordAnswer(KEY, 5, 0)
  for (let attempt = 0; attempt < 3; attempt++) {
    t.is((await rooms.acquire(KEY, signal)).kind, 'denied')
    await clock.advance(100)
  }
  t.is(calls, 1)
  await clock.advance(300)
  await rooms.acquire(KEY, signal)
  t.is(calls, 2)
})

test('an issuer of the previous release, which ignores the room, keeps the target to the rate of allowed rejections', async (t) => {
  const issuerClock = createManualClock()
  const issuer = createPermitIssuer(issuerClock)
  const { clock, rooms, brittle } = startScene(OTHERS, { permit: async (_address, { target, requestsPerSecond, maximumWaitMilliseconds }) => ok(issuer.issue({ target, requestsPerSecond, maximumWaitMilliseconds })), reportRoom: lost })
  brittle.recordAnswer(KEY, 5, 0)
  const decisions = []
  for (let attempt = 0; attempt < 4; attempt++) {
    decisions.push((await rooms.acquire(KEY, signal)).kind)
    await Promise.all([clock.advance(100), issuerClock.advance(100)])
  }
  t.deepEqual(decisions, ['granted', 'denied', 'granted', 'denied'])
})

test('a call that is broken off because its client left denies nothing to the next request, and returns the room that may have been granted', async (t) => {
  const client = new AbortController()
  const reported: number[] = []
  const { rooms, brittle } = startScene(OTHERS, {
    permit: async (_address, _message, _timeout, callSignal) => {
      if (callSignal === client.signal) {
        client.abort()
        return await lost()
      }
      return ok({ kind: 'granted', waitMilliseconds: 0 })
    },
    reportRoom: async (_address, { held }) => {
      reported.push(held)
      return ok(undefined)
    }
  })
  brittle.recordAnswer(KEY, 5, 0)
  t.is((await rooms.acquire(KEY, client.signal)).kind, 'denied')
  t.deepEqual(reported, [0])
  t.is((await rooms.acquire(KEY, signal)).kind, 'granted')
})
