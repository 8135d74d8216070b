import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import { createMemberDirectory, type Member, type MemberDirectory } from '@fuchsiastage/fleet'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createSeededRandom } from '@fuchsiastage/membership'
import test from 'ava'
import { createFleetSize, type FleetSize } from './fleet-size.js'
import { advanceUntil, startSimulatedExchange, type SimulatedExchange } from './simulated-exchange.js'

const SIZES = [3, 7, 79]
/** A fleet is to know itself again before the requests of some seconds have been refused; the last few members follow by gossip. */
const MEETING_MILLISECONDS = 4_000
const MET_SHARE = 0.9
const TARGET = 't1@0'
const REQUESTS_PER_SECOND = 4
const WINDOW_SECONDS = 4
const { signal } = new AbortController()

function memberAt (index: number): Member {
  return { name: `entry-${index}`, startedAt: 1, frontAddress: `front-${index}`, peerAddress: `peer-${index}`, dataCentre: 'a', state: 'serving' }
}

/** Starts a fleet whose members cannot be read; the lease topic names its first daemon and states its size. */
function startFleet (clock: ManualClock, size: number, statedCount: number | undefined = size): SimulatedExchange {
  const fleet = startSimulatedExchange(clock, size, createSeededRandom(size), false)
  const [first] = fleet.nodes
  for (const node of fleet.nodes) Object.assign(node, { statedCount, introducer: first === undefined ? undefined : { name: first.name, peerAddress: 'peer-0' } })
  return fleet
}

function isolate (fleet: SimulatedExchange): void {
  for (const [index, { name }] of fleet.nodes.entries()) for (const other of fleet.nodes.slice(index + 1)) fleet.cut(name, other.name)
}

test('daemons that cannot read the members meet through the holder that the lease topic names', async (t) => {
  for (const size of SIZES) {
    const clock = createManualClock()
    const fleet = startFleet(clock, size, undefined)
    const metAt = await advanceUntil(clock, MEETING_MILLISECONDS, () => fleet.nodes.every(({ members }) => members.others().length >= MET_SHARE * (size - 1)))
    t.not(metAt, undefined, `${size} daemons: ${fleet.nodes.map(({ members }) => members.others().length).join(' ')}`)
    t.false(fleet.nodes.some(({ members }) => members.isComplete()))
    fleet.stop()
  }
})

test('a daemon that restarts and cannot read the members has them from its peers', async (t) => {
  for (const size of SIZES) {
    const clock = createManualClock()
    const fleet = startSimulatedExchange(clock, size, createSeededRandom(size))
    await clock.advance(MEETING_MILLISECONDS)
    fleet.restart('entry-001', false)
    const restarted = fleet.nodes[1]
    t.is(restarted?.fleetSize.expected(), Infinity)
    const readAt = await advanceUntil(clock, MEETING_MILLISECONDS, () => restarted?.members.isComplete() === true)
    t.not(readAt, undefined, `${size} daemons`)
    t.is(restarted?.fleetSize.expected(), size)
    fleet.stop()
  }
})

// Each daemon was the issuer of the permits and granted all of them.
test('daemons that cannot find each other keep the limit of a target together', async (t) => {
  for (const size of SIZES) {
    const clock = createManualClock()
    const fleet = startFleet(clock, size)
    isolate(fleet)
    let granted = 0
    for (const { limits } of fleet.nodes) limits.recordAnswer(TARGET, REQUESTS_PER_SECOND, clock.now())
    for (let elapsed = 0; elapsed < WINDOW_SECONDS * 1_000; elapsed += 100) {
      const decisions = await Promise.all(fleet.nodes.map(async ({ turns }) => await turns.acquire(TARGET, 0, signal)))
      granted += decisions.filter(({ kind }) => kind === 'granted').length
      await clock.advance(100)
    }
    // Each daemon may send one request at once, and targets get one each ten seconds from each daemon at least.
    const most = REQUESTS_PER_SECOND * WINDOW_SECONDS + size * (2 + 0.1 * WINDOW_SECONDS)
    t.true(granted <= most, `${size} daemons: ${granted} of ${most}`)
    fleet.stop()
  }
})

test('no request that crashes targets is tried by daemons that cannot find each other', async (t) => {
  const clock = createManualClock()
  const fleet = startFleet(clock, 7)
  isolate(fleet)
  const traits = { parts: [], fingerprint: 'same' }
  for (const { quarantine } of fleet.nodes) {
    for (const target of ['e1', 'e2', 'e3']) {
      quarantine.recordLoss({ target, service: 'drafter', traits, sentAt: clock.now(), hasBegun: true })
      quarantine.recordUnreachable(target)
    }
  }
  await clock.advance(300_000)
  t.true(fleet.nodes.every(({ quarantine }) => quarantine.check(traits).kind === 'trial'))
  t.deepEqual(await Promise.all(fleet.nodes.map(async ({ trials }) => await trials.acquire(traits, signal))), fleet.nodes.map(() => false))
  fleet.stop()
})

interface Sizing {
  readonly clock: ManualClock
  readonly members: MemberDirectory
  readonly size: FleetSize
}

function createSizing (statedCount: () => number | undefined, holdsLeaseSince: () => number | undefined = () => undefined): Sizing {
  const clock = createManualClock()
  const members = createMemberDirectory({ clock, logger: createMemoryLogger(clock).logger, self: () => memberAt(0), livenessTimeoutMilliseconds: 2_000 })
  return { clock, members, size: createFleetSize({ clock, members, statedCount, holdsLeaseSince }) }
}

test('the number of daemons is that of the members once these are known, and before that what others have stated', (t) => {
  const given: { statedCount: number | undefined } = { statedCount: undefined }
  const { members, size } = createSizing(() => given.statedCount)
  t.deepEqual([size.expected(), size.stated(), size.reachedShare(), size.active()], [Infinity, undefined, 0, 1])
  given.statedCount = 4
  t.deepEqual([size.expected(), size.stated(), size.reachedShare(), size.active()], [4, 4, 0.25, 4])
  size.recordStatement(8)
  size.recordStatement(undefined)
  members.recordContact(memberAt(1))
  t.deepEqual([size.expected(), size.stated(), size.reachedShare(), size.active()], [8, 8, 0.25, 8])
  members.applyList({ members: [memberAt(0), memberAt(1), memberAt(2)], isComplete: true })
  t.deepEqual([size.expected(), size.stated(), size.reachedShare(), size.active()], [3, 3, 1, 2])
})

test('the first holder of the order lease counts the daemons that have contacted it, after the time that they need', async (t) => {
  const { clock, members, size } = createSizing(() => undefined, () => 0)
  members.recordContact(memberAt(1))
  await clock.advance(2_900)
  t.is(size.stated(), undefined)
  await clock.advance(200)
  t.is(size.stated(), 2)
})
