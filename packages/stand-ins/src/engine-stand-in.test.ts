import test, { type ExecutionContext } from 'ava'
import { createManualClock, createSystemClock, type Clock } from '@fuchsiastage/clock'
import type { EngineState } from '@fuchsiastage/types'
import { expectedTokens, promptPrefix } from './completion.js'
import { peakReplicasAcross } from './engine-counters.js'
import type { EngineStandInOptions } from './engine-options.js'
import { createEngineStandIn } from './engine-stand-in.js'
import { createTestClient, waitUntil, type TestRequest } from './http-test-client.js'

const MODEL = 'renewal-letter'
const FAST_TIMING = {
  stepMilliseconds: 1,
  prefillMillisecondsPerThousandCharacters: 0,
  unloadMilliseconds: 0,
  loadReportLagMilliseconds: 0,
  cacheEventLagMilliseconds: 0
}

async function start (t: ExecutionContext, options: Partial<EngineStandInOptions> = {}, clock: Clock = createSystemClock()) {
  const engine = await createEngineStandIn({
    clock,
    memoryMegabytes: 100,
    maximumConcurrent: 4,
    fencing: 'checked',
    ...options,
    timing: { ...FAST_TIMING, ...options.timing }
  })
  const client = createTestClient(engine.address)
  t.teardown(async () => {
    await client.close()
    await engine.close()
  })
  let orderCount = 0
  const load = (model: string, fields: object = {}) => client.send('/orders', {
    body: { kind: 'load', orderId: `load-${++orderCount}`, fencingToken: 1, model, memoryMegabytes: 40, weightsMegabytes: 0, ...fields }
  })
  const unload = (model: string, fields: object = {}) => client.send('/orders', {
    body: { kind: 'unload', orderId: `unload-${++orderCount}`, fencingToken: 1, model, ...fields }
  })
  const completion = (requestId: string, fields: object = {}, headers: Readonly<Record<string, string>> = {}): TestRequest => ({
    headers: { 'x-request-id': requestId, ...headers },
    body: { model: MODEL, prompt: `letter ${requestId}`, max_tokens: 5, ...fields }
  })
  const complete = (requestId: string, fields: object = {}, headers: Readonly<Record<string, string>> = {}) =>
    client.send('/v1/completions', completion(requestId, fields, headers))
  const stream = (requestId: string, fields: object = {}) =>
    client.open('/v1/completions', completion(requestId, { stream: true, ...fields }))
  const resume = (streamId: unknown, lastEventId: number) =>
    client.open(`/v1/streams/${String(streamId)}`, { headers: { 'last-event-id': String(lastEventId) } })
  const state = async () => (await client.send('/state')).json as unknown as EngineState
  return { engine, client, load, unload, complete, stream, resume, state }
}

/** Parses the event ids and the text of an event stream; comment lines are ignored. */
function parseEvents (text: string) {
  const events = [...text.matchAll(/id: (\d+)\ndata: (.*)\n\n/g)].map(([, id, data]) => ({ id: Number(id), data: data ?? '' }))
  const tokens = events.filter(({ data }) => data !== '[DONE]')
    .map(({ data }) => (JSON.parse(data) as { choices: { text?: string, delta?: { content: string } }[] }).choices[0])
    .map((choice) => choice?.text ?? choice?.delta?.content ?? '')
  return { ids: events.map(({ id }) => id), text: tokens.join(''), isDone: events.at(-1)?.data === '[DONE]' }
}

function expectedText (prompt: string, maximumTokens = 5): string {
  return expectedTokens({ model: MODEL, prompt, maximumTokens }).join('')
}

test('a response that is not streamed contains the whole text of its request', async (t) => {
  const { load, complete } = await start(t)
  await load(MODEL)
  const response = await complete('r-1')
  t.is((response.json.choices as { text: string }[])[0]?.text, expectedText('letter r-1'))
  t.is(response.headers['x-request-id'], 'r-1')
})

test('a streamed chat has consecutive event ids from 1 and ends with the end event', async (t) => {
  const { client, load } = await start(t)
  await load(MODEL)
  const messages = [{ role: 'system', content: 'Be brief.' }, { role: 'user', content: 'Renew.' }]
  const response = await client.send('/v1/chat/completions', { body: { model: MODEL, messages, max_tokens: 3, stream: true } })
  t.deepEqual(parseEvents(response.body), { ids: [1, 2, 3, 4], text: expectedText('Be brief.\nRenew.', 3), isDone: true })
})

