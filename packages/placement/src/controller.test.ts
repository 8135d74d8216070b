import test from 'ava'
import { isSettled, reservationsOf } from './index.js'
import { createRegion, ENGINE_MEMORY_MEGABYTES, TIMING } from './test-support/region.js'

const FENCING_KINDS = ['checked', 'ignored'] as const
const ELECTION_MILLISECONDS = TIMING.lapseMilliseconds + 4_000

test('a burst of requests for one model that is not loaded starts exactly one load', async (t) => {
  const region = createRegion({ engines: [{ name: 'drafter-1' }, { name: 'drafter-2' }], models: { letter: 20_000 }, rules: { letter: { maximumReplicas: 2 } } })
  await region.clock.advance(2_000)
  const answers = Array.from({ length: 200 }, () => region.requestReplica('letter'))
  t.true(answers.every(({ kind }) => kind === 'expected'))
  await region.clock.advance(10_000)
  t.is(region.enginesWith('letter').length, 1)
  t.is([...region.engines.values()].reduce((sum, engine) => sum + engine.loadsStarted('letter'), 0), 1)
  t.is(region.requestReplica('letter').kind, 'ready')
  t.is(region.daemons[1]?.controller.directory.replicasOf('letter').get('van-a')?.length, 1)
  t.deepEqual(region.violations(), [])
})

