import { createSystemClock, type Clock } from '@fuchsiastage/clock'
import type { ServingConfiguration } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'
import { Agent, request } from 'undici'
import { STAND_IN_HEADER } from './stand-in-codec.js'
import { startFleet, type StartedDaemon } from './start-fleet.js'
import { startStandInTarget, type StandInTarget } from './stand-in-target.js'

/** What callers and the limited target saw. */
export interface LimitLoadResult {
  readonly targets: number
  readonly requests: number
  readonly served: number
  readonly refused: number
  /** Requests at the limited target, and the most of them within four seconds after the first three. */
  readonly atLimited: number
  readonly mostInFourSeconds: number
  /** Median and 99th percentile of the time until a refusal. */
  readonly refusalMilliseconds: readonly [number, number]
}

const DAEMONS = 7
const LIMIT_PER_SECOND = 1
const REQUESTS_PER_STEP = 2
const STEP_MILLISECONDS = 20
const LOAD_MILLISECONDS = 16_000
/** Daemons find each other and read the list of targets in this time. */
const START_MILLISECONDS = 3_000
const SETTLE_MILLISECONDS = 3_000
const WINDOW_MILLISECONDS = 4_000
const SAMPLE_MILLISECONDS = 5
const DEADLINE_MILLISECONDS = 8_000
const CONNECTIONS_PER_DAEMON = 64

const CONFIGURATION: ServingConfiguration = {
  version: 1,
  routes: [{ name: 'post', host: 'ledger.example', prefix: '/post/', requestKind: { kind: 'safe' }, timeoutMilliseconds: DEADLINE_MILLISECONDS, objectiveMilliseconds: 1_000, priority: 0, maximumTargets: 2, services: [{ service: 'ledger', weight: 1 }] }],
  services: new Map([['ledger', { name: 'ledger', healthPath: '/health', maximumConnections: 100, engine: undefined }]]),
  limits: { headerBytes: 16_384, bodyBytes: 1_000_000, headerMilliseconds: 3_000, idleMilliseconds: 15_000 }
}

/** Records the times at which requests arrive at the target, by polling it. */
function watchArrivals (clock: Clock, target: StandInTarget): { readonly times: readonly Milliseconds[], readonly stop: () => void } {
  const times: Milliseconds[] = []
  const sample = (): void => { while (times.length < target.requestIds().length) times.push(clock.now()) }
  const timer = setInterval(sample, SAMPLE_MILLISECONDS)
  return {
    times,
    stop: () => {
      sample()
      clearInterval(timer)
    }
  }
}

/**
 * Sends requests to seven daemons on loopback, in front of a target that accepts one request a second
 * and, with two targets, another one without a limit.
 *
 * @example
 * const { mostInFourSeconds } = await loadLimitedTarget(1)
 */
export async function loadLimitedTarget (targetCount: 1 | 2): Promise<LimitLoadResult> {
  const clock = createSystemClock()
  const targets = await Promise.all(Array.from({ length: targetCount }, async (_, index) => await startStandInTarget({ clock, id: `ledger-${index + 1}`, service: 'ledger' })))
  const [limited] = targets
  if (limited === undefined) throw new Error('there is no target')
  const daemons = await startFleet({ configuration: CONFIGURATION, targets, daemons: DAEMONS }, clock)
  await clock.sleep(START_MILLISECONDS)
  limited.limitTo(LIMIT_PER_SECOND)
  const arrivals = watchArrivals(clock, limited)
  const agent = new Agent({ connections: CONNECTIONS_PER_DAEMON })
  const startedAt = clock.now()
  const sends: Array<Promise<{ readonly status: number, readonly milliseconds: Milliseconds }>> = []
  while (clock.now() - startedAt < LOAD_MILLISECONDS) {
    for (let count = 0; count < REQUESTS_PER_STEP; count++) sends.push(send(clock, agent, daemons[sends.length % daemons.length], `q${sends.length}`))
    await clock.sleep(STEP_MILLISECONDS)
  }
  const responses = await Promise.all(sends)
  arrivals.stop()
  await agent.destroy()
  const late = arrivals.times.filter((at) => at >= startedAt + SETTLE_MILLISECONDS)
  const refusals = responses.filter(({ status }) => status === 503).map(({ milliseconds }) => milliseconds).sort((one, other) => one - other)
  const quantile = (fraction: number): number => Math.round(refusals[Math.floor(refusals.length * fraction)] ?? 0)
  return {
    targets: targetCount,
    requests: responses.length,
    served: responses.filter(({ status }) => status === 200).length,
    refused: refusals.length,
    atLimited: arrivals.times.length,
    mostInFourSeconds: Math.max(0, ...late.map((start) => late.filter((at) => at >= start && at < start + WINDOW_MILLISECONDS).length)),
    refusalMilliseconds: [quantile(0.5), quantile(0.99)]
  }
}

async function send (clock: Clock, agent: Agent, daemon: StartedDaemon | undefined, id: string): Promise<{ readonly status: number, readonly milliseconds: Milliseconds }> {
  const startedAt = clock.now()
  const response = await request(`http://${daemon?.frontAddress ?? ''}/post/x`, {
    method: 'POST',
    dispatcher: agent,
    headers: { host: 'ledger.example', [STAND_IN_HEADER.request]: id, [STAND_IN_HEADER.remaining]: String(DEADLINE_MILLISECONDS) },
    body: 'a payout'
  })
  await response.body.dump()
  return { status: response.statusCode, milliseconds: clock.now() - startedAt }
}
