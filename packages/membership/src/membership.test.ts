import test from 'ava'
import type { MemberStatus } from './index.js'
import { advanceUntil, createCluster, makeVm } from './cluster.test-helper.js'

const allHaveStatus = (statuses: readonly MemberStatus[], ...accepted: readonly MemberStatus[]): boolean => statuses.every((status) => accepted.includes(status))

test('no member is suspected when there are no faults', async (t) => {
  const cluster = createCluster({ size: 8 })
  const observedStatuses = new Set<string>()
  for (const name of cluster.names()) cluster.membership(name).events.on('member', (data) => { observedStatuses.add(data.status) })
  await cluster.clock.advance(120_000)
  t.deepEqual([...observedStatuses], [])
  await cluster.close()
})

test('no running member of 16 is marked as failed when 5% of the messages are lost', async (t) => {
  const cluster = createCluster({ size: 16, lossProbability: 0.05, seed: 3 })
  const failedMembers: string[] = []
  for (const name of cluster.names()) cluster.membership(name).events.on('member', (data) => { if (data.status === 'failed') failedMembers.push(data.name) })
  await cluster.clock.advance(300_000)
  t.deepEqual(failedMembers, [])
  await cluster.close()
})

test('no running member of 64 is marked as failed when 10% of the messages are lost', async (t) => {
  const cluster = createCluster({ size: 64, lossProbability: 0.1, seed: 4 })
  const failedMembers: string[] = []
  for (const name of cluster.names()) cluster.membership(name).events.on('member', (data) => { if (data.status === 'failed') failedMembers.push(data.name) })
  await cluster.clock.advance(200_000)
  t.deepEqual(failedMembers, [])
  await cluster.close()
})

test('all other members mark a killed member as failed within 15 s, with each of five seeds', async (t) => {
  const times: number[] = []
  for (const seed of [1, 2, 3, 4, 5]) {
    const cluster = createCluster({ size: 8, seed })
    await cluster.clock.advance(10_000)
    cluster.kill('entry-3')
    const time = await advanceUntil(cluster, () => allHaveStatus(cluster.viewsOf('entry-3'), 'failed'), 15_000)
    t.not(time, undefined, `seed ${seed}`)
    times.push(time ?? Infinity)
    t.true(cluster.membership('entry-1').memberList().includes('entry-3'), 'a failed member still counts for majorities')
    t.false(cluster.membership('entry-1').liveDaemons().includes('entry-3'))
    await cluster.close()
  }
  t.log(`all other members of 8 detected the failure after ${times.join(', ')} ms`)
})

test('a failed member is removed from the member list when the VM list no longer contains it', async (t) => {
  const cluster = createCluster({ size: 8 })
  await cluster.clock.advance(5_000)
  cluster.kill('entry-3')
  await cluster.clock.advance(20_000)
  cluster.setVms(cluster.vms().filter(({ name }) => name !== 'entry-3'))
  await cluster.clock.advance(5_000)
  for (const name of cluster.names().filter((other) => other !== 'entry-3')) t.is(cluster.membership(name).memberList().length, 7)
  await cluster.close()
})

test('a member refutes the suspicion after a short pause and is never marked as failed', async (t) => {
  const cluster = createCluster({ size: 8, seed: 2 })
  const statusChanges: string[] = []
  for (const name of cluster.names()) cluster.membership(name).events.on('member', (data) => { statusChanges.push(`${data.name} ${data.status}`) })
  await cluster.clock.advance(10_000)
  cluster.pause('entry-4')
  const suspected = await advanceUntil(cluster, () => cluster.viewsOf('entry-4').includes('suspect'), 10_000)
  t.not(suspected, undefined)
  cluster.resume('entry-4')
  await cluster.clock.advance(15_000)
  t.true(allHaveStatus(cluster.viewsOf('entry-4'), 'alive'))
  t.false(statusChanges.some((event) => event.endsWith('failed')), 'a member was marked as failed')
  await cluster.close()
})

test('a member that was paused for a minute is marked as failed, becomes alive again with a higher incarnation, and suspects no other member', async (t) => {
  const cluster = createCluster({ size: 8, seed: 4 })
  await cluster.clock.advance(10_000)
  cluster.pause('entry-4')
  await cluster.clock.advance(60_000)
  t.true(allHaveStatus(cluster.viewsOf('entry-4'), 'failed'))
  const statusChangesOfOthers: string[] = []
  for (const name of cluster.names()) cluster.membership(name).events.on('member', (data) => { if (data.name !== 'entry-4') statusChangesOfOthers.push(`${data.name} ${data.status}`) })
  cluster.resume('entry-4')
  const time = await advanceUntil(cluster, () => allHaveStatus(cluster.viewsOf('entry-4'), 'alive'), 20_000)
  t.log(`all other members of 8 marked it as alive after ${time} ms`)
  t.not(time, undefined)
  t.deepEqual(statusChangesOfOthers, [])
  await cluster.close()
})