for (const fencing of FENCING_KINDS) {
  const create = (extra = {}) => createRegion({
    engines: [{ name: 'drafter-1', fencing, dataCentre: 'van-a' }, { name: 'drafter-2', fencing, dataCentre: 'van-b' }],
    models: { letter: 20_000, other: 10_000 },
    rules: { letter: { dataCentres: ['van-a'] }, other: { dataCentres: ['van-a'] } },
    // Idle replicas are not unloaded, so that only the failure under test moves a replica.
    keepWarm: { idleWeight: 0 },
    ...extra
  })

  test(`${fencing}: if the holder is killed between intent and order, the next holder loads the replica`, async (t) => {
    const region = create()
    await region.clock.advance(2_000)
    const first = region.holder()
    first?.client.setFault('hold')
    region.requestReplica('letter')
    await region.clock.advance(1_000)
    t.is(first?.client.held().length, 1)
    first?.kill()
    await region.clock.advance(ELECTION_MILLISECONDS)
    t.is(region.holder()?.name, 'entry-2')
    region.requestReplica('letter')
    await region.clock.advance(10_000)
    t.deepEqual(region.enginesWith('letter'), ['drafter-1'])
    t.is(reservationsOf(region.state(), 'letter').every(isSettled), fencing === 'checked')
    t.deepEqual(region.violations(), [])
  })

  test(`${fencing}: if the holder is killed between order and response, the next holder finds the replica loaded`, async (t) => {
    const region = create()
    await region.clock.advance(2_000)
    const first = region.holder()
    region.requestReplica('letter')
    await region.clock.advance(1_000)
    first?.kill()
    await region.clock.advance(ELECTION_MILLISECONDS + 3_000)
    t.is(region.requestReplica('letter').kind, 'ready')
    t.is(region.engine('drafter-1').orders().length, 1)
    t.true(reservationsOf(region.state(), 'letter').every(isSettled))
    t.deepEqual(region.violations(), [])
  })

  test(`${fencing}: an order that a suspended holder sends after its lease has lapsed creates no second replica`, async (t) => {
    const region = create()
    await region.clock.advance(2_000)
    const first = region.holder()
    first?.client.setFault('hold')
    region.requestReplica('letter')
    await region.clock.advance(1_000)
    first?.setCut(true)
    await region.clock.advance(ELECTION_MILLISECONDS)
    // The new rule requires the next holder to move the replica away from the target to which the order is still in transit.
    region.setRule('letter', { dataCentres: ['van-b'] })
    await region.clock.advance(15_000)
    const answer = region.requestReplica('letter')
    await region.clock.advance(15_000)
    if (fencing === 'checked') {
      t.is(answer.kind, 'expected')
      t.deepEqual(region.enginesWith('letter'), ['drafter-2'])
    } else {
      t.like(answer, { kind: 'refused', code: 'no-capacity' })
      t.is(reservationsOf(region.state(), 'letter').length, 1)
    }
    first?.client.setFault('none')
    const late = first?.client.held()[0]?.deliver()
    await region.clock.advance(10_000)
    t.is((await late)?.kind, fencing === 'checked' ? 'refused-token' : 'done')
    first?.setCut(false)
    // The late order is settled once it has been executed, and the reservation is released.
    await region.clock.advance(30_000)
    if (fencing === 'ignored') t.is(region.requestReplica('letter').kind, 'expected')
    await region.clock.advance(15_000)
    t.deepEqual(region.enginesWith('letter'), ['drafter-2'])
    t.deepEqual(region.violations(), [])
  })

  test(`${fencing}: an order that the former holder never sent is settled`, async (t) => {
    const region = create()
    await region.clock.advance(2_000)
    const first = region.holder()
    region.requestReplica('other')
    await region.clock.advance(10_000)
    // Appends succeed and reads fail: the intent is in the log, but the holder cannot confirm it.
    first?.setReadsCut(true)
    region.requestReplica('letter')
    await region.clock.advance(ELECTION_MILLISECONDS + 5_000)
    t.is(region.holder()?.name, 'entry-2')
    t.is(first?.client.held().length, 0)
    t.is(region.engine('drafter-1').loadsStarted('letter'), 0)
    // If the target checks fencing tokens, the next holder settles the order, because the target refuses it once it has received a higher token.
    t.is(reservationsOf(region.state(), 'letter').flatMap(({ unsettled }) => unsettled).length, fencing === 'ignored' ? 1 : 0)
    first?.setReadsCut(false)
    await region.clock.advance(5_000)
    t.true(reservationsOf(region.state(), 'letter').every(isSettled))
    t.deepEqual(region.violations(), [])
  })

  test(`${fencing}: if two daemons both assume that they hold the lease, only one of them loads the model`, async (t) => {
    const region = create({ timing: (daemon: string) => daemon === 'entry-1' ? { ...TIMING, doubtMilliseconds: 600_000 } : TIMING })
    await region.clock.advance(2_000)
    const first = region.daemons[0]
    const second = region.daemons[1]
    first?.setReadsCut(true)
    // With only reads cut, renewals would still arrive; the full cut lets the second daemon acquire the lease.
    first?.setCut(true)
    await region.clock.advance(ELECTION_MILLISECONDS)
    t.is(second?.leased.currentEpoch(), 2)
    t.is(first?.leased.currentEpoch(), 1)
    first?.setCut(false)
    first?.controller.wantReplica({ model: 'letter', deadlineMilliseconds: 60_000, priority: 'normal', waiting: 1 })
    second?.controller.wantReplica({ model: 'letter', deadlineMilliseconds: 60_000, priority: 'normal', waiting: 1 })
    await region.clock.advance(15_000)
    first?.setReadsCut(false)
    await region.clock.advance(15_000)
    t.deepEqual(region.enginesWith('letter'), ['drafter-1'])
    t.is(region.engine('drafter-1').orders().length, 1)
    t.deepEqual(region.violations(), [])
  })

  test(`${fencing}: if an engine restarts during a load, the load is repeated within the same reservation`, async (t) => {
    const region = create()
    await region.clock.advance(2_000)
    region.requestReplica('letter')
    await region.clock.advance(2_000)
    region.engine('drafter-1').restart()
    await region.clock.advance(20_000)
    t.deepEqual(region.enginesWith('letter'), ['drafter-1'])
    t.is(region.engine('drafter-1').loadsStarted('letter'), 2)
    t.deepEqual(region.violations(), [])
  })

  test(`${fencing}: a load whose response is lost is settled by reading the state of the engine`, async (t) => {
    const region = create()
    await region.clock.advance(2_000)
    region.holder()?.client.setFault('lose-response')
    region.requestReplica('letter')
    await region.clock.advance(12_000)
    t.is(region.requestReplica('letter').kind, 'ready')
    t.true(reservationsOf(region.state(), 'letter').every(isSettled))
    t.is(region.engine('drafter-1').orders().length, 1)
  })

  test(`${fencing}: an order that never arrives is repeated only if the target checks fencing tokens`, async (t) => {
    const region = create()
    await region.clock.advance(2_000)
    region.holder()?.client.setFault('lose-order')
    region.requestReplica('letter')
    await region.clock.advance(1_000)
    region.holder()?.client.setFault('none')
    await region.clock.advance(30_000)
    t.is(region.engine('drafter-1').loadsStarted('letter'), fencing === 'checked' ? 1 : 0)
    // Requests are routed to the replica even though the lost order is still unsettled.
    if (fencing === 'checked') t.is(region.requestReplica('letter').kind, 'ready')
    t.false(reservationsOf(region.state(), 'letter').every(isSettled))
    t.deepEqual(region.violations(), [])
  })

  test(`${fencing}: a limit lowered during a load is enforced once the load has ended`, async (t) => {
    const region = create({ rules: { letter: { maximumReplicas: 2 } } })
    await region.clock.advance(2_000)
    region.requestReplica('letter', { replicas: 2 })
    await region.clock.advance(2_000)
    t.is(reservationsOf(region.state(), 'letter').length, 2)
    region.setRule('letter', { maximumReplicas: 1 })
    await region.clock.advance(30_000)
    t.is(reservationsOf(region.state(), 'letter').length, 1)
    t.is(region.enginesWith('letter').length, 1)
    t.deepEqual(region.violations(), [])
  })

  test(`${fencing}: if a rule excludes a data centre during a load, the replica moves to a permitted one`, async (t) => {
    const region = create()
    await region.clock.advance(2_000)
    region.requestReplica('letter')
    await region.clock.advance(2_000)
    region.setRule('letter', { dataCentres: ['van-b'] })
    // The request is still queued, so the model is loaded in the data centre that the rule now permits.
    await region.clock.advance(30_000)
    t.deepEqual(region.enginesWith('letter'), ['drafter-2'])
    t.deepEqual(region.violations(), [])
  })
}

