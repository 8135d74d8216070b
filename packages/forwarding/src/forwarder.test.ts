import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import { createTargetDirectory, type RequestKind, type ServingConfiguration, type ServingService, type TargetEntry } from '@fuchsiastage/fleet'
import { createMemoryLogger } from '@fuchsiastage/logger'
import test from 'ava'
import { createForwarder, type FinishedRequest, type ForwardOutcome, type HeaderCodec, type InboundRequest, type PlacementAnswer, type TargetAnswer, type TargetRequest, type WantedPlacement } from './index.js'

const ENGINE = { models: new Map(), megabytes: 80_000, adapterPlaces: 8, batchSlots: 96, cacheTokens: 200_000, storeLoadsPerSecond: 2 }

function configurationFor (requestKind: RequestKind, maximumTargets: number): ServingConfiguration {
  const service: ServingService = { name: 'ledger', healthPath: '/health', maximumConnections: 100, engine: undefined }
  return {
    version: 1,
    routes: [
      { name: 'plain', host: 'h', prefix: '/plain/', requestKind, timeoutMilliseconds: 800, objectiveMilliseconds: 100, priority: 0, maximumTargets, services: [{ service: 'ledger', weight: 1 }] },
      { name: 'model', host: 'h', prefix: '/model/', requestKind, timeoutMilliseconds: undefined, objectiveMilliseconds: 1_000, priority: 0, maximumTargets, services: [{ service: 'drafter', weight: 1 }] }
    ],
    services: new Map<string, ServingService>([['ledger', service], ['drafter', { ...service, name: 'drafter', engine: ENGINE }]]),
    limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerMilliseconds: 3_000, idleMilliseconds: 15_000 }
  }
}

function entryOf (id: string, service: string, models: readonly string[] = []): TargetEntry {
  return {
    id,
    startedAt: 0,
    service,
    address: `${id}:1`,
    dataCentre: 'a',
    slots: 6,
    isDraining: false,
    leavesInMilliseconds: undefined,
    placement: { orderCount: 0, models: models.map((name) => ({ name, adapters: [] })), pendingAdapters: [], modelsInMemory: [], modelsOnDisk: [] }
  }
}

/** Headers of these tests are plain names; the adapter's own are tested there. */
const codec: HeaderCodec = {
  describeRequest: () => { throw new Error('not used') },
  forwardedHeaders: (_rawHeaders, system) => ['target', system.targetId, 'remaining', String(system.remainingMilliseconds), ...(system.lastEventId === undefined ? [] : ['last-event-id', system.lastEventId])],
  describeAnswer: (_status, rawHeaders) => ({
    requestId: rawHeaders.includes('other') ? 'other' : 'r1',
    hasSeal: !rawHeaders.includes('unsealed'),
    isNotExecuted: rawHeaders.includes('not-executed'),
    targetId: undefined,
    hasContentEncoding: rawHeaders.includes('encoded'),
    isFramed: !rawHeaders.includes('unframed'),
    load: undefined
  }),
  answerHeaders: (rawHeaders) => rawHeaders
}

async function * bytesOf (chunks: readonly string[], breaks: boolean): AsyncIterable<Buffer> {
  for (const chunk of chunks) yield Buffer.from(chunk)
  if (breaks) throw new Error('reset')
}

function answer (status: number, chunks: readonly string[] = ['ok'], options: { readonly headers?: readonly string[], readonly breaks?: boolean } = {}): TargetAnswer {
  return { kind: 'answer', status, rawHeaders: options.headers ?? [], body: bytesOf(chunks, options.breaks ?? false), close: () => undefined }
}

interface Scene {
  readonly run: (path?: string) => Promise<ForwardOutcome>
  readonly sent: TargetRequest[]
  readonly wanted: WantedPlacement[]
  readonly received: () => string
  readonly leave: () => void
  readonly clock: ManualClock
  readonly finished: FinishedRequest[]
  /** A load report of the target arrives now. */
  readonly report: (id: string) => void
}

interface SceneOptions {
  readonly kind: RequestKind
  readonly maximumTargets?: number
  readonly entries?: readonly TargetEntry[]
  readonly answers: ReadonlyArray<TargetAnswer | 'silent'>
  readonly placement?: PlacementAnswer
  readonly slack?: number
}

