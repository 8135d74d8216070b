import { compareWithMaximum, readBounds, type BoundComparison } from './bounds.js'
import { runColdStart, type ColdStartFigures, type ColdStartResult } from './cold-start/run.js'
import { DEPLOYMENTS, type DeploymentName } from './example-deployment.js'
import { measureDecisionCosts, type DecisionCost } from './route/decision-cost.js'
import { runRoute, type RouteResult } from './route/run.js'
import { round } from './statistics.js'

function isWorseOnBoth (policy: ColdStartFigures, baseline: ColdStartFigures): boolean {
  return policy.p99 > baseline.p99 && policy.idleAcceleratorHours > baseline.idleAcceleratorHours
}

/** Compares the cold-start figures of one deployment with its bounds. */
export function checkColdStartBounds (result: ColdStartResult): readonly BoundComparison[] {
  const bound = readBounds().coldStart[result.deployment]
  const baseline = result.baselines[bound.comparedWith]
  const ratio = (value: number, other: number): number => other === 0 ? (value === 0 ? 0 : Infinity) : round(value / other, 3)
  return [
    compareWithMaximum(`${result.deployment}: p99 cold-start time against ${bound.comparedWith}`, ratio(result.policy.p99, baseline.p99), bound.maximumP99Ratio),
    compareWithMaximum(`${result.deployment}: idle accelerator hours against ${bound.comparedWith}`, ratio(result.policy.idleAcceleratorHours, baseline.idleAcceleratorHours), bound.maximumIdleRatio),
    ...Object.entries(result.baselines).map(([name, figures]) =>
      compareWithMaximum(`${result.deployment}: worse than ${name} on both figures (1 is yes)`, Number(isWorseOnBoth(result.policy, figures)), 0))
  ]
}

/** Compares the figures of the routing cases with their bounds. */
export function checkRouteBounds (result: RouteResult): readonly BoundComparison[] {
  const { route } = readBounds()
  const comparisons = Object.entries(route.maximumRatioToBestBaseline).map(([routeCase, bound]) => {
    const { router, ...baselines } = result.cases[routeCase as keyof RouteResult['cases']]
    const bestBaseline = Math.min(...Object.values(baselines).map(({ firstTokenP95 }) => firstTokenP95))
    return compareWithMaximum(`route ${routeCase}: p95 time to first token against the best baseline`, round(router.firstTokenP95 / bestBaseline, 3), bound)
  })
  const { requests, refused } = result.cases.burst.router
  return [...comparisons, compareWithMaximum('route burst: share of urgent requests refused against that of normal ones', round(refused.urgent / requests.urgent, 4), round(refused.normal / requests.normal, 4))]
}

/** Compares the growth of the number of report lookups in one decision with its bound. */
export function checkLookupBound (costs: readonly DecisionCost[]): BoundComparison {
  const [smallest, largest] = [costs[0], costs.at(-1)]
  return compareWithMaximum('route: growth of the maximum number of lookups in one decision from 60 to 5,900 targets',
    round((largest?.maximumLookups ?? Infinity) / (smallest?.maximumLookups ?? 1), 3), readBounds().route.maximumLookupGrowth)
}

/**
 * Checks all bounds, including those on real time. It is meant for the command line: CI checks only
 * counts and times on a fake clock, because real time depends on the machine.
 *
 * @example
 * const comparisons = await runBenchCheck()
 */
export async function runBenchCheck (): Promise<readonly BoundComparison[]> {
  const { coldStart, route, realTime } = readBounds()
  const comparisons: BoundComparison[] = []
  for (const deployment of DEPLOYMENTS satisfies readonly DeploymentName[]) {
    comparisons.push(...checkColdStartBounds(await runColdStart({ deployment, seeds: coldStart.seeds })))
  }
  const costs = measureDecisionCosts(route.seed)
  const ratio = (costs.at(-1)?.medianMicroseconds ?? Infinity) / (costs[0]?.medianMicroseconds ?? 1)
  return [
    ...comparisons,
    ...checkRouteBounds(await runRoute(route.seed)),
    checkLookupBound(costs),
    compareWithMaximum('real time: median duration of one decision at 5,900 targets against 60', round(ratio, 2), realTime.maximumDecisionRatio)
  ]
}
