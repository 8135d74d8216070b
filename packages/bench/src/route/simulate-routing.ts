import { createSeededRandom, type RandomSource } from '@fuchsiastage/membership'
import { createAdmissionController } from '@fuchsiastage/admission'
import { createReportStore, createRequestTracker, createRouter, type ReportStore, type RoutingTarget } from '@fuchsiastage/routing'
import type { Milliseconds, PriorityClass } from '@fuchsiastage/types'
import { createEventClock } from '../event-clock.js'
import { exponential, uniform } from '../random.js'
import { quantile, round } from '../statistics.js'

export const STRATEGIES = ['router', 'round-robin', 'least-reported-load', 'power-of-two-choices'] as const
export type Strategy = (typeof STRATEGIES)[number]

export const ROUTE_CASES = ['steady', 'slow-target', 'stale-target', 'burst', 'no-reports'] as const
export type RouteCase = (typeof ROUTE_CASES)[number]

export interface RouteFigures {
  /** A refused request counts with its whole deadline, so that refusing requests does not lower the figure. */
  readonly firstTokenP95: Milliseconds
  readonly betweenTokensP95: Milliseconds
  readonly requests: Readonly<Record<PriorityClass, number>>
  readonly refused: Readonly<Record<PriorityClass, number>>
  /** Number of requests that a target refused because it was busy. */
  readonly busyAnswers: number
}

interface SimulatedTarget {
  readonly target: RoutingTarget
  running: number
  readonly slowFactor: number
  /** Cached prefixes, the least recently used first. */
  readonly prefixes: Map<string, true>
}

const TARGET_COUNT = 8
const DAEMON_COUNT = 8
const MAXIMUM_CONCURRENT = 16
const FIRST_TOKEN_MILLISECONDS = 150
const TOKEN_MILLISECONDS = 14
/** Fraction by which a decoding step gets longer with each additional request in the batch. */
const STEP_GROWTH = 0.04
const PREFIX_HIT_FACTOR = 0.2
const CACHED_PREFIXES_PER_TARGET = 24
const PREFIX_COUNT = 160
const MEAN_TOKENS = 120
const SIMULATED_MILLISECONDS = 60_000
const REPORT_INTERVAL_MILLISECONDS: Milliseconds = 1_000
const REPORT_LAG_MILLISECONDS: Milliseconds = 500
const BUSY_RESPONSE_MILLISECONDS = 3
const MAXIMUM_ATTEMPTS = 3
const DEADLINE_MILLISECONDS: Readonly<Record<PriorityClass, Milliseconds>> = { urgent: 5_000, normal: 15_000, bulk: 120_000 }
const KEY = 'model/measured'

interface SimulatedDaemon {
  readonly choose: (prefix: string, exclude: readonly string[]) => string | undefined
  readonly reports: ReportStore
  readonly tracker: ReturnType<typeof createRequestTracker>
  readonly admission: ReturnType<typeof createAdmissionController>
  readonly recordPrefix: (target: string, prefix: string) => void
}

function createTargetSelector (strategy: Strategy, targets: readonly RoutingTarget[], reports: ReportStore, router: ReturnType<typeof createRouter>, random: RandomSource): SimulatedDaemon['choose'] {
  let nextIndex = Math.floor(random() * targets.length)
  const loadOf = (name: string): number => {
    const load = reports.get(name)?.load
    return load === undefined ? 0 : load.running + load.waiting
  }
  const remainingNames = (exclude: readonly string[]): readonly string[] => targets.map(({ name }) => name).filter((name) => !exclude.includes(name))
  switch (strategy) {
    case 'router': return (prefix, exclude) => {
      const decision = router.choose({ key: KEY, prefix, exclude })
      return decision.isOk ? decision.value.target.name : undefined
    }
    case 'round-robin': return (_prefix, exclude) => {
      const names = remainingNames(exclude)
      return names[nextIndex++ % names.length]
    }
    case 'least-reported-load': return (_prefix, exclude) =>
      [...remainingNames(exclude)].sort((one, other) => loadOf(one) - loadOf(other))[0]
    case 'power-of-two-choices': return (_prefix, exclude) => {
      const names = remainingNames(exclude)
      const [one, other] = [names[Math.floor(random() * names.length)], names[Math.floor(random() * names.length)]]
      return one === undefined || other === undefined ? one : loadOf(one) <= loadOf(other) ? one : other
    }
  }
}

