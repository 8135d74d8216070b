import test from 'ava'
import { BEFORE_SEND_MILLISECONDS, CALL_MILLISECONDS, createSimulation, HORIZON_MILLISECONDS, type CallResult, type Simulation } from './simulation.test-helper.js'

/** Starts three daemons and waits until entry-1 owns the partition. */
async function startSimulation (): Promise<Simulation> {
  const simulation = createSimulation()
  await simulation.clock.advance(5_000)
  if (simulation.ownerName() !== 'entry-1') throw new Error('entry-1 does not own the partition')
  return simulation
}

/** Advances the clock until the call has a result, at most by the given time. */
async function resultWithin (simulation: Simulation, call: Promise<CallResult>, milliseconds: number): Promise<CallResult['kind'] | 'none'> {
  let kind: CallResult['kind'] | 'none' = 'none'
  void call.then((value) => { kind = value.kind })
  for (let waited = 0; waited < milliseconds && kind === 'none'; waited += 100) await simulation.clock.advance(100)
  return kind
}

/** Advances the clock until a claim of the daemon is granted; its request has not been sent yet. */
async function untilGranted (simulation: Simulation, name: string): Promise<void> {
  const { client } = simulation.daemon(name)
  for (let step = 0; step < 2_000 && client.unsettledCount() === 0; step++) await simulation.clock.advance(1)
}

/** Advances the clock until the given number of requests has been sent. */
async function untilSent (simulation: Simulation, count = 1): Promise<void> {
  for (let step = 0; step < 2_000 && simulation.sends.length < count; step++) await simulation.clock.advance(1)
}

test('a call runs once, and repeated calls receive the stored response from every daemon', async (t) => {
  const simulation = await startSimulation()
  const key = simulation.key(1)
  t.is(await resultWithin(simulation, simulation.daemon('entry-2').call({ key }), 5_000), 'sent')
  await simulation.clock.advance(2_000)
  for (const name of ['entry-1', 'entry-2', 'entry-3']) {
    t.is(await resultWithin(simulation, simulation.daemon(name).call({ key }), 5_000), 'replay')
  }
  t.is(simulation.sends.length, 1)
  simulation.close()
})

test('the same key with a different request is a mismatch while the first call is in flight and after it has ended', async (t) => {
  const simulation = await startSimulation()
  const key = simulation.key(1)
  const first = simulation.daemon('entry-2').call({ key })
  await untilSent(simulation)
  t.is(await resultWithin(simulation, simulation.daemon('entry-3').call({ key, body: 'other' }), 5_000), 'mismatch')
  t.is(await resultWithin(simulation, first, 5_000), 'sent')
  await simulation.clock.advance(2_000)
  t.is(await resultWithin(simulation, simulation.daemon('entry-3').call({ key, body: 'other' }), 5_000), 'mismatch')
  simulation.close()
})

test('a repeated call waits for the first call in flight and receives the stored response', async (t) => {
  const simulation = await startSimulation()
  const key = simulation.key(1)
  const first = simulation.daemon('entry-2').call({ key })
  await untilSent(simulation)
  const second = simulation.daemon('entry-3').call({ key })
  t.is(await resultWithin(simulation, second, 10_000), 'replay')
  t.is((await first).kind, 'sent')
  t.is(simulation.sends.length, 1)
  simulation.close()
})

test('a repeated call whose deadline passes during the first call ends as unknown, not as not-run', async (t) => {
  const simulation = await startSimulation()
  const key = simulation.key(1)
  void simulation.daemon('entry-2').call({ key })
  await untilSent(simulation)
  t.is(await resultWithin(simulation, simulation.daemon('entry-3').call({ key, waitMilliseconds: CALL_MILLISECONDS / 2 }), 10_000), 'unknown')
  simulation.close()
})

test('daemons that receive the same key at the same time send it once', async (t) => {
  const simulation = await startSimulation()
  const key = simulation.key(1)
  const calls = ['entry-1', 'entry-2', 'entry-3'].map((name) => simulation.daemon(name).call({ key }))
  await simulation.clock.advance(10_000)
  t.deepEqual((await Promise.all(calls)).map(({ kind }) => kind).sort(), ['replay', 'replay', 'sent'])
  t.deepEqual(simulation.violations(), [])
  simulation.close()
})