test('a broken connection between two members makes neither suspect, because indirect probes through other members succeed', async (t) => {
  const cluster = createCluster({ size: 8, seed: 11 })
  const statusChanges: string[] = []
  for (const name of cluster.names()) cluster.membership(name).events.on('member', (data) => { statusChanges.push(`${data.name} ${data.status}`) })
  cluster.setLossRule((from, to) => [from, to].sort().join() === 'entry-1,entry-2')
  await cluster.clock.advance(60_000)
  t.deepEqual(statusChanges, [])
  await cluster.close()
})

test('a member that was paused during a probe does not suspect the probed member when it resumes', async (t) => {
  // With only two members there is no third one that could probe indirectly.
  const cluster = createCluster({ size: 2, seed: 12 })
  await cluster.clock.advance(5_000)
  const statusChanges: string[] = []
  cluster.membership('entry-1').events.on('member', (data) => { statusChanges.push(`${data.name} ${data.status}`) })
  for (let pauses = 0; pauses < 10; pauses++) {
    let isPaused = false
    cluster.setLossRule((from, to, kind) => {
      if (from !== 'entry-1' || kind !== 'call' || isPaused) return false
      isPaused = true
      cluster.pause('entry-1')
      return false
    })
    await cluster.clock.advance(2_500)
    cluster.resume('entry-1')
    cluster.setLossRule(() => false)
    await cluster.clock.advance(3_000)
  }
  t.deepEqual(statusChanges, [])
  await cluster.close()
})

test('a member that was paused during a suspicion does not mark the suspect as failed when it resumes, because it may not have read the refutation yet', async (t) => {
  const cluster = createCluster({ size: 8, seed: 13 })
  await cluster.clock.advance(5_000)
  cluster.pause('entry-4')
  const isSuspect = (): boolean => cluster.membership('entry-1').members().some(({ vm, status }) => vm.name === 'entry-4' && status === 'suspect')
  t.not(await advanceUntil(cluster, isSuspect, 10_000), undefined)
  const statusChanges: string[] = []
  cluster.membership('entry-1').events.on('member', (data) => { statusChanges.push(`${data.name} ${data.status}`) })
  cluster.pause('entry-1')
  cluster.resume('entry-4')
  await cluster.clock.advance(20_000)
  cluster.resume('entry-1')
  await cluster.clock.advance(20_000)
  t.deepEqual(statusChanges, ['entry-4 alive'])
  await cluster.close()
})

test('a daemon that restarts with the same name becomes alive again, although its incarnation starts at 0', async (t) => {
  const cluster = createCluster({ size: 8, seed: 5 })
  await cluster.clock.advance(10_000)
  cluster.membership('entry-2').leave()
  await cluster.clock.advance(5_000)
  t.true(allHaveStatus(cluster.viewsOf('entry-2'), 'leaving'))
  cluster.kill('entry-2')
  await cluster.clock.advance(30_000)
  cluster.restart('entry-2')
  await cluster.clock.advance(20_000)
  t.true(allHaveStatus(cluster.viewsOf('entry-2'), 'alive'))
  await cluster.close()
})

test('all members mark a leaving daemon as leaving within 3 s, and it stays leaving while it responds to probes', async (t) => {
  const cluster = createCluster({ size: 8, seed: 6 })
  await cluster.clock.advance(10_000)
  cluster.membership('entry-2').leave()
  const time = await advanceUntil(cluster, () => allHaveStatus(cluster.viewsOf('entry-2'), 'leaving'), 3_000)
  t.not(time, undefined)
  await cluster.clock.advance(30_000)
  t.true(allHaveStatus(cluster.viewsOf('entry-2'), 'leaving'))
  t.false(cluster.membership('entry-1').liveDaemons().includes('entry-2'))
  await cluster.close()
})

test('a daemon that the VM list shows as leaving emits selfLeaving, and the other members mark it as leaving', async (t) => {
  const cluster = createCluster({ size: 8 })
  await cluster.clock.advance(5_000)
  const selfLeavingEmitted = cluster.membership('entry-5').events.once('selfLeaving').then(() => true)
  cluster.setVms(cluster.vms().map((vm) => vm.name === 'entry-5' ? { ...vm, state: 'leaving' as const } : vm))
  await cluster.clock.advance(3_000)
  t.true(await selfLeavingEmitted)
  t.true(allHaveStatus(cluster.viewsOf('entry-5'), 'leaving'))
  await cluster.close()
})

