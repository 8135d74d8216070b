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

interface TargetModel {
  readonly target: RoutingTarget
  running: number
  readonly slowFactor: number
  /** Cached prefixes, the least recently used first. */
  readonly prefixes: Map<string, true>
}

const TARGETS = 8
const DAEMONS = 8
const MAXIMUM_CONCURRENT = 16
const FIRST_TOKEN_MILLISECONDS = 150
const TOKEN_MILLISECONDS = 14
/** Fraction by which a decoding step gets longer with each additional request in the batch. */
const STEP_GROWTH = 0.04
const PREFIX_HIT_FACTOR = 0.2
const CACHED_PREFIXES = 24
const PREFIXES = 160
const MEAN_TOKENS = 120
const RUN_MILLISECONDS = 60_000
const REPORT_INTERVAL: Milliseconds = 1_000
const REPORT_LAG: Milliseconds = 500
const BUSY_ANSWER_MILLISECONDS = 3
const MAXIMUM_TRIES = 3
const DEADLINES: Readonly<Record<PriorityClass, Milliseconds>> = { urgent: 5_000, normal: 15_000, bulk: 120_000 }
const KEY = 'model/measured'

interface Daemon {
  readonly choose: (prefix: string, exclude: readonly string[]) => string | undefined
  readonly reports: ReportStore
  readonly tracker: ReturnType<typeof createRequestTracker>
  readonly admission: ReturnType<typeof createAdmissionController>
  readonly recordPrefix: (target: string, prefix: string) => void
}

function createChoice (strategy: Strategy, targets: readonly RoutingTarget[], reports: ReportStore, router: ReturnType<typeof createRouter>, random: RandomSource): Daemon['choose'] {
  let turn = Math.floor(random() * targets.length)
  const loadOf = (name: string): number => {
    const load = reports.get(name)?.load
    return load === undefined ? 0 : load.running + load.waiting
  }
  const left = (exclude: readonly string[]): readonly string[] => targets.map(({ name }) => name).filter((name) => !exclude.includes(name))
  switch (strategy) {
    case 'router': return (prefix, exclude) => {
      const decision = router.choose({ key: KEY, prefix, exclude })
      return decision.isOk ? decision.value.target.name : undefined
    }
    case 'round-robin': return (_prefix, exclude) => {
      const names = left(exclude)
      return names[turn++ % names.length]
    }
    case 'least-reported-load': return (_prefix, exclude) =>
      [...left(exclude)].sort((one, other) => loadOf(one) - loadOf(other))[0]
    case 'power-of-two-choices': return (_prefix, exclude) => {
      const names = left(exclude)
      const [one, other] = [names[Math.floor(random() * names.length)], names[Math.floor(random() * names.length)]]
      return one === undefined || other === undefined ? one : loadOf(one) <= loadOf(other) ? one : other
    }
  }
}

/** Returns the offered load at a time, as a fraction of the capacity of all targets. */
function demandFactor (routeCase: RouteCase, at: Milliseconds): number {
  return routeCase === 'burst' ? (at >= 20_000 && at < 30_000 ? 3 : 0.4) : 0.65
}

