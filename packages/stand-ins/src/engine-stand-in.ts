import { randomUUID } from 'node:crypto'
import type { EngineState, LoadOrder, UnloadOrder, VmState } from '@fuchsiastage/types'
import { z } from 'zod'
import { chatRequestSchema, createCompletionBody, textRequestSchema, type CompletionRequest } from './completion.js'
import { createEngineCounters } from './engine-counters.js'
import { createEngineIncarnation, type EngineIncarnation, type ResumableStream, type StartedRequest } from './engine-incarnation.js'
import {
  DEFAULT_ENGINE_TIMING,
  engineControlSchema,
  type EngineControl,
  type EngineCounts,
  type EngineStandIn,
  type EngineStandInOptions,
  type EngineTiming
} from './engine-options.js'
import { completionIdentity, writeEventStream } from './generation-stream.js'
import { InvalidRequestError, LOOPBACK, readJson, startStandInServer, type Call } from './http-server.js'
import type { OrderResponse } from './model-orders.js'
import { createSilentLogger } from './silent-logger.js'
import { createWeightsCache } from './weights-cache.js'
import { createWeightsDownload } from './weights-download.js'

const LOWEST_PRIORITY = 9
const DEFAULT_HOST_MEMORY_FACTOR = 2
const DEFAULT_DISK_FACTOR = 10
const STATUS_BY_ORDER_RESULT = { done: 200, 'refused-token': 409, failed: 422 } as const

/** Request whose response `crossAnswers` sends when there was no earlier request. */
const UNRELATED_REQUEST: StartedRequest = {
  requestId: 'foreign-request',
  request: { kind: 'text', model: 'foreign-model', prompt: 'foreign prompt', maximumTokens: 16, isStreamed: false }
}

const orderSchema: z.ZodType<LoadOrder | UnloadOrder> = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('load'),
    orderId: z.string().min(1),
    fencingToken: z.number().int().nonnegative(),
    model: z.string().min(1),
    baseModel: z.string().min(1).optional(),
    memoryMegabytes: z.number().nonnegative(),
    weightsMegabytes: z.number().nonnegative()
  }),
  z.object({
    kind: z.literal('unload'),
    orderId: z.string().min(1),
    fencingToken: z.number().int().nonnegative(),
    model: z.string().min(1)
  })
])

/**
 * Starts a stand-in for a model engine.
 *
 * @example
 * const engine = await createEngineStandIn({ clock, memoryMegabytes: 80_000, maximumConcurrent: 16, fencing: 'checked' })
 * engine.control({ cutStreams: { afterTokens: 3 } })
 */
