import type { Command } from 'commander'
import type { CommandContext } from '../../command-context.js'
import type { OperatorOptions } from '../../operator-client.js'
import { printOperatorResponse, withOperatorOptions } from '../../operator-command.js'
import { addCheckCommand } from './check.js'

/** `fuchsiastage configuration`: checks a configuration, shows configuration versions, the history and the version in force at each daemon. */
export function addConfigurationCommand (program: Command, context: CommandContext): void {
  const configuration = program.command('configuration').description('Check a configuration; show configuration versions, the history and the version in force at each daemon.')
  addCheckCommand(configuration, context)

  withOperatorOptions(configuration.command('show [version]'))
    .description('Show a version of the configuration. The default is the version in force at the queried daemon.')
    .addHelpText('after', '\nExample:\n  fuchsiastage configuration show 12 --operators 127.0.0.1:7301 --token-file token')
    .action(async (version: string | undefined, options: OperatorOptions) => {
      await printOperatorResponse(context, options, 'GET', `/configuration/versions/${encodeURIComponent(version ?? 'current')}`)
    })

  withOperatorOptions(configuration.command('history'))
    .description('List the accepted versions that are still stored, oldest first.')
    .addHelpText('after', '\nExample:\n  fuchsiastage configuration history --operators 127.0.0.1:7301 --token-file token')
    .action(async (options: OperatorOptions) => {
      await printOperatorResponse(context, options, 'GET', '/configuration/history')
    })

  withOperatorOptions(configuration.command('in-force'))
    .description('Show the version in force at each daemon and the time since it was last verified.')
    .addHelpText('after', '\nExample:\n  fuchsiastage configuration in-force --operators 127.0.0.1:7301 --token-file token')
    .action(async (options: OperatorOptions) => {
      await printOperatorResponse(context, options, 'GET', '/configuration/in-force')
    })
}
