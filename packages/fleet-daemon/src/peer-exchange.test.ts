import { createManualClock } from '@fuchsiastage/clock'
import type { TargetEntry, TargetUpdate } from '@fuchsiastage/fleet'
import { createSeededRandom } from '@fuchsiastage/membership'
import test from 'ava'
import { advanceUntil, startSimulatedExchange, type SimulatedExchange, type ExchangeNode } from './simulated-exchange.js'

const FLEET_SIZE = 79
const TERM = 7
/** Control budget of a daemon, and processor time of one call at its sender or receiver (docs/CAPACITY.md). */
const CONTROL_MILLISECONDS_PER_SECOND = 39
const CALL_PROCESSOR_MILLISECONDS = 1.2
const CONTACT_LIMIT_MILLISECONDS = 2_000
const SETTLE_MILLISECONDS = 4_000
/** The time in which a version applies, 2 s, and the additional time of the same deployment, 5 s. */
const VERSION_LIMIT_MILLISECONDS = 7_000
/** The shortest time in which a version applies. */
const STATED_VERSION_LIMIT_MILLISECONDS = 2_000
/** 1,400 routes of some 200 bytes, and 100 models, in base64. */
const LARGE_CONFIGURATION_BYTES = 400_000
/** The slowest link of a deployment: 7 Mbit/s. */
const SLOW_LINK_BYTES_PER_MILLISECOND = 875
/** One to the upstream and four to others. */
const MAXIMUM_CALLS_TOGETHER = 5
/** Callers may use an address for this long after a response of the directory that names it. */
const NOTICE_MILLISECONDS = 1_000
/** A holder without a message for this time is unknown. */
const HOLDER_UNKNOWN_MILLISECONDS = 1_500

function nodeAt (fleet: SimulatedExchange, index: number): ExchangeNode {
  const node = fleet.nodes[index]
  if (node === undefined) throw new Error(`the fleet has no node ${index}`)
  return node
}

function createEntry (id: string): TargetEntry {
  return {
    id,
    startedAt: 0,
    service: 'drafter',
    address: id,
    dataCentre: 'a',
    slots: 8,
    isDraining: false,
    softwareVersion: 'v1',
    leavesInMilliseconds: undefined,
    placement: { orderCount: 0, models: [], pendingAdapters: [], modelsInMemory: [], modelsOnDisk: [] }
  }
}

function createUpdate (id: string, orderCount: number, model: string): TargetUpdate {
  return {
    key: `${id}@0`,
    placement: { orderCount, models: [{ name: model, adapters: [] }], pendingAdapters: [], modelsInMemory: [], modelsOnDisk: [] },
    load: { running: 0, waiting: 0, cacheTokensUsed: 0, cacheTokens: 1_000 },
    ageMilliseconds: 0
  }
}

test('every daemon of a large fleet finds a new lease holder within two seconds', async (t) => {
  for (const seed of [1, 2, 3]) {
    const clock = createManualClock()
    const fleet = startSimulatedExchange(clock, FLEET_SIZE, createSeededRandom(seed))
    await clock.advance(SETTLE_MILLISECONDS)
    const holder = nodeAt(fleet, 40)
    holder.leaseTerm = TERM
    const others = fleet.nodes.filter((node) => node !== holder)
    const foundAt = await advanceUntil(clock, CONTACT_LIMIT_MILLISECONDS, () => others.every(({ exchange }) => exchange.holder()?.member.name === holder.name))
    fleet.stop()
    t.not(foundAt, undefined, `seed ${seed}`)
  }
})

test('a daemon that cannot reach the lease holder still learns from its peers who holds the lease', async (t) => {
  const clock = createManualClock()
  const fleet = startSimulatedExchange(clock, FLEET_SIZE, createSeededRandom(4))
  const holder = nodeAt(fleet, 40)
  holder.leaseTerm = TERM
  await clock.advance(SETTLE_MILLISECONDS)
  const daemon = nodeAt(fleet, 60)
  fleet.cut(daemon.name, holder.name)
  await clock.advance(SETTLE_MILLISECONDS)
  t.is(daemon.exchange.holder()?.member.name, holder.name)
  fleet.stop()
})

