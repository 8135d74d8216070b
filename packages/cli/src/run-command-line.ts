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
 * Runs one command and resolves its exit code.
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
    .description('Serving system for rarely used models and the plain services beside them.')
    .version('0.1.0')
    .exitOverride()
    .showHelpAfterError('(run with --help for usage and examples)')
  addDaemonCommand(program, context)
  addSettingsCommand(program, context)
  addPatchCommand(program, context)
  addConfigurationCommand(program, context)
  addTimelineCommand(program, context)
  addLocalCommand(program, context)
  addSoakCommand(program, context)
  await addBenchOnDemand(program, context, argv)
  try {
    await program.parseAsync([...argv])
  } catch (reason) {
    if (reason instanceof CommanderError) return reason.exitCode === 0 ? EXIT_OK : EXIT_USAGE
    context.printError(reason instanceof Error ? reason.message : String(reason))
    return EXIT_FAILURE
  }
  return exitCode
}

/** Loads the benchmarks only for their own command: a daemon must not carry their code and libraries in memory. */
async function addBenchOnDemand (program: Command, context: CommandContext, argv: readonly string[]): Promise<void> {
  if (argv[COMMAND_POSITION] !== BENCH_COMMAND) {
    program.command(BENCH_COMMAND).description('Run the benchmarks and capacity measurements; results go to bench/results.')
    return
  }
  const { addBenchCommand } = await import('@fuchsiastage/bench')
  addBenchCommand(program, { print: context.print, setExitCode: context.setExitCode })
}

const BENCH_COMMAND = 'bench'

/** After the paths of Node.js and of the program. */
const COMMAND_POSITION = 2
