import { createManualClock } from '@fuchsiastage/clock'
import { createMemoryPlatformLog, type MemoryPlatformLog } from '@fuchsiastage/fleet'
import test from 'ava'
import { decodeLeaseRecord, encodeLeaseRecord } from './index.js'
import { SETTINGS, startCandidate } from './order-lease.test-helper.js'

test('exactly one of several daemons holds the lease, without a wait if it was never held before', async (t) => {
  const clock = createManualClock()
  const log = createMemoryPlatformLog(clock)
  const candidates = ['entry-1', 'entry-2', 'entry-3'].map((name) => startCandidate(clock, log, name))
  await clock.advance(1_000)
  t.is(candidates.filter(({ lease }) => lease.termForOrder() !== undefined).length, 1)
  candidates.forEach(({ stop }) => stop())
})

test('a successor waits for the lease validity and then for the quiescence period, and its term is higher', async (t) => {
  const clock = createManualClock()
  const log = createMemoryPlatformLog(clock)
  const first = startCandidate(clock, log, 'entry-1')
  await clock.advance(1_000)
  const firstTerm = first.lease.termForOrder()
  const second = startCandidate(clock, log, 'entry-2')
  await clock.advance(2_000)
  first.stop()
  const stoppedAt = clock.now()
  while (second.lease.termForOrder() === undefined && clock.now() < 60_000) await clock.advance(50)
  // The last renewal may have been up to one renewal period earlier.
  t.true(clock.now() - stoppedAt >= SETTINGS.validMilliseconds - SETTINGS.renewMilliseconds + SETTINGS.quiescenceMilliseconds)
  t.true(clock.now() - stoppedAt <= SETTINGS.validMilliseconds + SETTINGS.quiescenceMilliseconds + 2_000)
  t.true((second.lease.termForOrder() ?? 0) > (firstTerm ?? Infinity))
  second.stop()
})

test('two daemons never send orders within the quiescence period of each other, even through an outage of the log', async (t) => {
  const clock = createManualClock()
  const log = createMemoryPlatformLog(clock)
  const candidates = ['entry-1', 'entry-2', 'entry-3'].map((name) => ({ name, ...startCandidate(clock, log, name) }))
  const orders: Array<{ readonly name: string, readonly at: number }> = []
  const observe = async (milliseconds: number): Promise<void> => {
    for (const end = clock.now() + milliseconds; clock.now() < end;) {
      await clock.advance(100)
      for (const { name, lease } of candidates) if (lease.termForOrder() !== undefined) orders.push({ name, at: clock.now() })
    }
  }
  await observe(3_000)
  log.setDown(true)
  await observe(14_000)
  log.setDown(false)
  await observe(10_000)
  const handovers = orders.filter((order, index) => index > 0 && orders[index - 1]?.name !== order.name)
  for (const handover of handovers) {
    const previousOrder = orders.filter(({ name, at }) => at < handover.at && name !== handover.name).at(-1)
    t.true(handover.at - (previousOrder?.at ?? 0) >= SETTINGS.quiescenceMilliseconds)
  }
  t.true(orders.some(({ at }) => at > 20_000))
  candidates.forEach(({ stop }) => stop())
})

test('a daemon that restarts on the same VM reacquires its lease immediately', async (t) => {
  const clock = createManualClock()
  const log = createMemoryPlatformLog(clock)
  const first = startCandidate(clock, log, 'entry-1')
  await clock.advance(1_000)
  first.stop()
  const restarted = startCandidate(clock, log, 'entry-1')
  await clock.advance(500)
  t.not(restarted.lease.termForOrder(), undefined)
  restarted.stop()
})

test('a daemon that restarts during its waiting period continues to wait', async (t) => {
  const clock = createManualClock()
  const log = createMemoryPlatformLog(clock)
  const first = startCandidate(clock, log, 'entry-1')
  await clock.advance(1_000)
  await first.lease.release(new AbortController().signal)
  const second = startCandidate(clock, log, 'entry-2')
  await clock.advance(500)
  t.is(second.lease.view().kind, 'waiting')
  second.stop()
  const restarted = startCandidate(clock, log, 'entry-2')
  await clock.advance(1_000)
  t.is(restarted.lease.view().kind, 'waiting')
  await clock.advance(SETTINGS.quiescenceMilliseconds)
  t.is(restarted.lease.view().kind, 'holding')
  restarted.stop()
})

test('a renewal whose response was lost takes effect when its record is read', async (t) => {
  const clock = createManualClock()
  const log = createMemoryPlatformLog(clock)
  const { lease, stop } = startCandidate(clock, log, 'entry-1')
  await clock.advance(1_000)
  const term = lease.termForOrder()
  for (let round = 0; round < 12; round++) {
    log.loseNextResponse()
    await clock.advance(1_000)
    t.is(lease.termForOrder(), term)
  }
  stop()
})

