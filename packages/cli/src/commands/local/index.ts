import { dirname, join } from 'node:path'
import { createSystemClock, type Clock } from '@fuchsiastage/clock'
import { createDaemon, type Daemon } from '@fuchsiastage/daemon'
import { createLogger, LOG_LEVELS, type LogLevel } from '@fuchsiastage/logger'
import { formatFaults, parseDeployment, type Deployment, type Settings } from '@fuchsiastage/settings'
import type { RunningStandIns } from '@fuchsiastage/stand-ins'
import { Option, type Command } from 'commander'
import { EXIT_FAILURE, EXIT_USAGE, readTextFile, type CommandContext } from '../../command-context.js'
import { callOperatorsWithToken } from '../../operator-client.js'
import { loadSettings } from '../daemon/index.js'

interface LocalOptions {
  readonly settings: readonly string[]
  readonly deployment?: string
  readonly configuration?: string
  readonly logLevel: LogLevel
}

const PATCH_RETRY_MILLISECONDS = 500
const MAXIMUM_PATCH_ATTEMPTS = 60

/** `fuchsiastage local`: runs a small deployment in one process, for trying out the system. */
export function addLocalCommand (program: Command, context: CommandContext): void {
  program.command('local')
    .description('Run a complete small deployment (daemons and stand-ins) in this process until it is interrupted.')
    .requiredOption('--settings <files...>', 'settings file of each daemon')
    .option('--deployment <file>', 'description of the stand-ins; default: deployment.ini in the directory of the first settings file')
    .option('--configuration <file>', 'initial configuration patch; default: configuration.json in the directory of the first settings file')
    .addOption(new Option('--log-level <level>', 'minimum level of log lines').choices(LOG_LEVELS).default('warn'))
    .addHelpText('after', '\nExample:\n  fuchsiastage local --settings examples/co-operative/entry-*.ini')
    .action(async (options: LocalOptions) => await runLocal(options, context))
}

async function runLocal (options: LocalOptions, context: CommandContext): Promise<void> {
  const folder = dirname(options.settings[0] ?? '.')
  const settings: Settings[] = []
  for (const file of options.settings) {
    const loaded = await loadSettings(file, context)
    if (loaded !== undefined) settings.push(loaded)
  }
  const deployment = await loadDeployment(options.deployment ?? join(folder, 'deployment.ini'), context)
  const patch = await readTextFile(options.configuration ?? join(folder, 'configuration.json'))
  if (patch.isErr) context.printError(patch.error.message)
  if (settings.length < options.settings.length || deployment === undefined || patch.isErr) {
    context.setExitCode(EXIT_USAGE)
    return
  }
  const clock = createSystemClock()
  const { describeDeployment, startDeployment } = await import('@fuchsiastage/stand-ins')
  const standIns = await startDeployment(describeDeployment(deployment), { clock })
  const daemons = settings.map((daemonSettings) => createDaemon({ settings: daemonSettings, clock, logger: createLogger({ clock, process: daemonSettings.daemon.name, level: options.logLevel }) }))
  for (const daemon of daemons) {
    const addresses = await daemon.start()
    context.print(`entry http://${addresses.callers}  operators http://${addresses.operators}`)
  }
  const firstSettings = settings[0]
  if (firstSettings !== undefined && !await submitInitialPatch(firstSettings, JSON.parse(patch.value), clock, context)) context.setExitCode(EXIT_FAILURE)
  await waitForInterrupt(daemons, standIns, context)
}

async function loadDeployment (file: string, context: CommandContext): Promise<Deployment | undefined> {
  const text = await readTextFile(file)
  if (text.isErr) {
    context.printError(text.error.message)
    return undefined
  }
  const deployment = parseDeployment(text.value)
  if (deployment.isOk) return deployment.value
  for (const line of formatFaults(deployment.error)) context.printError(`${file}: ${line}`)
  return undefined
}

/** Submits the initial patch. Retries while the daemon does not respond or the patch is undecided, because a majority can confirm it only after the daemons have discovered each other. */
async function submitInitialPatch (settings: Settings, patch: unknown, clock: Clock, context: CommandContext): Promise<boolean> {
  for (let attempt = 0; attempt < MAXIMUM_PATCH_ATTEMPTS; attempt++) {
    const response = await callOperatorsWithToken(settings.listen.operators, settings.operators.token, 'POST', '/configuration/patches', patch)
    if (response.isOk && response.value.status !== 202) {
      context.print(`initial patch: ${JSON.stringify(response.value.body)}`)
      return response.value.status === 200
    }
    await clock.sleep(PATCH_RETRY_MILLISECONDS)
  }
  context.printError('the initial patch was not decided within the permitted number of attempts')
  return false
}

function waitForInterrupt (daemons: readonly Daemon[], standIns: RunningStandIns, context: CommandContext): Promise<void> {
  context.print('running; press Ctrl+C to stop')
  return new Promise((resolve) => {
    const stop = (): void => {
      context.print('stopping; the daemons keep serving for a few seconds, until no caller uses a cached entry list')
      void Promise.all(daemons.map((daemon) => daemon.stop())).then(() => standIns.close()).then(resolve)
    }
    process.once('SIGINT', stop)
    process.once('SIGTERM', stop)
  })
}