test('a load requested during a log outage is not started until its intent is written after the outage', async (t) => {
  const region = createRegion({ engines: [{ name: 'drafter-1' }], models: { letter: 20_000, review: 20_000 }, rules: { letter: {}, review: {} } })
  await region.clock.advance(2_000)
  region.requestReplica('letter')
  await region.clock.advance(10_000)
  region.log.setDown(true)
  region.requestReplica('review')
  await region.clock.advance(20_000)
  t.is(region.engine('drafter-1').loadsStarted('review'), 0)
  t.like(region.requestReplica('review'), { kind: 'refused', code: 'not-holder' })
  t.is(region.daemons[0]?.controller.directory.replicasOf('letter').size, 1)
  region.log.setDown(false)
  await region.clock.advance(20_000)
  region.requestReplica('review')
  await region.clock.advance(20_000)
  t.deepEqual(region.enginesWith('review'), ['drafter-1'])
  t.deepEqual(region.violations(), [])
})

test('a load order is sent only once if the response to the append of its intent is lost', async (t) => {
  const region = createRegion({ engines: [{ name: 'drafter-1', fencing: 'ignored' }], models: { letter: 20_000 }, rules: { letter: {} } })
  await region.clock.advance(2_000)
  region.log.loseReplies(3)
  region.requestReplica('letter')
  await region.clock.advance(15_000)
  t.is(region.engine('drafter-1').orders().length, 1)
  t.deepEqual(region.enginesWith('letter'), ['drafter-1'])
})

test('an order is not sent until its intent has been read back, even if the daemon assumes that it holds the lease', async (t) => {
  const region = createRegion({
    daemons: 1,
    timing: () => ({ ...TIMING, doubtMilliseconds: 600_000 }),
    engines: [{ name: 'drafter-1' }],
    models: { letter: 20_000, other: 20_000 },
    rules: { letter: {}, other: {} },
    keepWarm: { idleWeight: 0 }
  })
  await region.clock.advance(2_000)
  region.requestReplica('other')
  await region.clock.advance(10_000)
  // The append of the intent is in transit and does not arrive, so no other daemon can see it.
  region.holder()?.setAppendsHeld(true)
  region.requestReplica('letter')
  await region.clock.advance(40_000)
  t.is(region.engine('drafter-1').orders().filter(({ model }) => model === 'letter').length, 0)
  t.deepEqual(region.violations(), [])
})

test('a holder whose configuration is not fresh refuses requests and starts no load', async (t) => {
  const region = createRegion({ engines: [{ name: 'drafter-1' }], models: { letter: 20_000 }, rules: { letter: {} } })
  await region.clock.advance(2_000)
  region.holder()?.setConfigurationFresh(false)
  t.like(region.requestReplica('letter'), { kind: 'refused', code: 'configuration-unverified' })
  await region.clock.advance(5_000)
  t.is(region.engine('drafter-1').orders().length, 0)
})

