import { randomUUID } from 'node:crypto'
import { createSystemClock } from '@fuchsiastage/clock'
import { PATCH_KIND } from '@fuchsiastage/configuration'
import type { JsonValue, VmRecord } from '@fuchsiastage/types'
import { Agent, request } from 'undici'
import { callerToken, createConfigurationChanges, createDaemonRecords, modelName, createTargetRecords } from './fixtures.js'
import { fitLine, processorTimeOf, quantile, residentBytesOf, roundSignificant, type CapacityOptions, type CapacityPart, type CapacityTable } from './measure.js'
import { freeAddress, startDaemon, startFixture, type DaemonProcess, type FixtureProcess } from './processes.js'

/** Number of models and adapters in the configuration. */
const NAME_COUNT = 40
const MODEL = modelName(0)
const STEP_MILLISECONDS = 40
const CONCURRENT_STREAMS = 64
const TOKENS_PER_STREAM = [1, 25, 100]
const LONG_STEP_MILLISECONDS = 1_000
const OPEN_STREAM_COUNTS = [0, 500, 1_000, 2_000]

interface Deployment {
  readonly fixture: FixtureProcess
  readonly daemon: DaemonProcess
  readonly engineAddress: string
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
    const patch = { patchId: randomUUID(), baseVersion: 0, operator: 'capacity', note: 'initial', changes: createConfigurationChanges(NAME_COUNT) }
    const logAddress = await fixture.request<string>({ kind: 'start-log', streams: { configuration: [{ recordId: randomUUID(), kind: PATCH_KIND, formatVersion: 1, patch: patch as unknown as JsonValue }] } })
    const [engineAddress = ''] = await fixture.request<readonly string[]>({ kind: 'start-engines', count: 1, stepMilliseconds, maximumConcurrent: 10_000 })
    const [callerAddress, peerAddress] = [await freeAddress(), await freeAddress()]
    const self = createDaemonRecords(1)[0] as VmRecord
    const listAddress = await fixture.request<string>({ kind: 'start-list', vms: [{ ...self, address: callerAddress, peerAddress }, ...createTargetRecords(1, () => engineAddress)] })
    daemon = await startDaemon({ name: self.name, dataCentre: self.dataCentre, logAddress, listAddress, callerAddress, peerAddress, settings: { claims: ['partitions = 1'] } })
    return { fixture, daemon, engineAddress, stop }
  } catch (reason) {
    await stop()
    throw reason
  }
}

interface StreamTiming {
  readonly firstMilliseconds: number
  readonly totalMilliseconds: number
  readonly gaps: readonly number[]
}

const clock = createSystemClock()

/** Sends a streamed completion and reads it to the end; throws when it fails or is incomplete. */
async function streamCompletion (agent: Agent, address: string, tokens: number): Promise<StreamTiming> {
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
    const chunkText = chunk.toString('utf8')
    text = (text + chunkText).slice(-2_000)
    if (!chunkText.includes('data:')) continue
    const now = clock.now()
    if (firstAt === undefined) firstAt = now
    else gaps.push(now - lastAt)
    lastAt = now
  }
  if (statusCode !== 200 || !text.includes('data: [DONE]')) throw new Error(`streamed completion failed or is incomplete, status ${statusCode}: ${text.slice(-300)}`)
  return { firstMilliseconds: (firstAt ?? NaN) - startedAt, totalMilliseconds: clock.now() - startedAt, gaps }
}

async function measureStreams ({ daemon }: Deployment, agent: Agent, address: string, tokens: number, options: CapacityOptions): Promise<readonly number[]> {
  const requests = Math.max(CONCURRENT_STREAMS, Math.round(CONCURRENT_STREAMS * (tokens === 1 ? 12 : 2) * options.scale))
  const timings: StreamTiming[] = []
  let startedRequests = 0
  const worker = async (): Promise<void> => {
    while (startedRequests < requests) {
      startedRequests++
      timings.push(await streamCompletion(agent, address, tokens))
    }
  }
  const processorBefore = processorTimeOf(daemon.pid)
  const startedAt = clock.now()
  await Promise.all(Array.from({ length: CONCURRENT_STREAMS }, worker))
  const seconds = (clock.now() - startedAt) / 1_000
  const processor = processorTimeOf(daemon.pid) - processorBefore
  const gaps = timings.flatMap((timing) => timing.gaps)
  const first = timings.map(({ firstMilliseconds }) => firstMilliseconds)
  return [tokens, requests / seconds, requests * tokens / seconds, processor / requests, processor / seconds, quantile(first, 0.5), quantile(first, 0.95), quantile(gaps, 0.5), quantile(gaps, 0.95)]
}

