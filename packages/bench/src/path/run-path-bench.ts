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
export interface Distribution {
  readonly mean: number
  readonly p50: number
  readonly p95: number
  readonly p99: number
}

interface RoundResult {
  readonly results: readonly LoadResult[]
  readonly daemonCpuMilliseconds: Milliseconds
  readonly engineCpuMilliseconds: Milliseconds
}

type RequestPath = 'direct' | 'daemon'

const STEP_MILLISECONDS = 8
const STREAM_TOKENS = 600
/** Number of streams whose tokens are timed individually while the other streams run. */
const TIMED_STREAMS = 8
const TIMED_TOKENS = 400
const REQUESTS_PER_ROUND = 4_000
const REQUEST_CONCURRENCY = 16
/** Slow factor below 1 that shortens the step of an engine, so that it adds little to the duration of a request. */
const SHORT_STEP_FACTOR = 0.05
/** Slow factor that keeps streams open while the memory of the daemon is sampled. */
const LONG_STEP_FACTOR = 125
const OPEN_STREAM_TOKENS = 20
const MAXIMUM_CONCURRENT = 4_000
const STREAM_START_INTERVAL_MILLISECONDS = 2
const SOAK_STREAMS = 100
const SOAK_TOKENS = 250
const SOAK_SAMPLE_MILLISECONDS = 2_000
/** Fraction of the soak samples, from its start, that is left out of the memory growth: the heap has not reached its working size yet. */
const SOAK_WARM_UP_FRACTION = 0.4
const PROMPT_CHARACTERS = 64
const MICROSECONDS_PER_MILLISECOND = 1_000
const GOAL_TOKENS_PER_SECOND = 20_000
const GOAL_ADDED_MILLISECONDS = 1

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
  const loadAverageAtStart = loadavg()[0]
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
      machine: { cores: cpus().length, model: cpus()[0]?.model, node: process.version, loadAverageAtStart, loadAverageAtEnd: loadavg()[0] },
      deployment: { daemons: 1, engines: options.engines, clients: options.clients, stepMilliseconds: STEP_MILLISECONDS },
      target: { tokensPerSecond: GOAL_TOKENS_PER_SECOND, addedMillisecondsAtP95: GOAL_ADDED_MILLISECONDS },
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

function createPrompt (random: () => number): string {
  return Array.from({ length: PROMPT_CHARACTERS }, () => Math.floor(random() * 36).toString(36)).join('')
}

async function runPlans (deployment: PathDeployment, plans: readonly LoadPlan[]): Promise<RoundResult> {
  const engineCpu = (): Milliseconds => deployment.enginePids.reduce((sum, pid) => sum + cpuTime(pid), 0)
  const daemonBefore = cpuTime(deployment.daemonPid)
  const engineBefore = engineCpu()
  const results = await Promise.all(plans.map(runLoadClient))
  const failed = results.find(({ failures }) => failures > 0)
  if (failed !== undefined) throw new Error(`${failed.failures} request(s) of a load client failed; first failure: ${failed.firstFailure ?? ''}`)
  return { results, daemonCpuMilliseconds: cpuTime(deployment.daemonPid) - daemonBefore, engineCpuMilliseconds: engineCpu() - engineBefore }
}

function addressesOf (deployment: PathDeployment, path: RequestPath): readonly string[] {
  return path === 'daemon' ? [deployment.daemonAddress] : deployment.engineAddresses
}

function mergeHistograms (encoded: readonly string[]): Histogram {
  const [first, ...others] = encoded.map((text) => decodeFromCompressedBase64(text))
  if (first === undefined) throw new Error('cannot merge an empty list of histograms')
  for (const other of others) first.add(other)
  return first
}

const roundToThousandths = (value: number): number => Math.round(value * 1_000) / 1_000

function summariseHistograms (encoded: readonly string[]): Distribution {
  const histogram = mergeHistograms(encoded)
  const valueAt = (percentile: number): number => roundToThousandths(histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND)
  return { mean: roundToThousandths(histogram.mean / MICROSECONDS_PER_MILLISECOND), p50: valueAt(50), p95: valueAt(95), p99: valueAt(99) }
}

function sum (values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0)
}

/** Alternates rounds of both paths, so that a change in the speed of the machine affects both. */
async function alternateRounds (rounds: number, run: (path: RequestPath) => Promise<RoundResult>): Promise<Readonly<Record<RequestPath, readonly RoundResult[]>>> {
  const measured: Record<RequestPath, RoundResult[]> = { direct: [], daemon: [] }
  for (let round = 0; round < rounds; round++) {
    for (const path of ['direct', 'daemon'] as const) measured[path].push(await run(path))
  }
  return measured
}