test('a member that cannot read the VM list learns of a leaving target within 3 s after the list shows it', async (t) => {
  const cluster = createCluster({ size: 8 })
  const target = makeVm('drafter-1', 100, 'drafter')
  cluster.setVms([...cluster.vms(), target])
  await cluster.clock.advance(10_000)
  cluster.disconnectFromList('entry-7')
  cluster.setVms(cluster.vms().map((vm) => vm.name === target.name ? { ...vm, state: 'leaving' as const } : vm))
  const time = await advanceUntil(cluster, () => cluster.membership('entry-7').isTargetLeaving(target), 3_000)
  t.log(`learned of the leaving target after ${time} ms`)
  t.not(time, undefined)
  // An outdated list may show the target as live again; that must not withdraw the mark.
  cluster.setVms(cluster.vms().map((vm) => vm.name === target.name ? target : vm))
  await cluster.clock.advance(30_000)
  for (const name of cluster.names()) t.true(cluster.membership(name).isTargetLeaving(target))
  await cluster.close()
})

test('a replacement with the same name as a leaving target is not leaving', async (t) => {
  const cluster = createCluster({ size: 4 })
  await cluster.clock.advance(3_000)
  const target = makeVm('drafter-1', 100, 'drafter')
  cluster.membership('entry-1').markTargetLeaving('drafter-1', 'incarnation', 'first')
  await cluster.clock.advance(3_000)
  const { membership } = cluster
  t.true(membership('entry-4').isTargetLeaving({ ...target, incarnation: 'first' }))
  t.true(membership('entry-4').isTargetLeaving(target), 'without a known incarnation the daemon fails closed and treats the target as leaving')
  t.false(membership('entry-4').isTargetLeaving({ ...target, incarnation: 'second' }))
  t.deepEqual(membership('entry-4').leavingTargets(), ['drafter-1'])
  await cluster.close()
})

test('payloads of other controllers are part of the exchanges, and only those in responses have a bound on their age', async (t) => {
  const cluster = createCluster({ size: 4 })
  const received: Array<{ readonly from: string, readonly roundTrip: number | undefined }> = []
  for (const name of cluster.names()) {
    cluster.membership(name).attachPayload('c', {
      produce: () => ({ position: name }),
      receive: ({ member, value, roundTripMilliseconds }) => {
        t.deepEqual(value, { position: member })
        if (name === 'entry-1') received.push({ from: member, roundTrip: roundTripMilliseconds })
      }
    })
  }
  cluster.membership('entry-1').attachPayload('big', { produce: () => 'x'.repeat(300), receive: () => t.fail('a payload over the size limit was sent') })
  await cluster.clock.advance(20_000)
  t.deepEqual([...new Set(received.map(({ from }) => from))].sort(), ['entry-2', 'entry-3', 'entry-4'])
  t.true(received.some(({ roundTrip }) => roundTrip === undefined) && received.some(({ roundTrip }) => roundTrip === 4))
  await cluster.close()
})

test('the two sides of a partition mark each other as failed and recover after it heals', async (t) => {
  const cluster = createCluster({ size: 8, seed: 8 })
  await cluster.clock.advance(10_000)
  const isLeft = (name: string): boolean => Number(name.slice(6)) <= 4
  cluster.setLossRule((from, to) => isLeft(from) !== isLeft(to))
  await cluster.clock.advance(60_000)
  const statusesAt = (name: string) => cluster.membership(name).members()
  for (const name of cluster.names()) {
    t.true(statusesAt(name).every(({ vm, status }) => status === (isLeft(vm.name) === isLeft(name) ? 'alive' : 'failed')), name)
    t.is(cluster.membership(name).memberList().length, 8)
  }
  cluster.setLossRule(() => false)
  const isHealed = (): boolean => cluster.names().every((name) => statusesAt(name).every(({ status }) => status === 'alive'))
  const time = await advanceUntil(cluster, isHealed, 60_000)
  t.log(`all members were alive again after ${time} ms`)
  t.not(time, undefined)
  await cluster.clock.advance(60_000)
  t.true(isHealed(), 'outdated updates from the partition marked members as failed again')
  await cluster.close()
})

test('failure detection continues with the last VM list while the list is unavailable', async (t) => {
  const cluster = createCluster({ size: 8, seed: 9 })
  await cluster.clock.advance(5_000)
  cluster.setListDown(true)
  await cluster.clock.advance(60_000)
  cluster.kill('entry-6')
  t.not(await advanceUntil(cluster, () => allHaveStatus(cluster.viewsOf('entry-6'), 'failed'), 15_000), undefined)
  t.is(cluster.membership('entry-1').memberList().length, 8)
  await cluster.close()
})

