import test, { type ExecutionContext } from 'ava'
import { createManualClock } from '@fuchsiastage/clock'
import { createEngineStandIn } from './engine-stand-in.js'
import { createTestClient, waitUntil } from './http-test-client.js'
import { createWeightStoreStandIn, type WeightStoreStandInOptions } from './weight-store-stand-in.js'

async function start (t: ExecutionContext, options: Partial<WeightStoreStandInOptions> = {}) {
  const clock = createManualClock()
  const standIn = await createWeightStoreStandIn({ clock, loadsPerSecond: 10, concurrentLoads: 2, megabytesPerSecond: 100, ...options })
  const client = createTestClient(standIn.address)
  t.teardown(async () => {
    await client.close()
    await standIn.close()
  })
  const download = (model: string, weightsMegabytes: number, signal?: AbortSignal) =>
    client.send('/downloads', { body: { model, weightsMegabytes }, ...(signal === undefined ? {} : { signal }) })
  const startDownload = async (model: string, weightsMegabytes: number, signal?: AbortSignal) => {
    const { started } = standIn.counts()
    const response = download(model, weightsMegabytes, signal)
    // A test may end, and close the connection, before its download is complete. The empty handler
    // prevents an unhandled rejection then; a test that awaits the response still sees the failure.
    response.catch(() => {})
    await waitUntil(() => standIn.counts().started > started)
    return { response }
  }
  return { clock, standIn, download, startDownload }
}

test('the time of a download is proportional to its size', async (t) => {
  const { clock, standIn, startDownload } = await start(t)
  const { response } = await startDownload('a', 200)
  await clock.advance(1_999)
  t.is(standIn.counts().finished, 0)
  await clock.advance(1)
  t.is((await response).status, 200)
})

test('downloads beyond the concurrency limit share the bandwidth', async (t) => {
  const { clock, standIn, startDownload } = await start(t)
  const startedDownloads = [await startDownload('a', 100), await startDownload('b', 100), await startDownload('c', 100), await startDownload('d', 100)]
  await clock.advance(1_999)
  t.is(standIn.counts().finished, 0)
  await clock.advance(1)
  await Promise.all(startedDownloads.map(({ response }) => response))
  t.is(standIn.counts().peakActive, 4)
})

test('downloads beyond the concurrency limit are refused if `overConcurrency` is `refuse`', async (t) => {
  const { startDownload, download } = await start(t, { concurrentLoads: 1, overConcurrency: 'refuse' })
  await startDownload('a', 100)
  t.is((await download('b', 100)).status, 429)
})

test('downloads beyond the rate limit are refused with a Retry-After header', async (t) => {
  const { standIn, download } = await start(t, { loadsPerSecond: 1 })
  await download('a', 0)
  const response = await download('b', 0)
  t.deepEqual([response.status, response.headers['retry-after']], [429, '1'])
  t.is(standIn.counts().refused, 1)
})

test('downloads beyond the rate limit wait if `overRate` is `slow`', async (t) => {
  const { clock, standIn, startDownload, download } = await start(t, { loadsPerSecond: 1, overRate: 'slow' })
  await startDownload('a', 10_000)
  const waiting = download('b', 0)
  await waitUntil(() => clock.pendingTimers() === 2)
  t.is(standIn.counts().started, 1)
  await clock.advance(1_000)
  t.is((await waiting).status, 200)
})

test('a download ends when its client disconnects', async (t) => {
  const { standIn, startDownload } = await start(t)
  const disconnectController = new AbortController()
  const { response } = await startDownload('a', 100, disconnectController.signal)
  disconnectController.abort()
  await t.throwsAsync(response, { any: true })
  await waitUntil(() => standIn.counts().abandoned === 1)
  t.is(standIn.counts().active, 0)
})

test('fault speed factor: downloads in progress become slower', async (t) => {
  const { clock, standIn, startDownload } = await start(t)
  const { response } = await startDownload('a', 100)
  await clock.advance(500)
  standIn.control({ speedFactor: 0.1 })
  await clock.advance(4_999)
  t.is(standIn.counts().finished, 0)
  await clock.advance(1)
  t.is((await response).status, 200)
})

test('fault stalled: downloads make no progress until the stall ends', async (t) => {
  const { clock, standIn, startDownload } = await start(t)
  const { response } = await startDownload('a', 100)
  standIn.control({ stalled: true })
  await clock.advance(3_600_000)
  t.is(standIn.counts().finished, 0)
  standIn.control({ stalled: false })
  await clock.advance(1_000)
  t.is((await response).status, 200)
})

test('an engine downloads remote weights from the store and retries after a refusal', async (t) => {
  const { clock, standIn, download } = await start(t, { loadsPerSecond: 1 })
  const engine = await createEngineStandIn({ clock, memoryMegabytes: 100, maximumConcurrent: 1, fencing: 'checked', weightStore: standIn.address })
  const client = createTestClient(engine.address)
  t.teardown(async () => {
    await client.close()
    await engine.close()
  })
  const first = download('other', 0)
  await waitUntil(() => standIn.counts().started === 1)
  const loading = client.send('/orders', { body: { kind: 'load', orderId: 'o', fencingToken: 1, model: 'a', memoryMegabytes: 10, weightsMegabytes: 100 } })
  await waitUntil(() => standIn.counts().refused === 1)
  while (engine.counts().orders.length === 0) await clock.advance(100)
  t.deepEqual((await loading).json, { kind: 'done' })
  t.is(standIn.counts().startedByModel.a, 1)
  await first
})
