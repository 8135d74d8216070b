import { readFile } from 'node:fs/promises'
import type { DocumentSource } from '@fuchsiastage/platform'
import type { Command } from 'commander'
import { err, ok } from 'true-myth/result'
import { EXIT_FAILURE, type CommandContext } from '../../command-context.js'

interface CheckOptions {
  readonly against?: string
  readonly json?: boolean
}

/** Exit code if there are warnings and no errors. */
const EXIT_WARNINGS = 2

/** `fuchsiastage configuration check`: checks a configuration of the users' platform before it is put into force. */
export function addCheckCommand (configuration: Command, context: CommandContext): void {
  configuration.command('check <file>')
    .description('Check a configuration of the users\' platform: errors, entries without effect, limits that contradict each other, and differences from the version in force. Exit code 0 without findings, 1 with errors, 2 with warnings only; differences are no findings.')
    .option('--against <file>', 'configuration in force; its differences are listed')
    .option('--json', 'print the findings and differences as JSON')
    .addHelpText('after', '\nExample:\n  fuchsiastage configuration check next.json --against in-force.json')
    .action(async (file: string, { against, json }: CheckOptions) => {
      // Loaded on demand, so that other commands do not load the code of the platform into memory.
      const { checkConfigurationDocuments, formatReport } = await import('@fuchsiastage/platform')
      const report = checkConfigurationDocuments(await readSource(file), against === undefined ? undefined : await readSource(against))
      context.print(json === true ? JSON.stringify(report, null, 2) : formatReport(report))
      if (report.errors > 0) context.setExitCode(EXIT_FAILURE)
      else if (report.warnings > 0) context.setExitCode(EXIT_WARNINGS)
    })
}

async function readSource (file: string): Promise<DocumentSource> {
  try {
    return { file, content: ok(await readFile(file)) }
  } catch (reason) {
    return { file, content: err(`cannot be read: ${reason instanceof Error ? reason.message : String(reason)}`) }
  }
}
