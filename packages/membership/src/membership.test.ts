import test from 'ava'
import type { MemberStatus } from './index.js'
import { advanceUntil, createCluster, makeVm } from './cluster.test-helper.js'

const every = (statuses: readonly MemberStatus[], ...accepted: readonly MemberStatus[]): boolean => statuses.every((status) => accepted.includes(status))

test('no member is suspected while nothing fails', async (t) => {
  const cluster = createCluster({ size: 8 })
  const seen = new Set<string>()
  for (const name of cluster.names()) cluster.membership(name).events.on('member', (data) => { seen.add(data.status) })
  await cluster.clock.advance(120_000)
  t.deepEqual([...seen], [])
  await cluster.close()
})

test('no running member is marked failed although one message in twenty is lost', async (t) => {
  const cluster = createCluster({ size: 16, loss: 0.05, seed: 3 })
  const seen: string[] = []
  for (const name of cluster.names()) cluster.membership(name).events.on('member', (data) => { if (data.status === 'failed') seen.push(data.name) })
  await cluster.clock.advance(300_000)
  t.deepEqual(seen, [])
  await cluster.close()
})

test('no running member is marked failed among 64 although one message in ten is lost', async (t) => {
  const cluster = createCluster({ size: 64, loss: 0.1, seed: 4 })
  const seen: string[] = []
  for (const name of cluster.names()) cluster.membership(name).events.on('member', (data) => { if (data.status === 'failed') seen.push(data.name) })
  await cluster.clock.advance(200_000)
  t.deepEqual(seen, [])
  await cluster.close()
})

test('a killed member is failed at every other within 15 s, whatever the seed', async (t) => {
  const times: number[] = []
  for (const seed of [1, 2, 3, 4, 5]) {
    const cluster = createCluster({ size: 8, seed })
    await cluster.clock.advance(10_000)
    cluster.kill('entry-3')
    const time = await advanceUntil(cluster, () => every(cluster.viewsOf('entry-3'), 'failed'), 15_000)
    t.not(time, undefined, `seed ${seed}`)
    times.push(time ?? Infinity)
    t.true(cluster.membership('entry-1').memberList().includes('entry-3'), 'failed members count for majorities')
    t.false(cluster.membership('entry-1').liveDaemons().includes('entry-3'))
    await cluster.close()
  }
  t.log(`detection at all of 8 members: ${times.join(', ')} ms`)
})

test('a failed member leaves the member list when the VM list drops it', async (t) => {
  const cluster = createCluster({ size: 8 })
  await cluster.clock.advance(5_000)
  cluster.kill('entry-3')
  await cluster.clock.advance(20_000)
  cluster.setVms(cluster.vms().filter(({ name }) => name !== 'entry-3'))
  await cluster.clock.advance(5_000)
  for (const name of cluster.names().filter((other) => other !== 'entry-3')) t.is(cluster.membership(name).memberList().length, 7)
  await cluster.close()
})

test('a short pause ends in a refuted suspicion and never in failed', async (t) => {
  const cluster = createCluster({ size: 8, seed: 2 })
  const seen: string[] = []
  for (const name of cluster.names()) cluster.membership(name).events.on('member', (data) => { seen.push(`${data.name} ${data.status}`) })
  await cluster.clock.advance(10_000)
  cluster.pause('entry-4')
  const suspected = await advanceUntil(cluster, () => cluster.viewsOf('entry-4').includes('suspect'), 10_000)
  t.not(suspected, undefined)
  cluster.resume('entry-4')
  await cluster.clock.advance(15_000)
  t.true(every(cluster.viewsOf('entry-4'), 'alive'))
  t.false(seen.some((event) => event.endsWith('failed')), 'a member was marked failed')
  await cluster.close()
})

test('a member paused for a minute is failed, comes back by a higher incarnation, and accuses nobody', async (t) => {
  const cluster = createCluster({ size: 8, seed: 4 })
  await cluster.clock.advance(10_000)
  cluster.pause('entry-4')
  await cluster.clock.advance(60_000)
  t.true(every(cluster.viewsOf('entry-4'), 'failed'))
  const accused: string[] = []
  for (const name of cluster.names()) cluster.membership(name).events.on('member', (data) => { if (data.name !== 'entry-4') accused.push(`${data.name} ${data.status}`) })
  cluster.resume('entry-4')
  const time = await advanceUntil(cluster, () => every(cluster.viewsOf('entry-4'), 'alive'), 20_000)
  t.log(`all 8 members see it alive after ${time} ms`)
  t.not(time, undefined)
  t.deepEqual(accused, [])
  await cluster.close()
})