test('first daemon paused between grant and send: a repeated call ends as unknown, and the delayed send is the only one', async (t) => {
  const simulation = await startSimulation()
  const key = simulation.key(1)
  const first = simulation.daemon('entry-2').call({ key })
  await untilGranted(simulation, 'entry-2')
  simulation.daemon('entry-2').gate.pause()
  t.is(await resultWithin(simulation, simulation.daemon('entry-3').call({ key }), 20_000), 'unknown')
  simulation.daemon('entry-2').gate.resume()
  await simulation.clock.advance(5_000)
  t.is((await first).kind, 'sent')
  t.is(await resultWithin(simulation, simulation.daemon('entry-3').call({ key }), 5_000), 'replay')
  t.is(simulation.sends.length, 1)
  simulation.close()
})

test('first daemon paused after the send: repeated calls end as unknown until that daemon settles the claim', async (t) => {
  const simulation = await startSimulation()
  const key = simulation.key(1)
  void simulation.daemon('entry-2').call({ key })
  await untilSent(simulation)
  simulation.daemon('entry-2').gate.pause()
  t.is(await resultWithin(simulation, simulation.daemon('entry-3').call({ key }), 20_000), 'unknown')
  simulation.daemon('entry-2').gate.resume()
  await simulation.clock.advance(5_000)
  t.is(await resultWithin(simulation, simulation.daemon('entry-3').call({ key }), 5_000), 'replay')
  t.is(simulation.sends.length, 1)
  simulation.close()
})

for (const moment of ['before', 'after'] as const) {
  test(`first daemon killed ${moment} the send and restarted with the same name: repeated calls keep ending as unknown`, async (t) => {
    const simulation = await startSimulation()
    const key = simulation.key(1)
    void simulation.daemon('entry-2').call({ key })
    await (moment === 'before' ? untilGranted(simulation, 'entry-2') : untilSent(simulation))
    simulation.daemon('entry-2').gate.kill()
    t.is(await resultWithin(simulation, simulation.daemon('entry-3').call({ key }), 20_000), 'unknown')
    // The new process has no record of the claim and must not report that the request was never sent.
    simulation.restart('entry-2')
    await simulation.clock.advance(5_000)
    t.is(await resultWithin(simulation, simulation.daemon('entry-2').call({ key }), 20_000), 'unknown')
    t.is(simulation.sends.length, moment === 'before' ? 0 : 1)
    simulation.close()
  })
}

test('a claim is granted once although the reply to its append was lost', async (t) => {
  const simulation = await startSimulation()
  const key = simulation.key(1)
  simulation.service.loseReplies(1)
  const calls = ['entry-2', 'entry-3'].map((name) => simulation.daemon(name).call({ key }))
  await simulation.clock.advance(10_000)
  t.deepEqual((await Promise.all(calls)).map(({ kind }) => kind).sort(), ['replay', 'sent'])
  t.is(simulation.sends.length, 1)
  simulation.close()
})

test('log service down: the call is refused as not run before its deadline, and the key is free after the recovery', async (t) => {
  const simulation = await startSimulation()
  const key = simulation.key(1)
  simulation.service.setDown(true)
  t.is(await resultWithin(simulation, simulation.daemon('entry-2').call({ key, waitMilliseconds: 4_000 }), 6_000), 'refused')
  simulation.service.setDown(false)
  await simulation.clock.advance(15_000)
  t.is(await resultWithin(simulation, simulation.daemon('entry-3').call({ key }), 5_000), 'sent')
  t.deepEqual(simulation.violations(), [])
  simulation.close()
})

test('log service slow: a grant that arrives after the claim was given up is not used, and the key is freed', async (t) => {
  const simulation = await startSimulation()
  const key = simulation.key(1)
  simulation.delays.request = 3_000
  const first = simulation.daemon('entry-2').call({ key, waitMilliseconds: 1_500 })
  t.is(await resultWithin(simulation, first, 2_000), 'refused')
  await simulation.clock.advance(15_000)
  simulation.delays.request = 2
  await simulation.clock.advance(5_000)
  t.is(simulation.sends.length, 0)
  t.is(await resultWithin(simulation, simulation.daemon('entry-3').call({ key }), 15_000), 'sent')
  t.deepEqual(simulation.violations(), [])
  simulation.close()
})