/** Requests and streamed tokens through a daemon process, compared with direct requests to the engine. */
export const requestPart: CapacityPart = {
  name: 'request',
  description: 'requests and streamed tokens through a daemon process',
  run: async (options) => {
    const deployment = await startDeployment(STEP_MILLISECONDS)
    const agent = new Agent({ connections: CONCURRENT_STREAMS * 2 })
    try {
      await streamCompletion(agent, deployment.daemon.callerAddress, 1)
      // Warm-up, so that the code of the daemon, the engine and this client is compiled.
      await measureStreams(deployment, agent, deployment.daemon.callerAddress, 25, options)
      const rows: (readonly (string | number)[])[] = []
      const points: (readonly [number, number])[] = []
      for (const tokens of TOKENS_PER_STREAM) {
        const viaDaemon = await measureStreams(deployment, agent, deployment.daemon.callerAddress, tokens, options)
        const direct = await measureStreams(deployment, agent, deployment.engineAddress, tokens, options)
        points.push([tokens, viaDaemon[3] ?? NaN])
        rows.push(['through the daemon', ...viaDaemon.map(roundSignificant)], ['directly to the engine', ...direct.map(roundSignificant)])
      }
      const { slope, intercept } = fitLine(points)
      const tables: CapacityTable[] = [
        {
          title: `request: ${CONCURRENT_STREAMS} concurrent streams, one token every ${STEP_MILLISECONDS} ms`,
          columns: ['path', 'tokens/request', 'requests/s', 'tokens/s', 'daemon processor ms/request', 'daemon processor ms/s', 'first token ms p50', 'p95', 'between tokens ms p50', 'p95'],
          rows
        },
        {
          title: 'request: slopes of the daemon\'s processor time',
          columns: ['figure', 'ms'],
          rows: [['per token', roundSignificant(slope)], ['per request', roundSignificant(intercept)]]
        }
      ]
      return tables
    } finally {
      await agent.close()
      await deployment.stop()
    }
  }
}

async function openStreams (deployment: Deployment, agent: Agent, streamCount: number, completions: Promise<StreamTiming>[], tokens: number): Promise<void> {
  while (completions.length < streamCount) {
    completions.push(streamCompletion(agent, deployment.daemon.callerAddress, tokens))
    if (completions.length % 50 === 0) await clock.sleep(50)
  }
  await clock.sleep(3_000)
}

/** Memory of a daemon process with open streams. */
export const streamsPart: CapacityPart = {
  name: 'streams',
  description: 'memory of a daemon process with open streams',
  run: async (options) => {
    const deployment = await startDeployment(LONG_STEP_MILLISECONDS)
    const agent = new Agent({ connections: 4_000 })
    const completions: Promise<StreamTiming>[] = []
    try {
      await streamCompletion(agent, deployment.daemon.callerAddress, 1)
      const rows: (readonly number[])[] = []
      for (const count of OPEN_STREAM_COUNTS) {
        const streamCount = Math.round(count * options.scale)
        await openStreams(deployment, agent, streamCount, completions, 25)
        const processorBefore = processorTimeOf(deployment.daemon.pid)
        const startedAt = clock.now()
        await clock.sleep(2_000)
        const seconds = (clock.now() - startedAt) / 1_000
        rows.push([streamCount, residentBytesOf(deployment.daemon.pid) / 1e6, (processorTimeOf(deployment.daemon.pid) - processorBefore) / seconds])
      }
      const ended = await Promise.allSettled(completions)
      const failed = ended.filter(({ status }) => status === 'rejected')
      const { slope, intercept } = fitLine(rows.map(([count = 0, memory = 0]) => [count, memory]))
      const tables: CapacityTable[] = [
        {
          title: `streams: one daemon process with open streams, one token every ${LONG_STEP_MILLISECONDS} ms`,
          columns: ['open streams', 'resident MB', 'processor ms/s'],
          rows: rows.map((row) => row.map(roundSignificant))
        },
        { title: 'streams: result', columns: ['figure', 'value'], rows: [['KB per stream', roundSignificant(slope * 1_000)], ['MB without streams', roundSignificant(intercept)], ['complete streams', ended.length - failed.length], ['failed streams', failed.length]] }
      ]
      return tables
    } finally {
      await Promise.allSettled(completions)
      await agent.destroy()
      await deployment.stop()
    }
  }
}
