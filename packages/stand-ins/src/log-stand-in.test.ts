import test, { type ExecutionContext } from 'ava'
import { createManualClock } from '@fuchsiastage/clock'
import { createTestClient, waitUntil } from './http-test-client.js'
import { createLogStandIn, type LogStandInOptions } from './log-stand-in.js'

const PATH = '/streams/placement.bc-coast/records'

async function start (t: ExecutionContext, options: Partial<LogStandInOptions> = {}) {
  const clock = createManualClock()
  const standIn = await createLogStandIn({ clock, ...options })
  const client = createTestClient(standIn.address)
  t.teardown(async () => {
    await client.close()
    await standIn.close()
  })
  const append = (...values: readonly unknown[]) => client.send(PATH, { body: { values } })
  const read = (from: number, wait = 0) => client.send(`${PATH}?from=${from}&limit=100&wait=${wait}`)
  return { clock, standIn, client, append, read }
}

test('offsets are consecutive and a read returns the records appended before it', async (t) => {
  const { append, read } = await start(t)
  t.deepEqual((await append('a', 'b')).json, { firstOffset: 0 })
  t.deepEqual((await append({ kind: 'c' })).json, { firstOffset: 2 })
  t.deepEqual((await read(1)).json, {
    records: [{ offset: 1, value: 'b' }, { offset: 2, value: { kind: 'c' } }],
    nextOffset: 3,
    oldestOffset: 0,
    endOffset: 3
  })
})

test('a long poll returns at the next append', async (t) => {
  const { standIn, append, read } = await start(t)
  const polling = read(0, 2_000)
  await waitUntil(() => standIn.counts().longPollsWaiting === 1)
  await append('late')
  t.is((await polling).json.endOffset, 1)
})

test('a long poll without new records returns after its wait time', async (t) => {
  const { clock, standIn, read } = await start(t)
  const polling = read(0, 2_000)
  await waitUntil(() => standIn.counts().longPollsWaiting === 1)
  await clock.advance(2_000)
  t.deepEqual((await polling).json, { records: [], nextOffset: 0, oldestOffset: 0, endOffset: 0 })
})

test('records beyond the retention time or count are removed', async (t) => {
  const { clock, append, read } = await start(t, { retentionMilliseconds: 1_000, retentionRecords: 2 })
  await append('a', 'b', 'c')
  t.is((await read(0)).json.oldestOffset, 1)
  await clock.advance(1_001)
  t.deepEqual((await read(0)).json, { records: [], nextOffset: 3, oldestOffset: 3, endOffset: 3 })
})

test('appends beyond the limit per second get 429 and take no effect', async (t) => {
  const { clock, append, read } = await start(t, { appendsPerSecond: 2 })
  await append('a')
  await append('b')
  t.is((await append('c')).status, 429)
  await clock.advance(1_000)
  t.is((await append('d')).status, 200)
  t.is((await read(0)).json.endOffset, 3)
})

test('fault down: every request and every waiting long poll gets 503', async (t) => {
  const { standIn, append, read } = await start(t)
  const polling = read(0, 2_000)
  await waitUntil(() => standIn.counts().longPollsWaiting === 1)
  standIn.control({ down: true })
  t.is((await polling).status, 503)
  t.is((await append('a')).status, 503)
  standIn.control({ down: false })
  t.is((await append('a')).status, 200)
})

test('fault slow: an append takes effect only after the delay', async (t) => {
  const { clock, standIn, append } = await start(t)
  standIn.control({ slowMilliseconds: 500 })
  const appending = append('a')
  await waitUntil(() => clock.pendingTimers() === 1)
  t.is(standIn.counts().appends, 0)
  await clock.advance(500)
  t.is((await appending).status, 200)
})

test('fault lost replies: the append takes effect although its connection is closed without a response', async (t) => {
  const { standIn, append, read } = await start(t)
  standIn.control({ loseReplies: 1 })
  await t.throwsAsync(append('a'))
  t.is((await read(0)).json.endOffset, 1)
  t.is((await append('b')).status, 200)
})

test('fault refused client: only the named client is refused', async (t) => {
  const { standIn, client } = await start(t)
  standIn.control({ refuseClients: ['entry-1'] })
  const send = async (name: string) => (await client.send(PATH, { headers: { 'x-client-name': name } })).status
  t.is(await send('entry-1'), 503)
  t.is(await send('entry-2'), 200)
  standIn.control({ refuseClients: ['127.0.0.1'] })
  t.is(await send('entry-2'), 503)
})

test('fault expiry: records before the offset are removed', async (t) => {
  const { standIn, append, read } = await start(t)
  await append('a', 'b', 'c')
  standIn.control({ expireBefore: { stream: 'placement.bc-coast', offset: 2 } })
  const { records, oldestOffset } = (await read(0)).json
  t.deepEqual({ records, oldestOffset }, { records: [{ offset: 2, value: 'c' }], oldestOffset: 2 })
})

test('fault freeze: a request is processed only after the freeze ends', async (t) => {
  const { standIn, client, append } = await start(t)
  standIn.control({ frozen: true })
  const appending = append('a')
  await waitUntil(() => standIn.counts().frozenRequests === 1)
  t.is((await client.send('/counts')).json.appends, 0)
  standIn.control({ frozen: false })
  t.is((await appending).status, 200)
})

test('fault cut connections: open connections are closed and new ones work', async (t) => {
  const { standIn, append, read } = await start(t)
  const polling = t.throwsAsync(read(0, 2_000))
  await waitUntil(() => standIn.counts().longPollsWaiting === 1)
  standIn.control({ cutConnections: true })
  await polling
  t.is((await append('a')).status, 200)
})

test('fault silence connections: an open connection stays stalled while new ones work', async (t) => {
  const { standIn, append, read } = await start(t)
  let isResponseReceived = false
  const polling = read(0, 2_000).then(() => { isResponseReceived = true }, () => {})
  await waitUntil(() => standIn.counts().longPollsWaiting === 1)
  standIn.control({ silenceConnections: true })
  t.is((await append('a')).status, 200)
  await waitUntil(() => standIn.counts().longPollsWaiting === 0)
  t.is((await read(0)).json.endOffset, 1)
  t.false(isResponseReceived)
  await standIn.close()
  await polling
})

test('a control message over HTTP sets faults, and one with unknown fields is refused', async (t) => {
  const { client, append } = await start(t)
  t.is((await client.send('/control', { body: { dwon: true } })).status, 400)
  t.is((await client.send('/control', { body: { down: true } })).status, 200)
  t.is((await append('a')).status, 503)
})