test('a forward jump of the wall clock, as after a suspension of the process, stops orders until the next renewal', async (t) => {
  const clock = createManualClock()
  const log = createMemoryPlatformLog(clock)
  let wallStep = 0
  const { lease, stop } = startCandidate(clock, log, 'entry-1', () => clock.wallNow() + wallStep)
  await clock.advance(1_000)
  t.not(lease.termForOrder(), undefined)
  wallStep = SETTINGS.validMilliseconds
  t.is(lease.termForOrder(), undefined)
  await clock.advance(2 * SETTINGS.renewMilliseconds)
  t.not(lease.termForOrder(), undefined)
  stop()
})

test('a daemon that finds expired records waits for the lease validity, because they may hide a holder', async (t) => {
  const clock = createManualClock()
  const log = createMemoryPlatformLog(clock)
  const first = startCandidate(clock, log, 'entry-1')
  await clock.advance(1_000)
  log.expire('orders')
  const second = startCandidate(clock, log, 'entry-2')
  await clock.advance(2_000)
  t.is(second.lease.termForOrder(), undefined)
  first.stop()
  second.stop()
})

test('a daemon that stops during an outage of the log may send orders until it has released the lease', async (t) => {
  const clock = createManualClock()
  const log = createMemoryPlatformLog(clock)
  const first = startCandidate(clock, log, 'entry-1')
  await clock.advance(1_000)
  log.setDown(true)
  const released = first.lease.release(new AbortController().signal)
  await clock.advance(4_000)
  t.not(first.lease.termForOrder(), undefined)
  log.setDown(false)
  await clock.advance(1_000)
  await released
  t.is(first.lease.termForOrder(), undefined)
  const second = startCandidate(clock, log, 'entry-2')
  await clock.advance(SETTINGS.quiescenceMilliseconds + 1_000)
  t.not(second.lease.termForOrder(), undefined)
  second.stop()
})

test('a stop that ends before the log recovers leaves the lease to the next incarnation on the same VM', async (t) => {
  const clock = createManualClock()
  const log = createMemoryPlatformLog(clock)
  const ending = new AbortController()
  const first = startCandidate(clock, log, 'entry-1')
  await clock.advance(1_000)
  log.setDown(true)
  const released = first.lease.release(ending.signal)
  await clock.advance(4_000)
  ending.abort()
  await clock.advance(500)
  await released
  log.setDown(false)
  const restarted = startCandidate(clock, log, 'entry-1')
  await clock.advance(1_000)
  t.is(restarted.lease.view().kind, 'holding')
  restarted.stop()
})

test('other daemons know the minimum time until orders may be sent again', async (t) => {
  const clock = createManualClock()
  const log = createMemoryPlatformLog(clock)
  const first = startCandidate(clock, log, 'entry-1')
  await clock.advance(1_000)
  t.is(first.lease.ordersExpectedIn(), 0)
  const second = startCandidate(clock, log, 'entry-2')
  t.is(second.lease.ordersExpectedIn(), undefined)
  await clock.advance(2_000)
  first.stop()
  const expected = second.lease.ordersExpectedIn() ?? 0
  const startedAt = clock.now()
  while (second.lease.termForOrder() === undefined && clock.now() < 60_000) await clock.advance(50)
  const elapsed = clock.now() - startedAt
  t.true(expected <= elapsed && elapsed < expected + 1_500)
  second.stop()
})

test('a renewal in flight does not undo the release', async (t) => {
  for (let releaseAt = 1_000; releaseAt < 2_300; releaseAt += 20) {
    const clock = createManualClock()
    const log = createMemoryPlatformLog(clock)
    const slowLog: MemoryPlatformLog = {
      ...log,
      append: async (...request) => {
        const answer = await log.append(...request)
        await clock.sleep(30)
        return answer
      }
    }
    const first = startCandidate(clock, slowLog, 'entry-1')
    await clock.advance(releaseAt)
    const released = first.lease.release(new AbortController().signal)
    await clock.advance(300)
    await released
    t.is(first.lease.view().kind, 'watching')
    const second = startCandidate(clock, log, 'entry-2')
    await clock.advance(SETTINGS.quiescenceMilliseconds + 1_000)
    t.is(second.lease.view().kind, 'holding', `release at ${releaseAt} ms`)
    second.stop()
    first.stop()
  }
})

