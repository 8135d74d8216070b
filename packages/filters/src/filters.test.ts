import { createHash } from 'node:crypto'
import test from 'ava'
import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import { createError, toProblem } from '@fuchsiastage/errors'
import { createMemoryLogger } from '@fuchsiastage/logger'
import type { JsonValue } from '@fuchsiastage/types'
import { err, ok } from 'true-myth/result'
import {
  composeFilters,
  createAuthoriseFilter,
  createDeadlineFilter,
  createFreshnessFilter,
  createIdentifyFilter,
  createParseFilter,
  createPlaceFilter,
  type Answer,
  type ConfigurationView,
  type Filter,
  type IncomingRequest,
  type PlacementView,
  type ReplicaExpectation,
  type RequestContext
} from './index.js'

const TOKEN = 'token-of-the-renewal-desk'

const document = new Map<string, JsonValue>([
  ['role/drafter', { kind: 'engine', fencing: 'checked', memoryMegabytes: 80_000, accelerators: 2, maximumConcurrent: 16 }],
  ['role/ledger', { kind: 'service', fencing: 'checked', memoryMegabytes: 0, accelerators: 0, maximumConcurrent: 32 }],
  ['model/letter', { role: 'drafter', memoryMegabytes: 20_000, weightsMegabytes: 18_000 }],
  ['model/clause', { role: 'drafter', memoryMegabytes: 20_000, weightsMegabytes: 18_000 }],
  ['model/audit', { role: 'drafter', memoryMegabytes: 20_000, weightsMegabytes: 18_000 }],
  ['rule/letter', { dataCentres: ['van-a'], maximumReplicas: 1, minimumWarm: 0 }],
  ['rule/clause', { dataCentres: ['elsewhere'], maximumReplicas: 1, minimumWarm: 0 }],
  ['service/ledger', { role: 'ledger', dataCentres: ['van-a'], nonIdempotent: ['POST /rollovers'] }],
  ['caller/desk', {
    tokenSha256: createHash('sha256').update(TOKEN).digest('hex'),
    priority: 'urgent',
    weight: 1,
    maximumConcurrent: 8,
    requestsPerSecond: 100,
    deadlineMilliseconds: 5_000,
    models: ['letter', 'clause'],
    services: ['ledger']
  }]
])

const freshConfiguration: ConfigurationView = { document: () => document, version: () => 1, checkFresh: () => ok(undefined) }

const lastFilter: Filter = async ({ route }) => ({ kind: 'plain', status: 200, headers: {}, body: Buffer.from(route?.kind ?? '') })

interface Call {
  readonly method?: string
  readonly url: string
  readonly headers?: Readonly<Record<string, string>>
  readonly body?: string
}

function createContext (clock: ManualClock, { method = 'POST', url, headers = {}, body = '' }: Call): RequestContext {
  const incoming: IncomingRequest = {
    method,
    url,
    headers: { authorization: `Bearer ${TOKEN}`, ...headers },
    readBody: async (maximumBytes) => body.length > maximumBytes
      ? err(createError({ code: 'body-too-large', message: 'too large', step: 'parse', status: 413 }))
      : ok(Buffer.from(body)),
    openStream: () => { throw new Error('no stream expected') },
    signal: new AbortController().signal
  }
  return { id: 'request-1', incoming, receivedAt: clock.now(), logger: createMemoryLogger(clock).logger, signal: incoming.signal }
}

async function run (call: Call, configuration: ConfigurationView = freshConfiguration): Promise<Answer> {
  const clock = createManualClock()
  const handle = composeFilters([
    createFreshnessFilter(configuration),
    createIdentifyFilter(configuration),
    createParseFilter({ clock, configuration, maximumBodyBytes: 200, keyHorizonMilliseconds: 3_600_000 }),
    createDeadlineFilter(clock),
    createAuthoriseFilter(configuration, ['van-a', 'van-b']),
    lastFilter
  ])
  return await handle(createContext(clock, call))
}

const completion = (model: string): string => JSON.stringify({ model, prompt: 'Dear depositor' })