test('a stream that has no new tokens carries keep-alive comments', async (t) => {
  const clock = createManualClock()
  const { engine, client, stream } = await start(t, { timing: { stepMilliseconds: 60_000 } }, clock)
  const loading = client.send('/orders', { body: { kind: 'load', orderId: 'o', fencingToken: 1, model: MODEL, memoryMegabytes: 1, weightsMegabytes: 0 } })
  await waitUntil(() => engine.counts().replicas.length === 1)
  await clock.advance(1)
  await waitUntil(() => engine.counts().orders.length === 1)
  await loading
  const response = await stream('r-1')
  await clock.advance(1_000)
  await waitUntil(() => response.text() === ': keep-alive\n\n: keep-alive\n\n')
  t.is(response.status, 200)
})

test('a request for a model that is not loaded is refused and not run', async (t) => {
  const { engine, complete } = await start(t)
  const response = await complete('r-1')
  t.deepEqual([response.status, response.json], [404, { code: 'model-not-loaded' }])
  t.deepEqual([engine.counts().arrived, engine.counts().started], [{ 'r-1': 1 }, {}])
})

test('requests beyond the maximum are refused as busy and not run', async (t) => {
  const { engine, load, complete, stream } = await start(t, { maximumConcurrent: 1 })
  await load(MODEL)
  await stream('long', { max_tokens: 100_000 })
  t.deepEqual((await complete('r-2')).json, { code: 'busy' })
  t.is(engine.counts().started['r-2'], undefined)
})

test('a waiting request of higher priority joins the batch first', async (t) => {
  const { engine, load, complete, stream, client } = await start(t, { maximumBatch: 1 })
  await load(MODEL)
  const long = await stream('long', { max_tokens: 100_000 })
  const order: string[] = []
  const bulk = complete('bulk', {}, { 'x-priority': '2' }).then(() => order.push('bulk'))
  await waitUntil(() => engine.counts().started.bulk === 1)
  const urgent = complete('urgent', {}, { 'x-priority': '0' }).then(() => order.push('urgent'))
  await waitUntil(() => engine.counts().started.urgent === 1)
  await client.send(`/v1/streams/${String(long.headers['x-stream-id'])}`, { method: 'DELETE' })
  await Promise.all([bulk, urgent])
  t.deepEqual(order, ['urgent', 'bulk'])
})

test('a load beyond the accelerator memory fails and is counted', async (t) => {
  const { engine, load } = await start(t)
  await load('a')
  await load('b')
  const response = await load('c')
  t.deepEqual([response.status, response.json], [422, { kind: 'failed', reason: 'memory-exhausted' }])
  t.is(engine.counts().overcommitAttempts, 1)
  t.is(engine.counts().peakMemoryMegabytes, 80)
})

test('an engine that checks fencing refuses an old token', async (t) => {
  const { load, unload, state } = await start(t)
  await load(MODEL, { fencingToken: 5 })
  const response = await unload(MODEL, { fencingToken: 4 })
  t.deepEqual([response.status, response.json], [409, { kind: 'refused-token', currentToken: 5 }])
  t.deepEqual((await state()).models.map(({ model }) => model), [MODEL])
})

test('an engine that ignores fencing executes an order with an old token', async (t) => {
  const { engine, load, unload, state } = await start(t, { fencing: 'ignored' })
  await load(MODEL, { fencingToken: 5 })
  t.deepEqual((await unload(MODEL, { fencingToken: 4 })).json, { kind: 'done' })
  t.deepEqual((await state()).models, [])
  t.deepEqual(engine.counts().orders.map(({ kind, fencingToken }) => ({ kind, fencingToken })), [{ kind: 'load', fencingToken: 5 }, { kind: 'unload', fencingToken: 4 }])
})

test('a repeated order id is not executed again, even after the model was unloaded', async (t) => {
  const { load, unload, state } = await start(t)
  await load(MODEL, { orderId: 'first' })
  await unload(MODEL, { orderId: 'second' })
  t.deepEqual((await load(MODEL, { orderId: 'first' })).json, { kind: 'done' })
  t.deepEqual((await state()).models, [])
  t.deepEqual((await state()).executedOrders, ['first', 'second'])
})

