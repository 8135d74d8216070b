import { Command, CommanderError } from 'commander'
import { addConfigurationCommand } from './commands/configuration/index.js'
import { addDaemonCommand } from './commands/daemon/index.js'
import { addLocalCommand } from './commands/local/index.js'
import { addPatchCommand } from './commands/patch/index.js'
import { addSettingsCommand } from './commands/settings/index.js'
import { addSoakCommand } from './commands/soak/index.js'
import { addTimelineCommand } from './commands/timeline/index.js'
import { EXIT_FAILURE, EXIT_OK, EXIT_USAGE, type CommandContext } from './command-context.js'

/**
 * Runs one command and resolves with its exit code.
 *
 * @example
 * process.exitCode = await runCommandLine(process.argv)
 */
export async function runCommandLine (argv: readonly string[]): Promise<number> {
  let exitCode = EXIT_OK
  const context: CommandContext = {
    print: (text) => { process.stdout.write(text + '\n') },
    printError: (text) => { process.stderr.write(text + '\n') },
    setExitCode: (code) => { exitCode = code }
  }
  const program = new Command('fuchsiastage')
    .description('Serving system for rarely used models and for the plain services that run beside them.')
    .version('0.1.0')
    .exitOverride()
    .showHelpAfterError('(use --help to show usage and examples)')
  addDaemonCommand(program, context)
  addSettingsCommand(program, context)
  addPatchCommand(program, context)
  addConfigurationCommand(program, context)
  addTimelineCommand(program, context)
  addLocalCommand(program, context)
  addSoakCommand(program, context)
  await addBenchCommandOnDemand(program, context, argv)
  try {
    await program.parseAsync([...argv])
  } catch (reason) {
    if (reason instanceof CommanderError) return reason.exitCode === 0 ? EXIT_OK : EXIT_USAGE
    context.printError(reason instanceof Error ? reason.message : String(reason))
    return EXIT_FAILURE
  }
  return exitCode
}

/** Imports the benchmarks only for their own command, so that a daemon does not load their code and libraries into memory. */
async function addBenchCommandOnDemand (program: Command, context: CommandContext, argv: readonly string[]): Promise<void> {
  if (argv[COMMAND_ARGUMENT_INDEX] !== BENCH_COMMAND) {
    program.command(BENCH_COMMAND).description('Run the benchmarks and capacity measurements; results are written to bench/results.')
    return
  }
  const { addBenchCommand } = await import('@fuchsiastage/bench')
  addBenchCommand(program, { print: context.print, setExitCode: context.setExitCode })
}

const BENCH_COMMAND = 'bench'

/** Index of the command name in argv, which begins with the paths of Node.js and of the program. */
const COMMAND_ARGUMENT_INDEX = 2
