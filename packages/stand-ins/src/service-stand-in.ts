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
  /** Named in the answers, for example `ledger`. */
  readonly name?: string
  readonly callMilliseconds?: Milliseconds
  /** Calls run at once; 503 `busy` beyond. */
  readonly maximumConcurrent?: number
  readonly loadReportLagMilliseconds?: Milliseconds
}

export const serviceControlSchema = commonControlSchema.extend({
  state: z.enum(['live', 'leaving']),
  callMilliseconds: z.number().nonnegative(),
  /** The connections of the next calls are cut and the calls do not run. */
  cutBeforeRun: z.number().int().nonnegative(),
  /** The next calls run, then their connection is cut without an answer. */
  cutAfterRun: z.number().int().nonnegative(),
  /** Answers the next calls with the answer and id of another request. */
  crossAnswers: z.number().int().nonnegative(),
  /** Cuts all connections and takes a new incarnation. */
  restart: z.literal(true)
}).partial()

export type ServiceControl = z.infer<typeof serviceControlSchema>

export interface ServiceCounts {
  readonly incarnation: string
  readonly arrived: number
  /** Calls that took effect. */
  readonly runs: number
  readonly refused: number
  readonly running: number
  /** Runs by `Idempotency-Key`; more than one shows a doubled run. */
  readonly runsByKey: Readonly<Record<string, number>>
  readonly runsByRequest: Readonly<Record<string, number>>
  readonly frozenRequests: number
}

export type ServiceStandIn = StandIn<ServiceControl, ServiceCounts>

/** What a plain service answers; it names the request so that a client can verify it. */
export interface ServiceResponse {
  readonly service: string
  readonly request: string
  readonly method: string
  readonly path: string
  /** SHA-256 of the request's body, in hexadecimal. */
  readonly bodySha256: string
}

const DEFAULTS = { name: 'service', callMilliseconds: 5, maximumConcurrent: 64, loadReportLagMilliseconds: 500 }

const FOREIGN_ANSWER: ServiceResponse = { service: 'foreign', request: 'foreign-request', method: 'GET', path: '/', bodySha256: '' }

/**
 * Starts a plain service. It runs every call that reaches it and does not deduplicate, so that
 * doubled runs show in its counts.
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
  let lastAnswer = FOREIGN_ANSWER

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
  const takeAnswer = (answer: ServiceResponse): ServiceResponse => {
    const other = lastAnswer
    lastAnswer = answer
    if (crossAnswers === 0) return answer
    crossAnswers--
    return other
  }

  const run = async (call: Call): Promise<void> => {
    arrived++
    const requestId = call.header('x-request-id') ?? randomUUID()
    const body = await call.readBody()
    if (state === 'leaving') return refuse(call, requestId, 'leaving')
    if (running >= maximumConcurrent) return refuse(call, requestId, 'busy')
    if (cutBeforeRun > 0) {
      cutBeforeRun--
      return call.reply.destroy()
    }
    // The effect takes place here; a client that leaves meanwhile does not undo it.
    runs++
    increment(runsByKey, call.header('idempotency-key'))
    increment(runsByRequest, requestId)
    logger.info('call run', { event: 'service-run', request: requestId, key: call.header('idempotency-key'), path: call.path })
    const isCut = cutAfterRun > 0
    if (isCut) cutAfterRun--
    setRunning(running + 1)
    if (callMilliseconds > 0) await clock.sleep(callMilliseconds)
    await server.waitWhileFrozen()
    setRunning(running - 1)
    if (isCut) return call.reply.destroy()
    const bodySha256 = createHash('sha256').update(body).digest('hex')
    const answer = takeAnswer({ service: name, request: requestId, method: call.method, path: call.path, bodySha256 })
    call.reply.sendJson(200, answer, { 'x-request-id': answer.request })
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
    fallback: run
  })
  return { address: server.address, close: server.close, control: server.control, counts }
}