function createScene (options: SceneOptions): Scene {
  const clock = createManualClock()
  const { logger } = createMemoryLogger(clock)
  const directory = createTargetDirectory({ clock, logger, lapseGraceMilliseconds: 2_300 })
  for (const entry of options.entries ?? [entryOf('t1', 'ledger'), entryOf('t2', 'ledger')]) directory.applyEntry(entry.id, entry)
  const sent: TargetRequest[] = []
  const wanted: WantedPlacement[] = []
  const finished: FinishedRequest[] = []
  const client = new AbortController()
  const chunks: string[] = []
  let begun = false
  let destroyed = false
  const forwarder = createForwarder({
    clock,
    logger,
    dataCentre: 'a',
    configuration: () => configurationFor(options.kind, options.maximumTargets ?? 1),
    directory,
    codec,
    send: async (request) => {
      sent.push(request)
      const next = options.answers[sent.length - 1]
      if (next !== undefined && next !== 'silent') return next
      return await new Promise((resolve) => request.signal.addEventListener('abort', () => resolve({ kind: 'failed', reason: 'aborted' })))
    },
    requestPlacement: async (placement) => {
      wanted.push(placement)
      return options.placement ?? { kind: 'refused', reason: 'cold-start-too-long', retryAfterMilliseconds: 6_000 }
    },
    retries: { share: 0, windowMilliseconds: 10_000, slack: () => options.slack ?? 5 },
    onDemand: () => undefined,
    onFinished: (request) => { finished.push(request) }
  })
  const report = (id: string): void => {
    const key = `${id}@0`
    const placement = directory.find(key)?.placement
    if (placement !== undefined) directory.applyUpdate({ key, placement, load: { running: 0, waiting: 0, cacheTokensUsed: 0, cacheTokens: 0 }, ageMilliseconds: 0 })
  }
  const requestFor = (path: string): InboundRequest => ({
    method: 'POST',
    host: 'h',
    path,
    rawHeaders: [],
    body: Buffer.alloc(0),
    description: {
      id: 'r1',
      deadlineMilliseconds: 5_000,
      demand: path.startsWith('/model/') ? { model: 'm1', adapter: undefined, promptTokens: 100, maximumOutputTokens: 10, promptParts: [] } : undefined,
      lastEventId: undefined
    },
    receivedAt: clock.now(),
    clientGone: client.signal,
    response: {
      hasBegun: () => begun,
      begin: (status, rawHeaders, framing) => {
        begun = true
        chunks.push(framing === 'until-close' ? `${status} until close, ${rawHeaders.length} headers ` : `${status} `)
      },
      write: async (bytes) => { chunks.push(bytes.toString()) },
      end: () => { chunks.push(' end') },
      destroy: () => { if (!destroyed) chunks.push(' destroyed'); destroyed = true }
    }
  })
  return { run: async (path = '/plain/x') => await forwarder.forward(requestFor(path)), sent, wanted, received: () => chunks.join(''), leave: () => client.abort(), clock, finished, report }
}

const EVENTS = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'id: 3\ndata: c\n\n']
const SAFE: RequestKind = { kind: 'safe' }
const UNSAFE: RequestKind = { kind: 'unsafe' }
const STREAM: RequestKind = { kind: 'stream', isResumable: false, maximumPauseMilliseconds: 500 }
const RESUMABLE: RequestKind = { kind: 'stream', isResumable: true, maximumPauseMilliseconds: 500 }

async function outcomeOf (scene: Scene, path?: string): Promise<{ readonly outcome: ForwardOutcome, readonly received: string, readonly sends: number }> {
  const outcome = await scene.run(path)
  return { outcome, received: scene.received(), sends: scene.sent.length }
}

test('an answer is passed on whole', async (t) => {
  t.snapshot(await outcomeOf(createScene({ kind: UNSAFE, answers: [answer(200, ['a', 'b'])] })))
})

test('an unsafe request that may have run is not sent again, and its answer promises nothing', async (t) => {
  for (const first of [answer(200, ['part'], { breaks: true }), answer(200, ['x'], { headers: ['other'] }), answer(200, ['x'], { headers: ['unsealed'] }), answer(200, ['x'], { headers: ['encoded'] }), { kind: 'failed', reason: 'reset' } as const]) {
    const { outcome, sends, received } = await outcomeOf(createScene({ kind: UNSAFE, maximumTargets: 2, answers: [first, answer(200)] }))
    t.is(outcome.kind, 'unknown')
    t.is(sends, 1)
    t.is(received, '')
  }
})

test('an unsafe request that provably was not run goes to another target', async (t) => {
  for (const first of [answer(503, [], { headers: ['not-executed'] }), { kind: 'not-sent', reason: 'refused' } as const]) {
    const { outcome, sends } = await outcomeOf(createScene({ kind: UNSAFE, answers: [first, answer(200)] }))
    t.deepEqual(outcome, { kind: 'delivered', status: 200 })
    t.is(sends, 2)
  }
})

test('a safe request is sent again within its number of targets', async (t) => {
  const failed = { kind: 'failed', reason: 'reset' } as const
  t.deepEqual((await outcomeOf(createScene({ kind: SAFE, maximumTargets: 2, answers: [failed, answer(200)] }))).outcome, { kind: 'delivered', status: 200 })
  const entries = ['t1', 't2', 't3'].map((id) => entryOf(id, 'ledger'))
  const exhausted = await outcomeOf(createScene({ kind: SAFE, maximumTargets: 2, entries, answers: [failed, failed, answer(200)] }))
  t.is(exhausted.sends, 2)
  t.is(exhausted.outcome.kind, 'unknown')
})

