import { InvalidArgumentError, type Command } from 'commander'
import { runPathBench } from './run-path-bench.js'

interface PathFlags {
  readonly seed: number
  readonly output: string
  readonly port: number
  readonly engines: number
  readonly clients: number
  readonly streams: readonly number[]
  readonly openStreams: number
  readonly soakSeconds: number
  readonly rounds: number
}

/**
 * Adds the command `path`, which measures requests and streams through one daemon.
 *
 * @example
 * addPathCommand(program.command('bench'))
 */
export function addPathCommand (program: Command): void {
  program.command('path')
    .description('Measure requests and streamed tokens through one daemon, compared with the same load sent directly to the engines.')
    .option('--seed <number>', 'seed of the random prompts', parsePositiveInteger, 1)
    .option('--output <file>', 'file to write the results to', 'bench/results/path.json')
    .option('--port <number>', 'first of three consecutive free ports for the daemon', parsePositiveInteger, 17_900)
    .option('--engines <number>', 'number of engine processes', parsePositiveInteger, 6)
    .option('--clients <number>', 'number of load client processes', parsePositiveInteger, 3)
    .option('--streams <numbers>', 'comma-separated numbers of concurrent streams, each measured separately', (text: string) => text.split(',').map(parsePositiveInteger), [90, 180, 240])
    .option('--open-streams <number>', 'number of open streams for which the memory of the daemon is measured', parsePositiveInteger, 2_000)
    .option('--soak-seconds <number>', 'duration of the soak test', parsePositiveInteger, 60)
    .option('--rounds <number>', 'number of rounds through the daemon and directly to the engines', parsePositiveInteger, 3)
    .addHelpText('after', '\nExample:\n  fuchsiastage bench path --seed 1 --streams 90,180 --soak-seconds 60')
    .action(async (flags: PathFlags) => {
      await runPathBench({ ...flags, print: (text) => { process.stdout.write(text + '\n') } })
    })
}

function parsePositiveInteger (text: string): number {
  const value = Number(text)
  if (!Number.isInteger(value) || value < 1) throw new InvalidArgumentError('the value must be an integer above zero')
  return value
}