const refusals: Readonly<Record<string, Call>> = {
  'wrong token': { url: '/v1/completions', headers: { authorization: 'Bearer wrong' }, body: completion('letter') },
  'unknown model': { url: '/v1/completions', body: completion('nothing') },
  'model not permitted to the caller': { url: '/v1/completions', body: completion('audit') },
  'model not allowed in any reachable data centre': { url: '/v1/completions', body: completion('clause') },
  'deadline that has passed': { url: '/v1/completions', headers: { 'x-deadline-milliseconds': '0' }, body: completion('letter') },
  'deadline that is not a number': { url: '/v1/completions', headers: { 'x-deadline-milliseconds': 'soon' }, body: completion('letter') },
  'body too large': { url: '/v1/completions', body: completion('x'.repeat(300)) },
  'malformed JSON': { url: '/v1/completions', body: '{"model":' },
  'body without a required field': { url: '/v1/chat/completions', body: '{"model":"letter"}' },
  'wrong method': { method: 'GET', url: '/v1/completions' },
  'unknown path': { url: '/v2/other' },
  'unknown service': { url: '/services/other/x' },
  'missing key on a call that must not be repeated': { url: '/services/ledger/rollovers', body: '{}' },
  'key that is not a UUID of version 7': { url: '/services/ledger/rollovers', headers: { 'idempotency-key': 'abc' }, body: '{}' },
  'key older than the horizon': { url: '/services/ledger/rollovers', headers: { 'idempotency-key': '01890000-0000-7000-8000-000000000000' }, body: '{}' },
  'encoded spelling of a call that must not be repeated': { url: '/services/ledger/%72ollovers', body: '{}' },
  'dotted spelling of a call that must not be repeated': { url: '/services/ledger/x/../rollovers', body: '{}' },
  'doubled slash before a call that must not be repeated': { url: '/services/ledger//rollovers', body: '{}' }
}

for (const [name, call] of Object.entries(refusals)) {
  test(`refuses with outcome not-run, and states step and peer: ${name}`, async (t) => {
    const answer = await run(call)
    t.is(answer.kind, 'problem')
    if (answer.kind !== 'problem') return
    t.is(answer.error.outcome, 'not-run')
    t.snapshot(toProblem(answer.error, 'request-1'))
  })
}

test('an idempotent call of a service needs no idempotency key', async (t) => {
  t.like(await run({ method: 'GET', url: '/services/ledger/rollovers' }), { kind: 'plain', status: 200 })
})

test('refuses all requests while the configuration is unverified, without checking the token', async (t) => {
  const unverifiedConfiguration: ConfigurationView = { ...freshConfiguration, checkFresh: () => err(createError({ code: 'configuration-unverified', message: 'unverified', step: 'freshness', status: 503, retryAfterMilliseconds: 2_000 })) }
  const answer = await run({ url: '/v1/completions', headers: { authorization: 'Bearer wrong' } }, unverifiedConfiguration)
  t.like(answer, { kind: 'problem', error: { code: 'configuration-unverified', outcome: 'not-run' } })
})

test('the outcome is unknown when a filter throws, because a target may have run the request', async (t) => {
  const clock = createManualClock()
  const handle = composeFilters([async () => { throw new Error('defect') }])
  t.like(await handle(createContext(clock, { url: '/' })), { kind: 'problem', error: { code: 'internal', outcome: 'unknown' } })
})

function createPlaceFixture (expectation: ReplicaExpectation) {
  const clock = createManualClock()
  let isLoaded = false
  const waitingResolvers = new Set<() => void>()
  const placement: PlacementView = {
    hasReplica: () => isLoaded,
    ordersOf: () => [],
    wantReplica: async () => expectation,
    waitForReplica: (_model, signal) => new Promise((resolve) => {
      waitingResolvers.add(() => resolve(true))
      signal.addEventListener('abort', () => resolve(false))
    }),
    recordUse: () => undefined
  }
  const load = (): void => {
    isLoaded = true
    for (const stopWaiting of waitingResolvers) stopWaiting()
  }
  const handle = composeFilters([
    createIdentifyFilter(freshConfiguration),
    createParseFilter({ clock, configuration: freshConfiguration, maximumBodyBytes: 200, keyHorizonMilliseconds: 3_600_000 }),
    createDeadlineFilter(clock),
    createPlaceFilter({ clock, placement, maximumWaiting: 1, requestIntervalMilliseconds: 1_000 }),
    lastFilter
  ])
  const send = (): Promise<Answer> => handle(createContext(clock, { url: '/v1/completions', body: completion('letter') }))
  return { clock, send, load }
}

test('refuses a cold start immediately when its estimate exceeds the deadline, and states when to retry', async (t) => {
  const { send, clock } = createPlaceFixture({ kind: 'expected', readyInMilliseconds: 60_000 })
  const answer = await send()
  t.is(clock.now(), 0)
  t.like(answer, { kind: 'problem', error: { code: 'cold-start-too-slow', outcome: 'not-run', retryAfterMilliseconds: 60_000 } })
})

test('a request whose replica is never loaded is refused at its deadline', async (t) => {
  const { send, clock } = createPlaceFixture({ kind: 'expected', readyInMilliseconds: 1_000 })
  const sending = send()
  await clock.advance(5_000)
  t.like(await sending, { kind: 'problem', error: { code: 'deadline-exceeded', outcome: 'not-run' } })
})

test('continues as soon as the replica is loaded, and refuses requests above the limit of waiting requests', async (t) => {
  const { send, clock, load } = createPlaceFixture({ kind: 'expected', readyInMilliseconds: 1_000 })
  const first = send()
  await clock.advance(100)
  t.like(await send(), { kind: 'problem', error: { code: 'too-many-waiting' } })
  load()
  t.like(await first, { kind: 'plain', status: 200 })
  t.is(clock.now(), 100)
})