test('an adapter loads only with its base model and is unloaded with it', async (t) => {
  const { load, unload, complete, state } = await start(t)
  t.deepEqual((await load('formal', { baseModel: MODEL, memoryMegabytes: 5 })).json, { kind: 'failed', reason: 'base-model-not-loaded' })
  await load(MODEL)
  await load('formal', { baseModel: MODEL, memoryMegabytes: 5 })
  t.is((await complete('r-1', { model: 'formal' })).status, 200)
  await unload(MODEL)
  t.deepEqual((await state()).models, [])
})

test('an unload waits for the running requests, and new requests are refused meanwhile', async (t) => {
  const { load, unload, complete, stream, state } = await start(t)
  await load(MODEL)
  const running = await stream('r-1', { max_tokens: 50 })
  const unloading = unload(MODEL)
  while ((await state()).models[0]?.state === 'loaded');
  t.is((await complete('r-2')).status, 404)
  t.true(await running.ended)
  t.true(parseEvents(running.text()).isDone)
  t.deepEqual((await unloading).json, { kind: 'done' })
})

test('the duration of a load depends on the location of the weights', async (t) => {
  const clock = createManualClock()
  const cachedWeights = { inMemory: 'memory', onDisk: 'disk' } as const
  const timing = { memoryMegabytesPerSecond: 1_000, diskMegabytesPerSecond: 100, remoteMegabytesPerSecond: 10 }
  const { engine, load } = await start(t, { cachedWeights, timing }, clock)
  const measureLoad = async (model: string) => {
    const before = clock.now()
    const ended = engine.counts().orders.length + 1
    const loading = load(model, { weightsMegabytes: 100, memoryMegabytes: 1 })
    await waitUntil(() => model in engine.counts().peakReplicas)
    while (engine.counts().orders.length < ended) await clock.advance(100)
    await loading
    return clock.now() - before
  }
  t.deepEqual([await measureLoad('inMemory'), await measureLoad('onDisk'), await measureLoad('remote')], [100, 1_000, 11_000])
})

test('a prefix-cache hit shortens the time to first token', async (t) => {
  const clock = createManualClock()
  const { engine, load, stream } = await start(t, { timing: { stepMilliseconds: 10, prefillMillisecondsPerThousandCharacters: 1_000, prefixHitFactor: 0.1 } }, clock)
  const loading = load(MODEL)
  while (engine.counts().orders.length < 1) await clock.advance(1)
  await loading
  const measureCompletion = async (requestId: string) => {
    const before = clock.now()
    const response = await stream(requestId, { prompt: 'x'.repeat(1_000), max_tokens: 1 })
    while (engine.counts().finished[requestId] === undefined) await clock.advance(10)
    await response.ended
    return clock.now() - before
  }
  t.deepEqual([await measureCompletion('r-1'), await measureCompletion('r-2')], [1_000, 100])
  t.is(engine.counts().prefixHits, 1)
})

test('the duration of a token step grows with the batch size', async (t) => {
  const clock = createManualClock()
  const { engine, load, stream } = await start(t, { timing: { stepMilliseconds: 100, stepGrowth: 0.1 } }, clock)
  const loading = load(MODEL)
  while (engine.counts().orders.length < 1) await clock.advance(1)
  await loading
  await Promise.all(['a', 'b', 'c'].map((id) => stream(id)))
  // The current step began with the first request only; the other requests join the batch at its end.
  await clock.advance(100)
  t.is(engine.counts().generatedTokens, 1)
  await clock.advance(119)
  t.is(engine.counts().generatedTokens, 1)
  await clock.advance(1)
  t.is(engine.counts().generatedTokens, 4)
})

test('cache events become visible after the lag and have gaps', async (t) => {
  const clock = createManualClock()
  const { engine, client, load, stream } = await start(t, { cacheEventGapEvery: 2, timing: { cacheEventLagMilliseconds: 1_000 } }, clock)
  const loading = load(MODEL)
  while (engine.counts().orders.length < 1) await clock.advance(1)
  await loading
  for (const prompt of ['a', 'b', 'c']) await stream(prompt, { prompt })
  const read = async () => (await client.send('/cache-events?from=1')).json
  t.deepEqual(await read(), { events: [], nextSequence: 1 })
  await clock.advance(1_000)
  t.deepEqual(await read(), {
    events: [
      { sequence: 1, model: MODEL, prefix: promptPrefix('a'), kind: 'stored' },
      { sequence: 3, model: MODEL, prefix: promptPrefix('c'), kind: 'stored' }
    ],
    nextSequence: 4
  })
})

