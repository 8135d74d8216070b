import { createSystemClock } from '@fuchsiastage/clock'
import { assertNever } from '@fuchsiastage/types'
import { build, encodeIntoCompressedBase64, type Histogram } from 'hdr-histogram-js'
import { Agent, request } from 'undici'
import type { LoadPlan, LoadResult } from './load-messages.js'

const MICROSECONDS = 1_000
const LARGEST_MICROSECONDS = 600_000_000
const HTTP_OK = 200
const REFERENCE_TOKENS = 100_000
/** Lead of the reference streams over the timed streams: the oldest stream of an engine gets its token first in each step. */
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
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: LARGEST_MICROSECONDS, numberOfSignificantValueDigits: 3 })
}

function record (target: Histogram, milliseconds: number): void {
  target.recordValue(Math.max(1, Math.round(milliseconds * MICROSECONDS)))
}

function fail (reason: string): void {
  failures++
  firstFailure ??= reason
}

function headers (): Record<string, string> {
  return { authorization: `Bearer ${plan.token}`, 'content-type': 'application/json' }
}

async function sendPlain (address: string, prompt: string): Promise<void> {
  const startedAt = clock.now()
  const response = await request(`http://${address}/v1/completions`, { dispatcher: agent, method: 'POST', headers: headers(), body: JSON.stringify({ model: plan.model, prompt, max_tokens: 1 }) })
  const text = await response.body.text()
  if (response.statusCode !== HTTP_OK) {
    fail(`${response.statusCode} ${text.slice(0, 300)}`)
    return
  }
  requests++
  record(histogram, clock.now() - startedAt)
}

/** Creates a counter of the events in consecutive chunks of a stream. It also counts an event whose start is split across two chunks. */
function createEventCounter (): (chunk: Buffer) => number {
  let rest = Buffer.alloc(0)
  return (chunk) => {
    const bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk])
    let count = 0
    let position = 0
    for (let found = bytes.indexOf(EVENT_START); found >= 0; found = bytes.indexOf(EVENT_START, position)) {
      count++
      position = found + EVENT_START.length
    }
    rest = Buffer.from(bytes.subarray(Math.max(position, bytes.length - EVENT_START.length + 1)))
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
    headers: headers(),
    body: JSON.stringify({ model: plan.model, prompt, stream: true, max_tokens: maximumTokens })
  })
  if (response.statusCode !== HTTP_OK) {
    fail(`${response.statusCode} ${(await response.body.text()).slice(0, 300)}`)
    return
  }
  onStart?.(String(response.headers['x-request-id']), String(response.headers['x-stream-id']))
  const count = createEventCounter()
  let events = 0
  for await (const chunk of response.body) {
    const found = count(chunk as Buffer)
    if (events === 0 && found > 0) record(firstTokenHistogram, clock.now() - startedAt)
    events += found
    if (found > 0) onEvents(found)
  }
  requests++
  // The final event, which marks the end of the stream, also has an id.
  if (events !== maximumTokens + 1) fail(`a stream ended with ${events} events instead of ${maximumTokens + 1}`)
}

async function runRequests (work: Extract<LoadPlan, { readonly kind: 'requests' }>): Promise<number> {
  let next = 0
  const startedAt = clock.now()
  await Promise.all(Array.from({ length: work.concurrency }, async () => {
    while (next < work.count) {
      const index = next++
      await sendPlain(work.addresses[index % work.addresses.length] ?? '', `${work.prompts} ${index}`)
    }
  }))
  return clock.now() - startedAt
}

async function runStreams (work: Extract<LoadPlan, { readonly kind: 'streams' }>): Promise<number> {
  let open = 0
  let fullFrom: number | undefined
  let fullTo: number | undefined
  let tokensWhileFull = 0
  const startedAt = clock.now()
  await Promise.all(Array.from({ length: work.count }, async (_, index) => {
    await clock.sleep(index * work.spreadMilliseconds)
    let left = work.tokens
    try {
      await readStream({
        address: work.addresses[index % work.addresses.length] ?? '',
        prompt: `${work.prompts} ${index}`,
        maximumTokens: work.tokens,
        onStart: () => { open++ },
        onEvents: (count) => {
          const counted = Math.min(count, left)
          left -= counted
          tokens += counted
          if (open < work.count || fullTo !== undefined) return
          fullFrom ??= clock.now()
          tokensWhileFull += counted
        }
      })
    } catch (reason) {
      fail(String(reason))
    }
    fullTo ??= clock.now()
  }))
  const wall = clock.now() - startedAt
  if (fullFrom !== undefined && fullTo !== undefined && fullTo > fullFrom) tokensPerSecond = tokensWhileFull / (fullTo - fullFrom) * 1_000
  return wall
}

interface Arrivals {
  readonly requestId: string
  readonly times: readonly number[]
}

async function runTimed (work: Extract<LoadPlan, { readonly kind: 'timed' }>): Promise<number> {
  const startedAt = clock.now()
  const references = work.engineAddresses.map((address, index) => startReference(address, `${work.prompts} reference ${index}`))
  await clock.sleep(REFERENCE_LEAD_MILLISECONDS)
  const streams = await Promise.all(Array.from({ length: work.count }, async (_, index): Promise<Arrivals> => {
    const times: number[] = []
    let requestId = ''
    await readStream({
      address: work.addresses[index % work.addresses.length] ?? '',
      prompt: `${work.prompts} ${index}`,
      maximumTokens: work.tokens,
      onStart: (id) => { requestId = id },
      onEvents: (count) => {
        tokens += count
        times.push(clock.now())
      }
    })
    return { requestId, times }
  }))
  for (const [index, reference] of references.entries()) {
    const address = work.engineAddresses[index] ?? ''
    const arrivals = await reference.stop()
    const { started } = await (await request(`http://${address}/counts`)).body.json() as { readonly started: Readonly<Record<string, number>> }
    for (const { requestId, times } of streams) {
      if (started[requestId] !== undefined) recordOffsets(arrivals, times)
    }
  }
  return clock.now() - startedAt
}

interface Reference {
  readonly stop: () => Promise<readonly number[]>
}

/** Reads a long stream directly from an engine and records the arrival time of each token. */
function startReference (address: string, prompt: string): Reference {
  const times: number[] = []
  let streamId = ''
  const reading = request(`http://${address}/v1/completions`, { dispatcher: agent, method: 'POST', headers: headers(), body: JSON.stringify({ model: plan.model, prompt, stream: true, max_tokens: REFERENCE_TOKENS }) }).then(async (response) => {
    streamId = String(response.headers['x-stream-id'])
    const count = createEventCounter()
    for await (const chunk of response.body) if (count(chunk as Buffer) > 0) times.push(clock.now())
  })
  // `stop` cancels the stream, which may close its connection with an error.
  const ended = reading.catch(() => undefined)
  return {
    stop: async () => {
      await request(`http://${address}/v1/streams/${streamId}`, { method: 'DELETE' })
      await ended
      return times
    }
  }
}

/** Records for each token the time since the latest reference token before it. */
function recordOffsets (reference: readonly number[], times: readonly number[]): void {
  let index = 0
  for (const time of times) {
    while ((reference[index + 1] ?? Infinity) <= time) index++
    const at = reference[index]
    if (at !== undefined && at <= time) record(histogram, time - at)
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
  cpuMilliseconds: (cpu.user + cpu.system) / MICROSECONDS,
  histogram: encodeIntoCompressedBase64(histogram),
  firstTokenHistogram: encodeIntoCompressedBase64(firstTokenHistogram)
}
process.stdout.write(JSON.stringify(result) + '\n')
await agent.destroy()