test('a slow weight store raises the estimates until unreachable deadlines are refused, and the estimates recover afterwards', async (t) => {
  const models = Object.fromEntries(Array.from({ length: 8 }, (_, index) => [`model-${index}`, 10_000]))
  const rules = Object.fromEntries(Object.keys(models).map((name) => [name, {}]))
  const region = createRegion({ engines: [{ name: 'drafter-1' }, { name: 'drafter-2' }], models, rules })
  for (const engine of region.engines.values()) engine.setLoadMilliseconds(120_000)
  await region.clock.advance(2_000)
  for (let index = 0; index < 5; index++) t.is(region.requestReplica(`model-${index}`, { deadlineMilliseconds: 20_000 }).kind, 'expected')
  await region.clock.advance(15_000)
  const loading = [...region.engines.values()].flatMap((engine) => engine.state().models)
  t.is(loading.length, 4)
  const answer = region.requestReplica('model-6', { deadlineMilliseconds: 15_000 })
  t.like(answer, { kind: 'refused', code: 'deadline-unreachable' })
  t.true(answer.kind === 'refused' && answer.retryAfterMilliseconds >= 1_000)
  await region.clock.advance(200_000)
  t.deepEqual(region.enginesWith('model-6'), [])
  // The measured rate decays towards the assumed one. Otherwise no load would start, and the recovery would never be measured.
  await region.clock.advance(600_000)
  t.is(region.requestReplica('model-6', { deadlineMilliseconds: 15_000 }).kind, 'expected')
})

test('a caller that retries after the stated time finds the model loaded, even if its deadline is shorter than the load', async (t) => {
  const region = createRegion({ engines: [{ name: 'drafter-1' }], models: { letter: 20_000 }, rules: { letter: {} } })
  await region.clock.advance(2_000)
  const refused = region.requestReplica('letter', { deadlineMilliseconds: 100 })
  t.like(refused, { kind: 'refused', code: 'deadline-unreachable' })
  await region.clock.advance(refused.kind === 'refused' ? refused.retryAfterMilliseconds + 1_000 : 0)
  t.is(region.requestReplica('letter', { deadlineMilliseconds: 100 }).kind, 'ready')
})

test('a load from the cache of a target does not wait for a slot of the weight store', async (t) => {
  const models = Object.fromEntries(Array.from({ length: 6 }, (_, index) => [`model-${index}`, 10_000]))
  const rules = Object.fromEntries(Object.keys(models).map((name) => [name, {}]))
  const region = createRegion({ engines: [{ name: 'drafter-1' }], models, rules })
  region.engine('drafter-1').setLoadMilliseconds(30_000)
  region.engine('drafter-1').setCached('model-5', 'disk')
  await region.clock.advance(2_000)
  region.holder()?.controller.targetChanged('drafter-1', region.engine('drafter-1').state())
  for (let index = 0; index < 6; index++) region.requestReplica(`model-${index}`, { priority: index === 5 ? 'bulk' : 'normal' })
  await region.clock.advance(4_000)
  const loading = region.engine('drafter-1').state().models.map(({ model }) => model)
  t.is(loading.length, 5)
  t.true(loading.includes('model-5'))
})

test('if the weight store has one slot, the load of the higher priority class starts first', async (t) => {
  const region = createRegion({
    engines: [{ name: 'drafter-1' }], models: { first: 10_000, bulk: 10_000, urgent: 10_000 }, rules: { first: {}, bulk: {}, urgent: {} }, settings: { concurrentLoads: 1 }
  })
  await region.clock.advance(2_000)
  region.requestReplica('first')
  region.requestReplica('bulk', { priority: 'bulk', deadlineMilliseconds: 40_000 })
  region.requestReplica('urgent', { priority: 'urgent' })
  await region.clock.advance(20_000)
  t.deepEqual(region.engine('drafter-1').orders().filter(({ kind }) => kind === 'load').map(({ model }) => model), ['first', 'urgent', 'bulk'])
})

test('when memory is short, the idle replica with the lowest value is evicted and memory is not overcommitted', async (t) => {
  const region = createRegion({
    engines: [{ name: 'drafter-1' }], models: { often: 40_000, rarely: 40_000, requested: 40_000 }, rules: { often: {}, rarely: {}, requested: {} }
  })
  await region.clock.advance(2_000)
  region.requestReplica('often')
  region.requestReplica('rarely')
  await region.clock.advance(12_000)
  for (let index = 0; index < 10; index++) {
    region.holder()?.controller.reportUsage({ name: 'often', requests: 1, inFlight: 0, daemon: 'entry-1' })
    await region.clock.advance(6_000)
  }
  t.is(region.requestReplica('requested').kind, 'expected')
  await region.clock.advance(20_000)
  t.deepEqual([...region.engine('drafter-1').state().models.map(({ model }) => model)].sort(), ['often', 'requested'])
  t.deepEqual(region.violations(), [])
})