// The responses of all others to a stopping daemon filled its link, so that connections to targets took too long.
test('a daemon that exchanges state with all others does so with few at a time, and waits for none that does not respond', async (t) => {
  const clock = createManualClock()
  const fleet = startSimulatedExchange(clock, FLEET_SIZE, createSeededRandom(1))
  await clock.advance(SETTLE_MILLISECONDS)
  const node = nodeAt(fleet, 3)
  for (let index = 40; index < 50; index++) nodeAt(fleet, index).isRunning = false
  const before = node.calls
  const exchange = node.exchange.exchangeWithAll()
  t.true(node.calls - before <= MAXIMUM_CALLS_TOGETHER)
  await clock.advance(NOTICE_MILLISECONDS)
  t.true(node.calls - before >= FLEET_SIZE - 1)
  await clock.advance(SETTLE_MILLISECONDS)
  await exchange
  fleet.stop()
})

test('the calls of a lease holder in a large fleet fit into the control budget of a daemon', async (t) => {
  const clock = createManualClock()
  const fleet = startSimulatedExchange(clock, FLEET_SIZE, createSeededRandom(5))
  const holder = nodeAt(fleet, 40)
  holder.leaseTerm = TERM
  await clock.advance(SETTLE_MILLISECONDS)
  holder.calls = 0
  const seconds = 5
  await clock.advance(seconds * 1_000)
  fleet.stop()
  const processorMilliseconds = holder.calls / seconds * CALL_PROCESSOR_MILLISECONDS
  t.true(processorMilliseconds <= CONTROL_MILLISECONDS_PER_SECOND, `${processorMilliseconds} ms a second`)
})

test('a daemon that runs in a large fleet never counts as unresponsive', async (t) => {
  const clock = createManualClock()
  const fleet = startSimulatedExchange(clock, FLEET_SIZE, createSeededRandom(6))
  nodeAt(fleet, 40).leaseTerm = TERM
  await clock.advance(SETTLE_MILLISECONDS)
  const unresponsive = new Set<string>()
  for (let step = 0; step < 100; step++) {
    await clock.advance(100)
    for (const node of fleet.nodes) for (const { name } of node.members.others()) if (!node.members.isAlive(name)) unresponsive.add(`${name} at ${node.name}`)
  }
  fleet.stop()
  t.is(unresponsive.size, 0)
})

test('the demand and the use of models at all daemons reach the lease holder', async (t) => {
  const clock = createManualClock()
  const fleet = startSimulatedExchange(clock, FLEET_SIZE, createSeededRandom(8))
  const holder = nodeAt(fleet, 40)
  holder.leaseTerm = TERM
  await clock.advance(SETTLE_MILLISECONDS)
  fleet.nodes.forEach((node, index) => {
    node.demand = [['letters', 2]]
    node.inUse = [`e${index}@0 letters`]
    node.overloaded = [`e${index}@0`]
  })
  await clock.advance(CONTACT_LIMIT_MILLISECONDS)
  fleet.stop()
  t.is(holder.recordedDemand.get('letters'), 2 * FLEET_SIZE)
  t.is(holder.recordedInUse.size, FLEET_SIZE)
  t.is(holder.recordedOverloaded.size, FLEET_SIZE)
})

test('a change of a placement reaches all daemons, and an unchanged one is not sent again', async (t) => {
  const clock = createManualClock()
  const fleet = startSimulatedExchange(clock, FLEET_SIZE, createSeededRandom(9))
  const holder = nodeAt(fleet, 40)
  holder.leaseTerm = TERM
  const ids = Array.from({ length: 60 }, (_, index) => `e${index}`)
  for (const { directory } of fleet.nodes) for (const id of ids) directory.applyEntry(id, createEntry(id))
  const initialUpdates = ids.map((id) => createUpdate(id, 1, 'letters'))
  holder.updates = () => initialUpdates
  await clock.advance(SETTLE_MILLISECONDS)
  const isPlaced = (model: string) => ({ directory }: ExchangeNode): boolean => directory.find('e3@0')?.placement.models.some(({ name }) => name === model) === true
  const others = fleet.nodes.filter((node) => node !== holder)
  t.true(others.every(isPlaced('letters')))
  t.is(others.filter(({ directory }) => directory.find('e3@0')?.load !== undefined).length, others.length)

  const changedUpdates = initialUpdates.map((update) => update.key === 'e3@0' ? createUpdate('e3', 2, 'audits') : update)
  holder.updates = () => changedUpdates
  t.not(await advanceUntil(clock, CONTACT_LIMIT_MILLISECONDS, () => others.every(isPlaced('audits'))), undefined)

  holder.bytes = 0
  await clock.advance(1_000)
  const idleBytes = holder.bytes
  holder.updates = () => []
  await clock.advance(1_000)
  holder.bytes = 0
  await clock.advance(1_000)
  fleet.stop()
  t.true(idleBytes < 1.5 * holder.bytes, `${idleBytes} bytes a second with unchanged placements, ${holder.bytes} without placements`)
})