test('a broken path between two members makes neither suspect, because others reach both', async (t) => {
  const cluster = createCluster({ size: 8, seed: 11 })
  const seen: string[] = []
  for (const name of cluster.names()) cluster.membership(name).events.on('member', (data) => { seen.push(`${data.name} ${data.status}`) })
  cluster.setCut((from, to) => [from, to].sort().join() === 'entry-1,entry-2')
  await cluster.clock.advance(60_000)
  t.deepEqual(seen, [])
  await cluster.close()
})

test('a member paused with a probe under way does not suspect the probed member when it wakes', async (t) => {
  // With two members there is no other that could confirm the probed one.
  const cluster = createCluster({ size: 2, seed: 12 })
  await cluster.clock.advance(5_000)
  const seen: string[] = []
  cluster.membership('entry-1').events.on('member', (data) => { seen.push(`${data.name} ${data.status}`) })
  for (let pauses = 0; pauses < 10; pauses++) {
    let isPaused = false
    cluster.setCut((from, to, kind) => {
      if (from !== 'entry-1' || kind !== 'call' || isPaused) return false
      isPaused = true
      cluster.pause('entry-1')
      return false
    })
    await cluster.clock.advance(2_500)
    cluster.resume('entry-1')
    cluster.setCut(() => false)
    await cluster.clock.advance(3_000)
  }
  t.deepEqual(seen, [])
  await cluster.close()
})

test('a member paused with a suspicion does not mark the suspect failed when it wakes, because it missed the refutation', async (t) => {
  const cluster = createCluster({ size: 8, seed: 13 })
  await cluster.clock.advance(5_000)
  cluster.pause('entry-4')
  const isSuspect = (): boolean => cluster.membership('entry-1').members().some(({ vm, status }) => vm.name === 'entry-4' && status === 'suspect')
  t.not(await advanceUntil(cluster, isSuspect, 10_000), undefined)
  const seen: string[] = []
  cluster.membership('entry-1').events.on('member', (data) => { seen.push(`${data.name} ${data.status}`) })
  cluster.pause('entry-1')
  cluster.resume('entry-4')
  await cluster.clock.advance(20_000)
  cluster.resume('entry-1')
  await cluster.clock.advance(20_000)
  t.deepEqual(seen, ['entry-4 alive'])
  await cluster.close()
})

test('a restarted daemon under the same name is alive again although its incarnation starts anew', async (t) => {
  const cluster = createCluster({ size: 8, seed: 5 })
  await cluster.clock.advance(10_000)
  cluster.membership('entry-2').leave()
  await cluster.clock.advance(5_000)
  t.true(every(cluster.viewsOf('entry-2'), 'leaving'))
  cluster.kill('entry-2')
  await cluster.clock.advance(30_000)
  cluster.restart('entry-2')
  await cluster.clock.advance(20_000)
  t.true(every(cluster.viewsOf('entry-2'), 'alive'))
  await cluster.close()
})

test('a leaving daemon is leaving everywhere within 3 s, and stays so while it answers probes', async (t) => {
  const cluster = createCluster({ size: 8, seed: 6 })
  await cluster.clock.advance(10_000)
  cluster.membership('entry-2').leave()
  const time = await advanceUntil(cluster, () => every(cluster.viewsOf('entry-2'), 'leaving'), 3_000)
  t.not(time, undefined)
  await cluster.clock.advance(30_000)
  t.true(every(cluster.viewsOf('entry-2'), 'leaving'))
  t.false(cluster.membership('entry-1').liveDaemons().includes('entry-2'))
  await cluster.close()
})

test('a daemon that the VM list shows as leaving is told, and is left out by the others', async (t) => {
  const cluster = createCluster({ size: 8 })
  await cluster.clock.advance(5_000)
  const told = cluster.membership('entry-5').events.once('selfLeaving').then(() => true)
  cluster.setVms(cluster.vms().map((vm) => vm.name === 'entry-5' ? { ...vm, state: 'leaving' as const } : vm))
  await cluster.clock.advance(3_000)
  t.true(await told)
  t.true(every(cluster.viewsOf('entry-5'), 'leaving'))
  await cluster.close()
})