test('a replica with requests in flight is not evicted', async (t) => {
  const region = createRegion({ engines: [{ name: 'drafter-1' }], models: { busy: ENGINE_MEMORY_MEGABYTES, requested: 40_000 }, rules: { busy: {}, requested: {} } })
  await region.clock.advance(2_000)
  region.requestReplica('busy')
  await region.clock.advance(12_000)
  region.holder()?.controller.reportUsage({ name: 'busy', requests: 1, inFlight: 1, daemon: 'entry-1' })
  await region.clock.advance(10_000)
  t.like(region.requestReplica('requested'), { kind: 'refused', code: 'no-capacity' })
  await region.clock.advance(10_000)
  t.deepEqual(region.enginesWith('busy'), ['drafter-1'])
})

test('the base model of an adapter is loaded first on the same target, and both are unloaded when idle', async (t) => {
  const region = createRegion({
    engines: [{ name: 'drafter-1' }, { name: 'drafter-2' }],
    models: { letter: 20_000 },
    adapters: { renewal: { model: 'letter', memoryMegabytes: 500, weightsMegabytes: 200 } },
    rules: { letter: {}, renewal: {} }
  })
  await region.clock.advance(2_000)
  t.is(region.requestReplica('letter', { adapter: 'renewal' }).kind, 'expected')
  await region.clock.advance(20_000)
  t.deepEqual(region.enginesWith('renewal'), region.enginesWith('letter'))
  t.is(region.enginesWith('renewal').length, 1)
  await region.clock.advance(4 * 3_600_000)
  t.is(region.state().reservations.size, 0)
  t.deepEqual([...region.engines.values()].flatMap((engine) => engine.state().models), [])
  t.deepEqual(region.violations(), [])
})

test('minimumWarm replicas are loaded without a request and stay loaded', async (t) => {
  const region = createRegion({ engines: [{ name: 'drafter-1', dataCentre: 'van-a' }, { name: 'drafter-2', dataCentre: 'van-b' }], models: { letter: 20_000 }, rules: { letter: { maximumReplicas: 2, minimumWarm: 2 } } })
  await region.clock.advance(20_000)
  t.deepEqual(region.enginesWith('letter'), ['drafter-1', 'drafter-2'])
  await region.clock.advance(4 * 3_600_000)
  t.deepEqual(region.enginesWith('letter'), ['drafter-1', 'drafter-2'])
})

test('no model is loaded on a draining target, and its replica moves to another target', async (t) => {
  const region = createRegion({ engines: [{ name: 'drafter-1' }, { name: 'drafter-2' }], models: { letter: 20_000 }, rules: { letter: { minimumWarm: 1 } } })
  await region.clock.advance(15_000)
  t.deepEqual(region.enginesWith('letter'), ['drafter-1'])
  region.setTargetState('drafter-1', 'leaving')
  await region.clock.advance(30_000)
  t.deepEqual(region.enginesWith('letter'), ['drafter-2'])
  t.deepEqual(region.violations(), [])
})

test('the reservation on an unreachable target is kept while the VM list contains the target and deleted after the target is removed from the list', async (t) => {
  const region = createRegion({ engines: [{ name: 'drafter-1' }, { name: 'drafter-2' }], models: { letter: 20_000 }, rules: { letter: { minimumWarm: 1 } } })
  await region.clock.advance(15_000)
  region.engine('drafter-1').setReachable(false)
  await region.clock.advance(300_000)
  t.is(reservationsOf(region.state(), 'letter')[0]?.target, 'drafter-1')
  region.removeTarget('drafter-1')
  region.engine('drafter-1').restart()
  await region.clock.advance(100_000)
  t.deepEqual(region.enginesWith('letter'), ['drafter-2'])
  t.deepEqual(region.violations(), [])
})

