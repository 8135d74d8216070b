import { InvalidArgumentError, type Command } from 'commander'
import { EXIT_FAILURE, type CommandContext } from '../../command-context.js'

interface SoakOptions {
  readonly seed: number
  readonly steps: number
  readonly seeds: number
}

/** `fuchsiastage soak`: injects random faults into the real controllers, which run against fakes, and checks the guarantees. */
export function addSoakCommand (program: Command, context: CommandContext): void {
  program.command('soak')
    .description('Inject random combinations of all faults into the real controllers, which run against fakes, and check all guarantees after every step. For a failing seed, the shortest failing sequence is printed.')
    .option('--seed <number>', 'first seed', parseCount, 1)
    .option('--steps <number>', 'number of steps in each run', parseCount, 40)
    .option('--seeds <number>', 'number of consecutive seeds to run', parseCount, 1)
    .addHelpText('after', '\nExample:\n  fuchsiastage soak --seed 1 --steps 60 --seeds 20')
    .action(async (options: SoakOptions) => {
      const { runSoakCommand } = await import('@fuchsiastage/scenarios')
      const failed = await runSoakCommand({ ...options, print: context.print })
      if (failed > 0) context.setExitCode(EXIT_FAILURE)
    })
}

function parseCount (text: string): number {
  const value = Number(text)
  if (!Number.isSafeInteger(value) || value < 1) throw new InvalidArgumentError('expected an integer of at least 1')
  return value
}
