import { createManualClock, type ManualClock } from '@fuchsiastage/clock'
import { createTargetDirectory, type RequestKind, type ServingConfiguration, type ServingService, type TargetEntry } from '@fuchsiastage/fleet'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { createRequestQuarantine, type RequestQuarantine } from '@fuchsiastage/request-quarantine'
import type { BegunStream, StreamOrigins } from '@fuchsiastage/stream-origins'
import { createPermitIssuer, createTargetLimits, createTargetPauses } from '@fuchsiastage/target-limits'
import { createTargetPaces } from '@fuchsiastage/target-pace'
import { createDaemonStop, createForwarder, type StopSchedule, type AcquireTrial, type FinishedRequest, type ForwardOutcome, type Handover, type HandOver, type HeaderCodec, type InboundRequest, type ModelDemand, type PlacementAnswer, type PromptPart, type TargetAnswer, type TargetRequest, type RequestedPlacement, type StatedKey, type SystemHeaders } from './index.js'

export const ENGINE = { models: new Map(), megabytes: 80_000, adapterPlaces: 8, batchSlots: 96, cacheTokens: 200_000, storeLoadsPerSecond: 2 }

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

export function entryOf (id: string, service: string, models: readonly string[] = []): TargetEntry {
  return {
    id,
    startedAt: 0,
    service,
    address: `${id}:1`,
    dataCentre: 'a',
    slots: 6,
    isDraining: false,
    softwareVersion: 'v1',
    leavesInMilliseconds: undefined,
    placement: { orderCount: 0, models: models.map((name) => ({ name, adapters: [] })), pendingAdapters: [], modelsInMemory: [], modelsOnDisk: [] }
  }
}

/** Number in a header such as `per-second=RATE`. */
function statedNumber (rawHeaders: readonly string[], prefix: string): number | undefined {
  const header = rawHeaders.find((text) => text.startsWith(prefix))
  return header === undefined ? undefined : Number(header.split('=')[1])
}

/** Codec with plain header names; the codec of the platform has its own tests. */
export const codec: HeaderCodec = {
  describeRequest: () => { throw new Error('not used') },
  forwardedHeaders: (_rawHeaders, system) => ['target', system.targetId, 'remaining', String(system.remainingMilliseconds), ...(system.lastEventId === undefined ? [] : ['last-event-id', system.lastEventId])],
  describeAnswer: (_status, rawHeaders) => ({
    requestId: rawHeaders.includes('other') ? 'other' : 'r1',
    hasSeal: !rawHeaders.includes('unsealed'),
    isNotExecuted: rawHeaders.includes('not-executed'),
    targetId: undefined,
    hasContentEncoding: rawHeaders.includes('encoded'),
    isFramed: !rawHeaders.includes('unframed'),
    load: undefined,
    requestsPerSecond: statedNumber(rawHeaders, 'per-second='),
    pauseMilliseconds: statedNumber(rawHeaders, 'pause='),
    isLeaving: rawHeaders.includes('leaving')
  }),
  answerHeaders: (rawHeaders) => rawHeaders
}

async function * bytesOf (chunks: readonly string[], isReset: boolean): AsyncIterable<Buffer> {
  for (const chunk of chunks) yield Buffer.from(chunk)
  if (isReset) throw new Error('reset')
}

/** Responses after which their target has ended. */
const lastAnswers = new WeakSet<TargetAnswer>()

export function answer (status: number, chunks: readonly string[] = ['ok'], options: { readonly headers?: readonly string[], readonly isReset?: boolean, readonly hasEnded?: boolean } = {}): TargetAnswer {
  const created: TargetAnswer = { kind: 'answer', status, rawHeaders: options.headers ?? [], body: bytesOf(chunks, options.isReset ?? false), close: () => undefined }
  if (options.isReset === true || options.hasEnded === true) lastAnswers.add(created)
  return created
}