test('that a target leaves reaches all daemons of a large fleet within two seconds, also without a lease holder', async (t) => {
  const clock = createManualClock()
  const fleet = startSimulatedExchange(clock, FLEET_SIZE, createSeededRandom(1))
  await clock.advance(SETTLE_MILLISECONDS)
  for (const { directory } of fleet.nodes) directory.applyEntry('e1', createEntry('e1'))
  nodeAt(fleet, 5).directory.recordLeaving('e1@0', { source: 'response', request: 'r1' })
  const startedAt = clock.now()
  const knownAt = await advanceUntil(clock, 5_000, () => fleet.nodes.every(({ directory }) => !directory.isUsable('e1@0')))
  fleet.stop()
  t.true(knownAt !== undefined && knownAt - startedAt <= 2_000, `after ${(knownAt ?? Infinity) - startedAt} ms`)
})

test('a daemon whose relay fails reports to the lease holder itself', async (t) => {
  const clock = createManualClock()
  const fleet = startSimulatedExchange(clock, FLEET_SIZE, createSeededRandom(10))
  const holder = nodeAt(fleet, 40)
  holder.leaseTerm = TERM
  await clock.advance(SETTLE_MILLISECONDS)
  const failed = fleet.nodes.filter((node, index) => node !== holder && index % 3 === 0)
  for (const node of failed) node.isRunning = false
  // Reports in flight to a relay that fails are lost.
  await clock.advance(CONTACT_LIMIT_MILLISECONDS)
  const remaining = fleet.nodes.filter(({ isRunning }) => isRunning)
  for (const node of remaining) node.demand = [['audits', 1]]
  await clock.advance(CONTACT_LIMIT_MILLISECONDS)
  fleet.stop()
  t.is(holder.recordedDemand.get('audits'), remaining.length)
  t.true(remaining.every((node) => node === holder || node.exchange.holder()?.member.name === holder.name))
})

test('a daemon forgets a lease holder that has stopped', async (t) => {
  const clock = createManualClock()
  const fleet = startSimulatedExchange(clock, FLEET_SIZE, createSeededRandom(11))
  const holder = nodeAt(fleet, 40)
  holder.leaseTerm = TERM
  await clock.advance(SETTLE_MILLISECONDS)
  holder.isRunning = false
  const others = fleet.nodes.filter((node) => node !== holder)
  t.not(await advanceUntil(clock, CONTACT_LIMIT_MILLISECONDS, () => others.every(({ exchange }) => exchange.holder() === undefined)), undefined)
  fleet.stop()
})

test('daemons use the statements of a new lease holder, not the gossip about its predecessor', async (t) => {
  const clock = createManualClock()
  const fleet = startSimulatedExchange(clock, FLEET_SIZE, createSeededRandom(12))
  const [first, second] = [nodeAt(fleet, 40), nodeAt(fleet, 41)]
  first.leaseTerm = TERM
  await clock.advance(SETTLE_MILLISECONDS)
  first.leaseTerm = undefined
  second.leaseTerm = TERM + 1
  const others = fleet.nodes.filter((node) => node !== second)
  t.not(await advanceUntil(clock, CONTACT_LIMIT_MILLISECONDS, () => others.every(({ exchange }) => exchange.holder()?.member.name === second.name)), undefined)
  fleet.stop()
})