function createTargets (routeCase: RouteCase): readonly TargetModel[] {
  return Array.from({ length: TARGETS }, (_, index) => ({
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
  const models = createTargets(routeCase)
  const byName = new Map(models.map((model) => [model.target.name, model]))
  const targets = models.map(({ target }) => target)
  const daemons = Array.from({ length: DAEMONS }, (_, index): Daemon => {
    const own = createSeededRandom(seed * 1_000 + index)
    const reports = createReportStore({ clock })
    const tracker = createRequestTracker({ clock })
    const router = createRouter({ clock, random: own, daemon: `entry-${index}`, reports, tracker, latency: () => 1, daemonsRouting: () => DAEMONS })
    router.setCandidates(KEY, targets)
    return {
      reports,
      tracker,
      choose: createChoice(strategy, targets, reports, router, own),
      admission: createAdmissionController({ clock, random: own, capacity: Math.floor(TARGETS * MAXIMUM_CONCURRENT / DAEMONS) }),
      recordPrefix: (target, prefix) => router.recordPrefix(target, KEY, prefix)
    }
  })

  const history = new Map(targets.map(({ name }) => [name, [] as { readonly at: Milliseconds, readonly running: number }[]]))
  const report = (daemon: Daemon): void => {
    const now = clock.now()
    for (const { name } of targets) {
      const lag = routeCase === 'stale-target' && name === 'target-0' ? 8_000 : REPORT_LAG
      const measured = history.get(name)?.findLast(({ at }) => at <= now - lag)
      daemon.reports.record({
        target: name,
        incarnation: 'i',
        state: 'live',
        load: { running: measured?.running ?? 0, waiting: 0, capacity: MAXIMUM_CONCURRENT, ageMilliseconds: lag },
        ageMilliseconds: 2,
        source: 'observer'
      })
    }
  }
  const measure = (): void => {
    for (const [name, samples] of history) samples.push({ at: clock.now(), running: byName.get(name)?.running ?? 0 })
    clock.setTimer(100, measure)
  }
  measure()
  daemons.forEach((daemon, index) => {
    const again = (): void => {
      // Reports pause for the last 1.5 s of every 5 s. With the report interval of 1 s no report gets older
      // than 2.5 s; the router stops using a target whose report is older than 3 s.
      const isSilent = routeCase === 'no-reports' && clock.now() % 5_000 >= 3_500
      if (!isSilent) report(daemon)
      clock.setTimer(REPORT_INTERVAL, again)
    }
    report(daemon)
    clock.setTimer(index * REPORT_INTERVAL / DAEMONS, again)
  })

  const firstTokens: Milliseconds[] = []
  const betweenTokens: Milliseconds[] = []
  const requests = { urgent: 0, normal: 0, bulk: 0 }
  const refused = { urgent: 0, normal: 0, bulk: 0 }
  let busyAnswers = 0

  const send = (daemon: Daemon, arrivedAt: Milliseconds, prefix: string, tokens: number, exclude: readonly string[], end: (served: boolean) => void): void => {
    const name = exclude.length < MAXIMUM_TRIES ? daemon.choose(prefix, exclude) : undefined
    const model = name === undefined ? undefined : byName.get(name)
    if (name === undefined || model === undefined) {
      end(false)
      return
    }
    daemon.tracker.begin(name)
    if (model.running >= MAXIMUM_CONCURRENT) {
      busyAnswers++
      clock.setTimer(BUSY_ANSWER_MILLISECONDS, () => {
        daemon.tracker.end(name, { kind: 'refused', code: 'busy' })
        send(daemon, arrivedAt, prefix, tokens, [...exclude, name], end)
      })
      return
    }
    model.running++
    const isHit = model.prefixes.delete(prefix)
    model.prefixes.set(prefix, true)
    const [oldest] = model.prefixes.keys()
    if (model.prefixes.size > CACHED_PREFIXES && oldest !== undefined) model.prefixes.delete(oldest)
    daemon.recordPrefix(name, prefix)
    // Simplification: the batch size at the start applies to the whole request.
    const step = TOKEN_MILLISECONDS * (1 + STEP_GROWTH * (model.running - 1)) * model.slowFactor
    const firstToken = FIRST_TOKEN_MILLISECONDS * (isHit ? PREFIX_HIT_FACTOR : 1) * model.slowFactor * (1 + STEP_GROWTH * (model.running - 1))
    firstTokens.push(clock.now() + firstToken - arrivedAt)
    betweenTokens.push(step)
    clock.setTimer(firstToken + tokens * step, () => {
      model.running--
      daemon.tracker.end(name, { kind: 'success', firstByteMilliseconds: firstToken, key: KEY })
      end(true)
    })
  }

  const arrive = (): void => {
    const arrivedAt = clock.now()
    const daemon = daemons[Math.floor(random() * DAEMONS)] as Daemon
    const draw = random()
    const priority: PriorityClass = draw < 0.3 ? 'urgent' : draw < 0.8 ? 'normal' : 'bulk'
    // The square skews the distribution: few prefixes are requested often, most of them rarely.
    const prefix = `prefix-${Math.floor(PREFIXES * random() ** 2)}`
    const tokens = exponential(random, MEAN_TOKENS)
    requests[priority]++
    void daemon.admission.admit({ request: 'r', caller: 'c', weight: 1, priority, deadline: arrivedAt + DEADLINES[priority] }).then((admitted) => {
      const refuse = (): void => {
        refused[priority]++
        firstTokens.push(DEADLINES[priority])
      }
      if (admitted.isErr) {
        refuse()
        return
      }
      send(daemon, arrivedAt, prefix, tokens, [], (served) => {
        if (!served) refuse()
        admitted.value.release()
        clock.settleSoon()
      })
    })
    clock.settleSoon()
  }
  const serviceMilliseconds = MEAN_TOKENS * TOKEN_MILLISECONDS * (1 + STEP_GROWTH * MAXIMUM_CONCURRENT * 0.6) + FIRST_TOKEN_MILLISECONDS
  const capacityPerSecond = TARGETS * MAXIMUM_CONCURRENT / serviceMilliseconds * 1_000
  const next = (): void => {
    const mean = 1_000 / (capacityPerSecond * demandFactor(routeCase, clock.now()))
    clock.setTimer(exponential(random, mean), () => {
      if (clock.now() >= RUN_MILLISECONDS) return
      arrive()
      next()
    })
  }
  next()
  await clock.runUntil(RUN_MILLISECONDS + uniform(random, 0, 1))
  return {
    firstTokenP95: round(quantile(firstTokens, 0.95), 0),
    betweenTokensP95: round(quantile(betweenTokens, 0.95), 1),
    requests,
    refused,
    busyAnswers
  }
}