/** Returns the offered load at a time, as a fraction of the capacity of all targets. */
function offeredLoad (routeCase: RouteCase, at: Milliseconds): number {
  return routeCase === 'burst' ? (at >= 20_000 && at < 30_000 ? 3 : 0.4) : 0.65
}

function createTargets (routeCase: RouteCase): readonly SimulatedTarget[] {
  return Array.from({ length: TARGET_COUNT }, (_, index) => ({
    target: { name: `target-${index}`, address: '127.0.0.1:1', dataCentre: 'a', maximumConcurrent: MAXIMUM_CONCURRENT },
    running: 0,
    slowFactor: routeCase === 'slow-target' && index === 0 ? 4 : 1,
    prefixes: new Map<string, true>()
  }))
}

/**
 * Simulates daemons that route independently to the same targets on delayed load reports, with the
 * real admission queue, and measures latencies and refusals as callers see them.
 *
 * @example
 * const figures = await simulateRouting('router', 'burst', 1)
 */
export async function simulateRouting (strategy: Strategy, routeCase: RouteCase, seed: number): Promise<RouteFigures> {
  const clock = createEventClock()
  const random = createSeededRandom(seed)
  const simulatedTargets = createTargets(routeCase)
  const simulatedTargetsByName = new Map(simulatedTargets.map((simulated) => [simulated.target.name, simulated]))
  const targets = simulatedTargets.map(({ target }) => target)
  const daemons = Array.from({ length: DAEMON_COUNT }, (_, index): SimulatedDaemon => {
    const daemonRandom = createSeededRandom(seed * 1_000 + index)
    const reports = createReportStore({ clock })
    const tracker = createRequestTracker({ clock })
    const router = createRouter({ clock, random: daemonRandom, daemon: `entry-${index}`, reports, tracker, latency: () => 1, daemonsRouting: () => DAEMON_COUNT })
    router.setCandidates(KEY, targets)
    return {
      reports,
      tracker,
      choose: createTargetSelector(strategy, targets, reports, router, daemonRandom),
      admission: createAdmissionController({ clock, random: daemonRandom, capacity: Math.floor(TARGET_COUNT * MAXIMUM_CONCURRENT / DAEMON_COUNT) }),
      recordPrefix: (target, prefix) => router.recordPrefix(target, KEY, prefix)
    }
  })

  const loadHistory = new Map(targets.map(({ name }) => [name, [] as { readonly at: Milliseconds, readonly running: number }[]]))
  const recordReports = (daemon: SimulatedDaemon): void => {
    const now = clock.now()
    for (const { name } of targets) {
      const lag = routeCase === 'stale-target' && name === 'target-0' ? 8_000 : REPORT_LAG_MILLISECONDS
      const sample = loadHistory.get(name)?.findLast(({ at }) => at <= now - lag)
      daemon.reports.record({
        target: name,
        incarnation: 'i',
        state: 'live',
        load: { running: sample?.running ?? 0, waiting: 0, capacity: MAXIMUM_CONCURRENT, ageMilliseconds: lag },
        ageMilliseconds: 2,
        source: 'observer'
      })
    }
  }
  const sampleLoads = (): void => {
    for (const [name, samples] of loadHistory) samples.push({ at: clock.now(), running: simulatedTargetsByName.get(name)?.running ?? 0 })
    clock.setTimer(100, sampleLoads)
  }
  sampleLoads()
  daemons.forEach((daemon, index) => {
    const reportPeriodically = (): void => {
      // Reports pause for the last 1.5 s of every 5 s. With the report interval of 1 s no report gets older
      // than 2.5 s; the router stops using a target whose report is older than 3 s.
      const isReportingPaused = routeCase === 'no-reports' && clock.now() % 5_000 >= 3_500
      if (!isReportingPaused) recordReports(daemon)
      clock.setTimer(REPORT_INTERVAL_MILLISECONDS, reportPeriodically)
    }
    recordReports(daemon)
    clock.setTimer(index * REPORT_INTERVAL_MILLISECONDS / DAEMON_COUNT, reportPeriodically)
  })

  const firstTokens: Milliseconds[] = []
  const betweenTokens: Milliseconds[] = []
  const requests = { urgent: 0, normal: 0, bulk: 0 }
  const refused = { urgent: 0, normal: 0, bulk: 0 }
  let busyAnswers = 0

  const sendRequest = (daemon: SimulatedDaemon, arrivedAt: Milliseconds, prefix: string, tokenCount: number, exclude: readonly string[], onEnd: (served: boolean) => void): void => {
    const name = exclude.length < MAXIMUM_ATTEMPTS ? daemon.choose(prefix, exclude) : undefined
    const simulatedTarget = name === undefined ? undefined : simulatedTargetsByName.get(name)
    if (name === undefined || simulatedTarget === undefined) {
      onEnd(false)
      return
    }
    daemon.tracker.begin(name)
    if (simulatedTarget.running >= MAXIMUM_CONCURRENT) {
      busyAnswers++
      clock.setTimer(BUSY_RESPONSE_MILLISECONDS, () => {
        daemon.tracker.end(name, { kind: 'refused', code: 'busy' })
        sendRequest(daemon, arrivedAt, prefix, tokenCount, [...exclude, name], onEnd)
      })
      return
    }
    simulatedTarget.running++
    const isHit = simulatedTarget.prefixes.delete(prefix)
    simulatedTarget.prefixes.set(prefix, true)
    const [oldest] = simulatedTarget.prefixes.keys()
    if (simulatedTarget.prefixes.size > CACHED_PREFIXES_PER_TARGET && oldest !== undefined) simulatedTarget.prefixes.delete(oldest)
    daemon.recordPrefix(name, prefix)
    // Simplification: the batch size at the start applies to the whole request.
    const tokenMilliseconds = TOKEN_MILLISECONDS * (1 + STEP_GROWTH * (simulatedTarget.running - 1)) * simulatedTarget.slowFactor
    const firstTokenMilliseconds = FIRST_TOKEN_MILLISECONDS * (isHit ? PREFIX_HIT_FACTOR : 1) * simulatedTarget.slowFactor * (1 + STEP_GROWTH * (simulatedTarget.running - 1))
    firstTokens.push(clock.now() + firstTokenMilliseconds - arrivedAt)
    betweenTokens.push(tokenMilliseconds)
    clock.setTimer(firstTokenMilliseconds + tokenCount * tokenMilliseconds, () => {
      simulatedTarget.running--
      daemon.tracker.end(name, { kind: 'success', firstByteMilliseconds: firstTokenMilliseconds, key: KEY })
      onEnd(true)
    })
  }

  const handleArrival = (): void => {
    const arrivedAt = clock.now()
    const daemon = daemons[Math.floor(random() * DAEMON_COUNT)] as SimulatedDaemon
    const draw = random()
    const priority: PriorityClass = draw < 0.3 ? 'urgent' : draw < 0.8 ? 'normal' : 'bulk'
    // The square skews the distribution: few prefixes are requested often, most of them rarely.
    const prefix = `prefix-${Math.floor(PREFIX_COUNT * random() ** 2)}`
    const tokenCount = exponential(random, MEAN_TOKENS)
    requests[priority]++
    void daemon.admission.admit({ request: 'r', caller: 'c', weight: 1, priority, deadline: arrivedAt + DEADLINE_MILLISECONDS[priority] }).then((admitted) => {
      const recordRefusal = (): void => {
        refused[priority]++
        firstTokens.push(DEADLINE_MILLISECONDS[priority])
      }
      if (admitted.isErr) {
        recordRefusal()
        return
      }
      sendRequest(daemon, arrivedAt, prefix, tokenCount, [], (served) => {
        if (!served) recordRefusal()
        admitted.value.release()
        clock.settleSoon()
      })
    })
    clock.settleSoon()
  }
  const serviceMilliseconds = MEAN_TOKENS * TOKEN_MILLISECONDS * (1 + STEP_GROWTH * MAXIMUM_CONCURRENT * 0.6) + FIRST_TOKEN_MILLISECONDS
  const capacityPerSecond = TARGET_COUNT * MAXIMUM_CONCURRENT / serviceMilliseconds * 1_000
  const scheduleNextArrival = (): void => {
    const meanGap = 1_000 / (capacityPerSecond * offeredLoad(routeCase, clock.now()))
    clock.setTimer(exponential(random, meanGap), () => {
      if (clock.now() >= SIMULATED_MILLISECONDS) return
      handleArrival()
      scheduleNextArrival()
    })
  }
  scheduleNextArrival()
  await clock.runUntil(SIMULATED_MILLISECONDS + uniform(random, 0, 1))
  return {
    firstTokenP95: round(quantile(firstTokens, 0.95), 0),
    betweenTokensP95: round(quantile(betweenTokens, 0.95), 1),
    requests,
    refused,
    busyAnswers
  }
}