/** Which stream a request takes up, and after which event. */
export interface TakeUp {
  readonly lastEventId: string
  readonly resumes: string | undefined
}

export interface Fixture {
  /** Forwards a request; each one without a body has a body of its own, so that no two are the same. */
  readonly run: (path?: string, body?: string, handover?: Handover, takeUp?: TakeUp) => Promise<ForwardOutcome>
  readonly setReachingTargets: (isReaching: boolean) => void
  /** Log lines written so far. */
  readonly lines: readonly string[]
  readonly sent: TargetRequest[]
  /** Values of the headers that the system has set on each request to a target. */
  readonly systemHeaders: readonly SystemHeaders[]
  readonly requestedPlacements: RequestedPlacement[]
  readonly received: () => string
  /** Headers of each response to a client that has begun. */
  readonly begunHeaders: ReadonlyArray<readonly string[]>
  readonly disconnectClient: () => void
  /** Tells the forwarder that the daemon is about to end. */
  readonly endDaemon: () => void
  /** Ends the requests that are still in progress when the daemon has ended. */
  readonly endRequests: () => void
  readonly scheduleStop: (schedule: StopSchedule) => void
  readonly clock: ManualClock
  readonly finished: FinishedRequest[]
  readonly demands: readonly ModelDemand[]
  readonly begunStreams: readonly BegunStream[]
  /** Lets the list of targets state that a target is draining. */
  readonly drain: (id: string) => void
  /** Lets the list of targets state another entry of a target. */
  readonly replace: (entry: TargetEntry) => void
  /** Applies a load report of the target that was measured at the current time. */
  readonly report: (id: string, running?: number) => void
}

export interface FixtureOptions {
  readonly kind: RequestKind
  /** Changes the configuration in force; called at each use. */
  readonly configure?: (configuration: ServingConfiguration) => ServingConfiguration
  readonly isConfigurationConfirmed?: () => boolean
  /** Key of the requests; none by default. */
  readonly key?: StatedKey
  readonly maximumTargets?: number
  readonly entries?: readonly TargetEntry[]
  readonly answers: ReadonlyArray<TargetAnswer | 'unresponsive'>
  readonly placement?: PlacementAnswer
  /** Decides on a placement later; its signal aborts when the request does not wait any more. */
  readonly awaitPlacement?: (signal: AbortSignal) => Promise<PlacementAnswer>
  /** Called when a request is sent to a target. */
  readonly onSend?: () => void
  /** Called when a placement is requested. */
  readonly onPlacement?: () => void
  readonly retrySlack?: number
  /** Whether there is memory to hold a response until it is complete; true by default. */
  readonly holdsResponses?: boolean
  readonly promptParts?: readonly PromptPart[]
  readonly quarantine?: Partial<RequestQuarantine>
  readonly acquireTrial?: AcquireTrial
  readonly handOver?: HandOver
  /** Software version that began a stream which a client takes up; not recorded by default. */
  readonly findOrigin?: StreamOrigins['find']
  /** Whether probes of this daemon reach targets; they do by default. */
  readonly isReachingTargets?: boolean
  /** Whether the targets that have lost a connection accept those of probes. The other targets do. */
  readonly isAccepting?: boolean
  /** Whether another daemon accepts requests. */
  readonly hasServingPeer?: boolean
}

