import { randomUUID } from 'node:crypto'
import { createSystemClock } from '@fuchsiastage/clock'
import { PATCH_KIND } from '@fuchsiastage/configuration'
import type { JsonValue, VmRecord } from '@fuchsiastage/types'
import { Agent, request } from 'undici'
import { callerToken, configurationChanges, daemonRecords, modelName, targetRecords } from './fixtures.js'
import { fitLine, processorTimeOf, quantile, residentBytesOf, round, type CapacityOptions, type CapacityPart, type CapacityTable } from './measure.js'
import { freeAddress, startDaemon, startFixture, type DaemonProcess, type FixtureProcess } from './processes.js'

const NAMES = 40
const MODEL = modelName(0)
const STEP_MILLISECONDS = 40
const CONCURRENT = 64
const TOKENS = [1, 25, 100]
const SLOW_STEP_MILLISECONDS = 1_000
const OPEN_STREAMS = [0, 500, 1_000, 2_000]

interface Deployment {
  readonly fixture: FixtureProcess
  readonly daemon: DaemonProcess
  readonly engine: string
  readonly stop: () => Promise<void>
}

/** Starts one daemon and one engine. The first request for the model loads it. */
async function startDeployment (stepMilliseconds: number): Promise<Deployment> {
  const fixture = startFixture()
  let daemon: DaemonProcess | undefined
  const stop = async (): Promise<void> => {
    await daemon?.stop()
    await fixture.stop()
  }
  try {
    const patch = { patchId: randomUUID(), baseVersion: 0, operator: 'capacity', note: 'initial', changes: configurationChanges(NAMES) }
    const logAddress = await fixture.ask<string>({ kind: 'start-log', streams: { configuration: [{ recordId: randomUUID(), kind: PATCH_KIND, formatVersion: 1, patch: patch as unknown as JsonValue }] } })
    const [engine = ''] = await fixture.ask<readonly string[]>({ kind: 'start-engines', count: 1, stepMilliseconds, maximumConcurrent: 10_000 })
    const [callers, peers] = [await freeAddress(), await freeAddress()]
    const self = daemonRecords(1)[0] as VmRecord
    const listAddress = await fixture.ask<string>({ kind: 'start-list', vms: [{ ...self, address: callers, peerAddress: peers }, ...targetRecords(1, () => engine)] })
    daemon = await startDaemon({ name: self.name, dataCentre: self.dataCentre, logAddress, listAddress, callers, peers, settings: { claims: ['partitions = 1'] } })
    return { fixture, daemon, engine, stop }
  } catch (reason) {
    await stop()
    throw reason
  }
}

interface Answer {
  readonly firstMilliseconds: number
  readonly totalMilliseconds: number
  readonly gaps: readonly number[]
}

const clock = createSystemClock()

/** Sends a streamed completion and reads it to the end; throws when it fails or is incomplete. */
async function complete (agent: Agent, address: string, tokens: number): Promise<Answer> {
  const startedAt = clock.now()
  const { statusCode, body } = await request(`http://${address}/v1/completions`, {
    method: 'POST',
    dispatcher: agent,
    headers: { 'content-type': 'application/json', authorization: `Bearer ${callerToken(1)}`, 'x-request-id': randomUUID(), 'x-priority': '1', 'x-deadline-milliseconds': '110000' },
    body: JSON.stringify({ model: MODEL, prompt: 'Write a renewal letter.', max_tokens: tokens, stream: true }),
    headersTimeout: 110_000,
    bodyTimeout: 110_000
  })
  let firstAt: number | undefined
  let lastAt = startedAt
  let text = ''
  const gaps: number[] = []
  for await (const chunk of body as AsyncIterable<Buffer>) {
    const part = chunk.toString('utf8')
    text = (text + part).slice(-2_000)
    if (!part.includes('data:')) continue
    const now = clock.now()
    if (firstAt === undefined) firstAt = now
    else gaps.push(now - lastAt)
    lastAt = now
  }
  if (statusCode !== 200 || !text.includes('data: [DONE]')) throw new Error(`streamed completion failed or is incomplete, status ${statusCode}: ${text.slice(-300)}`)
  return { firstMilliseconds: (firstAt ?? NaN) - startedAt, totalMilliseconds: clock.now() - startedAt, gaps }
}

