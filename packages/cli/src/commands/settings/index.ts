import { formatFaults, parseSettings, settingsReference } from '@fuchsiastage/settings'
import type { Command } from 'commander'
import { EXIT_USAGE, readTextFile, type CommandContext } from '../../command-context.js'

/** `fuchsiastage settings`: validates settings files and prints the settings reference. */
export function addSettingsCommand (program: Command, context: CommandContext): void {
  const settings = program.command('settings').description('Validate settings files and print the settings reference.')

  settings.command('check <file>')
    .description('Validate a settings file without starting anything and list all faults. The exit code is 2 if there are any.')
    .addHelpText('after', '\nExample:\n  fuchsiastage settings check examples/renewal-office/entry-1.ini')
    .action(async (file: string) => await checkSettings(file, context))

  settings.command('reference')
    .description('Print a Markdown reference of all sections and keys.')
    .addHelpText('after', '\nExample:\n  fuchsiastage settings reference > docs/settings.md')
    .action(() => context.print(settingsReference()))
}

async function checkSettings (file: string, context: CommandContext): Promise<void> {
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
