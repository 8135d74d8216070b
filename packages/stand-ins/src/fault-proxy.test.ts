import test, { type ExecutionContext } from 'ava'
import { createManualClock } from '@fuchsiastage/clock'
import { startFaultProxy } from './fault-proxy.js'
import { createTestClient, waitUntil } from './http-test-client.js'
import { createServiceStandIn } from './service-stand-in.js'

async function start (t: ExecutionContext, callMilliseconds = 0) {
  const clock = createManualClock()
  const service = await createServiceStandIn({ clock, callMilliseconds })
  const proxy = await startFaultProxy({ clock, target: service.address })
  const client = createTestClient(proxy.address)
  t.teardown(async () => {
    await client.close()
    await proxy.close()
    await service.close()
  })
  const call = (requestId: string) => client.send('/call', { headers: { 'x-request-id': requestId } })
  return { clock, service, proxy, call }
}

test('mode pass: requests and answers pass', async (t) => {
  const { proxy, call } = await start(t)
  t.is((await call('r-1')).json.request, 'r-1')
  t.true(proxy.counts().forwardedBytes > 0)
})

test('mode cut: open connections are closed and new ones refused until the mode changes', async (t) => {
  const { service, proxy, call } = await start(t, 1_000)
  const calling = t.throwsAsync(call('r-1'))
  await waitUntil(() => service.counts().running === 1)
  proxy.setMode({ kind: 'cut' })
  await calling
  await t.throwsAsync(call('r-2'))
  service.control({ callMilliseconds: 0 })
  proxy.setMode({ kind: 'pass' })
  t.is((await call('r-3')).status, 200)
})

test('a cut of the open connections leaves new ones alone', async (t) => {
  const { service, proxy, call } = await start(t, 1_000)
  const calling = t.throwsAsync(call('r-1'))
  await waitUntil(() => service.counts().running === 1)
  proxy.cutOpen()
  await calling
  service.control({ callMilliseconds: 0 })
  t.is((await call('r-2')).status, 200)
})

test('silence: an open connection carries nothing more while new ones pass', async (t) => {
  const { clock, service, proxy, call } = await start(t, 1_000)
  let isSettled = false
  const calling = call('r-1').then(() => { isSettled = true }, () => {})
  await waitUntil(() => service.counts().running === 1)
  proxy.silenceOpen()
  await clock.advance(1_000)
  await waitUntil(() => service.counts().running === 0)
  service.control({ callMilliseconds: 0 })
  t.is((await call('r-2')).status, 200)
  t.false(isSettled)
  await proxy.close()
  await calling
})

test('mode delay: bytes arrive only after the delay', async (t) => {
  const { clock, service, proxy, call } = await start(t)
  proxy.setMode({ kind: 'delay', milliseconds: 500 })
  const calling = call('r-1')
  await waitUntil(() => clock.pendingTimers() === 1)
  t.is(service.counts().arrived, 0)
  let isAnswered = false
  const answered = calling.then((answer) => {
    isAnswered = true
    return answer
  })
  while (!isAnswered) await clock.advance(500)
  t.is((await answered).status, 200)
})

test('mode blocked: connections are accepted but carry nothing', async (t) => {
  const { service, proxy, call } = await start(t)
  proxy.setMode({ kind: 'blocked' })
  const calling = t.throwsAsync(call('r-1'))
  await waitUntil(() => proxy.counts().silenced === 1)
  proxy.setMode({ kind: 'pass' })
  t.is((await call('r-2')).status, 200)
  t.is(service.counts().arrived, 1)
  await proxy.close()
  await calling
})