async function measureRequests (deployment: PathDeployment, options: PathBenchOptions, random: () => number): Promise<unknown> {
  const prompt = createPrompt(random)
  await setSlowFactor(deployment, SHORT_STEP_FACTOR)
  const measured = await alternateRounds(options.rounds, async (path) => await runPlans(deployment, [{
    kind: 'requests',
    addresses: addressesOf(deployment, path),
    token: deployment.token,
    model: deployment.model,
    prompts: prompt,
    count: REQUESTS_PER_ROUND,
    concurrency: REQUEST_CONCURRENCY
  }]))
  await setSlowFactor(deployment, 1)
  const summarise = (path: RequestPath) => {
    const results = measured[path].flatMap((entry) => entry.results)
    const requests = sum(results.map((result) => result.requests))
    const perRequest = (milliseconds: number): number => roundToThousandths(milliseconds / requests)
    return {
      requests,
      requestsPerSecond: roundToThousandths(requests / sum(results.map(({ wallMilliseconds }) => wallMilliseconds)) * 1_000),
      milliseconds: summariseHistograms(results.map(({ histogram }) => histogram)),
      clientCpuMilliseconds: perRequest(sum(results.map(({ cpuMilliseconds }) => cpuMilliseconds))),
      engineCpuMilliseconds: perRequest(sum(measured[path].map(({ engineCpuMilliseconds }) => engineCpuMilliseconds))),
      daemonCpuMilliseconds: perRequest(sum(measured[path].map(({ daemonCpuMilliseconds }) => daemonCpuMilliseconds)))
    }
  }
  const direct = summarise('direct')
  const daemon = summarise('daemon')
  const totalCpu = (entry: typeof direct): number => entry.clientCpuMilliseconds + entry.engineCpuMilliseconds + entry.daemonCpuMilliseconds
  return {
    concurrency: REQUEST_CONCURRENCY,
    direct,
    daemon,
    ratios: {
      p50: roundToThousandths(daemon.milliseconds.p50 / direct.milliseconds.p50),
      p95: roundToThousandths(daemon.milliseconds.p95 / direct.milliseconds.p95),
      // In the direct rounds the daemon only does control work, so its processor time is left out of the divisor.
      cpu: roundToThousandths(totalCpu(daemon) / (direct.clientCpuMilliseconds + direct.engineCpuMilliseconds))
    }
  }
}

function createStreamPlans (deployment: PathDeployment, options: PathBenchOptions, path: RequestPath, prompt: string, count: number, tokens: number): readonly LoadPlan[] {
  return Array.from({ length: options.clients }, (_, index) => ({
    kind: 'streams' as const,
    addresses: addressesOf(deployment, path),
    token: deployment.token,
    model: deployment.model,
    prompts: `${prompt} ${index}`,
    count: Math.floor(count / options.clients),
    tokens,
    spreadMilliseconds: STREAM_START_INTERVAL_MILLISECONDS
  }))
}

async function measureStreams (deployment: PathDeployment, options: PathBenchOptions, random: () => number, count: number): Promise<unknown> {
  const prompt = createPrompt(random)
  const measured = await alternateRounds(options.rounds, async (path) => await runPlans(deployment, [
    ...createStreamPlans(deployment, options, path, prompt, count, STREAM_TOKENS),
    { kind: 'timed', addresses: addressesOf(deployment, path), engineAddresses: deployment.engineAddresses, token: deployment.token, model: deployment.model, prompts: `${prompt} timed`, count: TIMED_STREAMS, tokens: TIMED_TOKENS }
  ]))
  const summarise = (path: RequestPath) => {
    const loadResults = measured[path].map(({ results }) => results.slice(0, -1))
    const tokens = sum(measured[path].flatMap(({ results }) => results.map((result) => result.tokens)))
    const perToken = (milliseconds: number): number => roundToThousandths(milliseconds * MICROSECONDS_PER_MILLISECOND / tokens)
    const tokenRates = loadResults.map((results) => sum(results.map(({ tokensPerSecond }) => tokensPerSecond)))
    return {
      tokens,
      tokensPerSecond: tokenRates.map(Math.round),
      tokenMilliseconds: summariseHistograms(measured[path].map(({ results }) => results.at(-1)?.histogram ?? '')),
      firstTokenMilliseconds: summariseHistograms(loadResults.flat().map(({ firstTokenHistogram }) => firstTokenHistogram)),
      clientCpuMicrosecondsPerToken: perToken(sum(measured[path].flatMap(({ results }) => results.map(({ cpuMilliseconds }) => cpuMilliseconds)))),
      engineCpuMicrosecondsPerToken: perToken(sum(measured[path].map(({ engineCpuMilliseconds }) => engineCpuMilliseconds))),
      daemonCpuMicrosecondsPerToken: perToken(sum(measured[path].map(({ daemonCpuMilliseconds }) => daemonCpuMilliseconds)))
    }
  }
  const direct = summarise('direct')
  const daemon = summarise('daemon')
  const totalCpu = (entry: typeof direct): number => entry.clientCpuMicrosecondsPerToken + entry.engineCpuMicrosecondsPerToken
  return {
    streams: count,
    direct,
    daemon,
    addedMilliseconds: {
      p50: roundToThousandths(daemon.tokenMilliseconds.p50 - direct.tokenMilliseconds.p50),
      p95: roundToThousandths(daemon.tokenMilliseconds.p95 - direct.tokenMilliseconds.p95),
      p99: roundToThousandths(daemon.tokenMilliseconds.p99 - direct.tokenMilliseconds.p99)
    },
    ratios: {
      firstTokenP95: roundToThousandths(daemon.firstTokenMilliseconds.p95 / direct.firstTokenMilliseconds.p95),
      cpu: roundToThousandths((totalCpu(daemon) + daemon.daemonCpuMicrosecondsPerToken) / totalCpu(direct))
    }
  }
}

