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

test('mode pass: requests and responses are forwarded', async (t) => {
  const { proxy, call } = await start(t)
  t.is((await call('r-1')).json.request, 'r-1')
  t.true(proxy.counts().forwardedBytes > 0)
})

test('mode cut: open and new connections are closed until the mode changes', async (t) => {
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

test('cutOpen closes the open connections and does not affect new ones', async (t) => {
  const { service, proxy, call } = await start(t, 1_000)
  const calling = t.throwsAsync(call('r-1'))
  await waitUntil(() => service.counts().running === 1)
  proxy.cutOpen()
  await calling
  service.control({ callMilliseconds: 0 })
  t.is((await call('r-2')).status, 200)
})

test('stallOpen: an open connection carries no more bytes while new ones work', async (t) => {
  const { clock, service, proxy, call } = await start(t, 1_000)
  let isSettled = false
  const calling = call('r-1').then(() => { isSettled = true }, () => {})
  await waitUntil(() => service.counts().running === 1)
  proxy.stallOpen()
  await clock.advance(1_000)
  await waitUntil(() => service.counts().running === 0)
  service.control({ callMilliseconds: 0 })
  t.is((await call('r-2')).status, 200)
  t.false(isSettled)
  await proxy.close()
  await calling
})

test('mode delay: bytes are forwarded only after the delay', async (t) => {
  const { clock, service, proxy, call } = await start(t)
  proxy.setMode({ kind: 'delay', milliseconds: 500 })
  const calling = call('r-1')
  await waitUntil(() => clock.pendingTimers() === 1)
  t.is(service.counts().arrived, 0)
  let isResponseReceived = false
  const responding = calling.then((response) => {
    isResponseReceived = true
    return response
  })
  while (!isResponseReceived) await clock.advance(500)
  t.is((await responding).status, 200)
})

test('mode blocked: connections are accepted but carry no bytes, and stay stalled after the mode changes', async (t) => {
  const { service, proxy, call } = await start(t)
  proxy.setMode({ kind: 'blocked' })
  const calling = t.throwsAsync(call('r-1'))
  await waitUntil(() => proxy.counts().stalled === 1)
  proxy.setMode({ kind: 'pass' })
  t.is((await call('r-2')).status, 200)
  t.is(service.counts().arrived, 1)
  await proxy.close()
  await calling
})