test('a member cut off from the VM list learns of a leaving target within 3 s of the list showing it', async (t) => {
  const cluster = createCluster({ size: 8 })
  const target = makeVm('drafter-1', 100, 'drafter')
  cluster.setVms([...cluster.vms(), target])
  await cluster.clock.advance(10_000)
  cluster.cutFromList('entry-7')
  cluster.setVms(cluster.vms().map((vm) => vm.name === target.name ? { ...vm, state: 'leaving' as const } : vm))
  const time = await advanceUntil(cluster, () => cluster.membership('entry-7').isTargetLeaving(target), 3_000)
  t.log(`learnt after ${time} ms`)
  t.not(time, undefined)
  // A list that lags behind shows the target as live again; that is no evidence.
  cluster.setVms(cluster.vms().map((vm) => vm.name === target.name ? target : vm))
  await cluster.clock.advance(30_000)
  for (const name of cluster.names()) t.true(cluster.membership(name).isTargetLeaving(target))
  await cluster.close()
})

test('the replacement of a leaving target under its name is not leaving', async (t) => {
  const cluster = createCluster({ size: 4 })
  await cluster.clock.advance(3_000)
  const target = makeVm('drafter-1', 100, 'drafter')
  cluster.membership('entry-1').markTargetLeaving('drafter-1', 'incarnation', 'first')
  await cluster.clock.advance(3_000)
  const { membership } = cluster
  t.true(membership('entry-4').isTargetLeaving({ ...target, incarnation: 'first' }))
  t.true(membership('entry-4').isTargetLeaving(target), 'without knowing the incarnation the daemon fails closed')
  t.false(membership('entry-4').isTargetLeaving({ ...target, incarnation: 'second' }))
  t.deepEqual(membership('entry-4').leavingTargets(), ['drafter-1'])
  await cluster.close()
})

test('data of other controllers travels with exchanges, and only answers carry a bound on its age', async (t) => {
  const cluster = createCluster({ size: 4 })
  const received: Array<{ readonly from: string, readonly trip: number | undefined }> = []
  for (const name of cluster.names()) {
    cluster.membership(name).attachPayload('c', {
      produce: () => ({ position: name }),
      receive: ({ member, value, roundTripMilliseconds }) => {
        t.deepEqual(value, { position: member })
        if (name === 'entry-1') received.push({ from: member, trip: roundTripMilliseconds })
      }
    })
  }
  cluster.membership('entry-1').attachPayload('big', { produce: () => 'x'.repeat(300), receive: () => t.fail('data over the limit was sent') })
  await cluster.clock.advance(20_000)
  t.deepEqual([...new Set(received.map(({ from }) => from))].sort(), ['entry-2', 'entry-3', 'entry-4'])
  t.true(received.some(({ trip }) => trip === undefined) && received.some(({ trip }) => trip === 4))
  await cluster.close()
})

test('two sides of a partition mark each other failed and find each other again', async (t) => {
  const cluster = createCluster({ size: 8, seed: 8 })
  await cluster.clock.advance(10_000)
  const isLeft = (name: string): boolean => Number(name.slice(6)) <= 4
  cluster.setCut((from, to) => isLeft(from) !== isLeft(to))
  await cluster.clock.advance(60_000)
  const statusesAt = (name: string) => cluster.membership(name).members()
  for (const name of cluster.names()) {
    t.true(statusesAt(name).every(({ vm, status }) => status === (isLeft(vm.name) === isLeft(name) ? 'alive' : 'failed')), name)
    t.is(cluster.membership(name).memberList().length, 8)
  }
  cluster.setCut(() => false)
  const isHealed = (): boolean => cluster.names().every((name) => statusesAt(name).every(({ status }) => status === 'alive'))
  const time = await advanceUntil(cluster, isHealed, 60_000)
  t.log(`healed after ${time} ms`)
  t.not(time, undefined)
  await cluster.clock.advance(60_000)
  t.true(isHealed(), 'late updates of the partition brought failures back')
  await cluster.close()
})

test('while the VM list is down detection goes on with the last listing', async (t) => {
  const cluster = createCluster({ size: 8, seed: 9 })
  await cluster.clock.advance(5_000)
  cluster.setListDown(true)
  await cluster.clock.advance(60_000)
  cluster.kill('entry-6')
  t.not(await advanceUntil(cluster, () => every(cluster.viewsOf('entry-6'), 'failed'), 15_000), undefined)
  t.is(cluster.membership('entry-1').memberList().length, 8)
  await cluster.close()
})

