import { createSystemClock } from '@fuchsiastage/clock'
import { assertNever } from '@fuchsiastage/types'
import { build, encodeIntoCompressedBase64, type Histogram } from 'hdr-histogram-js'
import { Agent, request } from 'undici'
import type { LoadPlan, LoadResult } from './load-messages.js'

const MICROSECONDS_PER_MILLISECOND = 1_000
const LARGEST_TRACKED_MICROSECONDS = 600_000_000
const HTTP_OK = 200
const REFERENCE_STREAM_TOKENS = 100_000
/** Head start of the reference streams. In each step an engine sends the token of its oldest stream first, so the reference stream must be older than the timed streams. */
const REFERENCE_LEAD_MILLISECONDS = 500
/** Marks the start of a server-sent event with an id. It does not occur in the JSON data, where the key is quoted. */
const EVENT_START = Buffer.from('id: ')

const clock = createSystemClock()
const agent = new Agent({ connections: 8_192, pipelining: 1, headersTimeout: 0, bodyTimeout: 0 })
const plan = JSON.parse(process.argv[2] ?? '') as LoadPlan
const histogram = createHistogram()
const firstTokenHistogram = createHistogram()
let failures = 0
let firstFailure: string | undefined
let tokens = 0
let requests = 0
let tokensPerSecond = 0

function createHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: LARGEST_TRACKED_MICROSECONDS, numberOfSignificantValueDigits: 3 })
}

function recordMilliseconds (target: Histogram, milliseconds: number): void {
  target.recordValue(Math.max(1, Math.round(milliseconds * MICROSECONDS_PER_MILLISECOND)))
}

function recordFailure (reason: string): void {
  failures++
  firstFailure ??= reason
}

function createHeaders (): Record<string, string> {
  return { authorization: `Bearer ${plan.token}`, 'content-type': 'application/json' }
}

async function sendRequest (address: string, prompt: string): Promise<void> {
  const startedAt = clock.now()
  const response = await request(`http://${address}/v1/completions`, { dispatcher: agent, method: 'POST', headers: createHeaders(), body: JSON.stringify({ model: plan.model, prompt, max_tokens: 1 }) })
  const text = await response.body.text()
  if (response.statusCode !== HTTP_OK) {
    recordFailure(`${response.statusCode} ${text.slice(0, 300)}`)
    return
  }
  requests++
  recordMilliseconds(histogram, clock.now() - startedAt)
}

/** Creates a counter of the events in consecutive chunks of a stream. It also counts an event whose start is split across two chunks. */
function createEventCounter (): (chunk: Buffer) => number {
  let remainder = Buffer.alloc(0)
  return (chunk) => {
    const bytes = remainder.length === 0 ? chunk : Buffer.concat([remainder, chunk])
    let count = 0
    let position = 0
    for (let foundAt = bytes.indexOf(EVENT_START); foundAt >= 0; foundAt = bytes.indexOf(EVENT_START, position)) {
      count++
      position = foundAt + EVENT_START.length
    }
    remainder = Buffer.from(bytes.subarray(Math.max(position, bytes.length - EVENT_START.length + 1)))
    return count
  }
}

interface StreamOptions {
  readonly address: string
  readonly prompt: string
  readonly maximumTokens: number
  readonly onStart?: (requestId: string, streamId: string) => void
  readonly onEvents: (count: number) => void
}

async function readStream ({ address, prompt, maximumTokens, onStart, onEvents }: StreamOptions): Promise<void> {
  const startedAt = clock.now()
  const response = await request(`http://${address}/v1/completions`, {
    dispatcher: agent,
    method: 'POST',
    headers: createHeaders(),
    body: JSON.stringify({ model: plan.model, prompt, stream: true, max_tokens: maximumTokens })
  })
  if (response.statusCode !== HTTP_OK) {
    recordFailure(`${response.statusCode} ${(await response.body.text()).slice(0, 300)}`)
    return
  }
  onStart?.(String(response.headers['x-request-id']), String(response.headers['x-stream-id']))
  const countEvents = createEventCounter()
  let eventCount = 0
  for await (const chunk of response.body) {
    const foundEvents = countEvents(chunk as Buffer)
    if (eventCount === 0 && foundEvents > 0) recordMilliseconds(firstTokenHistogram, clock.now() - startedAt)
    eventCount += foundEvents
    if (foundEvents > 0) onEvents(foundEvents)
  }
  requests++
  // The final event, which marks the end of the stream, also has an id.
  if (eventCount !== maximumTokens + 1) recordFailure(`a stream ended with ${eventCount} events instead of ${maximumTokens + 1}`)
}

async function runRequests (requestsPlan: Extract<LoadPlan, { readonly kind: 'requests' }>): Promise<number> {
  let nextIndex = 0
  const startedAt = clock.now()
  await Promise.all(Array.from({ length: requestsPlan.concurrency }, async () => {
    while (nextIndex < requestsPlan.count) {
      const index = nextIndex++
      await sendRequest(requestsPlan.addresses[index % requestsPlan.addresses.length] ?? '', `${requestsPlan.prompts} ${index}`)
    }
  }))
  return clock.now() - startedAt
}