test('log service slow: a claim is granted before its deadline although the client has to repeat its message several times', async (t) => {
  const simulation = await startSimulation()
  simulation.delays.request = 3_500
  t.is(await resultWithin(simulation, simulation.daemon('entry-2').call({ key: simulation.key(1) }), 20_000), 'sent')
  simulation.close()
})

test('a key older than the horizon is refused without an append', async (t) => {
  const simulation = await startSimulation()
  const batches = () => simulation.service.contents(simulation.stream).filter(({ value }) => (value as { kind: string }).kind === 'batch').length
  t.is(await resultWithin(simulation, simulation.daemon('entry-2').call({ key: simulation.key(1, HORIZON_MILLISECONDS + 1) }), 5_000), 'refused')
  await simulation.clock.advance(2_000)
  t.is(batches(), 0)
  simulation.close()
})

test('a request refused after its grant is settled as not run, and the key can be used again', async (t) => {
  const simulation = await startSimulation()
  const key = simulation.key(1)
  t.is(await resultWithin(simulation, simulation.daemon('entry-2').call({ key, isRefusedAfterGrant: true }), 5_000), 'refused-after-grant')
  t.is(await resultWithin(simulation, simulation.daemon('entry-3').call({ key }), 5_000), 'sent')
  t.deepEqual(simulation.violations(), [])
  simulation.close()
})

test('owner paused beyond its lease during an append: the delayed record is rejected, and no delayed grant is used', async (t) => {
  const simulation = await startSimulation()
  const key = simulation.key(1)
  // The append is sent before the owner is paused and reaches the log after the epoch of the next owner has begun.
  simulation.delays.request = 40_000
  const first = simulation.daemon('entry-2').call({ key, waitMilliseconds: 120_000 })
  await simulation.clock.advance(30)
  simulation.daemon('entry-1').gate.pause()
  simulation.delays.request = 2
  simulation.daemon('entry-2').gate.pause()
  await simulation.clock.advance(15_000)
  const second = simulation.daemon('entry-3').call({ key, waitMilliseconds: 60_000 })
  t.is(await resultWithin(simulation, second, 30_000), 'sent')
  await simulation.clock.advance(40_000)
  simulation.daemon('entry-1').gate.resume()
  simulation.daemon('entry-2').gate.resume()
  await simulation.clock.advance(20_000)
  t.is((await first).kind, 'replay')
  t.is(simulation.sends.length, 1)
  t.deepEqual(simulation.violations(), [])
  simulation.close()
})

test('owner paused between append and grant: the key is sent exactly once, although a second daemon claims it before another daemon has acquired the lease', async (t) => {
  const simulation = await startSimulation()
  const key = simulation.key(1)
  const first = simulation.daemon('entry-2').call({ key, waitMilliseconds: 120_000 })
  const hasBatch = () => simulation.service.contents(simulation.stream).some(({ value }) => (value as { kind: string }).kind === 'batch')
  for (let step = 0; step < 1_000 && !hasBatch(); step++) await simulation.clock.advance(1)
  simulation.daemon('entry-1').gate.pause()
  // At this point no other daemon has acquired the lease, so the claim of entry-2 is still pending.
  await simulation.clock.advance(14_000)
  const second = simulation.daemon('entry-3').call({ key, waitMilliseconds: 60_000 })
  await simulation.clock.advance(30_000)
  simulation.daemon('entry-1').gate.resume()
  await simulation.clock.advance(20_000)
  t.deepEqual([(await first).kind, (await second).kind].filter((kind) => kind === 'sent').length, 1)
  t.is(simulation.sends.length, 1)
  t.deepEqual(simulation.violations(), [])
  simulation.close()
})