export async function createEngineStandIn (options: EngineStandInOptions): Promise<EngineStandIn> {
  const { clock, logger = createSilentLogger(clock), listen = LOOPBACK } = options
  const timing: EngineTiming = { ...DEFAULT_ENGINE_TIMING, ...options.timing }
  const counters = createEngineCounters(clock)
  const weights = createWeightsCache({
    hostMemoryMegabytes: options.hostMemoryMegabytes ?? options.memoryMegabytes * DEFAULT_HOST_MEMORY_FACTOR,
    diskMegabytes: options.diskMegabytes ?? options.memoryMegabytes * DEFAULT_DISK_FACTOR,
    initial: options.cachedWeights ?? {}
  })
  let state: VmState = 'live'
  let slowFactor = 1
  let cutStreams = { afterTokens: 0, times: 0 }
  let crossAnswers = 0
  let refuseResume = false
  let delayOrders = { milliseconds: 0, times: 0 }
  let orderRepliesToLose = 0
  let incarnations = 0
  let lastStartedRequest: StartedRequest | undefined

  const download = createWeightsDownload({
    clock,
    weightStore: options.weightStore,
    remoteMegabytesPerSecond: timing.remoteMegabytesPerSecond,
    slowFactor: () => slowFactor
  })
  const startIncarnation = (): EngineIncarnation => {
    incarnations++
    return createEngineIncarnation({
      engine: options,
      logger,
      timing,
      counters,
      weights,
      slowFactor: () => slowFactor,
      waitWhileFrozen: () => server.waitWhileFrozen(),
      download: download.fetch
    })
  }
  let currentIncarnation = startIncarnation()

  const refuse = (call: Call, requestId: string, status: number, code: string): void => {
    counters.requestRefused(code)
    call.reply.sendJson(status, { code }, { 'x-request-id': requestId })
  }
  const consumeCut = (eventsWritten: number): boolean => {
    if (cutStreams.times === 0 || eventsWritten < cutStreams.afterTokens) return false
    cutStreams = { ...cutStreams, times: cutStreams.times - 1 }
    return true
  }
  const attachConnection = (call: Call, incarnation: EngineIncarnation, stream: ResumableStream, afterEventId: number): void => {
    // Cutting the previous connection schedules the expiry, so the expiry is cancelled afterwards.
    stream.cutConnection?.()
    stream.expiry?.cancel()
    stream.cutConnection = writeEventStream({
      clock,
      timing,
      generation: stream.generation,
      reply: call.reply,
      afterEventId,
      consumeCut,
      waitWhileFrozen: server.waitWhileFrozen,
      onInterrupted: () => incarnation.scheduleExpiry(stream)
    })
  }
  const sendWhenComplete = (call: Call, { generation }: ResumableStream): void => {
    const sendResponse = (): void => {
      if (generation.status() === 'active') return
      if (generation.status() === 'cancelled') return call.reply.destroy()
      call.reply.sendJson(200, createCompletionBody(completionIdentity(generation), generation.tokens), {
        'x-request-id': generation.responseRequestId,
        'x-stream-id': generation.streamId
      })
    }
    call.reply.onClientDisconnect(generation.cancel)
    generation.onProgress(sendResponse)
    sendResponse()
  }
  const selectResponseRequest = (startedRequest: StartedRequest): StartedRequest => {
    const previousRequest = lastStartedRequest ?? UNRELATED_REQUEST
    lastStartedRequest = startedRequest
    if (crossAnswers === 0) return startedRequest
    crossAnswers--
    return previousRequest
  }

  const createCompletionHandler = (schema: z.ZodType<CompletionRequest>) => async (call: Call): Promise<void> => {
    const requestId = call.header('x-request-id') ?? randomUUID()
    counters.requestArrived(requestId)
    const request = await readJson(call, schema)
    const incarnation = currentIncarnation
    if (state === 'leaving') return refuse(call, requestId, 503, 'leaving')
    if (!incarnation.orders.isLoaded(request.model)) return refuse(call, requestId, 404, 'model-not-loaded')
    if (incarnation.batch.size() >= options.maximumConcurrent) return refuse(call, requestId, 503, 'busy')
    const startedRequest: StartedRequest = { requestId, request }
    const stream = incarnation.startGeneration(startedRequest, selectResponseRequest(startedRequest), parsePriority(call))
    logger.info('request started', { event: 'engine-request', request: requestId, model: request.model, stream: stream.generation.streamId })
    // A stream that has ended can be resumed until it expires.
    stream.generation.onProgress(() => { if (stream.generation.status() !== 'active') incarnation.scheduleExpiry(stream) })
    if (request.isStreamed) attachConnection(call, incarnation, stream, 0)
    else sendWhenComplete(call, stream)
  }

  const handleResume = (call: Call): void => {
    const incarnation = currentIncarnation
    const stream = incarnation.findStream(call.params.id ?? '')
    if (stream === undefined) return call.reply.sendJson(404, { code: 'stream-unknown' })
    if (refuseResume || stream.generation.status() === 'cancelled') return call.reply.sendJson(410, { code: 'stream-gone' })
    const lastEventId = Number(call.header('last-event-id') ?? 0)
    if (!Number.isInteger(lastEventId) || lastEventId < 0 || lastEventId > stream.generation.emitted() + 1) {
      throw new InvalidRequestError('Last-Event-ID does not identify an event of this stream')
    }
    counters.streamResumed()
    attachConnection(call, incarnation, stream, lastEventId)
    if (stream.generation.status() !== 'active') incarnation.scheduleExpiry(stream)
  }
  const handleCancel = (call: Call): void => {
    const stream = currentIncarnation.findStream(call.params.id ?? '')
    if (stream === undefined) return call.reply.sendJson(404, { code: 'stream-unknown' })
    stream.generation.cancel()
    call.reply.sendEmpty(204)
  }

  const handleOrder = async (call: Call): Promise<void> => {
    const order = await readJson(call, orderSchema)
    if (delayOrders.times > 0) {
      const { milliseconds, times } = delayOrders
      delayOrders = { milliseconds, times: times - 1 }
      await clock.sleep(milliseconds)
    }
    const incarnation = currentIncarnation
    const response: OrderResponse = await incarnation.orders.submit(order)
    // The engine restarted during the order and closed this connection, so there is no response.
    if (incarnation !== currentIncarnation) return call.reply.destroy()
    if (orderRepliesToLose > 0) {
      orderRepliesToLose--
      return call.reply.destroy()
    }
    call.reply.sendJson(STATUS_BY_ORDER_RESULT[response.kind], response)
  }

  const readState = (): EngineState => ({
    kind: 'engine',
    incarnation: currentIncarnation.id,
    state,
    fencingToken: currentIncarnation.orders.fencingToken(),
    memoryMegabytes: options.memoryMegabytes,
    models: currentIncarnation.orders.states(),
    executedOrders: currentIncarnation.orders.executedOrders(),
    cachedWeights: weights.entries(),
    load: {
      ...currentIncarnation.load.readWithLag(timing.loadReportLagMilliseconds),
      capacity: options.maximumConcurrent,
      ageMilliseconds: timing.loadReportLagMilliseconds
    }
  })

  const restart = (): void => {
    const previousIncarnation = currentIncarnation
    weights.clearMemory()
    currentIncarnation = startIncarnation()
    previousIncarnation.end()
    server.cutConnections()
    logger.info('engine restarted', { event: 'engine-restarted', incarnation: currentIncarnation.id })
  }
  const applyControl = (change: EngineControl): void => {
    state = change.state ?? state
    slowFactor = change.slowFactor ?? slowFactor
    crossAnswers = change.crossAnswers ?? crossAnswers
    refuseResume = change.refuseResume ?? refuseResume
    orderRepliesToLose = change.loseOrderReplies ?? orderRepliesToLose
    if (change.cutStreams !== undefined) cutStreams = { times: 1, ...change.cutStreams }
    if (change.delayOrders !== undefined) delayOrders = { times: 1, ...change.delayOrders }
    if (change.restart === true) restart()
  }
  const counts = (): EngineCounts => ({
    ...counters.read(),
    incarnation: currentIncarnation.id,
    incarnations,
    frozenActivities: server.countFrozenWaiters()
  })

  const server = await startStandInServer<EngineControl, EngineCounts>({
    listen,
    clock,
    logger,
    controlSchema: engineControlSchema,
    applyControl,
    counts,
    routes: [
      { method: 'GET', path: '/state', handle: (call) => call.reply.sendJson(200, readState()) },
      { method: 'POST', path: '/orders', handle: handleOrder },
      { method: 'POST', path: '/v1/chat/completions', handle: createCompletionHandler(chatRequestSchema) },
      { method: 'POST', path: '/v1/completions', handle: createCompletionHandler(textRequestSchema) },
      { method: 'GET', path: '/v1/streams/:id', handle: handleResume },
      { method: 'DELETE', path: '/v1/streams/:id', handle: handleCancel },
      { method: 'GET', path: '/cache-events', handle: (call) => call.reply.sendJson(200, currentIncarnation.prefixes.events(Number(call.query.from ?? 0))) }
    ]
  })
  return {
    address: server.address,
    counts,
    control: server.control,
    close: async () => {
      currentIncarnation.end()
      await Promise.all([server.close(), download.close()])
    }
  }
}

function parsePriority (call: Call): number {
  const priority = Number(call.header('x-priority') ?? LOWEST_PRIORITY)
  return Number.isFinite(priority) ? priority : LOWEST_PRIORITY
}
