import { createSeededRandom, type RandomSource } from '@fuchsiastage/membership'
import type { NamedCaller } from '@fuchsiastage/configuration'
import type { Milliseconds } from '@fuchsiastage/types'
import type { ExampleDeployment } from '../example-deployment.js'
import { exponential, pick, uniform } from '../random.js'

/** One simulated request of a caller. */
export interface DemandRequest {
  readonly at: Milliseconds
  readonly daemon: string
  readonly caller: NamedCaller
  /** Name of the requested model or adapter. */
  readonly name: string
  readonly serviceMilliseconds: Milliseconds
  /** Whether the request is among the first of a burst that follows a pause, and may therefore meet a cold start. */
  readonly isFirstOfBurst: boolean
}

export interface Demand {
  readonly requests: readonly DemandRequest[]
  readonly measuredFrom: Milliseconds
  readonly endsAt: Milliseconds
  /** Mean number of changes between active and idle per model or adapter and hour. */
  readonly changesPerNameAndHour: number
}

const MINUTE_MILLISECONDS = 60_000
const HOUR_MILLISECONDS = 60 * MINUTE_MILLISECONDS

/** Hours of the simulated day. Requests from `start` to `measured` build up the history of the policy and are not measured. */
export const DEMAND_HOURS = { start: 5, measured: 8, end: 20 } as const

/** Share of models and adapters that become active or idle within an hour (design page, section 1.2). */
const ACTIVITY_CHANGES_PER_HOUR = 0.31
/** Share of models and adapters that are active at any one time. */
const ACTIVE_SHARE = 0.25

/** Requests up to this long after the start of a burst may still meet its cold start, at another daemon. */
const FIRST_REQUESTS_MILLISECONDS = 10_000
/** A burst after a shorter pause counts as a continuation of the previous one. */
const MINIMUM_PAUSE_MILLISECONDS = MINUTE_MILLISECONDS

/**
 * Distribution of the gaps between the bursts of a model or adapter while it is active. `periodic`:
 * a batch job at nearly constant intervals; `busy`: interactive use, on average a few minutes apart;
 * `sporadic`: on average 10 to 30 minutes apart; `rare`: on average 40 to 120 minutes apart.
 */
type ArrivalPattern =
  | { readonly kind: 'periodic', readonly period: Milliseconds }
  | { readonly kind: 'busy' | 'sporadic' | 'rare', readonly meanGap: Milliseconds }

function chooseArrivalPattern (random: RandomSource): ArrivalPattern {
  const draw = random()
  if (draw < 0.3) return { kind: 'periodic', period: uniform(random, 12, 45) * MINUTE_MILLISECONDS }
  if (draw < 0.5) return { kind: 'busy', meanGap: uniform(random, 1.5, 4) * MINUTE_MILLISECONDS }
  if (draw < 0.8) return { kind: 'sporadic', meanGap: uniform(random, 10, 30) * MINUTE_MILLISECONDS }
  return { kind: 'rare', meanGap: uniform(random, 40, 120) * MINUTE_MILLISECONDS }
}

/** Returns the demand at a time of the day, as a fraction of the demand in office hours. */
function officeHoursFactor (at: Milliseconds): number {
  const hour = at / HOUR_MILLISECONDS
  if (hour < 7 || hour >= 19) return 0.25
  return hour < 8 || hour >= 18 ? 0.6 : 1
}

function drawGap (pattern: ArrivalPattern, at: Milliseconds, random: RandomSource): Milliseconds {
  switch (pattern.kind) {
    // Batch jobs start up to 3% of their period early or late and do not follow the office hours.
    case 'periodic': return pattern.period * uniform(random, 0.97, 1.03)
    default: return exponential(random, pattern.meanGap) / officeHoursFactor(at)
  }
}

/** Draws the start times of the bursts of one model or adapter and counts its changes between active and idle. */
function drawBursts (random: RandomSource, start: Milliseconds, end: Milliseconds): { readonly startTimes: readonly Milliseconds[], readonly changes: number } {
  const pattern = chooseArrivalPattern(random)
  // Each cycle of one active and one idle phase contains two changes.
  const meanActive = 2 * ACTIVE_SHARE / ACTIVITY_CHANGES_PER_HOUR * HOUR_MILLISECONDS
  const meanIdle = 2 * (1 - ACTIVE_SHARE) / ACTIVITY_CHANGES_PER_HOUR * HOUR_MILLISECONDS
  const startTimes: Milliseconds[] = []
  let changes = 0
  let at = start
  let isActive = random() < ACTIVE_SHARE
  while (at < end) {
    const until = Math.min(end, at + exponential(random, isActive ? meanActive : meanIdle))
    if (isActive) {
      let nextBurst = at + (pattern.kind === 'periodic' ? uniform(random, 0, pattern.period) : uniform(random, 0, MINUTE_MILLISECONDS))
      while (nextBurst < until) {
        startTimes.push(nextBurst)
        nextBurst += drawGap(pattern, nextBurst, random)
      }
    }
    at = until
    isActive = !isActive
    if (at < end) changes++
  }
  return { startTimes, changes }
}

