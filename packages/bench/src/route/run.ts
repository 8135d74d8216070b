import { measureDecisionCosts, type DecisionCost } from './decision-cost.js'
import { ROUTE_CASES, simulateRouting, STRATEGIES, type RouteCase, type RouteFigures, type Strategy } from './simulate-routing.js'

export interface RouteResult {
  readonly seed: number
  readonly cases: Readonly<Record<RouteCase, Readonly<Record<Strategy, RouteFigures>>>>
  readonly decisions: readonly DecisionCost[]
}

/**
 * Runs every routing case with every strategy on the same demand.
 *
 * @example
 * const { cases } = await runRoute(21)
 */
export async function runRoute (seed: number): Promise<RouteResult> {
  const cases: Partial<Record<RouteCase, Record<Strategy, RouteFigures>>> = {}
  for (const routeCase of ROUTE_CASES) {
    const figures: Partial<Record<Strategy, RouteFigures>> = {}
    for (const strategy of STRATEGIES) figures[strategy] = await simulateRouting(strategy, routeCase, seed)
    cases[routeCase] = figures as Record<Strategy, RouteFigures>
  }
  return { seed, cases: cases as RouteResult['cases'], decisions: measureDecisionCosts(seed) }
}
