import { createHash, randomUUID } from 'node:crypto'
import type { Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds, TargetState, VmState } from '@fuchsiastage/types'
import { z } from 'zod'
import { commonControlSchema, LOOPBACK, startStandInServer, type Call, type ListenOptions, type StandIn } from './http-server.js'
import { createLaggedValue } from './lagged-value.js'
import { createSilentLogger } from './silent-logger.js'

export interface ServiceStandInOptions {
  readonly clock: Clock
  readonly logger?: Logger
  readonly listen?: ListenOptions
  /** Service name in the responses, for example `ledger`. */
  readonly name?: string
  readonly callMilliseconds?: Milliseconds
  /** Maximum number of concurrent calls; further calls get 503 `busy`. */
  readonly maximumConcurrent?: number
  readonly loadReportLagMilliseconds?: Milliseconds
}

export const serviceControlSchema = commonControlSchema.extend({
  state: z.enum(['live', 'leaving']),
  callMilliseconds: z.number().nonnegative(),
  /** Number of next calls whose connection is closed before they run. */
  cutBeforeRun: z.number().int().nonnegative(),
  /** Number of next calls that run but whose connection is closed without a response. */
  cutAfterRun: z.number().int().nonnegative(),
  /** Number of next calls that get the response and the request id of another call. */
  crossAnswers: z.number().int().nonnegative(),
  /** Closes all connections and starts a new incarnation. */
  restart: z.literal(true)
}).partial()

export type ServiceControl = z.infer<typeof serviceControlSchema>

export interface ServiceCounts {
  readonly incarnation: string
  readonly arrived: number
  /** Calls that took effect, including repeated ones. */
  readonly runs: number
  readonly refused: number
  readonly running: number
  /** Runs by `Idempotency-Key`; a count above one shows that a call ran more than once. */
  readonly runsByKey: Readonly<Record<string, number>>
  readonly runsByRequest: Readonly<Record<string, number>>
  readonly frozenRequests: number
}

export type ServiceStandIn = StandIn<ServiceControl, ServiceCounts>

/** Response body of a plain service. It describes the request, so that a client can verify that the response belongs to it. */
export interface ServiceResponse {
  readonly service: string
  readonly request: string
  readonly method: string
  readonly path: string
  /** SHA-256 of the request body, in hexadecimal. */
  readonly bodySha256: string
}

const DEFAULTS = { name: 'service', callMilliseconds: 5, maximumConcurrent: 64, loadReportLagMilliseconds: 500 }

/** Response for `crossAnswers` when there was no earlier call. */
const UNRELATED_RESPONSE: ServiceResponse = { service: 'foreign', request: 'foreign-request', method: 'GET', path: '/', bodySha256: '' }

/**
 * Starts a stand-in for a plain service. It runs every call that reaches it without deduplication,
 * so that repeated runs show in its counts.
 *
 * @example
 * const ledger = await createServiceStandIn({ clock, name: 'ledger' })
 * ledger.control({ cutAfterRun: 1 })
 */
export async function createServiceStandIn (options: ServiceStandInOptions): Promise<ServiceStandIn> {
  const { clock, logger = createSilentLogger(clock), listen = LOOPBACK } = options
  const name = options.name ?? DEFAULTS.name
  const maximumConcurrent = options.maximumConcurrent ?? DEFAULTS.maximumConcurrent
  const lagMilliseconds = options.loadReportLagMilliseconds ?? DEFAULTS.loadReportLagMilliseconds
  const load = createLaggedValue(clock, 0)
  const runsByKey = new Map<string, number>()
  const runsByRequest = new Map<string, number>()
  let callMilliseconds = options.callMilliseconds ?? DEFAULTS.callMilliseconds
  let incarnation = randomUUID()
  let state: VmState = 'live'
  let arrived = 0
  let runs = 0
  let refused = 0
  let running = 0
  let cutBeforeRun = 0
  let cutAfterRun = 0
  let crossAnswers = 0
  let lastResponse = UNRELATED_RESPONSE

  const increment = (counters: Map<string, number>, key: string | undefined): void => {
    if (key !== undefined) counters.set(key, (counters.get(key) ?? 0) + 1)
  }
  const setRunning = (value: number): void => {
    running = value
    load.set(value)
  }
  const refuse = (call: Call, requestId: string, code: string): void => {
    refused++
    call.reply.sendJson(503, { code }, { 'x-request-id': requestId })
  }
  const selectResponse = (response: ServiceResponse): ServiceResponse => {
    const previousResponse = lastResponse
    lastResponse = response
    if (crossAnswers === 0) return response
    crossAnswers--
    return previousResponse
  }

  const handleCall = async (call: Call): Promise<void> => {
    arrived++
    const requestId = call.header('x-request-id') ?? randomUUID()
    const body = await call.readBody()
    if (state === 'leaving') return refuse(call, requestId, 'leaving')
    if (running >= maximumConcurrent) return refuse(call, requestId, 'busy')
    if (cutBeforeRun > 0) {
      cutBeforeRun--
      return call.reply.destroy()
    }
    // The call takes effect here; a client that disconnects later does not undo it.
    runs++
    increment(runsByKey, call.header('idempotency-key'))
    increment(runsByRequest, requestId)
    logger.info('running call', { event: 'service-run', request: requestId, key: call.header('idempotency-key'), path: call.path })
    const isConnectionCut = cutAfterRun > 0
    if (isConnectionCut) cutAfterRun--
    setRunning(running + 1)
    if (callMilliseconds > 0) await clock.sleep(callMilliseconds)
    await server.waitWhileFrozen()
    setRunning(running - 1)
    if (isConnectionCut) return call.reply.destroy()
    const bodySha256 = createHash('sha256').update(body).digest('hex')
    const response = selectResponse({ service: name, request: requestId, method: call.method, path: call.path, bodySha256 })
    call.reply.sendJson(200, response, { 'x-request-id': response.request })
  }

  const readState = (): TargetState => ({
    kind: 'service',
    incarnation,
    state,
    load: { running: load.readWithLag(lagMilliseconds), waiting: 0, capacity: maximumConcurrent, ageMilliseconds: lagMilliseconds }
  })
  const applyControl = (change: ServiceControl): void => {
    state = change.state ?? state
    callMilliseconds = change.callMilliseconds ?? callMilliseconds
    cutBeforeRun = change.cutBeforeRun ?? cutBeforeRun
    cutAfterRun = change.cutAfterRun ?? cutAfterRun
    crossAnswers = change.crossAnswers ?? crossAnswers
    if (change.restart !== true) return
    incarnation = randomUUID()
    server.cutConnections()
  }
  const counts = (): ServiceCounts => ({
    incarnation,
    arrived,
    runs,
    refused,
    running,
    runsByKey: Object.fromEntries(runsByKey),
    runsByRequest: Object.fromEntries(runsByRequest),
    frozenRequests: server.countFrozenWaiters()
  })

  const server = await startStandInServer<ServiceControl, ServiceCounts>({
    listen,
    clock,
    logger,
    controlSchema: serviceControlSchema,
    applyControl,
    counts,
    routes: [{ method: 'GET', path: '/state', handle: (call) => call.reply.sendJson(200, readState()) }],
    fallback: handleCall
  })
  return { address: server.address, close: server.close, control: server.control, counts }
}
