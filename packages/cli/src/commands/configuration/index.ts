import type { Command } from 'commander'
import type { CommandContext } from '../../command-context.js'
import type { OperatorOptions } from '../../operator-client.js'
import { printOperatorAnswer, withOperatorOptions } from '../../operator-command.js'

/** `fuchsiastage configuration`: reads versions, history and what is in force where. */
export function addConfigurationCommand (program: Command, context: CommandContext): void {
  const configuration = program.command('configuration').description('Read the configuration: versions, history, what is in force at each daemon.')

  withOperatorOptions(configuration.command('show [version]'))
    .description('Show a version of the configuration, by default the one in force at the daemon asked.')
    .addHelpText('after', '\nExample:\n  fuchsiastage configuration show 12 --operators 127.0.0.1:7301 --token-file token')
    .action(async (version: string | undefined, options: OperatorOptions) => {
      await printOperatorAnswer(context, options, 'GET', `/configuration/versions/${encodeURIComponent(version ?? 'current')}`)
    })

  withOperatorOptions(configuration.command('history'))
    .description('List the accepted versions that are kept, oldest first.')
    .addHelpText('after', '\nExample:\n  fuchsiastage configuration history --operators 127.0.0.1:7301 --token-file token')
    .action(async (options: OperatorOptions) => {
      await printOperatorAnswer(context, options, 'GET', '/configuration/history')
    })

  withOperatorOptions(configuration.command('in-force'))
    .description('Show which version each daemon has in force and how long ago it was verified.')
    .addHelpText('after', '\nExample:\n  fuchsiastage configuration in-force --operators 127.0.0.1:7301 --token-file token')
    .action(async (options: OperatorOptions) => {
      await printOperatorAnswer(context, options, 'GET', '/configuration/in-force')
    })
}