test('daemons find a lease holder again that could not renew its lease for a second', async (t) => {
  const clock = createManualClock()
  const fleet = startSimulatedExchange(clock, FLEET_SIZE, createSeededRandom(14))
  const holder = nodeAt(fleet, 40)
  const others = fleet.nodes.filter((node) => node !== holder)
  holder.leaseTerm = TERM
  await clock.advance(SETTLE_MILLISECONDS)
  holder.leaseTerm = undefined
  t.not(await advanceUntil(clock, CONTACT_LIMIT_MILLISECONDS, () => others.every(({ exchange }) => exchange.holder() === undefined)), undefined)
  holder.leaseTerm = TERM
  t.not(await advanceUntil(clock, CONTACT_LIMIT_MILLISECONDS, () => others.every(({ exchange }) => exchange.holder()?.member.name === holder.name)), undefined)
  fleet.stop()
})

for (const [holderVersion, earlierIndices] of [['this', [0, 1]], ['the earlier', [0, 2]]] as const) {
  test(`while daemons of two versions run, the reports and the target updates of this version arrive at and from a lease holder of ${holderVersion} version`, async (t) => {
    const clock = createManualClock()
    const fleet = startSimulatedExchange(clock, FLEET_SIZE, createSeededRandom(15))
    fleet.nodes.forEach((node, index) => { node.isEarlierVersion = earlierIndices.some((remainder) => index % 3 === remainder) })
    const holder = nodeAt(fleet, 41)
    t.is(holder.isEarlierVersion, holderVersion === 'the earlier')
    holder.leaseTerm = TERM
    const updates = [createUpdate('e3', 1, 'letters')]
    holder.updates = () => updates
    for (const { directory } of fleet.nodes) directory.applyEntry('e3', createEntry('e3'))
    await clock.advance(SETTLE_MILLISECONDS)
    const current = fleet.nodes.filter(({ isEarlierVersion }) => !isEarlierVersion)
    for (const node of current) node.demand = [['letters', 1]]
    // Until a daemon has found out that its relay is of the earlier version, its reports are lost.
    await clock.advance(SETTLE_MILLISECONDS)
    t.true((holder.recordedDemand.get('letters') ?? 0) >= current.length * 0.8, `${holder.recordedDemand.get('letters')} of ${current.length}`)
    t.true(current.every((node) => node === holder || node.directory.find('e3@0')?.placement.models[0]?.name === 'letters'))
    fleet.stop()
  })
}

test('the lease holder sends the whole state of the targets to a daemon of an earlier version', (t) => {
  const clock = createManualClock()
  const fleet = startSimulatedExchange(clock, 2, createSeededRandom(13))
  const [holder, sender] = [nodeAt(fleet, 0), nodeAt(fleet, 1)]
  holder.leaseTerm = TERM
  const updates = [createUpdate('e1', 1, 'letters')]
  holder.updates = () => updates
  const member = { name: sender.name, startedAt: 1, frontAddress: 'front-1', peerAddress: 'peer-1', dataCentre: 'a', state: 'serving' as const }
  const answer = holder.exchange.answer({ member, rumours: [], lacksTargets: false, demand: [['letters', 1]], inUse: [], strained: [] })
  fleet.stop()
  t.deepEqual(answer.news, updates)
  t.is(answer.newsVersion, undefined)
  t.is(holder.recordedDemand.get('letters'), 1)
})

// The daemon with the highest name starts no exchange of its own in a small fleet.
test('a daemon without the log service gets the configuration confirmed by peers, and no longer when none of them has the log service', async (t) => {
  for (const size of [3, FLEET_SIZE]) {
    const clock = createManualClock()
    const fleet = startSimulatedExchange(clock, size, createSeededRandom(1))
    let logStoppedAt = Infinity
    for (const node of fleet.nodes) node.hasCustomers = true
    // A read of the log service takes 1.5 s while there is nothing new.
    for (const [index, node] of fleet.nodes.slice(0, -1).entries()) {
      const phase = (index % 3) * 500
      node.logCompleteAt = () => Math.floor((Math.min(clock.now(), logStoppedAt) - phase) / 1_500) * 1_500 + phase
    }
    const last = nodeAt(fleet, size - 1)
    last.logCompleteAt = () => undefined
    await clock.advance(SETTLE_MILLISECONDS)
    for (let step = 0; step < 100; step++) {
      await clock.advance(100)
      t.true(last.confirmation.isRecent(), `${size} daemons, age ${last.confirmation.age() ?? 'unknown'}`)
    }
    logStoppedAt = clock.now()
    await clock.advance(2_100)
    t.deepEqual(fleet.nodes.filter(({ confirmation }) => confirmation.isRecent()), [])
    fleet.stop()
  }
})

