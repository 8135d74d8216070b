import test, { type ExecutionContext } from 'ava'
import { createManualClock } from '@fuchsiastage/clock'
import type { VmRecord } from '@fuchsiastage/types'
import { createTestClient } from './http-test-client.js'
import { createVmListStandIn } from './vm-list-stand-in.js'

function vm (name: string, state: VmRecord['state'] = 'live'): VmRecord {
  return { name, role: 'drafter', region: 'bc-coast', dataCentre: 'van-a', address: '127.0.0.1:7100', state }
}

async function start (t: ExecutionContext, lagMilliseconds = 0) {
  const clock = createManualClock()
  const standIn = await createVmListStandIn({ clock, vms: [vm('a'), vm('b')], lagMilliseconds })
  const client = createTestClient(standIn.address)
  t.teardown(async () => {
    await client.close()
    await standIn.close()
  })
  return { clock, standIn, client, read: async () => (await client.send('/vms')).json.vms }
}

test('a control message adds VMs, marks them as leaving and removes them', async (t) => {
  const { standIn, read } = await start(t)
  standIn.control({ add: [vm('c')], markLeaving: ['a'], remove: ['b'] })
  t.deepEqual(await read(), [vm('a', 'leaving'), vm('c')])
})

test('fault lag: a change is returned only after the lag', async (t) => {
  const { clock, standIn, read } = await start(t, 2_000)
  standIn.control({ remove: ['b'] })
  await clock.advance(1_999)
  t.deepEqual(await read(), [vm('a'), vm('b')])
  await clock.advance(1)
  t.deepEqual(await read(), [vm('a')])
})

test('fault lag: the lag can be changed while the stand-in runs', async (t) => {
  const { clock, standIn, read } = await start(t)
  await clock.advance(1_000)
  standIn.control({ lagMilliseconds: 500, remove: ['b'] })
  t.deepEqual(await read(), [vm('a'), vm('b')])
})

test('fault down: a read of the list gets 503', async (t) => {
  const { standIn, client } = await start(t)
  standIn.control({ down: true })
  t.is((await client.send('/vms')).status, 503)
})

test('a VM whose address has no port is refused', async (t) => {
  const { client } = await start(t)
  t.is((await client.send('/control', { body: { add: [{ ...vm('c'), address: '127.0.0.1' }] } })).status, 400)
})
