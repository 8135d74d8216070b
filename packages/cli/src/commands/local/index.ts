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

const RETRY_MILLISECONDS = 500
const ATTEMPTS = 60

/** `fuchsiastage local`: a whole small deployment inside one process, for a first look. */
export function addLocalCommand (program: Command, context: CommandContext): void {
  program.command('local')
    .description('Run a whole small deployment (daemons and stand-ins) in this process until it is interrupted.')
    .requiredOption('--settings <files...>', 'settings file of each daemon')
    .option('--deployment <file>', 'description of the stand-ins; by default deployment.ini beside the first settings file')
    .option('--configuration <file>', 'first patch; by default configuration.json beside the first settings file')
    .addOption(new Option('--log-level <level>', 'least level of the log lines').choices(LOG_LEVELS).default('warn'))
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
  const daemons = settings.map((one) => createDaemon({ settings: one, clock, logger: createLogger({ clock, process: one.daemon.name, level: options.logLevel }) }))
  for (const daemon of daemons) {
    const addresses = await daemon.start()
    context.print(`entry http://${addresses.callers}  operators http://${addresses.operators}`)
  }
  const first = settings[0]
  if (first !== undefined && !await submitFirstPatch(first, JSON.parse(patch.value), clock, context)) context.setExitCode(EXIT_FAILURE)
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

/** The daemons need a moment to find each other before a majority can confirm a patch. */
async function submitFirstPatch (settings: Settings, patch: unknown, clock: Clock, context: CommandContext): Promise<boolean> {
  for (let attempt = 0; attempt < ATTEMPTS; attempt++) {
    const answer = await callOperatorsWithToken(settings.listen.operators, settings.operators.token, 'POST', '/configuration/patches', patch)
    if (answer.isOk && answer.value.status !== 202) {
      context.print(`first patch: ${JSON.stringify(answer.value.body)}`)
      return answer.value.status === 200
    }
    await clock.sleep(RETRY_MILLISECONDS)
  }
  context.printError('the first patch was not decided')
  return false
}

function waitForInterrupt (daemons: readonly Daemon[], standIns: RunningStandIns, context: CommandContext): Promise<void> {
  context.print('running; interrupt to stop')
  return new Promise((resolve) => {
    const stop = (): void => {
      context.print('stopping; callers may use the old entries for a few seconds')
      void Promise.all(daemons.map((daemon) => daemon.stop())).then(() => standIns.close()).then(resolve)
    }
    process.once('SIGINT', stop)
    process.once('SIGTERM', stop)
  })
}