test('owner killed between append and grant: the next owner grants the same claim', async (t) => {
  const simulation = await startSimulation()
  const key = simulation.key(1)
  const first = simulation.daemon('entry-2').call({ key, waitMilliseconds: 60_000 })
  const hasBatch = () => simulation.service.contents(simulation.stream).some(({ value }) => (value as { kind: string }).kind === 'batch')
  for (let step = 0; step < 1_000 && !hasBatch(); step++) await simulation.clock.advance(1)
  simulation.daemon('entry-1').gate.kill()
  t.is(await resultWithin(simulation, first, 40_000), 'sent')
  await simulation.clock.advance(5_000)
  t.is(await resultWithin(simulation, simulation.daemon('entry-3').call({ key }), 5_000), 'replay')
  t.is(simulation.sends.length, 1)
  simulation.close()
})

test('a settlement is not lost when the owner is killed', async (t) => {
  const simulation = await startSimulation()
  const key = simulation.key(1)
  const first = simulation.daemon('entry-2').call({ key })
  await untilSent(simulation)
  simulation.daemon('entry-1').gate.kill()
  await simulation.clock.advance(CALL_MILLISECONDS + 30_000)
  t.is((await first).kind, 'sent')
  t.is(simulation.daemon('entry-2').client.unsettledCount(), 0)
  simulation.daemon('entry-2').gate.kill()
  await simulation.clock.advance(30_000)
  t.is(await resultWithin(simulation, simulation.daemon('entry-3').call({ key }), 20_000), 'replay')
  simulation.close()
})

test('records expired: after all daemons have restarted from a snapshot, the key is not sent again', async (t) => {
  const simulation = await startSimulation()
  const key = simulation.key(1)
  t.is(await resultWithin(simulation, simulation.daemon('entry-2').call({ key }), 5_000), 'sent')
  await simulation.clock.advance(90_000)
  t.true(simulation.expireToSnapshot())
  for (const name of ['entry-1', 'entry-2', 'entry-3']) simulation.restart(name)
  await simulation.clock.advance(30_000)
  t.is(await resultWithin(simulation, simulation.daemon('entry-3').call({ key }), 20_000), 'replay')
  t.is(simulation.sends.length, 1)
  simulation.close()
})

test('a state request gives up a pending claim: a grant that arrives afterwards is not used', async (t) => {
  const simulation = await startSimulation()
  const key = simulation.key(1)
  const first = simulation.daemon('entry-2').call({ key })
  await simulation.clock.advance(1)
  // Id of the first claim of the second process that was started.
  t.deepEqual(simulation.daemon('entry-2').client.claimState('entry-2/run1/0'), { kind: 'not-sent' })
  t.is(await resultWithin(simulation, first, 5_000), 'refused')
  await simulation.clock.advance(BEFORE_SEND_MILLISECONDS + 5_000)
  t.is(simulation.sends.length, 0)
  t.is(await resultWithin(simulation, simulation.daemon('entry-3').call({ key }), 5_000), 'sent')
  simulation.close()
})

test('a call settled as unknown is never sent again', async (t) => {
  const simulation = await startSimulation()
  const key = simulation.key(1)
  void simulation.daemon('entry-2').call({ key })
  await untilSent(simulation)
  void simulation.daemon('entry-2').client.settle('entry-2/run1/0', 'unknown')
  await simulation.clock.advance(3_000)
  for (const name of ['entry-1', 'entry-3']) t.is(await resultWithin(simulation, simulation.daemon(name).call({ key }), 5_000), 'unknown')
  t.is(simulation.sends.length, 1)
  simulation.close()
})

test('a hundred simultaneous claims share appends, at most three per second', async (t) => {
  const simulation = await startSimulation()
  const before = simulation.service.appendCount()
  const startedAt = simulation.clock.now()
  const calls = Array.from({ length: 100 }, (unused, index) => simulation.daemon(`entry-${1 + index % 3}`).call({ key: simulation.key(index) }))
  await simulation.clock.advance(5_000)
  t.true((await Promise.all(calls)).every(({ kind }) => kind === 'sent'))
  const seconds = (simulation.clock.now() - startedAt) / 1_000
  // Lease renewals add one append every 3 s.
  t.true(simulation.service.appendCount() - before <= 3 * seconds + 1 + seconds / 3 + 1)
  simulation.close()
})
