import { formatFaults, parseSettings, settingsReference } from '@fuchsiastage/settings'
import type { Command } from 'commander'
import { EXIT_USAGE, readTextFile, type CommandContext } from '../../command-context.js'

/** `fuchsiastage settings`: checks a settings file and prints the reference. */
export function addSettingsCommand (program: Command, context: CommandContext): void {
  const settings = program.command('settings').description('Check settings files and show what they may contain.')

  settings.command('check <file>')
    .description('Check a settings file and list all faults. Exit code 2 when there are any; nothing is started.')
    .addHelpText('after', '\nExample:\n  fuchsiastage settings check examples/renewal-office/entry-1.ini')
    .action(async (file: string) => await check(file, context))

  settings.command('reference')
    .description('Print the reference of all sections and keys as Markdown.')
    .addHelpText('after', '\nExample:\n  fuchsiastage settings reference > docs/settings.md')
    .action(() => context.print(settingsReference()))
}

async function check (file: string, context: CommandContext): Promise<void> {
  const text = await readTextFile(file)
  if (text.isErr) {
    context.printError(text.error.message)
    context.setExitCode(EXIT_USAGE)
    return
  }
  const settings = parseSettings(text.value)
  if (settings.isOk) {
    context.print(`${file}: no faults`)
    return
  }
  for (const line of formatFaults(settings.error)) context.printError(`${file}: ${line}`)
  context.setExitCode(EXIT_USAGE)
}
