import { InvalidArgumentError, type Command } from 'commander'
import { runPathBench } from './run-path-bench.js'

interface Flags {
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
 * Adds the command `path`, which measures the request and stream path through one daemon.
 *
 * @example
 * addPathCommand(program.command('bench'))
 */
export function addPathCommand (program: Command): void {
  program.command('path')
    .description('Measure requests and streamed tokens through one daemon against the same client straight at the engines.')
    .option('--seed <number>', 'seed of the prompts', wholeNumber, 1)
    .option('--output <file>', 'file of the results', 'bench/results/path.json')
    .option('--port <number>', 'first of three free ports for the daemon', wholeNumber, 17_900)
    .option('--engines <number>', 'engine processes', wholeNumber, 6)
    .option('--clients <number>', 'load client processes', wholeNumber, 3)
    .option('--streams <numbers>', 'streams at once, one step for each number', (text: string) => text.split(',').map(wholeNumber), [90, 180, 240])
    .option('--open-streams <number>', 'open streams whose memory is measured', wholeNumber, 2_000)
    .option('--soak-seconds <number>', 'length of the soak', wholeNumber, 60)
    .option('--rounds <number>', 'rounds of each way', wholeNumber, 3)
    .addHelpText('after', '\nExample:\n  fuchsiastage bench path --seed 1 --streams 90,180 --soak-seconds 60')
    .action(async (flags: Flags) => {
      await runPathBench({ ...flags, print: (text) => { process.stdout.write(text + '\n') } })
    })
}

function wholeNumber (text: string): number {
  const value = Number(text)
  if (!Number.isInteger(value) || value < 1) throw new InvalidArgumentError('a whole number above zero is expected')
  return value
}
