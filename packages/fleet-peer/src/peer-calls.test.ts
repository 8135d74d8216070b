import { once } from 'node:events'
import { createServer, type AddressInfo } from 'node:net'
import { createManualClock } from '@fuchsiastage/clock'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test, { type ExecutionContext } from 'ava'
import { createFleetPeerClient, startFleetPeerServer, type FleetPeerClient, type PeerHandlers, type SyncAnswer, type SyncMessage } from './index.js'

const TIMEOUT_MILLISECONDS = 30_000
const MEMBER = { name: 'entry-1', startedAt: 1, frontAddress: 'f:1', peerAddress: 'p:1', dataCentre: 'a', state: 'serving' } as const
const QUARANTINE = {
  crashes: [{
    target: 't1@0',
    service: 'ledger',
    ageMilliseconds: 40,
    isConfirmed: true,
    servedSince: 3,
    prompts: [{ parts: ['system', 'x'], sentAgoMilliseconds: 90, hasBegun: true }],
    requests: [{ fingerprint: '0123456789abcdef', sentAgoMilliseconds: 90, hasBegun: false }]
  }],
  served: [['system', 10]],
  servedRequests: [['fedcba9876543210', 20]],
  causes: ['01234567']
} satisfies SyncMessage['quarantine']
const MESSAGE: SyncMessage = {
  member: MEMBER,
  targetAccess: 'lost',
  rumours: [],
  contacts: [['entry-2', 1, 30]],
  wantsConfiguration: false,
  lacksTargets: false,
  newsSince: null,
  demand: [['m1', 2]],
  inUse: ['t1@0 m1'],
  strained: [],
  targetLimits: [{ target: 't1@0', requestsPerSecond: null, ageMilliseconds: 5 }],
  quarantine: QUARANTINE,
  leavingTargets: [['t2@0', 700]]
}
const ANSWER: SyncAnswer = {
  member: MEMBER,
  targetAccess: 'reached',
  reachingMembers: [['entry-3', 20]],
  supportsCustomers: true,
  customerMembers: [['entry-3', 1]],
  configurationAge: 300,
  configurationVersion: 7,
  leaseTerm: undefined,
  rumours: [],
  contacts: [],
  configuration: undefined,
  targets: [],
  holder: undefined,
  news: [],
  newsVersion: undefined,
  targetLimits: [],
  quarantine: QUARANTINE,
  leavingTargets: [['t2@0', 700]]
}

async function startPeer (t: ExecutionContext, handlers: Partial<PeerHandlers>): Promise<{ readonly client: FleetPeerClient, readonly address: string }> {
  const { logger } = createMemoryLogger(createManualClock())
  const notUsed = (): never => { throw new Error('not used') }
  const server = await startFleetPeerServer({ handlers: { sync: notUsed, configuration: notUsed, place: notUsed, permit: notUsed, reportRoom: notUsed, allowance: notUsed, trial: notUsed, handOver: notUsed, ...handlers }, host: '127.0.0.1', port: 0, logger })
  const client = createFleetPeerClient({ connectMilliseconds: TIMEOUT_MILLISECONDS })
  t.teardown(async () => {
    await client.close()
    server.close()
  })
  return { client, address: `127.0.0.1:${(server.address() as AddressInfo).port}` }
}

test('what daemons exchange arrives at the other one as it was sent', async (t) => {
  const received: SyncMessage[] = []
  const { client, address } = await startPeer(t, {
    sync: (message) => {
      received.push(message)
      return ANSWER
    }
  })
  const answer = await client.sync(address, MESSAGE, TIMEOUT_MILLISECONDS)
  t.deepEqual(received, [MESSAGE])
  t.deepEqual(answer.unwrapOr(undefined as unknown as SyncAnswer), JSON.parse(JSON.stringify(ANSWER)))
})

// A daemon without processor time gave up calls whose answers had arrived, and took its peers for unresponsive.
test('an answer that arrived while this process was busy counts before the time limit of its call', async (t) => {
  const answers = createServer((socket) => {
    socket.on('error', () => undefined).once('data', () => {
      const body = JSON.stringify({ result: { data: true } })
      socket.write(`HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: ${body.length}\r\n\r\n${body}`)
      for (const busyUntil = performance.now() + 100; performance.now() < busyUntil;);
    })
  }).listen(0, '127.0.0.1')
  await once(answers, 'listening')
  t.teardown(() => { answers.close() })
  const { client } = await startPeer(t, {})
  const answer = await client.trial(`127.0.0.1:${(answers.address() as AddressInfo).port}`, { fingerprint: 'f' }, 60, new AbortController().signal)
  t.true(answer.isOk, answer.isErr ? answer.error.message : '')
})

test('a call without an answer ends after its time limit', async (t) => {
  const silent = createServer().listen(0, '127.0.0.1')
  await once(silent, 'listening')
  t.teardown(() => { silent.close() })
  const { client } = await startPeer(t, {})
  const startedAt = performance.now()
  t.like(await client.configuration(`127.0.0.1:${(silent.address() as AddressInfo).port}`, 100), { isErr: true, error: { outcome: 'unknown' } })
  t.true(performance.now() - startedAt >= 95)
})

