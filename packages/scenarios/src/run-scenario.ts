import { readFile } from 'node:fs/promises'
import { parse } from 'yaml'
import type { CallerRequest } from './caller.js'
import { scenarioSchema, type Expectations, type Range, type Scenario, type Step } from './scenario-schema.js'
import { formatTimeline } from './timeline.js'
import { createWorld, type World } from './world.js'

export interface ScenarioResult {
  readonly title: string
  /** Violations of the guarantees, which are checked independently of the scenario's `expect`. */
  readonly violations: readonly string[]
  /** Expectations of the scenario that were not met. */
  readonly unmetExpectations: readonly string[]
  readonly timeline: readonly string[]
  readonly sendCount: number
}

/**
 * Reads and validates a scenario file.
 *
 * @example
 * const scenario = await readScenario('scenarios/a01-burst-at-all-daemons.yaml')
 */
export async function readScenario (path: string): Promise<Scenario> {
  return scenarioSchema.parse(parse(await readFile(path, 'utf8')))
}

/**
 * Runs a scenario in one process over a manual clock.
 *
 * @example
 * const { violations, unmetExpectations } = await runScenario(await readScenario(path))
 */
export async function runScenario (scenario: Scenario): Promise<ScenarioResult> {
  const world = createWorld(scenario.deployment, scenario.seed)
  const unmetExpectations: string[] = []
  await world.begin()
  for (const [index, step] of scenario.steps.entries()) {
    await runStep(world, step, (message) => unmetExpectations.push(`step ${index + 1}: ${message}`))
  }
  checkExpectations(world, scenario.expect, (message) => unmetExpectations.push(`at the end: ${message}`))
  await world.end()
  return { title: scenario.title, violations: world.violations, unmetExpectations, timeline: formatTimeline(world.events), sendCount: world.invariants.sendCount() }
}

/** Runs one step, then the invariant checks. */
export async function runStep (world: World, step: Step, onUnmet: (message: string) => void): Promise<void> {
  if (step.advance !== undefined) await world.advance(step.advance)
  else if (step.when !== undefined) world.addTrigger(step.when)
  else if (step.expect !== undefined) checkExpectations(world, step.expect, onUnmet)
  else world.apply(step)
  await world.clock.settle()
  world.invariants.check()
}

function isInRange (range: Range, value: number): boolean {
  if (typeof range === 'number') return value === range
  return value >= (range.min ?? -Infinity) && value <= (range.max ?? Infinity)
}

function outcomeOf (request: CallerRequest | undefined): string {
  if (request === undefined) return 'never sent'
  return request.outcome === undefined ? 'open' : `${request.outcome.kind}/${request.outcome.isReplay ? 'replay' : request.outcome.code}`
}

function median (values: readonly number[]): number {
  return [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? NaN
}

function checkExpectations (world: World, expectations: Expectations, onUnmet: (message: string) => void): void {
  const compare = (label: string, range: Range, value: number): void => {
    if (!isInRange(range, value)) onUnmet(`${label} is ${value}, expected ${JSON.stringify(range)}`)
  }
  const matches = (expected: string, actual: string): boolean => actual === expected || actual.startsWith(`${expected}/`)
  for (const [name, expected] of Object.entries(expectations.outcomes ?? {})) {
    const actual = outcomeOf(world.requests.get(name))
    if (![expected].flat().some((one) => matches(one, actual))) onUnmet(`${name} is ${actual}, expected ${[expected].flat().join(' or ')}`)
  }
  const requestsOf = (group: string): readonly CallerRequest[] => [...world.requests.values()].filter((request) => request.group === group)
  for (const [group, outcomes] of Object.entries(expectations.groups ?? {})) {
    const actual = requestsOf(group).map(outcomeOf)
    for (const [expected, range] of Object.entries(outcomes)) compare(`${group} ${expected}`, range, actual.filter((one) => matches(expected, one)).length)
  }
  const targets = [...world.targets.values()]
  const sum = (of: (target: (typeof targets)[number]) => number): number => targets.reduce((total, target) => total + of(target), 0)
  for (const [key, range] of Object.entries(expectations.keyRuns ?? {})) compare(`runs of key ${key}`, range, sum(({ counts }) => counts.runsByKey.get(world.keyOf(key)) ?? 0))
  for (const [request, range] of Object.entries(expectations.runs ?? {})) compare(`runs of ${request}`, range, sum(({ counts }) => counts.runs.get(request) ?? 0))
  for (const [model, range] of Object.entries(expectations.replicas ?? {})) {
    compare(`replicas of ${model}`, range, targets.filter((target) => target.isUp() && target.models().some((loaded) => loaded.model === model && loaded.state === 'loaded')).length)
  }
  for (const [name, expected] of Object.entries(expectations.patches ?? {})) {
    const actual = world.patches.get(name)?.outcome?.kind ?? 'open'
    if (![expected].flat().includes(actual)) onUnmet(`patch ${name} is ${actual}, expected ${[expected].flat().join(' or ')}`)
  }
  for (const [daemon, version] of Object.entries(expectations.versions ?? {})) {
    for (const process of daemon === 'all' ? world.daemons.values() : [world.daemons.get(daemon)]) {
      if (process !== undefined && process.phase === 'running') compare(`version at ${process.name}`, version, process.core.configuration.version())
    }
  }
  if (expectations.placementEpoch !== undefined) {
    const epochs = [...world.log.contents('placement.bc-coast')].map(({ value }) => Number((value as { readonly epoch?: number }).epoch ?? 0))
    compare('placement epoch', expectations.placementEpoch, Math.max(0, ...epochs))
  }
  for (const [name, range] of Object.entries(expectations.events ?? {})) compare(`events ${name}`, range, world.eventCounts.get(name) ?? 0)
  if (expectations.fasterThan !== undefined) {
    const [first, second] = expectations.fasterThan.map((group) => median(requestsOf(group).flatMap(({ sentAt, outcome }) => outcome?.kind === 'done' ? [outcome.endedAt - sentAt] : [])))
    if (!((first ?? NaN) <= (second ?? NaN))) onUnmet(`the median latency of ${expectations.fasterThan[0]} is ${first} ms, expected at most that of ${expectations.fasterThan[1]}, ${second} ms`)
  }
}