async function measureOpenStreams (deployment: PathDeployment, options: PathBenchOptions, random: () => number): Promise<unknown> {
  const clock = createSystemClock()
  const megabytesBefore = residentMegabytes(deployment.daemonPid)
  await setSlowFactor(deployment, LONG_STEP_FACTOR)
  const running = runPlans(deployment, createStreamPlans(deployment, options, 'daemon', createPrompt(random), options.openStreams, OPEN_STREAM_TOKENS))
  let peakMegabytes = megabytesBefore
  let isRunning = true
  const sampling = (async () => {
    while (isRunning) {
      peakMegabytes = Math.max(peakMegabytes, residentMegabytes(deployment.daemonPid))
      await clock.sleep(250)
    }
  })()
  const { results } = await running.finally(() => { isRunning = false })
  await sampling
  await setSlowFactor(deployment, 1)
  return {
    openStreams: sum(results.map(({ requests }) => requests)),
    beforeMegabytes: roundToThousandths(megabytesBefore),
    peakMegabytes: roundToThousandths(peakMegabytes),
    kilobytesPerStream: roundToThousandths((peakMegabytes - megabytesBefore) * 1_024 / options.openStreams)
  }
}

async function measureSoak (deployment: PathDeployment, options: PathBenchOptions, random: () => number): Promise<unknown> {
  const clock = createSystemClock()
  const startedAt = clock.now()
  const samples: { readonly seconds: number, readonly megabytes: number }[] = []
  let isRunning = true
  const sampling = (async () => {
    while (isRunning) {
      samples.push({ seconds: roundToThousandths((clock.now() - startedAt) / 1_000), megabytes: roundToThousandths(residentMegabytes(deployment.daemonPid)) })
      await clock.sleep(SOAK_SAMPLE_MILLISECONDS)
    }
  })()
  let tokens = 0
  try {
    while (clock.now() - startedAt < options.soakSeconds * 1_000) {
      const { results } = await runPlans(deployment, createStreamPlans(deployment, options, 'daemon', createPrompt(random), SOAK_STREAMS, SOAK_TOKENS))
      tokens += sum(results.map((result) => result.tokens))
    }
  } finally {
    isRunning = false
    await sampling
  }
  const countedSamples = samples.slice(Math.floor(samples.length * SOAK_WARM_UP_FRACTION))
  return { seconds: options.soakSeconds, tokens, growthMegabytesPerMinute: roundToThousandths(slopeOf(countedSamples) * 60), samples }
}

/** Returns the slope of the least-squares line through the samples, in megabytes per second. */
function slopeOf (samples: readonly { readonly seconds: number, readonly megabytes: number }[]): number {
  const meanSeconds = sum(samples.map(({ seconds }) => seconds)) / samples.length
  const meanMegabytes = sum(samples.map(({ megabytes }) => megabytes)) / samples.length
  const covariance = sum(samples.map(({ seconds, megabytes }) => (seconds - meanSeconds) * (megabytes - meanMegabytes)))
  return covariance / sum(samples.map(({ seconds }) => (seconds - meanSeconds) ** 2))
}

async function setSlowFactor (deployment: PathDeployment, slowFactor: number): Promise<void> {
  await Promise.all(deployment.engines.map((engine) => deployment.processes.control(engine, { slowFactor })))
}
