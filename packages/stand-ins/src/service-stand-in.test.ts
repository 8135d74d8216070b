import { createHash } from 'node:crypto'
import test, { type ExecutionContext } from 'ava'
import { createManualClock } from '@fuchsiastage/clock'
import { createTestClient, waitUntil } from './http-test-client.js'
import { createServiceStandIn, type ServiceStandInOptions } from './service-stand-in.js'

async function start (t: ExecutionContext, options: Partial<ServiceStandInOptions> = {}) {
  const clock = createManualClock()
  const service = await createServiceStandIn({ clock, name: 'ledger', callMilliseconds: 0, loadReportLagMilliseconds: 0, ...options })
  const client = createTestClient(service.address)
  t.teardown(async () => {
    await client.close()
    await service.close()
  })
  const pay = (requestId: string, key = 'key-1') =>
    client.send('/payouts/7', { headers: { 'x-request-id': requestId, 'idempotency-key': key }, body: { amount: 3 } })
  return { clock, service, client, pay }
}

test('a call to any path runs and the response describes its request', async (t) => {
  const { service, client, pay } = await start(t)
  const response = await pay('r-1')
  t.deepEqual(response.json, {
    service: 'ledger',
    request: 'r-1',
    method: 'POST',
    path: '/payouts/7',
    bodySha256: createHash('sha256').update('{"amount":3}').digest('hex')
  })
  t.is(response.headers['x-request-id'], 'r-1')
  t.is((await client.send('/balances/9?as=pdf')).json.path, '/balances/9')
  t.is(service.counts().runs, 2)
})

test('repeated runs show in the counts by key and by request', async (t) => {
  const { service, pay } = await start(t)
  await pay('r-1')
  await pay('r-1')
  await pay('r-2')
  t.deepEqual([service.counts().runsByKey, service.counts().runsByRequest], [{ 'key-1': 3 }, { 'r-1': 2, 'r-2': 1 }])
})

test('a call takes the configured time', async (t) => {
  const { clock, service, pay } = await start(t, { callMilliseconds: 50 })
  const paying = pay('r-1')
  await waitUntil(() => service.counts().running === 1)
  await clock.advance(50)
  t.is((await paying).status, 200)
})

test('calls beyond the maximum are refused as busy and do not run', async (t) => {
  const { clock, service, pay } = await start(t, { callMilliseconds: 50, maximumConcurrent: 1 })
  const first = pay('r-1')
  await waitUntil(() => service.counts().running === 1)
  t.deepEqual((await pay('r-2')).json, { code: 'busy' })
  await clock.advance(50)
  await first
  t.is(service.counts().runs, 1)
})

test('fault freeze: a call runs only after the freeze ends', async (t) => {
  const { service, pay } = await start(t)
  service.control({ frozen: true })
  const paying = pay('r-1')
  await waitUntil(() => service.counts().frozenRequests === 1)
  t.is(service.counts().runs, 0)
  service.control({ frozen: false })
  t.is((await paying).status, 200)
})

test('fault cut before run: the connection is closed and the call does not run', async (t) => {
  const { service, pay } = await start(t)
  service.control({ cutBeforeRun: 1 })
  await t.throwsAsync(pay('r-1'))
  t.deepEqual([service.counts().arrived, service.counts().runs], [1, 0])
  t.is((await pay('r-2')).status, 200)
})

test('fault cut after run: the call runs although its connection is closed without a response', async (t) => {
  const { service, pay } = await start(t)
  service.control({ cutAfterRun: 1 })
  await t.throwsAsync(pay('r-1'))
  t.is(service.counts().runs, 1)
  t.is((await pay('r-2')).status, 200)
})

test('fault slow: a call runs only after the delay', async (t) => {
  const { clock, service, pay } = await start(t)
  service.control({ slowMilliseconds: 500 })
  const paying = pay('r-1')
  await waitUntil(() => clock.pendingTimers() === 1)
  t.is(service.counts().runs, 0)
  await clock.advance(500)
  t.is((await paying).status, 200)
})

test('fault cross answers: the response and its request id are those of another request', async (t) => {
  const { service, pay } = await start(t)
  await pay('r-1')
  service.control({ crossAnswers: 1 })
  const response = await pay('r-2')
  t.deepEqual([response.headers['x-request-id'], response.json.request], ['r-1', 'r-1'])
})

test('fault leaving: calls are refused and do not run', async (t) => {
  const { service, client, pay } = await start(t)
  service.control({ state: 'leaving' })
  const response = await pay('r-1')
  t.deepEqual([response.status, response.json], [503, { code: 'leaving' }])
  t.is((await client.send('/state')).json.state, 'leaving')
  t.is(service.counts().runs, 0)
})

test('fault restart: connections are closed and a new incarnation starts', async (t) => {
  const { service, pay } = await start(t, { callMilliseconds: 50 })
  const before = service.counts().incarnation
  const paying = t.throwsAsync(pay('r-1'))
  await waitUntil(() => service.counts().running === 1)
  service.control({ restart: true })
  await paying
  t.not(service.counts().incarnation, before)
})
