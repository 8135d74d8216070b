import type { Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import type { JsonValue, Milliseconds } from '@fuchsiastage/types'
import { z } from 'zod'
import { commonControlSchema, InvalidRequestError, LOOPBACK, readJson, startStandInServer, type Call, type ListenOptions, type StandIn } from './http-server.js'
import { createLogStream, type LogStream } from './log-stream.js'
import { createRateWindow } from './rate-window.js'
import { createSilentLogger } from './silent-logger.js'

export interface LogStandInOptions {
  readonly clock: Clock
  readonly logger?: Logger
  readonly listen?: ListenOptions
  /** Appends per second across all streams; further appends get a 429 response. */
  readonly appendsPerSecond?: number
  readonly retentionMilliseconds?: Milliseconds
  /** Maximum number of records kept in each stream. */
  readonly retentionRecords?: number
}

export const logControlSchema = commonControlSchema.extend({
  /** Number of next appends that take effect but whose connection is closed without a response. */
  loseReplies: z.number().int().nonnegative(),
  /** Removes the records of a stream before the offset. */
  expireBefore: z.strictObject({ stream: z.string(), offset: z.number().int().nonnegative() }),
  appendsPerSecond: z.number().positive()
}).partial()

export type LogControl = z.infer<typeof logControlSchema>

export interface LogCounts {
  readonly appends: number
  readonly reads: number
  readonly refusedAppends: number
  readonly lostReplies: number
  readonly longPollsWaiting: number
  /** Requests that wait while the stand-in is suspended. */
  readonly frozenRequests: number
  readonly streams: Readonly<Record<string, { readonly oldestOffset: number, readonly endOffset: number }>>
}

export type LogStandIn = StandIn<LogControl, LogCounts>

const DEFAULTS = { appendsPerSecond: 500, retentionMilliseconds: 3_600_000, retentionRecords: 100_000 }

/** Upper bounds of the wait time of a long poll and of the number of records in one response. */
const MAXIMUM_WAIT_MILLISECONDS = 30_000
const MAXIMUM_RECORDS_PER_READ = 1_000

const appendRequestSchema = z.object({ values: z.array(z.json()).min(1) })

/**
 * Starts a stand-in for the append-only log service.
 *
 * @example
 * const logService = await createLogStandIn({ clock: createSystemClock() })
 * logService.control({ loseReplies: 1 })
 */
export async function createLogStandIn (options: LogStandInOptions): Promise<LogStandIn> {
  const { clock, logger = createSilentLogger(clock), listen = LOOPBACK } = options
  const retention = {
    milliseconds: options.retentionMilliseconds ?? DEFAULTS.retentionMilliseconds,
    records: options.retentionRecords ?? DEFAULTS.retentionRecords
  }
  const streams = new Map<string, LogStream>()
  let rateWindow = createRateWindow(clock, options.appendsPerSecond ?? DEFAULTS.appendsPerSecond)
  let appends = 0
  let reads = 0
  let refusedAppends = 0
  let lostReplies = 0
  let repliesToLose = 0

  const findOrCreateStream = (name: string): LogStream => {
    const stream = streams.get(name) ?? createLogStream(clock, retention)
    streams.set(name, stream)
    return stream
  }

  const handleAppend = async (call: Call): Promise<void> => {
    const { values } = await readJson(call, appendRequestSchema)
    if (!rateWindow.tryAcquire()) {
      refusedAppends++
      return call.reply.sendJson(429, { code: 'over-rate' }, { 'retry-after': '1' })
    }
    appends++
    const firstOffset = findOrCreateStream(decodeStreamName(call)).append(values as readonly JsonValue[])
    if (repliesToLose > 0) {
      repliesToLose--
      lostReplies++
      return call.reply.destroy()
    }
    call.reply.sendJson(200, { firstOffset })
  }

  const handleRead = async (call: Call): Promise<void> => {
    reads++
    const stream = findOrCreateStream(decodeStreamName(call))
    const fromOffset = parseNumberParameter(call, 'from', 0)
    const limit = Math.min(parseNumberParameter(call, 'limit', MAXIMUM_RECORDS_PER_READ), MAXIMUM_RECORDS_PER_READ)
    const waitMilliseconds = Math.min(parseNumberParameter(call, 'wait', 0), MAXIMUM_WAIT_MILLISECONDS)
    if (waitMilliseconds > 0 && fromOffset >= stream.endOffset()) {
      const disconnectController = new AbortController()
      call.reply.onClientDisconnect(() => disconnectController.abort())
      await stream.waitForChange(waitMilliseconds, disconnectController.signal)
      await server.waitWhileFrozen()
      const refusal = server.findRefusal(call)
      if (refusal !== undefined) return call.reply.sendJson(refusal.status, { code: refusal.code })
    }
    call.reply.sendJson(200, stream.read(fromOffset, limit))
  }

  const applyControl = (change: LogControl): void => {
    if (change.loseReplies !== undefined) repliesToLose = change.loseReplies
    if (change.appendsPerSecond !== undefined) rateWindow = createRateWindow(clock, change.appendsPerSecond)
    if (change.expireBefore !== undefined) findOrCreateStream(change.expireBefore.stream).expireBefore(change.expireBefore.offset)
    // Wakes waiting long polls, so that they return 503 immediately when an outage or a refusal begins.
    if (change.down === true || change.refuseClients !== undefined) for (const stream of streams.values()) stream.wakeWaiters()
  }

  const counts = (): LogCounts => ({
    appends,
    reads,
    refusedAppends,
    lostReplies,
    longPollsWaiting: [...streams.values()].reduce((sum, stream) => sum + stream.waiterCount(), 0),
    frozenRequests: server.countFrozenWaiters(),
    streams: Object.fromEntries([...streams].map(([name, stream]) => [name, { oldestOffset: stream.oldestOffset(), endOffset: stream.endOffset() }]))
  })

  const server = await startStandInServer<LogControl, LogCounts>({
    listen,
    clock,
    logger,
    controlSchema: logControlSchema,
    applyControl,
    counts,
    routes: [
      { method: 'POST', path: '/streams/:stream/records', handle: handleAppend },
      { method: 'GET', path: '/streams/:stream/records', handle: handleRead }
    ]
  })
  return {
    address: server.address,
    counts,
    control: server.control,
    close: async () => {
      for (const stream of streams.values()) stream.wakeWaiters()
      await server.close()
    }
  }
}

function decodeStreamName (call: Call): string {
  try {
    return decodeURIComponent(call.params.stream ?? '')
  } catch {
    throw new InvalidRequestError('the stream name is not valid percent-encoding')
  }
}

function parseNumberParameter (call: Call, name: string, fallback: number): number {
  const text = call.query[name]
  if (text === undefined) return fallback
  const value = Number(text)
  if (!Number.isFinite(value) || value < 0) throw new InvalidRequestError(`query parameter ${name} is not a non-negative number`)
  return Math.floor(value)
}
