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
  const begin = async (model: string, weightsMegabytes: number, signal?: AbortSignal) => {
    const { started } = standIn.counts()
    const answer = download(model, weightsMegabytes, signal)
    // A test that ends before its download closes the connection; a test that awaits the answer still sees the failure.
    answer.catch(() => {})
    await waitUntil(() => standIn.counts().started > started)
    return { answer }
  }
  return { clock, standIn, download, begin }
}

test('a download takes the time of its size', async (t) => {
  const { clock, standIn, begin } = await start(t)
  const { answer } = await begin('a', 200)
  await clock.advance(1_999)
  t.is(standIn.counts().finished, 0)
  await clock.advance(1)
  t.is((await answer).status, 200)
})

test('downloads beyond the concurrency share the bandwidth', async (t) => {
  const { clock, standIn, begin } = await start(t)
  const answers = [await begin('a', 100), await begin('b', 100), await begin('c', 100), await begin('d', 100)]
  await clock.advance(1_999)
  t.is(standIn.counts().finished, 0)
  await clock.advance(1)
  await Promise.all(answers.map(({ answer }) => answer))
  t.is(standIn.counts().peakActive, 4)
})

test('downloads beyond the concurrency are refused when so configured', async (t) => {
  const { begin, download } = await start(t, { concurrentLoads: 1, overConcurrency: 'refuse' })
  await begin('a', 100)
  t.is((await download('b', 100)).status, 429)
})

test('downloads beyond the rate are refused with the time to come back', async (t) => {
  const { standIn, download } = await start(t, { loadsPerSecond: 1 })
  await download('a', 0)
  const answer = await download('b', 0)
  t.deepEqual([answer.status, answer.headers['retry-after']], [429, '1'])
  t.is(standIn.counts().refused, 1)
})

test('downloads beyond the rate wait when so configured', async (t) => {
  const { clock, standIn, begin, download } = await start(t, { loadsPerSecond: 1, overRate: 'slow' })
  await begin('a', 10_000)
  const waiting = download('b', 0)
  await waitUntil(() => clock.pendingTimers() === 2)
  t.is(standIn.counts().started, 1)
  await clock.advance(1_000)
  t.is((await waiting).status, 200)
})

test('a client that leaves frees its download', async (t) => {
  const { standIn, begin } = await start(t)
  const leaving = new AbortController()
  const { answer } = await begin('a', 100, leaving.signal)
  leaving.abort()
  await t.throwsAsync(answer, { any: true })
  await waitUntil(() => standIn.counts().abandoned === 1)
  t.is(standIn.counts().active, 0)
})

test('fault slow: downloads under way are slower', async (t) => {
  const { clock, standIn, begin } = await start(t)
  const { answer } = await begin('a', 100)
  await clock.advance(500)
  standIn.control({ speedFactor: 0.1 })
  await clock.advance(4_999)
  t.is(standIn.counts().finished, 0)
  await clock.advance(1)
  t.is((await answer).status, 200)
})

test('fault stalled: downloads make no progress until the stall ends', async (t) => {
  const { clock, standIn, begin } = await start(t)
  const { answer } = await begin('a', 100)
  standIn.control({ stalled: true })
  await clock.advance(3_600_000)
  t.is(standIn.counts().finished, 0)
  standIn.control({ stalled: false })
  await clock.advance(1_000)
  t.is((await answer).status, 200)
})

test('an engine loads remote weights through the store and asks again after a refusal', async (t) => {
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