export function createFixture (options: FixtureOptions): Fixture {
  const clock = createManualClock()
  const { logger, lines } = createMemoryLogger(clock)
  const directory = createTargetDirectory({ clock, logger, lapseGraceMilliseconds: 2_300 })
  for (const entry of options.entries ?? [entryOf('t1', 'ledger'), entryOf('t2', 'ledger')]) directory.applyEntry(entry.id, entry)
  const sent: TargetRequest[] = []
  const systemHeaders: SystemHeaders[] = []
  const configuration = configurationFor(options.kind, options.maximumTargets ?? 1)
  const lostAddresses = new Set<string>()
  let isReachingTargets = options.isReachingTargets ?? true
  const requestedPlacements: RequestedPlacement[] = []
  const finished: FinishedRequest[] = []
  const demands: ModelDemand[] = []
  const begunStreams: BegunStream[] = []
  const client = new AbortController()
  const stop = createDaemonStop({ clock, hasServingPeer: () => options.hasServingPeer ?? true })
  const chunks: string[] = []
  const begunHeaders: Array<readonly string[]> = []
  let begun = false
  let destroyed = false
  const targetLimits = createTargetLimits({ clock, logger, isKnown: () => true })
  const permits = createPermitIssuer(clock)
  const targetPauses = createTargetPauses({ clock, logger, random: () => 0 })
  const targetPaces = createTargetPaces({ clock, logger, appliesTo: () => true, daemonCount: () => 1, random: () => 0 })
  const forwarder = createForwarder({
    clock,
    logger,
    dataCentre: 'a',
    configuration: () => options.configure?.(configuration) ?? configuration,
    isConfigurationConfirmed: options.isConfigurationConfirmed ?? (() => true),
    configurationAge: () => options.isConfigurationConfirmed?.() === false ? 2_400.6 : 100,
    directory,
    codec: {
      ...codec,
      forwardedHeaders: (rawHeaders, system) => {
        systemHeaders.push(system)
        return codec.forwardedHeaders(rawHeaders, system)
      }
    },
    send: async (request) => {
      sent.push(request)
      options.onSend?.()
      const next = options.answers[sent.length - 1]
      if (next === 'unresponsive' || next?.kind !== 'not-sent') request.onConnected()
      if (next !== undefined && next !== 'unresponsive' && (next.kind !== 'answer' || lastAnswers.has(next))) lostAddresses.add(request.address)
      if (next !== undefined && next !== 'unresponsive') return next
      return await new Promise((resolve) => request.signal.addEventListener('abort', () => resolve({ kind: 'failed', reason: 'aborted' })))
    },
    probe: async (address) => isReachingTargets && ((options.isAccepting ?? true) || !lostAddresses.has(address)),
    targetLimits,
    targetPauses,
    targetRooms: { isBrittle: () => false, beginSend: () => ({ recordAnswer: () => undefined, end: () => undefined }) },
    targetPaces,
    unevenServices: { has: () => true, record: () => undefined },
    acquireTurn: async (target, maximumWaitMilliseconds, _signal, ignoresPace = false) => {
      const requestsPerSecond = targetLimits.limitOf(target)
      const pauseMilliseconds = targetPauses.remaining(target)
      if (pauseMilliseconds > maximumWaitMilliseconds) return { kind: 'denied', reason: 'pause', retryAfterMilliseconds: pauseMilliseconds }
      if (pauseMilliseconds === 0 && !ignoresPace && !targetPaces.hasRoomAt(target)) return { kind: 'denied', reason: 'pace', retryAfterMilliseconds: 50 }
      if (pauseMilliseconds > 0 || requestsPerSecond === undefined) return { kind: 'granted', waitMilliseconds: pauseMilliseconds }
      const decision = permits.issue({ target, requestsPerSecond, maximumWaitMilliseconds })
      return decision.kind === 'granted' ? decision : { ...decision, reason: 'limit' }
    },
    quarantine: {
      ...createRequestQuarantine({ clock, logger, isKnown: (target) => directory.find(target) !== undefined, random: () => 0 }),
      ...options.quarantine
    },
    acquireTrial: options.acquireTrial ?? (async () => false),
    requestPlacement: async (placement, signal) => {
      requestedPlacements.push(placement)
      options.onPlacement?.()
      if (options.awaitPlacement !== undefined) return await options.awaitPlacement(signal)
      return options.placement ?? { kind: 'refused', reason: 'cold-start-too-long', retryAfterMilliseconds: 6_000 }
    },
    stop,
    streamOrigins: { begin: (stream) => { begunStreams.push(stream) }, complete: () => undefined, find: options.findOrigin ?? (async () => ({ kind: 'unknown', reason: 'not-recorded' })) },
    handOver: options.handOver ?? (async () => ({ kind: 'declined', reason: 'no-peer' })),
    isReachedByPeer: () => true,
    random: () => 0,
    daemonCount: () => 1,
    retries: { share: 0, windowMilliseconds: 10_000, slack: () => options.retrySlack ?? 5 },
    onDemand: (demand) => { demands.push(demand) },
    onFinished: (request) => { finished.push(request) }
  })
  const report = (id: string, running = 0): void => {
    const key = `${id}@0`
    const placement = directory.find(key)?.placement
    if (placement !== undefined) directory.applyUpdate({ key, placement, load: { running, waiting: 0, cacheTokensUsed: 0, cacheTokens: 0 }, ageMilliseconds: 0 })
  }
  const drain = (id: string): void => {
    const entry = directory.find(`${id}@0`)?.entry
    if (entry !== undefined) directory.applyEntry(id, { ...entry, isDraining: true })
  }
  let runCount = 0
  const requestFor = (path: string, body: string, handover: Handover | undefined, takeUp: TakeUp | undefined): InboundRequest => ({
    ...handover === undefined ? {} : { handover },
    method: 'POST',
    host: 'h',
    path,
    rawHeaders: [],
    body: Buffer.from(body),
    description: {
      id: 'r1',
      deadlineMilliseconds: 5_000,
      demand: path.startsWith('/model/') ? { model: 'm1', adapter: undefined, promptTokens: 100, maximumOutputTokens: 10, promptParts: options.promptParts ?? [] } : undefined,
      lastEventId: takeUp?.lastEventId,
      resumes: takeUp?.resumes,
      credentials: undefined,
      ...options.key === undefined ? {} : { key: options.key }
    },
    receivedAt: clock.now(),
    clientDisconnected: client.signal,
    response: {
      hasBegun: () => begun,
      hold: () => options.holdsResponses ?? true,
      begin: (status, rawHeaders, framing) => {
        begun = true
        begunHeaders.push(rawHeaders)
        chunks.push(framing === 'until-close' ? `${status} until close, ${rawHeaders.length} headers ` : `${status} `)
      },
      write: async (bytes) => { chunks.push(bytes.toString()) },
      end: () => { chunks.push(' end') },
      destroy: () => { if (!destroyed) chunks.push(' destroyed'); destroyed = true }
    }
  })
  const run: Fixture['run'] = async (path = '/plain/x', body = `body ${runCount++}`, handover, takeUp) => {
    begun = false
    return await forwarder.forward(requestFor(path, body, handover, takeUp))
  }
  return { run, setReachingTargets: (isReaching) => { isReachingTargets = isReaching }, lines, sent, systemHeaders, requestedPlacements, received: () => chunks.join(''), begunHeaders, disconnectClient: () => client.abort(), endDaemon: stop.end, endRequests: stop.endRequests, scheduleStop: stop.schedule, clock, finished, demands, begunStreams, drain, replace: (entry) => directory.applyEntry(entry.id, entry), report }
}

export const EVENTS = ['id: 1\ndata: a\n\n', 'id: 2\ndata: b\n\n', 'id: 3\ndata: c\n\n']
export const SAFE: RequestKind = { kind: 'safe' }
export const UNSAFE: RequestKind = { kind: 'unsafe' }
export const STREAM: RequestKind = { kind: 'stream', isResumable: false, maximumPauseMilliseconds: 500 }
export const RESUMABLE: RequestKind = { kind: 'stream', isResumable: true, maximumPauseMilliseconds: 500 }

export async function outcomeOf (fixture: Fixture, path?: string): Promise<{ readonly outcome: ForwardOutcome, readonly received: string, readonly sends: number }> {
  const outcome = await fixture.run(path)
  return { outcome, received: fixture.received(), sends: fixture.sent.length }
}