test('the load report becomes visible after the lag', async (t) => {
  const clock = createManualClock()
  const { engine, load, stream, state } = await start(t, { timing: { stepMilliseconds: 60_000, loadReportLagMilliseconds: 500 } }, clock)
  const loading = load(MODEL)
  while (engine.counts().orders.length < 1) await clock.advance(1)
  await loading
  await stream('r-1')
  t.deepEqual((await state()).load, { running: 0, waiting: 0, capacity: 4, ageMilliseconds: 500 })
  await clock.advance(500)
  t.is((await state()).load.running, 1)
})

test('fault cut streams: the connection is cut after the given tokens and a resume returns the rest', async (t) => {
  const { engine, load, stream, resume } = await start(t)
  await load(MODEL)
  engine.control({ cutStreams: { afterTokens: 2 } })
  const first = await stream('r-1')
  t.false(await first.ended)
  const head = parseEvents(first.text())
  t.deepEqual(head.ids, [1, 2])
  const second = await resume(first.headers['x-stream-id'], 2)
  t.true(await second.ended)
  const tail = parseEvents(second.text())
  t.deepEqual(tail.ids, [3, 4, 5, 6])
  t.is(head.text + tail.text, expectedText('letter r-1'))
  t.is(second.headers['x-request-id'], 'r-1')
})

test('fault refuse resume: a resume gets 410', async (t) => {
  const { engine, load, stream, resume } = await start(t)
  await load(MODEL)
  engine.control({ refuseResume: true })
  const first = await stream('r-1')
  await first.ended
  t.is((await resume(first.headers['x-stream-id'], 2)).status, 410)
})

test('a stream that no client resumes in time is cancelled', async (t) => {
  const { engine, load, stream, resume } = await start(t, { timing: { resumeMilliseconds: 1 } })
  await load(MODEL)
  const first = await stream('r-1', { max_tokens: 100_000 })
  engine.control({ cutConnections: true })
  await first.ended
  await waitUntil(() => engine.counts().cancelled === 1)
  t.is((await resume(first.headers['x-stream-id'], 0)).status, 404)
})

test('a resume takes over the stream and closes the previous connection', async (t) => {
  const { engine, client, load, stream, resume } = await start(t, { timing: { resumeMilliseconds: 1 } })
  await load(MODEL)
  const first = await stream('r-1', { max_tokens: 100_000 })
  const second = await resume(first.headers['x-stream-id'], 0)
  t.false(await first.ended)
  await waitUntil(() => second.text().includes('id: 20\n'))
  t.is(engine.counts().cancelled, 0)
  await client.send(`/v1/streams/${String(first.headers['x-stream-id'])}`, { method: 'DELETE' })
  t.false(await second.ended)
})

test('a cancelled stream stops generating', async (t) => {
  const { engine, client, load, stream } = await start(t)
  await load(MODEL)
  const first = await stream('r-1', { max_tokens: 100_000 })
  t.is((await client.send(`/v1/streams/${String(first.headers['x-stream-id'])}`, { method: 'DELETE' })).status, 204)
  t.false(await first.ended)
  t.deepEqual([engine.counts().cancelled, engine.counts().finished], [1, {}])
})

test('fault cross answers: the response and its request id are those of another request', async (t) => {
  const { engine, load, complete } = await start(t)
  await load(MODEL)
  await complete('r-1')
  engine.control({ crossAnswers: 1 })
  const crossed = await complete('r-2')
  t.is(crossed.headers['x-request-id'], 'r-1')
  t.is((crossed.json.choices as { text: string }[])[0]?.text, expectedText('letter r-1'))
  t.is((await complete('r-3')).headers['x-request-id'], 'r-3')
})

test('fault freeze: no token is generated until the freeze ends', async (t) => {
  const { engine, load, stream, state } = await start(t)
  await load(MODEL)
  await stream('r-1', { max_tokens: 100_000 })
  engine.control({ frozen: true })
  const { generatedTokens } = engine.counts()
  const reading = state()
  // Two activities wait: the token step and the request for the state.
  await waitUntil(() => engine.counts().frozenActivities >= 2)
  t.is(engine.counts().generatedTokens, generatedTokens)
  engine.control({ frozen: false })
  await reading
  await waitUntil(() => engine.counts().generatedTokens > generatedTokens)
  t.pass()
})