/** Draws bursts that reach several models and adapters within seconds, several times a day, as a batch run over them does. */
function drawSharedBursts (names: readonly string[], random: RandomSource, start: Milliseconds, end: Milliseconds): ReadonlyMap<string, readonly Milliseconds[]> {
  const byName = new Map<string, Milliseconds[]>()
  for (let at = start + exponential(random, HOUR_MILLISECONDS); at < end; at += exponential(random, HOUR_MILLISECONDS) / officeHoursFactor(at)) {
    const count = 4 + Math.floor(random() * 5)
    for (let index = 0; index < count; index++) {
      const name = pick(random, names)
      byName.set(name, [...byName.get(name) ?? [], at + uniform(random, 0, 5_000)])
    }
  }
  return byName
}

/**
 * Creates one day of demand for a deployment. The same seed gives the same requests.
 *
 * @example
 * const demand = createDemand(readExampleDeployment('co-operative'), 1)
 */
export function createDemand (example: ExampleDeployment, seed: number): Demand {
  const { configuration, daemons, deployment } = example
  const random = createSeededRandom(seed)
  const [start, measuredFrom, endsAt] = [DEMAND_HOURS.start * HOUR_MILLISECONDS, DEMAND_HOURS.measured * HOUR_MILLISECONDS, DEMAND_HOURS.end * HOUR_MILLISECONDS]
  const names = [...configuration.models.keys(), ...configuration.adapters.keys()].filter((name) => configuration.rules.has(name))
  const callers = [...configuration.callers.values()]
  const sharedBursts = drawSharedBursts(names, random, start, endsAt)
  const requests: DemandRequest[] = []
  let changes = 0
  for (const name of names) {
    const permittedCallers = callers.filter(({ models }) => models.includes(name) || models.includes('*'))
    if (permittedCallers.length === 0) continue
    const weightedCallers = permittedCallers.flatMap((caller) => Array.from({ length: caller.weight }, () => caller))
    const role = deployment.roles.get(configuration.models.get(configuration.adapters.get(name)?.model ?? name)?.role ?? '')
    const ownBursts = drawBursts(random, start, endsAt)
    changes += ownBursts.changes
    const bursts = [...ownBursts.startTimes, ...sharedBursts.get(name) ?? []].sort((left, right) => left - right)
    let lastRequestAt = -Infinity
    for (const burstAt of bursts) {
      const followsPause = burstAt - lastRequestAt >= MINIMUM_PAUSE_MILLISECONDS
      const count = 1 + Math.floor(exponential(random, 4))
      const burstMilliseconds = uniform(random, 2_000, 60_000)
      const caller = pick(random, weightedCallers)
      for (let index = 0; index < count; index++) {
        const offset = index === 0 ? 0 : random() < 0.5 ? uniform(random, 0, 1_500) : uniform(random, 0, burstMilliseconds)
        const tokens = caller.priority === 'bulk' ? uniform(random, 400, 1_500) : uniform(random, 60, 400)
        requests.push({
          at: burstAt + offset,
          daemon: pick(random, daemons),
          caller: random() < 0.8 ? caller : pick(random, weightedCallers),
          name,
          serviceMilliseconds: (role?.firstTokenMilliseconds ?? 0) + tokens * (role?.tokenMilliseconds ?? 0),
          isFirstOfBurst: followsPause && offset <= FIRST_REQUESTS_MILLISECONDS
        })
        lastRequestAt = Math.max(lastRequestAt, burstAt + offset)
      }
    }
  }
  requests.sort((left, right) => left.at - right.at)
  return {
    requests: requests.filter(({ at }) => at < endsAt),
    measuredFrom,
    endsAt,
    changesPerNameAndHour: changes / names.length / (DEMAND_HOURS.end - DEMAND_HOURS.start)
  }
}