async function measureStreams ({ daemon }: Deployment, agent: Agent, address: string, tokens: number, options: CapacityOptions): Promise<readonly number[]> {
  const requests = Math.max(CONCURRENT, Math.round(CONCURRENT * (tokens === 1 ? 12 : 2) * options.scale))
  const answers: Answer[] = []
  let next = 0
  const worker = async (): Promise<void> => {
    while (next < requests) {
      next++
      answers.push(await complete(agent, address, tokens))
    }
  }
  const processorBefore = processorTimeOf(daemon.pid)
  const startedAt = clock.now()
  await Promise.all(Array.from({ length: CONCURRENT }, worker))
  const seconds = (clock.now() - startedAt) / 1_000
  const processor = processorTimeOf(daemon.pid) - processorBefore
  const gaps = answers.flatMap((answer) => answer.gaps)
  const first = answers.map(({ firstMilliseconds }) => firstMilliseconds)
  return [tokens, requests / seconds, requests * tokens / seconds, processor / requests, processor / seconds, quantile(first, 0.5), quantile(first, 0.95), quantile(gaps, 0.5), quantile(gaps, 0.95)]
}

/** Requests and streamed tokens through a daemon process, compared with direct requests to the engine. */
export const requestPart: CapacityPart = {
  name: 'request',
  description: 'requests and streamed tokens through a daemon process',
  run: async (options) => {
    const deployment = await startDeployment(STEP_MILLISECONDS)
    const agent = new Agent({ connections: CONCURRENT * 2 })
    try {
      await complete(agent, deployment.daemon.callers, 1)
      // Warm-up, so that the code of the daemon, the engine and this client is compiled.
      await measureStreams(deployment, agent, deployment.daemon.callers, 25, options)
      const rows: (readonly (string | number)[])[] = []
      const points: (readonly [number, number])[] = []
      for (const tokens of TOKENS) {
        const through = await measureStreams(deployment, agent, deployment.daemon.callers, tokens, options)
        const direct = await measureStreams(deployment, agent, deployment.engine, tokens, options)
        points.push([tokens, through[3] ?? NaN])
        rows.push(['through the daemon', ...through.map(round)], ['directly to the engine', ...direct.map(round)])
      }
      const { slope, intercept } = fitLine(points)
      const tables: CapacityTable[] = [
        {
          title: `request: ${CONCURRENT} concurrent streams, one token every ${STEP_MILLISECONDS} ms`,
          columns: ['path', 'tokens/request', 'requests/s', 'tokens/s', 'daemon processor ms/request', 'daemon processor ms/s', 'first token ms p50', 'p95', 'between tokens ms p50', 'p95'],
          rows
        },
        {
          title: 'request: slopes of the daemon\'s processor time',
          columns: ['figure', 'ms'],
          rows: [['per token', round(slope)], ['per request', round(intercept)]]
        }
      ]
      return tables
    } finally {
      await agent.close()
      await deployment.stop()
    }
  }
}

async function settleStreams (deployment: Deployment, agent: Agent, wanted: number, open: Promise<Answer>[], tokens: number): Promise<void> {
  while (open.length < wanted) {
    open.push(complete(agent, deployment.daemon.callers, tokens))
    if (open.length % 50 === 0) await clock.sleep(50)
  }
  await clock.sleep(3_000)
}

/** Memory of a daemon process with open streams. */
export const streamsPart: CapacityPart = {
  name: 'streams',
  description: 'memory of a daemon process with open streams',
  run: async (options) => {
    const deployment = await startDeployment(SLOW_STEP_MILLISECONDS)
    const agent = new Agent({ connections: 4_000 })
    const open: Promise<Answer>[] = []
    try {
      await complete(agent, deployment.daemon.callers, 1)
      const rows: (readonly number[])[] = []
      for (const count of OPEN_STREAMS) {
        const wanted = Math.round(count * options.scale)
        await settleStreams(deployment, agent, wanted, open, 25)
        const processorBefore = processorTimeOf(deployment.daemon.pid)
        const startedAt = clock.now()
        await clock.sleep(2_000)
        const seconds = (clock.now() - startedAt) / 1_000
        rows.push([wanted, residentBytesOf(deployment.daemon.pid) / 1e6, (processorTimeOf(deployment.daemon.pid) - processorBefore) / seconds])
      }
      const ended = await Promise.allSettled(open)
      const failed = ended.filter(({ status }) => status === 'rejected')
      const { slope, intercept } = fitLine(rows.map(([count = 0, memory = 0]) => [count, memory]))
      const tables: CapacityTable[] = [
        {
          title: `streams: one daemon process with open streams, one token every ${SLOW_STEP_MILLISECONDS} ms`,
          columns: ['open streams', 'resident MB', 'processor ms/s'],
          rows: rows.map((row) => row.map(round))
        },
        { title: 'streams: result', columns: ['figure', 'value'], rows: [['KB per stream', round(slope * 1_000)], ['MB without streams', round(intercept)], ['complete streams', ended.length - failed.length], ['failed streams', failed.length]] }
      ]
      return tables
    } finally {
      await Promise.allSettled(open)
      await agent.destroy()
      await deployment.stop()
    }
  }
}
