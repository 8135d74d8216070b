import { createSeededRandom } from '@fuchsiastage/membership'
import { mkdirSync, mkdtempSync, writeFileSync } from 'node:fs'
import { cpus, loadavg, tmpdir } from 'node:os'
import { dirname, join } from 'node:path'
import { createSystemClock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import { decodeFromCompressedBase64, type Histogram } from 'hdr-histogram-js'
import type { LoadPlan, LoadResult } from './load-messages.js'
import { startPathDeployment, type PathDeployment } from './path-deployment.js'
import { cpuTime, currentCommit, residentMegabytes, runLoadClient } from './processes.js'

export interface PathBenchOptions {
  readonly seed: number
  /** File to write the results to. */
  readonly output: string
  /** First of three consecutive free ports for the daemon. */
  readonly port: number
  readonly engines: number
  readonly clients: number
  /** Numbers of concurrent streams to measure, in search of the highest token rate. */
  readonly streams: readonly number[]
  readonly openStreams: number
  readonly soakSeconds: number
  readonly rounds: number
  readonly print: (text: string) => void
}

/** Mean and percentiles of a distribution in milliseconds. */
export interface Spread {
  readonly mean: number
  readonly p50: number
  readonly p95: number
  readonly p99: number
}

interface Measured {
  readonly results: readonly LoadResult[]
  readonly daemonCpuMilliseconds: Milliseconds
  readonly engineCpuMilliseconds: Milliseconds
}

type Way = 'direct' | 'daemon'

const STEP_MILLISECONDS = 8
const STREAM_TOKENS = 600
/** Number of streams whose tokens are timed individually while the other streams run. */
const TIMED_STREAMS = 8
const TIMED_TOKENS = 400
const REQUESTS = 4_000
const REQUEST_CONCURRENCY = 16
/** Slow factor below 1 that shortens the step of an engine, so that it adds little to the duration of a request. */
const FAST_FACTOR = 0.05
/** Slow factor that keeps streams open while the memory of the daemon is sampled. */
const SLOW_FACTOR = 125
const OPEN_TOKENS = 20
const MAXIMUM_CONCURRENT = 4_000
const SPREAD_MILLISECONDS = 2
const SOAK_STREAMS = 100
const SOAK_TOKENS = 250
const SOAK_SAMPLE_MILLISECONDS = 2_000
/** Fraction of the soak samples, from its start, that is left out of the memory growth: the heap has not reached its working size yet. */
const SOAK_WARM_PART = 0.4
const PROMPT_CHARACTERS = 64
const MICROSECONDS = 1_000
const TARGET_TOKENS_PER_SECOND = 20_000
const TARGET_ADDED_MILLISECONDS = 1

/**
 * Measures requests and streamed tokens through one daemon, compares them with the same load sent
 * directly to the engines, and writes the results.
 *
 * @example
 * await runPathBench({ seed: 1, output: 'bench/results/path.json', port: 17_900, engines: 8, clients: 3, streams: [160, 200], openStreams: 2_000, soakSeconds: 60, rounds: 3, print: console.log })
 */
export async function runPathBench (options: PathBenchOptions): Promise<unknown> {
  const clock = createSystemClock()
  const folder = mkdtempSync(join(tmpdir(), 'fuchsiastage-path-bench-'))
  const { print } = options
  print(`Logs in ${folder}`)
  const loadAtStart = loadavg()[0]
  const deployment = await startPathDeployment({ clock, folder, engines: options.engines, stepMilliseconds: STEP_MILLISECONDS, maximumConcurrent: MAXIMUM_CONCURRENT, port: options.port, logLevel: 'info' })
  try {
    const random = createSeededRandom(options.seed)
    // Measured first, while the heap of the daemon is small: a heap that has already grown could hold the streams without growing further.
    const memory = await measureOpenStreams(deployment, options, random)
    print(`memory: ${JSON.stringify(memory)}`)
    const requests = await measureRequests(deployment, options, random)
    print(`requests: ${JSON.stringify(requests)}`)
    const streams: unknown[] = []
    for (const count of options.streams) {
      const measured = await measureStreams(deployment, options, random, count)
      streams.push(measured)
      print(`streams: ${JSON.stringify(measured)}`)
    }
    const soak = await measureSoak(deployment, options, random)
    print(`soak: ${JSON.stringify(soak)}`)
    const results = {
      bench: 'path',
      commit: currentCommit(),
      seed: options.seed,
      measuredAt: new Date(clock.wallNow()).toISOString(),
      machine: { cores: cpus().length, model: cpus()[0]?.model, node: process.version, loadAverageAtStart: loadAtStart, loadAverageAtEnd: loadavg()[0] },
      deployment: { daemons: 1, engines: options.engines, clients: options.clients, stepMilliseconds: STEP_MILLISECONDS },
      target: { tokensPerSecond: TARGET_TOKENS_PER_SECOND, addedMillisecondsAtP95: TARGET_ADDED_MILLISECONDS },
      requests,
      streams,
      memory,
      soak
    }
    mkdirSync(dirname(options.output), { recursive: true })
    writeFileSync(options.output, JSON.stringify(results, undefined, 2) + '\n')
    print(`Results in ${options.output}`)
    return results
  } finally {
    await deployment.processes.stopAll()
  }
}

function makePrompt (random: () => number): string {
  return Array.from({ length: PROMPT_CHARACTERS }, () => Math.floor(random() * 36).toString(36)).join('')
}

async function measure (deployment: PathDeployment, plans: readonly LoadPlan[]): Promise<Measured> {
  const engineCpu = (): Milliseconds => deployment.enginePids.reduce((sum, pid) => sum + cpuTime(pid), 0)
  const daemonBefore = cpuTime(deployment.daemonPid)
  const engineBefore = engineCpu()
  const results = await Promise.all(plans.map(runLoadClient))
  const failed = results.find(({ failures }) => failures > 0)
  if (failed !== undefined) throw new Error(`${failed.failures} request(s) of a load client failed; first failure: ${failed.firstFailure ?? ''}`)
  return { results, daemonCpuMilliseconds: cpuTime(deployment.daemonPid) - daemonBefore, engineCpuMilliseconds: engineCpu() - engineBefore }
}

function addressesOf (deployment: PathDeployment, way: Way): readonly string[] {
  return way === 'daemon' ? [deployment.daemonAddress] : deployment.engineAddresses
}

function merge (encoded: readonly string[]): Histogram {
  const [first, ...others] = encoded.map((text) => decodeFromCompressedBase64(text))
  if (first === undefined) throw new Error('cannot merge an empty list of histograms')
  for (const other of others) first.add(other)
  return first
}

const rounded = (value: number): number => Math.round(value * 1_000) / 1_000

function spreadOf (encoded: readonly string[]): Spread {
  const histogram = merge(encoded)
  const at = (percentile: number): number => rounded(histogram.getValueAtPercentile(percentile) / MICROSECONDS)
  return { mean: rounded(histogram.mean / MICROSECONDS), p50: at(50), p95: at(95), p99: at(99) }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

/** Alternates rounds of both paths, so that a change in the speed of the machine affects both. */
async function alternate (rounds: number, run: (way: Way) => Promise<Measured>): Promise<Readonly<Record<Way, readonly Measured[]>>> {
  const measured: Record<Way, Measured[]> = { direct: [], daemon: [] }
  for (let round = 0; round < rounds; round++) {
    for (const way of ['direct', 'daemon'] as const) measured[way].push(await run(way))
  }
  return measured
}

async function measureRequests (deployment: PathDeployment, options: PathBenchOptions, random: () => number): Promise<unknown> {
  const prompt = makePrompt(random)
  await setFactor(deployment, FAST_FACTOR)
  const measured = await alternate(options.rounds, async (way) => await measure(deployment, [{
    kind: 'requests',
    addresses: addressesOf(deployment, way),
    token: deployment.token,
    model: deployment.model,
    prompts: prompt,
    count: REQUESTS,
    concurrency: REQUEST_CONCURRENCY
  }]))
  await setFactor(deployment, 1)
  const summary = (way: Way) => {
    const results = measured[way].flatMap((entry) => entry.results)
    const requests = sum(results.map((result) => result.requests))
    const perRequest = (milliseconds: number): number => rounded(milliseconds / requests)
    return {
      requests,
      requestsPerSecond: rounded(requests / sum(results.map(({ wallMilliseconds }) => wallMilliseconds)) * 1_000),
      milliseconds: spreadOf(results.map(({ histogram }) => histogram)),
      clientCpuMilliseconds: perRequest(sum(results.map(({ cpuMilliseconds }) => cpuMilliseconds))),
      engineCpuMilliseconds: perRequest(sum(measured[way].map(({ engineCpuMilliseconds }) => engineCpuMilliseconds))),
      daemonCpuMilliseconds: perRequest(sum(measured[way].map(({ daemonCpuMilliseconds }) => daemonCpuMilliseconds)))
    }
  }
  const direct = summary('direct')
  const daemon = summary('daemon')
  const totalCpu = (entry: typeof direct): number => entry.clientCpuMilliseconds + entry.engineCpuMilliseconds + entry.daemonCpuMilliseconds
  return {
    concurrency: REQUEST_CONCURRENCY,
    direct,
    daemon,
    ratios: {
      p50: rounded(daemon.milliseconds.p50 / direct.milliseconds.p50),
      p95: rounded(daemon.milliseconds.p95 / direct.milliseconds.p95),
      // In the direct rounds the daemon only does control work, so its processor time is left out of the divisor.
      cpu: rounded(totalCpu(daemon) / (direct.clientCpuMilliseconds + direct.engineCpuMilliseconds))
    }
  }
}

function streamPlans (deployment: PathDeployment, options: PathBenchOptions, way: Way, prompt: string, count: number, tokens: number): readonly LoadPlan[] {
  return Array.from({ length: options.clients }, (_, index) => ({
    kind: 'streams' as const,
    addresses: addressesOf(deployment, way),
    token: deployment.token,
    model: deployment.model,
    prompts: `${prompt} ${index}`,
    count: Math.floor(count / options.clients),
    tokens,
    spreadMilliseconds: SPREAD_MILLISECONDS
  }))
}

async function measureStreams (deployment: PathDeployment, options: PathBenchOptions, random: () => number, count: number): Promise<unknown> {
  const prompt = makePrompt(random)
  const measured = await alternate(options.rounds, async (way) => await measure(deployment, [
    ...streamPlans(deployment, options, way, prompt, count, STREAM_TOKENS),
    { kind: 'timed', addresses: addressesOf(deployment, way), engineAddresses: deployment.engineAddresses, token: deployment.token, model: deployment.model, prompts: `${prompt} timed`, count: TIMED_STREAMS, tokens: TIMED_TOKENS }
  ]))
  const summary = (way: Way) => {
    const loads = measured[way].map(({ results }) => results.slice(0, -1))
    const tokens = sum(measured[way].flatMap(({ results }) => results.map((result) => result.tokens)))
    const perToken = (milliseconds: number): number => rounded(milliseconds * MICROSECONDS / tokens)
    const rates = loads.map((results) => sum(results.map(({ tokensPerSecond }) => tokensPerSecond)))
    return {
      tokens,
      tokensPerSecond: rates.map(Math.round),
      tokenMilliseconds: spreadOf(measured[way].map(({ results }) => results.at(-1)?.histogram ?? '')),
      firstTokenMilliseconds: spreadOf(loads.flat().map(({ firstTokenHistogram }) => firstTokenHistogram)),
      clientCpuMicrosecondsPerToken: perToken(sum(measured[way].flatMap(({ results }) => results.map(({ cpuMilliseconds }) => cpuMilliseconds)))),
      engineCpuMicrosecondsPerToken: perToken(sum(measured[way].map(({ engineCpuMilliseconds }) => engineCpuMilliseconds))),
      daemonCpuMicrosecondsPerToken: perToken(sum(measured[way].map(({ daemonCpuMilliseconds }) => daemonCpuMilliseconds)))
    }
  }
  const direct = summary('direct')
  const daemon = summary('daemon')
  const totalCpu = (entry: typeof direct): number => entry.clientCpuMicrosecondsPerToken + entry.engineCpuMicrosecondsPerToken
  return {
    streams: count,
    direct,
    daemon,
    addedMilliseconds: {
      p50: rounded(daemon.tokenMilliseconds.p50 - direct.tokenMilliseconds.p50),
      p95: rounded(daemon.tokenMilliseconds.p95 - direct.tokenMilliseconds.p95),
      p99: rounded(daemon.tokenMilliseconds.p99 - direct.tokenMilliseconds.p99)
    },
    ratios: {
      firstTokenP95: rounded(daemon.firstTokenMilliseconds.p95 / direct.firstTokenMilliseconds.p95),
      cpu: rounded((totalCpu(daemon) + daemon.daemonCpuMicrosecondsPerToken) / totalCpu(direct))
    }
  }
}

async function measureOpenStreams (deployment: PathDeployment, options: PathBenchOptions, random: () => number): Promise<unknown> {
  const clock = createSystemClock()
  const before = residentMegabytes(deployment.daemonPid)
  await setFactor(deployment, SLOW_FACTOR)
  const running = measure(deployment, streamPlans(deployment, options, 'daemon', makePrompt(random), options.openStreams, OPEN_TOKENS))
  let peak = before
  let isRunning = true
  const sampling = (async () => {
    while (isRunning) {
      peak = Math.max(peak, residentMegabytes(deployment.daemonPid))
      await clock.sleep(250)
    }
  })()
  const { results } = await running.finally(() => { isRunning = false })
  await sampling
  await setFactor(deployment, 1)
  return {
    openStreams: sum(results.map(({ requests }) => requests)),
    beforeMegabytes: rounded(before),
    peakMegabytes: rounded(peak),
    kilobytesPerStream: rounded((peak - before) * 1_024 / options.openStreams)
  }
}

async function measureSoak (deployment: PathDeployment, options: PathBenchOptions, random: () => number): Promise<unknown> {
  const clock = createSystemClock()
  const startedAt = clock.now()
  const samples: { readonly seconds: number, readonly megabytes: number }[] = []
  let isRunning = true
  const sampling = (async () => {
    while (isRunning) {
      samples.push({ seconds: rounded((clock.now() - startedAt) / 1_000), megabytes: rounded(residentMegabytes(deployment.daemonPid)) })
      await clock.sleep(SOAK_SAMPLE_MILLISECONDS)
    }
  })()
  let tokens = 0
  try {
    while (clock.now() - startedAt < options.soakSeconds * 1_000) {
      const { results } = await measure(deployment, streamPlans(deployment, options, 'daemon', makePrompt(random), SOAK_STREAMS, SOAK_TOKENS))
      tokens += sum(results.map((result) => result.tokens))
    }
  } finally {
    isRunning = false
    await sampling
  }
  const counted = samples.slice(Math.floor(samples.length * SOAK_WARM_PART))
  return { seconds: options.soakSeconds, tokens, growthMegabytesPerMinute: rounded(slope(counted) * 60), samples }
}

/** Returns the slope of the least-squares line through the samples, in megabytes per second. */
function slope (samples: readonly { readonly seconds: number, readonly megabytes: number }[]): number {
  const meanSeconds = sum(samples.map(({ seconds }) => seconds)) / samples.length
  const meanMegabytes = sum(samples.map(({ megabytes }) => megabytes)) / samples.length
  const covariance = sum(samples.map(({ seconds, megabytes }) => (seconds - meanSeconds) * (megabytes - meanMegabytes)))
  return covariance / sum(samples.map(({ seconds }) => (seconds - meanSeconds) ** 2))
}

async function setFactor (deployment: PathDeployment, slowFactor: number): Promise<void> {
  await Promise.all(deployment.engines.map((engine) => deployment.processes.control(engine, { slowFactor })))
}
