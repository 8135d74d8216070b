import type { Clock } from '@fuchsiastage/clock'
import type { Logger } from '@fuchsiastage/logger'
import type { JsonValue, Milliseconds } from '@fuchsiastage/types'
import { z } from 'zod'
import { commonControl, InvalidRequest, LOOPBACK, readJson, startStandInServer, type Call, type ListenOptions, type StandIn } from './http-server.js'
import { createLogStream, type LogStream } from './log-stream.js'
import { createRateWindow } from './rate-window.js'
import { createSilentLogger } from './silent-logger.js'

export interface LogStandInOptions {
  readonly clock: Clock
  readonly logger?: Logger
  readonly listen?: ListenOptions
  /** Appends a second over all streams; 429 beyond. */
  readonly appendsPerSecond?: number
  readonly retentionMilliseconds?: Milliseconds
  /** Records kept for each stream. */
  readonly retentionRecords?: number
}

export const logControl = commonControl.extend({
  /** The next appends take effect, then their connection is cut without an answer. */
  loseReplies: z.number().int().nonnegative(),
  /** Drops the records of a stream before the offset. */
  expireBefore: z.strictObject({ stream: z.string(), offset: z.number().int().nonnegative() }),
  appendsPerSecond: z.number().positive()
}).partial()

export type LogControl = z.infer<typeof logControl>

export interface LogCounts {
  readonly appends: number
  readonly reads: number
  readonly refusedAppends: number
  readonly lostReplies: number
  readonly longPollsWaiting: number
  /** Requests held back by a freeze. */
  readonly frozenRequests: number
  readonly streams: Readonly<Record<string, { readonly oldestOffset: number, readonly endOffset: number }>>
}

export type LogStandIn = StandIn<LogControl, LogCounts>

const DEFAULTS = { appendsPerSecond: 500, retentionMilliseconds: 3_600_000, retentionRecords: 100_000 }

/** Upper bound of one long poll and of the records of one answer. */
const MAXIMUM_WAIT_MILLISECONDS = 30_000
const MAXIMUM_LIMIT = 1_000

const appendBody = z.object({ values: z.array(z.json()).min(1) })

/**
 * Starts a log service.
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
  let rate = createRateWindow(clock, options.appendsPerSecond ?? DEFAULTS.appendsPerSecond)
  let appends = 0
  let reads = 0
  let refusedAppends = 0
  let lostReplies = 0
  let repliesToLose = 0

  const streamOf = (name: string): LogStream => {
    const stream = streams.get(name) ?? createLogStream(clock, retention)
    streams.set(name, stream)
    return stream
  }

  const append = async (call: Call): Promise<void> => {
    const { values } = await readJson(call, appendBody)
    if (!rate.tryTake()) {
      refusedAppends++
      return call.reply.sendJson(429, { code: 'over-rate' }, { 'retry-after': '1' })
    }
    appends++
    const firstOffset = streamOf(streamName(call)).append(values as readonly JsonValue[])
    if (repliesToLose > 0) {
      repliesToLose--
      lostReplies++
      return call.reply.destroy()
    }
    call.reply.sendJson(200, { firstOffset })
  }

  const read = async (call: Call): Promise<void> => {
    reads++
    const stream = streamOf(streamName(call))
    const from = numberOf(call, 'from', 0)
    const limit = Math.min(numberOf(call, 'limit', MAXIMUM_LIMIT), MAXIMUM_LIMIT)
    const wait = Math.min(numberOf(call, 'wait', 0), MAXIMUM_WAIT_MILLISECONDS)
    if (wait > 0 && from >= stream.endOffset()) {
      const abandoned = new AbortController()
      call.reply.onAbandoned(() => abandoned.abort())
      await stream.waitForChange(wait, abandoned.signal)
      await server.thawed()
      const refused = server.refusal(call)
      if (refused !== undefined) return call.reply.sendJson(refused.status, { code: refused.code })
    }
    call.reply.sendJson(200, stream.read(from, limit))
  }

  const applyControl = (change: LogControl): void => {
    if (change.loseReplies !== undefined) repliesToLose = change.loseReplies
    if (change.appendsPerSecond !== undefined) rate = createRateWindow(clock, change.appendsPerSecond)
    if (change.expireBefore !== undefined) streamOf(change.expireBefore.stream).expireBefore(change.expireBefore.offset)
    // Long polls that wait must notice an outage or a refusal that begins now.
    if (change.down === true || change.refuseClients !== undefined) for (const stream of streams.values()) stream.wakeWaiters()
  }

  const counts = (): LogCounts => ({
    appends,
    reads,
    refusedAppends,
    lostReplies,
    longPollsWaiting: [...streams.values()].reduce((sum, stream) => sum + stream.waiting(), 0),
    frozenRequests: server.frozenRequests(),
    streams: Object.fromEntries([...streams].map(([name, stream]) => [name, { oldestOffset: stream.oldestOffset(), endOffset: stream.endOffset() }]))
  })

  const server = await startStandInServer<LogControl, LogCounts>({
    listen,
    clock,
    logger,
    controlSchema: logControl,
    applyControl,
    counts,
    routes: [
      { method: 'POST', path: '/streams/:stream/records', handle: append },
      { method: 'GET', path: '/streams/:stream/records', handle: read }
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

function streamName (call: Call): string {
  try {
    return decodeURIComponent(call.params.stream ?? '')
  } catch {
    throw new InvalidRequest('the stream name is not encoded correctly')
  }
}

function numberOf (call: Call, name: string, fallback: number): number {
  const text = call.query[name]
  if (text === undefined) return fallback
  const value = Number(text)
  if (!Number.isFinite(value) || value < 0) throw new InvalidRequest(`${name} is not a number from zero on`)
  return Math.floor(value)
}