test('a failure that the target states is passed on when nothing may follow', async (t) => {
  t.snapshot(await outcomeOf(createScene({ kind: UNSAFE, answers: [answer(500, ['broken'])] })))
})

test('without retry budget nothing is sent a second time', async (t) => {
  const refused = answer(503, [], { headers: ['not-executed'] })
  t.snapshot(await outcomeOf(createScene({ kind: UNSAFE, answers: [refused, answer(200)], slack: 0 })))
})

test('the timeout of the route ends a request: refused when it was not sent, unknown when it was', async (t) => {
  const scene = createScene({ kind: UNSAFE, answers: ['silent'] })
  const running = scene.run()
  await scene.clock.advance(800)
  t.deepEqual(await running, { kind: 'unknown', status: 504, reason: 'aborted' })
  t.is(scene.clock.now(), 800)
})

test('the target is handed the time that is left', async (t) => {
  const scene = createScene({ kind: UNSAFE, answers: [answer(200)] })
  await scene.run()
  t.deepEqual(scene.sent[0]?.rawHeaders, ['target', 't1', 'remaining', '800'])
})

test('a client that leaves ends the send', async (t) => {
  const scene = createScene({ kind: SAFE, maximumTargets: 2, answers: ['silent', answer(200)] })
  const running = scene.run()
  await scene.clock.advance(100)
  scene.leave()
  t.is((await running).kind, 'abandoned')
  t.true(scene.sent[0]?.signal.aborted)
  t.is(scene.sent.length, 1)
})

test('a stream that breaks off is broken off for the client too', async (t) => {
  t.snapshot(await outcomeOf(createScene({ kind: STREAM, answers: [answer(200, EVENTS.slice(0, 2), { breaks: true }), answer(200, EVENTS)] })))
})

test('a resumable stream goes on at another target after the last whole event', async (t) => {
  const entries = [entryOf('t1', 'ledger'), entryOf('t2', 'ledger')]
  const scene = createScene({ kind: RESUMABLE, maximumTargets: 2, entries, answers: [answer(200, [EVENTS[0] ?? '', 'id: 2\nda'], { breaks: true }), answer(200, EVENTS.slice(1))] })
  t.snapshot(await outcomeOf(scene))
  t.true(scene.sent[1]?.rawHeaders.includes('last-event-id'))
})

test('events that a continued stream repeats are left out', async (t) => {
  const scene = createScene({ kind: RESUMABLE, maximumTargets: 2, answers: [answer(200, EVENTS.slice(0, 2), { breaks: true }), answer(200, EVENTS)] })
  t.is((await outcomeOf(scene)).received, `200 ${EVENTS.join('')} end`)
})

test('a request for a model that no target holds is refused at once with the time to come back', async (t) => {
  t.snapshot(await outcomeOf(createScene({ kind: STREAM, entries: [entryOf('e1', 'drafter')], answers: [] }), '/model/x'))
})

test('a placement must be there before the client gives the stream up', async (t) => {
  const scene = createScene({ kind: STREAM, entries: [entryOf('e1', 'drafter')], answers: [] })
  await scene.run('/model/x')
  t.is(scene.wanted[0]?.remainingMilliseconds, 4_000)
})

test('a request goes to the target that was made ready for it', async (t) => {
  const scene = createScene({ kind: STREAM, entries: [entryOf('e1', 'drafter')], answers: [answer(200, EVENTS)], placement: { kind: 'ready', target: 'e1@0' } })
  t.is((await outcomeOf(scene, '/model/x')).outcome.kind, 'delivered')
})

test('an answer without a length is passed on without one: a target that crashes ends it in the same way', async (t) => {
  t.snapshot(await outcomeOf(createScene({ kind: UNSAFE, answers: [answer(200, ['part'], { headers: ['unframed'] })] })))
  t.snapshot(await outcomeOf(createScene({ kind: STREAM, answers: [answer(200, EVENTS, { headers: ['unframed'] })] })))
})

test('the log tells how old the load report was when the target was chosen', async (t) => {
  const scene = createScene({ kind: UNSAFE, entries: [entryOf('t1', 'ledger')], answers: ['silent'] })
  scene.report('t1')
  await scene.clock.advance(300)
  const running = scene.run()
  await scene.clock.advance(800)
  await running
  t.is(scene.finished[0]?.sends[0]?.loadAge, 300)
})

test('a request for no known route is rejected', async (t) => {
  t.deepEqual(await createScene({ kind: SAFE, answers: [] }).run('/none/'), { kind: 'rejected', status: 404, reason: 'route-unknown' })
})
