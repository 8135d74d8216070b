import { createSystemClock } from '@fuchsiastage/clock'
import { createDaemon, type Daemon } from '@fuchsiastage/daemon'
import { createLogger } from '@fuchsiastage/logger'
import { findEnvironmentFaults, formatFaults, parseSettings, type Settings } from '@fuchsiastage/settings'
import type { Command } from 'commander'
import { EXIT_FAILURE, EXIT_USAGE, readTextFile, type CommandContext } from '../../command-context.js'

/** `fuchsiastage daemon`: runs one daemon until it receives a signal. */
export function addDaemonCommand (program: Command, context: CommandContext): void {
  program.command('daemon')
    .description('Run the daemon of this VM. SIGTERM or SIGINT starts a graceful shutdown, which completes the requests in progress; a second signal exits immediately.')
    .requiredOption('--settings <file>', 'settings file (INI)')
    .addHelpText('after', '\nExample:\n  fuchsiastage daemon --settings examples/renewal-office/entry-1.ini')
    .action(async (options: { readonly settings: string }) => {
      const settings = await loadSettings(options.settings, context)
      if (settings !== undefined) await runUntilStopped(settings, context)
    })
}

/** Reads and validates a settings file. Prints every fault and sets the exit code when the file is invalid. */
export async function loadSettings (file: string, context: CommandContext): Promise<Settings | undefined> {
  const text = await readTextFile(file)
  if (text.isErr) {
    context.printError(text.error.message)
    context.setExitCode(EXIT_USAGE)
    return undefined
  }
  const settings = parseSettings(text.value)
  const faults = [...findEnvironmentFaults(process.env), ...settings.isErr ? settings.error : []]
  for (const line of formatFaults(faults)) context.printError(`${file}: ${line}`)
  if (settings.isOk && faults.length === 0) return settings.value
  context.setExitCode(EXIT_USAGE)
  return undefined
}

async function runUntilStopped (settings: Settings, context: CommandContext): Promise<void> {
  const clock = createSystemClock()
  const logger = createLogger({ clock, process: settings.daemon.name, level: settings.logging.level })
  const daemon = createDaemon({ settings, clock, logger })
  const stopped = waitForSignal(daemon)
  try {
    const addresses = await daemon.start()
    logger.info('daemon listening', { event: 'listening', address: addresses.callers, operators: addresses.operators, peers: addresses.peers })
  } catch (reason) {
    context.printError(`the daemon failed to start: ${reason instanceof Error ? reason.message : String(reason)}`)
    process.exit(EXIT_FAILURE)
  }
  await stopped
}

function waitForSignal (daemon: Daemon): Promise<void> {
  return new Promise((resolve) => {
    let isStopping = false
    const handleSignal = (): void => {
      if (isStopping) process.exit(EXIT_FAILURE)
      isStopping = true
      void daemon.stop().then(resolve)
    }
    process.on('SIGTERM', handleSignal)
    process.on('SIGINT', handleSignal)
  })
}