test('the configuration of a peer arrives as it is there, if it has one', async (t) => {
  const document = { key: 'config', base64: Buffer.alloc(300_000, 'route').toString('base64') }
  const withDocument = await startPeer(t, { configuration: () => document })
  t.deepEqual((await withDocument.client.configuration(withDocument.address, TIMEOUT_MILLISECONDS)).unwrapOr(undefined), document)
  const without = await startPeer(t, { configuration: () => undefined })
  const answer = await without.client.configuration(without.address, TIMEOUT_MILLISECONDS)
  t.true(answer.isOk && answer.value === undefined)
})

test('a request for an allowance arrives as it was sent, and so does the answer', async (t) => {
  const request = { customer: 'hule930', unit: 'tokens' as const, cost: 9_200, maximumWaitMilliseconds: 250, perSecond: 313_479, burst: 313_479, configurationVersion: 7, returned: 200, recentUse: 4_000, previous: { issuer: 'vm-3', level: -100.5, ageMilliseconds: 12, isActive: true } }
  const decision = { kind: 'granted' as const, waitMilliseconds: 12.5, advance: 400, level: -0.5 }
  const received: unknown[] = []
  const { client, address } = await startPeer(t, {
    allowance: (message) => {
      received.push(message)
      return decision
    }
  })
  const answer = await client.allowance(address, request, TIMEOUT_MILLISECONDS, new AbortController().signal)
  t.deepEqual(received, [request])
  t.deepEqual(answer.unwrapOr(undefined as never), decision)
})

test('a message of an earlier version, without requests and leaving targets, is accepted', async (t) => {
  const received: SyncMessage[] = []
  const { client, address } = await startPeer(t, {
    sync: (message) => {
      received.push(message)
      return ANSWER
    }
  })
  const { leavingTargets, ...withoutLeaving } = MESSAGE
  const [{ requests, service, ...crash }] = QUARANTINE.crashes as [typeof QUARANTINE.crashes[number]]
  t.true((await client.sync(address, { ...withoutLeaving, quarantine: { crashes: [crash], served: [] } }, TIMEOUT_MILLISECONDS)).isOk)
  t.is(received[0]?.leavingTargets, undefined)
  t.deepEqual(received[0]?.quarantine, { crashes: [crash], served: [] })
})

test('room at a brittle target is asked for with a permit, and the end of a request is reported', async (t) => {
  const room = { target: 't1@0', daemon: 'entry-1', daemonStartedAt: 1, sequence: 3, held: 2, rejections: 5, slots: 8 }
  const report = { ...room, ended: { isTurnedAway: true, milliseconds: 12 } }
  const received: unknown[] = []
  const { client, address } = await startPeer(t, {
    permit: (message) => {
      received.push(message.room)
      return { kind: 'granted', waitMilliseconds: 0 }
    },
    reportRoom: (message) => { received.push(message) }
  })
  await client.permit(address, { target: 't1@0', requestsPerSecond: 5, maximumWaitMilliseconds: 0, room }, TIMEOUT_MILLISECONDS, new AbortController().signal)
  const reported = await client.reportRoom(address, report, TIMEOUT_MILLISECONDS)
  t.true(reported.isOk)
  t.deepEqual(received, [room, report])
})

test('a trial is asked for by prompt parts or by the fingerprint of a request', async (t) => {
  const received: unknown[] = []
  const { client, address } = await startPeer(t, {
    trial: (message) => {
      received.push(message)
      return 'parts' in message
    }
  })
  const { signal } = new AbortController()
  const ask = async (message: Parameters<FleetPeerClient['trial']>[1]): Promise<boolean | undefined> => (await client.trial(address, message, TIMEOUT_MILLISECONDS, signal)).unwrapOr(undefined as unknown as boolean)
  t.true(await ask({ parts: ['system', 'x'] }))
  t.false(await ask({ fingerprint: '0123456789abcdef' }))
  t.deepEqual(received, [{ parts: ['system', 'x'] }, { fingerprint: '0123456789abcdef' }])
})

test('placement calls that are invalid, large or fail get errors that a client of any release understands', async (t) => {
  const { client, address } = await startPeer(t, { place: async ({ request }) => request === 'fails' ? await Promise.reject(new Error('no room')) : { kind: 'ready', target: `${request.length}` } })
  const place = async (changes: object): Promise<unknown> => {
    const message = { service: 'drafter', model: 'letters', request: 'r', remainingMilliseconds: TIMEOUT_MILLISECONDS, avoid: [], ...changes }
    const answer = await client.place(address, message, TIMEOUT_MILLISECONDS, new AbortController().signal)
    return answer.isOk ? answer.value : answer.error.message
  }
  t.deepEqual(await place({ request: 'r'.repeat(100_000) }), { kind: 'ready', target: '100000' })
  t.regex(String(await place({ request: 'fails' })), /no room/)
  t.regex(String(await place({ model: undefined })), /model/)
  const malformed = await fetch(`http://${address}/place`, { method: 'POST', body: '{', headers: { 'Content-Type': 'application/json' } })
  t.is(malformed.status, 400)
})