test('messages and bytes per member grow at most with the logarithm of the cluster size, and an update reaches all members within 3 s', async (t) => {
  const measurements: Array<{ readonly size: number, readonly messages: number, readonly bytes: number, readonly busyBytes: number }> = []
  for (const size of [8, 64, 370]) {
    const cluster = createCluster({ size })
    await cluster.clock.advance(5_000)
    const measureRate = async (seconds: number, eachSecond?: (second: number) => void) => {
      const before = { ...cluster.counts }
      for (let second = 0; second < seconds; second++) {
        eachSecond?.(second)
        await cluster.clock.advance(1_000)
      }
      const rate = (total: number): number => total / size / seconds
      return { messages: rate(cluster.counts.messages - before.messages), bytes: rate(cluster.counts.bytes - before.bytes) }
    }
    const idleRate = await measureRate(10)
    cluster.membership('entry-2').markTargetLeaving('drafter-1', 'incarnation', 'first')
    const spreadMilliseconds = await advanceUntil(cluster, () => cluster.names().every((name) => cluster.membership(name).leavingTargets().includes('drafter-1')), 3_000)
    t.not(spreadMilliseconds, undefined, `${size} members`)
    await cluster.clock.advance(20_000)
    // One target per second starts to leave, which is a far higher rate than in normal operation.
    const busyRate = await measureRate(15, (second) => cluster.membership(`entry-${1 + second % size}`).markTargetLeaving(`target-${second}`, 'incarnation', 'first'))
    t.log(`${size} members, sent per member and second: ${idleRate.messages.toFixed(2)} messages and ${idleRate.bytes.toFixed(0)} bytes when idle, ${busyRate.messages.toFixed(2)} messages and ${busyRate.bytes.toFixed(0)} bytes with one leaving target per second; an update reached all members after ${spreadMilliseconds} ms`)
    measurements.push({ size, messages: idleRate.messages, bytes: idleRate.bytes, busyBytes: busyRate.bytes })
    await cluster.close()
  }
  const [small] = measurements
  for (const { size, messages, bytes, busyBytes } of measurements) {
    const growth = Math.log2(size) / Math.log2(8)
    t.true(messages <= (small?.messages ?? 0) * growth * 1.1)
    t.true(bytes <= (small?.bytes ?? 0) * growth * 1.1)
    t.true(busyBytes <= (small?.busyBytes ?? 0) * growth * 1.1, `${size} members`)
  }
})

test('all other members of 370 mark a killed member as failed', async (t) => {
  const cluster = createCluster({ size: 370 })
  await cluster.clock.advance(5_000)
  cluster.kill('entry-100')
  const time = await advanceUntil(cluster, () => allHaveStatus(cluster.viewsOf('entry-100'), 'failed'), 30_000, 250)
  t.log(`all other members of 370 detected the failure after ${time} ms`)
  t.not(time, undefined)
  await cluster.close()
})

test('after the loss of a data centre, all remaining members of 370 detect every failed member, and no message exceeds the size limit', async (t) => {
  const cluster = createCluster({ size: 370 })
  await cluster.clock.advance(5_000)
  const [survivor = '', lostDaemon = ''] = cluster.names()
  const dataCentreOf = new Map(cluster.vms().map(({ name, dataCentre }) => [name, dataCentre]))
  const lost = cluster.names().filter((name) => dataCentreOf.get(name) === dataCentreOf.get(lostDaemon))
  const survivors = cluster.names().filter((name) => !lost.includes(name))
  for (const name of lost) cluster.kill(name)
  const before = { ...cluster.counts }
  const startedAt = cluster.clock.now()
  const hasDetectedAll = (name: string): boolean => cluster.membership(name).liveDaemons().length === survivors.length
  const time = await advanceUntil(cluster, () => hasDetectedAll(survivor) && survivors.every(hasDetectedAll), 120_000, 1_000)
  const seconds = (cluster.clock.now() - startedAt) / 1_000
  const bytes = (cluster.counts.bytes - before.bytes) / survivors.length / seconds
  t.log(`all remaining members detected ${lost.length} failed members after ${time} ms; ${bytes.toFixed(0)} bytes sent per member and second meanwhile, largest message ${cluster.counts.largest} bytes`)
  t.not(time, undefined)
  t.true(cluster.counts.largest <= 1_100)
  t.true(bytes < 23_000 / 2)
  // No remaining member is wrongly suspected or marked as failed.
  t.true(survivors.every((name) => cluster.membership(name).members().filter(({ status }) => status === 'alive').length === survivors.length))
  await cluster.close()
})