// The daemon with the highest name starts no exchange of its own in a small fleet while it holds the lease.
test('a version that few daemons have read reaches all others within the time that applies while the log service turns daemons away', async (t) => {
  for (const size of [3, 7, FLEET_SIZE]) {
    for (const seed of [1, 2, 3]) {
      const clock = createManualClock()
      const fleet = startSimulatedExchange(clock, size, createSeededRandom(seed))
      const [first] = fleet.nodes
      nodeAt(fleet, size - 1).leaseTerm = TERM
      for (const node of fleet.nodes) if (node !== first) node.logCompleteAt = () => 0
      await clock.advance(SETTLE_MILLISECONDS)
      nodeAt(fleet, 0).configurationVersion = 2
      const reachedAt = await advanceUntil(clock, VERSION_LIMIT_MILLISECONDS, () => fleet.nodes.every(({ configurationVersion }) => configurationVersion === 2))
      fleet.stop()
      t.not(reachedAt, undefined, `${size} daemons, seed ${seed}`)
    }
  }
})

// The copy that the log service returned to has an older version, and confirms it. A daemon that peers contact starts no exchange with them.
test('a daemon gets the version that its peers state although the log service confirms an older one', async (t) => {
  for (const size of [3, 7, FLEET_SIZE]) {
    const clock = createManualClock()
    const fleet = startSimulatedExchange(clock, size, createSeededRandom(1))
    await clock.advance(SETTLE_MILLISECONDS)
    const last = nodeAt(fleet, size - 1)
    for (const node of fleet.nodes) if (node !== last) node.configurationVersion = 2
    const reachedAt = await advanceUntil(clock, STATED_VERSION_LIMIT_MILLISECONDS, () => last.configurationVersion === 2)
    fleet.stop()
    t.not(reachedAt, undefined, `${size} daemons`)
  }
})

// Several peers sent the configuration at the same time, in responses with a short time-out, again and again.
test('a daemon without the log service gets a large configuration over a slow link, and stays in touch with its peers meanwhile', async (t) => {
  for (const size of [3, 7, FLEET_SIZE]) {
    const clock = createManualClock()
    const fleet = startSimulatedExchange(clock, size, createSeededRandom(1))
    const last = nodeAt(fleet, size - 1)
    nodeAt(fleet, 0).leaseTerm = TERM
    last.logCompleteAt = () => undefined
    for (const node of fleet.nodes) {
      node.configurationBytes = LARGE_CONFIGURATION_BYTES
      node.receivedBytesPerMillisecond = SLOW_LINK_BYTES_PER_MILLISECOND
    }
    await clock.advance(SETTLE_MILLISECONDS)
    for (const node of fleet.nodes) if (node !== last) node.configurationVersion = 2
    let longestSilence = 0
    const reachedAt = await advanceUntil(clock, VERSION_LIMIT_MILLISECONDS, () => {
      longestSilence = Math.max(longestSilence, last.exchange.sinceHolderContact())
      return last.configurationVersion === 2
    })
    fleet.stop()
    t.not(reachedAt, undefined, `${size} daemons`)
    t.true(longestSilence < HOLDER_UNKNOWN_MILLISECONDS, `${size} daemons, ${longestSilence} ms without the lease holder`)
  }
})

test('a peer of an earlier version confirms no configuration', async (t) => {
  const clock = createManualClock()
  const fleet = startSimulatedExchange(clock, 2, createSeededRandom(1))
  const [earlier, other] = [nodeAt(fleet, 0), nodeAt(fleet, 1)]
  earlier.isEarlierVersion = true
  other.logCompleteAt = () => undefined
  other.hasCustomers = true
  await clock.advance(SETTLE_MILLISECONDS)
  t.false(other.confirmation.isRecent())
  fleet.stop()
})