test('messages, bytes and the spread of an update grow at most with the logarithm of the members', async (t) => {
  const measured: Array<{ readonly size: number, readonly messages: number, readonly bytes: number, readonly busyBytes: number }> = []
  for (const size of [8, 64, 370]) {
    const cluster = createCluster({ size })
    await cluster.clock.advance(5_000)
    const measure = async (seconds: number, each?: (second: number) => void) => {
      const before = { ...cluster.counts }
      for (let second = 0; second < seconds; second++) {
        each?.(second)
        await cluster.clock.advance(1_000)
      }
      const rate = (total: number): number => total / size / seconds
      return { messages: rate(cluster.counts.messages - before.messages), bytes: rate(cluster.counts.bytes - before.bytes) }
    }
    const calm = await measure(10)
    cluster.membership('entry-2').markTargetLeaving('drafter-1', 'incarnation', 'first')
    const spread = await advanceUntil(cluster, () => cluster.names().every((name) => cluster.membership(name).leavingTargets().includes('drafter-1')), 3_000)
    t.not(spread, undefined, `${size} members`)
    await cluster.clock.advance(20_000)
    // One target a second leaves, far more than on an ordinary day.
    const busy = await measure(15, (second) => cluster.membership(`entry-${1 + second % size}`).markTargetLeaving(`target-${second}`, 'incarnation', 'first'))
    t.log(`${size} members: calm ${calm.messages.toFixed(2)} messages and ${calm.bytes.toFixed(0)} bytes, one leaving target a second ${busy.messages.toFixed(2)} messages and ${busy.bytes.toFixed(0)} bytes sent by each member and second; an update reaches all in ${spread} ms`)
    measured.push({ size, messages: calm.messages, bytes: calm.bytes, busyBytes: busy.bytes })
    await cluster.close()
  }
  const [small] = measured
  for (const { size, messages, bytes, busyBytes } of measured) {
    const growth = Math.log2(size) / Math.log2(8)
    t.true(messages <= (small?.messages ?? 0) * growth * 1.1)
    t.true(bytes <= (small?.bytes ?? 0) * growth * 1.1)
    t.true(busyBytes <= (small?.busyBytes ?? 0) * growth * 1.1, `${size} members`)
  }
})

test('a killed member of 370 is failed at all others', async (t) => {
  const cluster = createCluster({ size: 370 })
  await cluster.clock.advance(5_000)
  cluster.kill('entry-100')
  const time = await advanceUntil(cluster, () => every(cluster.viewsOf('entry-100'), 'failed'), 30_000, 250)
  t.log(`failed at all of 370 members after ${time} ms`)
  t.not(time, undefined)
  await cluster.close()
})

test('the loss of a data centre of 370 members is known to all others, and no message grows over the bound', async (t) => {
  const cluster = createCluster({ size: 370 })
  await cluster.clock.advance(5_000)
  const [survivor = '', lostDaemon = ''] = cluster.names()
  const dataCentreOf = new Map(cluster.vms().map(({ name, dataCentre }) => [name, dataCentre]))
  const lost = cluster.names().filter((name) => dataCentreOf.get(name) === dataCentreOf.get(lostDaemon))
  const survivors = cluster.names().filter((name) => !lost.includes(name))
  for (const name of lost) cluster.kill(name)
  const before = { ...cluster.counts }
  const startedAt = cluster.clock.now()
  const knowsAll = (name: string): boolean => cluster.membership(name).liveDaemons().length === survivors.length
  const time = await advanceUntil(cluster, () => knowsAll(survivor) && survivors.every(knowsAll), 120_000, 1_000)
  const seconds = (cluster.clock.now() - startedAt) / 1_000
  const bytes = (cluster.counts.bytes - before.bytes) / survivors.length / seconds
  t.log(`${lost.length} failed members known to all after ${time} ms; meanwhile ${bytes.toFixed(0)} bytes sent by each member and second, largest message ${cluster.counts.largest} bytes`)
  t.not(time, undefined)
  t.true(cluster.counts.largest <= 1_100)
  t.true(bytes < 23_000 / 2)
  // None of the others was accused wrongly.
  t.true(survivors.every((name) => cluster.membership(name).members().filter(({ status }) => status === 'alive').length === survivors.length))
  await cluster.close()
})
