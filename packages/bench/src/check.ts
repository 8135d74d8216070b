import { atMost, readBounds, type Verdict } from './bounds.js'
import { runColdStart, type ColdStartFigures, type ColdStartResult } from './cold-start/run.js'
import { DEPLOYMENTS, type DeploymentName } from './example-deployment.js'
import { measureDecisions, type DecisionCost } from './route/decision-cost.js'
import { runRoute, type RouteResult } from './route/run.js'
import { round } from './statistics.js'

function isWorseOnBoth (policy: ColdStartFigures, baseline: ColdStartFigures): boolean {
  return policy.p99 > baseline.p99 && policy.idleAcceleratorHours > baseline.idleAcceleratorHours
}

/** Compares the cold-start figures of one deployment with its bounds. */
export function judgeColdStart (result: ColdStartResult): readonly Verdict[] {
  const bound = readBounds().coldStart[result.deployment]
  const baseline = result.baselines[bound.comparedWith]
  const ratio = (value: number, other: number): number => other === 0 ? (value === 0 ? 0 : Infinity) : round(value / other, 3)
  return [
    atMost(`${result.deployment}: p99 cold-start time against ${bound.comparedWith}`, ratio(result.policy.p99, baseline.p99), bound.maximumP99Ratio),
    atMost(`${result.deployment}: idle accelerator hours against ${bound.comparedWith}`, ratio(result.policy.idleAcceleratorHours, baseline.idleAcceleratorHours), bound.maximumIdleRatio),
    ...Object.entries(result.baselines).map(([name, figures]) =>
      atMost(`${result.deployment}: worse than ${name} on both figures (1 is yes)`, Number(isWorseOnBoth(result.policy, figures)), 0))
  ]
}

/** Compares the figures of the routing cases with their bounds. */
export function judgeRoute (result: RouteResult): readonly Verdict[] {
  const { route } = readBounds()
  const verdicts = Object.entries(route.maximumRatioToBestBaseline).map(([routeCase, bound]) => {
    const { router, ...baselines } = result.cases[routeCase as keyof RouteResult['cases']]
    const best = Math.min(...Object.values(baselines).map(({ firstTokenP95 }) => firstTokenP95))
    return atMost(`route ${routeCase}: p95 time to first token against the best baseline`, round(router.firstTokenP95 / best, 3), bound)
  })
  const { requests, refused } = result.cases.burst.router
  return [...verdicts, atMost('route burst: share of urgent requests refused against that of normal ones', round(refused.urgent / requests.urgent, 4), round(refused.normal / requests.normal, 4))]
}

/** Compares the growth of the number of report lookups in one decision with its bound. */
export function judgeLookups (costs: readonly DecisionCost[]): Verdict {
  const [smallest, largest] = [costs[0], costs.at(-1)]
  return atMost('route: growth of the maximum number of lookups in one decision from 60 to 5,900 targets',
    round((largest?.maximumLookups ?? Infinity) / (smallest?.maximumLookups ?? 1), 3), readBounds().route.maximumLookupGrowth)
}

/**
 * Checks all bounds, including those on real time. It is meant for the command line: CI checks only
 * counts and times on a fake clock, because real time depends on the machine.
 *
 * @example
 * const verdicts = await runBenchCheck()
 */
export async function runBenchCheck (): Promise<readonly Verdict[]> {
  const { coldStart, route, realTime } = readBounds()
  const verdicts: Verdict[] = []
  for (const deployment of DEPLOYMENTS satisfies readonly DeploymentName[]) {
    verdicts.push(...judgeColdStart(await runColdStart({ deployment, seeds: coldStart.seeds })))
  }
  const costs = measureDecisions(route.seed)
  const ratio = (costs.at(-1)?.medianMicroseconds ?? Infinity) / (costs[0]?.medianMicroseconds ?? 1)
  return [
    ...verdicts,
    ...judgeRoute(await runRoute(route.seed)),
    judgeLookups(costs),
    atMost('real time: median duration of one decision at 5,900 targets against 60', round(ratio, 2), realTime.maximumDecisionRatio)
  ]
}
