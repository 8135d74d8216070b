import { filterByRequest, formatIgnored, formatTimeline, mergeTimeline, type TimelineFile } from '@fuchsiastage/timeline'
import type { Command } from 'commander'
import { EXIT_FAILURE, EXIT_USAGE, readTextFile, type CommandContext } from '../../command-context.js'

/** `fuchsiastage timeline`: merges the logs of several processes into one ordered list. */
export function addTimelineCommand (program: Command, context: CommandContext): void {
  program.command('timeline <files...>')
    .description('Merge the JSON Lines logs of several processes into one timeline.')
    .option('--request <id>', 'show only the lines of this request and of the leases, orders, claims and configuration versions that they refer to')
    .addHelpText('after', '\nExample:\n  fuchsiastage timeline logs/*.log --request 0d3f6c1e-6f0e-4c55-9d39-3f6f3a1f2c11')
    .action(async (files: readonly string[], options: { readonly request?: string }) => await showTimeline(files, options.request, context))
}

async function showTimeline (fileNames: readonly string[], request: string | undefined, context: CommandContext): Promise<void> {
  const files: TimelineFile[] = []
  for (const name of fileNames) {
    const text = await readTextFile(name)
    if (text.isErr) {
      context.printError(text.error.message)
      context.setExitCode(EXIT_USAGE)
      return
    }
    files.push({ name, lines: text.value.split('\n') })
  }
  const { entries, ignored } = mergeTimeline(files)
  const shownEntries = request === undefined ? entries : filterByRequest(entries, request)
  context.print(formatTimeline(shownEntries))
  if (ignored.length > 0) context.printError(formatIgnored(ignored))
  if (request !== undefined && shownEntries.length === 0) {
    context.printError(`no log line in these files belongs to request ${request}`)
    context.setExitCode(EXIT_FAILURE)
  }
}