async function runStreams (streamsPlan: Extract<LoadPlan, { readonly kind: 'streams' }>): Promise<number> {
  let openStreams = 0
  let allOpenFrom: number | undefined
  let allOpenTo: number | undefined
  let tokensWhileAllOpen = 0
  const startedAt = clock.now()
  await Promise.all(Array.from({ length: streamsPlan.count }, async (_, index) => {
    await clock.sleep(index * streamsPlan.spreadMilliseconds)
    let remainingTokens = streamsPlan.tokens
    try {
      await readStream({
        address: streamsPlan.addresses[index % streamsPlan.addresses.length] ?? '',
        prompt: `${streamsPlan.prompts} ${index}`,
        maximumTokens: streamsPlan.tokens,
        onStart: () => { openStreams++ },
        onEvents: (count) => {
          const counted = Math.min(count, remainingTokens)
          remainingTokens -= counted
          tokens += counted
          if (openStreams < streamsPlan.count || allOpenTo !== undefined) return
          allOpenFrom ??= clock.now()
          tokensWhileAllOpen += counted
        }
      })
    } catch (reason) {
      recordFailure(String(reason))
    }
    allOpenTo ??= clock.now()
  }))
  const wallTime = clock.now() - startedAt
  if (allOpenFrom !== undefined && allOpenTo !== undefined && allOpenTo > allOpenFrom) tokensPerSecond = tokensWhileAllOpen / (allOpenTo - allOpenFrom) * 1_000
  return wallTime
}

interface StreamArrivals {
  readonly requestId: string
  readonly times: readonly number[]
}

async function runTimed (timedPlan: Extract<LoadPlan, { readonly kind: 'timed' }>): Promise<number> {
  const startedAt = clock.now()
  const references = timedPlan.engineAddresses.map((address, index) => startReferenceStream(address, `${timedPlan.prompts} reference ${index}`))
  await clock.sleep(REFERENCE_LEAD_MILLISECONDS)
  const streams = await Promise.all(Array.from({ length: timedPlan.count }, async (_, index): Promise<StreamArrivals> => {
    const times: number[] = []
    let requestId = ''
    await readStream({
      address: timedPlan.addresses[index % timedPlan.addresses.length] ?? '',
      prompt: `${timedPlan.prompts} ${index}`,
      maximumTokens: timedPlan.tokens,
      onStart: (id) => { requestId = id },
      onEvents: (count) => {
        tokens += count
        times.push(clock.now())
      }
    })
    return { requestId, times }
  }))
  for (const [index, reference] of references.entries()) {
    const address = timedPlan.engineAddresses[index] ?? ''
    const referenceTimes = await reference.stop()
    const { started } = await (await request(`http://${address}/counts`)).body.json() as { readonly started: Readonly<Record<string, number>> }
    for (const { requestId, times } of streams) {
      if (started[requestId] !== undefined) recordTokenDelays(referenceTimes, times)
    }
  }
  return clock.now() - startedAt
}

interface ReferenceStream {
  readonly stop: () => Promise<readonly number[]>
}

/** Reads a long stream directly from an engine and records the arrival time of each token. */
function startReferenceStream (address: string, prompt: string): ReferenceStream {
  const times: number[] = []
  let streamId = ''
  const readingStream = request(`http://${address}/v1/completions`, { dispatcher: agent, method: 'POST', headers: createHeaders(), body: JSON.stringify({ model: plan.model, prompt, stream: true, max_tokens: REFERENCE_STREAM_TOKENS }) }).then(async (response) => {
    streamId = String(response.headers['x-stream-id'])
    const countEvents = createEventCounter()
    for await (const chunk of response.body) if (countEvents(chunk as Buffer) > 0) times.push(clock.now())
  })
  // `stop` cancels the stream, which may close its connection with an error.
  const ended = readingStream.catch(() => undefined)
  return {
    stop: async () => {
      await request(`http://${address}/v1/streams/${streamId}`, { method: 'DELETE' })
      await ended
      return times
    }
  }
}

/** Records for each token the time since the latest reference token before it. */
function recordTokenDelays (referenceTimes: readonly number[], times: readonly number[]): void {
  let index = 0
  for (const time of times) {
    while ((referenceTimes[index + 1] ?? Infinity) <= time) index++
    const referenceTime = referenceTimes[index]
    if (referenceTime !== undefined && referenceTime <= time) recordMilliseconds(histogram, time - referenceTime)
  }
}

async function runPlan (): Promise<number> {
  switch (plan.kind) {
    case 'requests': return await runRequests(plan)
    case 'streams': return await runStreams(plan)
    case 'timed': return await runTimed(plan)
    default: return assertNever(plan)
  }
}

const cpuBefore = process.cpuUsage()
const wallMilliseconds = await runPlan()
const cpu = process.cpuUsage(cpuBefore)
const result: LoadResult = {
  failures,
  firstFailure,
  tokens,
  requests,
  wallMilliseconds,
  tokensPerSecond,
  cpuMilliseconds: (cpu.user + cpu.system) / MICROSECONDS_PER_MILLISECOND,
  histogram: encodeIntoCompressedBase64(histogram),
  firstTokenHistogram: encodeIntoCompressedBase64(firstTokenHistogram)
}
process.stdout.write(JSON.stringify(result) + '\n')
await agent.destroy()