test('the reservation of a failed load is released and the load is retried on another target', async (t) => {
  const region = createRegion({ keepWarm: { idleWeight: 0 }, engines: [{ name: 'drafter-1' }, { name: 'drafter-2' }], models: { letter: 20_000 }, rules: { letter: {} } })
  region.engine('drafter-1').setFailing(true)
  await region.clock.advance(2_000)
  region.requestReplica('letter')
  await region.clock.advance(40_000)
  t.deepEqual(region.enginesWith('letter'), ['drafter-2'])
  t.deepEqual(region.violations(), [])
})

for (const keepsToken of [true, false]) {
  test(`a model on a target that restarts during a log outage is reloaded ${keepsToken ? 'during the outage if the target kept its fencing token' : 'only after the outage if the target lost its fencing token'}`, async (t) => {
    const region = createRegion({ keepsToken, engines: [{ name: 'drafter-1' }], models: { letter: 20_000 }, rules: { letter: { minimumWarm: 1 } } })
    await region.clock.advance(15_000)
    region.log.setDown(true)
    await region.clock.advance(20_000)
    region.engine('drafter-1').restart()
    await region.clock.advance(20_000)
    t.deepEqual(region.enginesWith('letter'), keepsToken ? ['drafter-1'] : [])
    region.log.setDown(false)
    await region.clock.advance(40_000)
    t.deepEqual(region.enginesWith('letter'), ['drafter-1'])
    t.is(region.requestReplica('letter').kind, 'ready')
    t.deepEqual(region.violations(), [])
  })
}

test('on a target that ignores fencing tokens no model is reloaded during a log outage', async (t) => {
  const region = createRegion({ keepsToken: true, engines: [{ name: 'drafter-1', fencing: 'ignored' }], models: { letter: 20_000 }, rules: { letter: { minimumWarm: 1 } } })
  await region.clock.advance(15_000)
  region.log.setDown(true)
  await region.clock.advance(20_000)
  region.engine('drafter-1').restart()
  await region.clock.advance(60_000)
  t.is(region.engine('drafter-1').loadsStarted('letter'), 1)
})

test('a disconnected former holder cannot repeat a load whose replica the next holder has moved', async (t) => {
  const region = createRegion({
    keepsToken: true, engines: [{ name: 'drafter-1', dataCentre: 'van-a' }, { name: 'drafter-2', dataCentre: 'van-b' }], models: { letter: 20_000 }, rules: { letter: { minimumWarm: 1, dataCentres: ['van-a'] } }
  })
  await region.clock.advance(15_000)
  const first = region.holder()
  first?.setCut(true)
  await region.clock.advance(ELECTION_MILLISECONDS)
  first?.client.setFault('hold')
  region.engine('drafter-1').restart()
  await region.clock.advance(2_500)
  // The former holder is suspended before it sends the repeated order; the next holder moves the model in the meantime.
  t.is(first?.client.held().length, 1)
  region.setRule('letter', { dataCentres: ['van-b'] })
  await region.clock.advance(30_000)
  t.deepEqual(region.enginesWith('letter'), ['drafter-2'])
  const late = first?.client.held()[0]?.deliver()
  await region.clock.advance(10_000)
  t.is((await late)?.kind, 'refused-token')
  t.deepEqual(region.enginesWith('letter'), ['drafter-2'])
  t.deepEqual(region.violations(), [])
})

test('an idle base model is moved if the rule of a requested adapter excludes its target', async (t) => {
  const region = createRegion({
    engines: [{ name: 'drafter-1', dataCentre: 'van-a' }, { name: 'drafter-2', dataCentre: 'van-b' }],
    models: { letter: 20_000 },
    adapters: { renewal: { model: 'letter', memoryMegabytes: 500, weightsMegabytes: 200 } },
    rules: { letter: { dataCentres: ['van-a', 'van-b'], maximumReplicas: 1 }, renewal: { dataCentres: ['van-b'] } },
    keepWarm: { idleWeight: 0 }
  })
  await region.clock.advance(2_000)
  region.setRule('letter', { dataCentres: ['van-a'] })
  region.requestReplica('letter')
  await region.clock.advance(20_000)
  region.setRule('letter', { dataCentres: ['van-a', 'van-b'] })
  t.deepEqual(region.enginesWith('letter'), ['drafter-1'])
  t.is(region.requestReplica('letter', { adapter: 'renewal', deadlineMilliseconds: 120_000 }).kind, 'expected')
  await region.clock.advance(40_000)
  t.deepEqual(region.enginesWith('letter'), ['drafter-2'])
  t.deepEqual(region.enginesWith('renewal'), ['drafter-2'])
  t.deepEqual(region.violations(), [])
})