test('a holder that cannot use the lease releases it to a daemon that can, and takes no part until it can again', async (t) => {
  const clock = createManualClock()
  const log = createMemoryPlatformLog(clock)
  let canHold = true
  const first = startCandidate(clock, log, 'entry-1', clock.wallNow, () => canHold)
  await clock.advance(1_000)
  const second = startCandidate(clock, log, 'entry-2')
  await clock.advance(1_000)
  canHold = false
  await clock.advance(SETTINGS.renewMilliseconds + 500)
  t.is(first.lease.termForOrder(), undefined)
  t.is(second.lease.view().kind, 'waiting')
  await clock.advance(SETTINGS.quiescenceMilliseconds + SETTINGS.marginMilliseconds)
  t.not(second.lease.termForOrder(), undefined)
  second.stop()
  await clock.advance(20_000)
  t.is(first.lease.view().kind, 'watching')
  canHold = true
  await clock.advance(20_000)
  t.not(first.lease.termForOrder(), undefined)
  first.stop()
})

test('a holder sends no orders after a release whose response was lost, until it has renewed the lease', async (t) => {
  const clock = createManualClock()
  const log = createMemoryPlatformLog(clock)
  let canHold = true
  let isReleaseSent = false
  const observedLog: MemoryPlatformLog = {
    ...log,
    append: async (...request) => {
      isReleaseSent ||= request[1].toString().includes('"release"')
      if (isReleaseSent) log.loseNextResponse()
      return await log.append(...request)
    }
  }
  const first = startCandidate(clock, observedLog, 'entry-1', clock.wallNow, () => canHold)
  await clock.advance(1_000)
  t.not(first.lease.termForOrder(), undefined)
  canHold = false
  while (!isReleaseSent) await clock.advance(10)
  canHold = true
  // Another daemon may claim the lease from now on.
  const second = startCandidate(clock, log, 'entry-2')
  for (let step = 0; step < 20; step++) {
    t.is(first.lease.termForOrder(), undefined)
    await clock.advance(10)
  }
  await clock.advance(SETTINGS.quiescenceMilliseconds + 2_000)
  t.is(first.lease.termForOrder(), undefined)
  t.not(second.lease.termForOrder(), undefined)
  first.stop()
  second.stop()
})

test('a daemon that released the lease during its waiting period waits on when it claims the lease again', async (t) => {
  const clock = createManualClock()
  const log = createMemoryPlatformLog(clock)
  const first = startCandidate(clock, log, 'entry-1')
  await clock.advance(1_000)
  await first.lease.release(new AbortController().signal)
  let canHold = true
  const second = startCandidate(clock, log, 'entry-2', clock.wallNow, () => canHold)
  const releasedAt = clock.now()
  await clock.advance(500)
  t.is(second.lease.view().kind, 'waiting')
  canHold = false
  await clock.advance(SETTINGS.renewMilliseconds + 100)
  t.is(second.lease.view().kind, 'watching')
  canHold = true
  while (second.lease.termForOrder() === undefined) await clock.advance(50)
  t.true(clock.now() - releasedAt >= SETTINGS.quiescenceMilliseconds)
  second.stop()
})

test('the lease topic tells a daemon where the last holder is and how many daemons there are', async (t) => {
  const clock = createManualClock()
  const log = createMemoryPlatformLog(clock)
  let daemonCount: number | undefined
  const first = startCandidate(clock, log, 'entry-1', clock.wallNow, () => true, () => ({ peerAddress: '10.0.0.1:7380', daemonCount }))
  await clock.advance(1_000)
  const second = startCandidate(clock, log, 'entry-2')
  t.deepEqual(second.lease.fleetStatement(), { holder: undefined, daemonCount: undefined })
  await clock.advance(100)
  t.deepEqual(second.lease.fleetStatement(), { holder: { name: 'entry-1', peerAddress: '10.0.0.1:7380' }, daemonCount: undefined })
  daemonCount = 7
  await clock.advance(SETTINGS.renewMilliseconds + SETTINGS.pollMilliseconds)
  t.is(second.lease.fleetStatement().daemonCount, 7)
  // A holder that cannot tell takes nothing back.
  daemonCount = undefined
  await clock.advance(SETTINGS.renewMilliseconds + SETTINGS.pollMilliseconds)
  t.is(second.lease.fleetStatement().daemonCount, 7)
  first.stop()
  second.stop()
})

test('a record of the lease topic with an odd address or number tells nothing of the fleet', (t) => {
  const record = { kind: 'hold', recordId: 'r1', holder: 'entry-1', validForMilliseconds: 9_000, quietForMilliseconds: 0 } as const
  for (const odd of [{}, { peerAddress: '10.0.0.1:99999', daemonCount: 0 }, { peerAddress: 7, daemonCount: -1 }, { peerAddress: 'entry-1', daemonCount: '7' }]) {
    t.deepEqual(decodeLeaseRecord(Buffer.from(JSON.stringify({ ...record, ...odd }))), record)
  }
  const stated = { ...record, peerAddress: '10.0.0.1:7380', daemonCount: 7 }
  t.deepEqual(decodeLeaseRecord(encodeLeaseRecord(stated)), stated)
})
