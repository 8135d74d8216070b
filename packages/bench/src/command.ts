import { writeFileSync } from 'node:fs'
import { InvalidArgumentError, type Command } from 'commander'
import type { BoundComparison } from './bounds.js'
import { addCapacityCommand } from './capacity/index.js'
import { runBenchCheck } from './check.js'
import { DEFAULT_SEEDS, runColdStart, type ColdStartFigures, type ColdStartResult } from './cold-start/run.js'
import { DEPLOYMENTS, type DeploymentName } from './example-deployment.js'
import { addPathCommand } from './path/index.js'
import { createReport } from './report.js'
import { readResult, writeResult } from './results.js'
import { runRoute, type RouteResult } from './route/run.js'

/** Output of the commands. The command line passes its own; the default is the output of this process. */
export interface BenchCommandOutput {
  readonly print: (text: string) => void
  readonly setExitCode: (code: number) => void
}

const PROCESS_OUTPUT: BenchCommandOutput = {
  print: (text) => { process.stdout.write(text + '\n') },
  setExitCode: (code) => { process.exitCode = code }
}

const DEFAULT_ROUTE_SEED = 21

function parseSeed (text: string): number {
  const seed = Number(text)
  if (!Number.isSafeInteger(seed) || seed < 0) throw new InvalidArgumentError('a seed must be an integer of at least 0')
  return seed
}

function parseSeeds (text: string): readonly number[] {
  return text.split(',').map(parseSeed)
}

function parseDeploymentName (text: string): DeploymentName {
  const name = DEPLOYMENTS.find((known) => known === text)
  if (name === undefined) throw new InvalidArgumentError(`the deployment must be one of ${DEPLOYMENTS.join(', ')}`)
  return name
}

const formatFigures = (name: string, figures: ColdStartFigures): string =>
  `${name.padEnd(40)} p50 ${figures.p50} ms, p95 ${figures.p95} ms, p99 ${figures.p99} ms, max ${figures.max} ms, ` +
  `${figures.idleAcceleratorHours} idle accelerator hours, ${figures.refused} of ${figures.requests} refused`

function formatColdStart (result: ColdStartResult): string {
  return [
    `${result.deployment}, seeds ${result.seeds.join(', ')}`,
    formatFigures('policy', result.policy),
    ...Object.entries(result.baselines).map(([name, figures]) => formatFigures(name, figures)),
    ...Object.entries(result.ablations).map(([name, figures]) => formatFigures(`without ${name}`, figures)),
    ...Object.entries(result.policy.byCaller).map(([caller, { requests, refused }]) => `  ${caller}: ${refused} of ${requests} refused`)
  ].join('\n')
}

function formatRoute ({ cases, decisions }: RouteResult): string {
  return [
    ...Object.entries(cases).flatMap(([routeCase, strategies]) => Object.entries(strategies).map(([strategy, figures]) =>
      `${routeCase.padEnd(14)} ${strategy.padEnd(22)} first token p95 ${figures.firstTokenP95} ms, between tokens p95 ${figures.betweenTokensP95} ms, ` +
      `refused ${figures.refused.urgent} urgent, ${figures.refused.normal} normal, ${figures.refused.bulk} bulk, ${figures.busyAnswers} busy responses`)),
    ...decisions.map(({ targets, lookups, maximumLookups, medianMicroseconds }) =>
      `${targets} targets: ${lookups} lookups per decision, at most ${maximumLookups}; median ${medianMicroseconds} µs (real time)`)
  ].join('\n')
}

const formatComparison = ({ name, value, bound, isMet }: BoundComparison): string => `${isMet ? 'met   ' : 'MISSED'} ${name}: ${value}, bound ${bound}`

/**
 * Adds `bench` with its sub-commands to a program.
 *
 * @example
 * addBenchCommand(program)
 */
export function addBenchCommand (program: Command, output: BenchCommandOutput = PROCESS_OUTPUT): void {
  const bench = program.command('bench').description('Run the benchmarks and capacity measurements; results are written to bench/results.')
  addCapacityCommand(bench)
  addPathCommand(bench)

  bench.command('cold-start')
    .description('Replay the simulated demand of the example deployments against the keep-warm policy and its baselines.')
    .option('--seeds <list>', 'comma-separated seeds of the simulated demand', parseSeeds, DEFAULT_SEEDS)
    .option('--deployment <name>', 'run only this deployment', parseDeploymentName)
    .option('--no-ablations', 'skip the ablation runs, each of which disables one part of the policy or of placement')
    .addHelpText('after', '\nExample:\n  fuchsiastage bench cold-start --seeds 11,12,13 --deployment co-operative')
    .action(async (options: { readonly seeds: readonly number[], readonly deployment?: DeploymentName, readonly ablations: boolean }) => {
      for (const deployment of options.deployment === undefined ? DEPLOYMENTS : [options.deployment]) {
        const result = await runColdStart({ deployment, seeds: options.seeds, ablations: options.ablations })
        output.print(formatColdStart(result))
        output.print(`written to ${writeResult(`cold-start-${deployment}`, options.seeds, result)}`)
      }
    })

  bench.command('route')
    .description('Compare the target selection of the router with round robin, least reported load and power of two choices.')
    .option('--seed <number>', 'seed of the simulated demand', parseSeed, DEFAULT_ROUTE_SEED)
    .addHelpText('after', '\nExample:\n  fuchsiastage bench route --seed 21')
    .action(async ({ seed }: { readonly seed: number }) => {
      const result = await runRoute(seed)
      output.print(formatRoute(result))
      output.print(`written to ${writeResult('route', [seed], result)}`)
    })

  bench.command('report')
    .description('Create one HTML page with plots of the stored results.')
    .option('--output <file>', 'file to write', 'bench-report.html')
    .addHelpText('after', '\nExample:\n  fuchsiastage bench report --output bench-report.html')
    .action((options: { readonly output: string }) => {
      writeFileSync(options.output, createReport({ coldStart: DEPLOYMENTS.flatMap((name) => readResult<ColdStartResult>(`cold-start-${name}`) ?? []), route: readResult('route') }))
      output.print(`written to ${options.output}`)
    })

  bench.command('check')
    .description('Compare the figures with bench/bounds.json, including the ratios of real times. The exit code is 1 when a bound is missed.')
    .addHelpText('after', '\nExample:\n  fuchsiastage bench check')
    .action(async () => {
      const comparisons = await runBenchCheck()
      for (const comparison of comparisons) output.print(formatComparison(comparison))
      if (comparisons.some(({ isMet }) => !isMet)) output.setExitCode(1)
    })
}