test('fault silence connections: an open stream stays stalled while a resume over a new connection works', async (t) => {
  const { engine, load, stream, resume } = await start(t)
  await load(MODEL)
  const first = await stream('r-1', { max_tokens: 100_000 })
  engine.control({ silenceConnections: true })
  const later = engine.counts().generatedTokens + 20
  const laterEvent = `id: ${later}\n`
  // Without the stall, the first connection would have carried this event by now.
  await waitUntil(() => engine.counts().generatedTokens > later + 20)
  const second = await resume(first.headers['x-stream-id'], 0)
  await waitUntil(() => second.text().includes(laterEvent))
  t.false(first.text().includes(laterEvent))
})

test('fault cut connections: all open streams end without the end event', async (t) => {
  const { engine, load, stream, complete } = await start(t)
  await load(MODEL)
  const responses = await Promise.all(['a', 'b'].map((id) => stream(id, { max_tokens: 100_000 })))
  engine.control({ cutConnections: true })
  t.deepEqual(await Promise.all(responses.map(({ ended }) => ended)), [false, false])
  t.is((await complete('c')).status, 200)
})

test('fault slow factor: the duration of token steps is multiplied', async (t) => {
  const clock = createManualClock()
  const { engine, load, stream } = await start(t, { timing: { stepMilliseconds: 100 } }, clock)
  const loading = load(MODEL)
  while (engine.counts().orders.length < 1) await clock.advance(1)
  await loading
  engine.control({ slowFactor: 3 })
  await stream('r-1')
  await clock.advance(299)
  t.is(engine.counts().generatedTokens, 0)
  await clock.advance(1)
  t.is(engine.counts().generatedTokens, 1)
})

test('fault restart: a new incarnation starts with empty memory and does not know earlier streams', async (t) => {
  const { engine, load, stream, resume, state } = await start(t)
  await load(MODEL)
  const before = await state()
  const response = await stream('r-1', { max_tokens: 100_000 })
  engine.control({ restart: true })
  t.false(await response.ended)
  const after = await state()
  t.not(after.incarnation, before.incarnation)
  t.deepEqual([after.models, after.executedOrders, after.fencingToken], [[], [], 0])
  t.is((await resume(response.headers['x-stream-id'], 0)).status, 404)
  t.is(after.cachedWeights[MODEL], 'disk')
})

test('fault leaving: new requests are refused and running ones complete', async (t) => {
  const { engine, load, stream, complete, state } = await start(t)
  await load(MODEL)
  const running = await stream('r-1', { max_tokens: 20 })
  engine.control({ state: 'leaving' })
  t.deepEqual((await complete('r-2')).json, { code: 'leaving' })
  t.is((await state()).state, 'leaving')
  t.true(await running.ended)
})

test('fault delay orders: the fencing token of a delayed order is checked after the delay', async (t) => {
  const clock = createManualClock()
  const { engine, load } = await start(t, { fencing: 'checked' }, clock)
  engine.control({ delayOrders: { milliseconds: 5_000 } })
  const late = load(MODEL, { fencingToken: 1 })
  await waitUntil(() => clock.pendingTimers() === 1)
  const newer = load(MODEL, { fencingToken: 2 })
  while (engine.counts().orders.length < 1) await clock.advance(1)
  await newer
  await clock.advance(5_000)
  t.is((await late).status, 409)
})

test('fault lose order replies: the order is executed although its connection is closed without a response', async (t) => {
  const { engine, load, state } = await start(t)
  engine.control({ loseOrderReplies: 1 })
  await t.throwsAsync(load(MODEL))
  t.deepEqual((await state()).models.map((model) => model.state), ['loaded'])
})

test('concurrent replicas of a model on two engines are counted, but a replica that moves is counted once', (t) => {
  const interval = (model: string, from: number, to?: number) => ({ model, memoryMegabytes: 1, from, to })
  t.deepEqual(peakReplicasAcross([
    [interval('moved', 0, 10), interval('doubled', 0, 10)],
    [interval('moved', 10), interval('doubled', 9)]
  ]), { moved: 1, doubled: 2 })
})
