import { filterByRequest, formatIgnored, formatTimeline, mergeTimeline, type TimelineFile } from '@fuchsiastage/timeline'
import type { Command } from 'commander'
import { EXIT_FAILURE, EXIT_USAGE, readTextFile, type CommandContext } from '../../command-context.js'

/** `fuchsiastage timeline`: merges the logs of all processes into one ordered list. */
export function addTimelineCommand (program: Command, context: CommandContext): void {
  program.command('timeline <files...>')
    .description('Merge the JSON-lines logs of all processes into one time line.')
    .option('--request <id>', 'show only one request and the leases, orders, claims and versions that its lines refer to')
    .addHelpText('after', '\nExample:\n  fuchsiastage timeline logs/*.log --request 0d3f6c1e-6f0e-4c55-9d39-3f6f3a1f2c11')
    .action(async (files: readonly string[], options: { readonly request?: string }) => await showTimeline(files, options.request, context))
}

async function showTimeline (names: readonly string[], request: string | undefined, context: CommandContext): Promise<void> {
  const files: TimelineFile[] = []
  for (const name of names) {
    const text = await readTextFile(name)
    if (text.isErr) {
      context.printError(text.error.message)
      context.setExitCode(EXIT_USAGE)
      return
    }
    files.push({ name, lines: text.value.split('\n') })
  }
  const { entries, ignored } = mergeTimeline(files)
  const shown = request === undefined ? entries : filterByRequest(entries, request)
  context.print(formatTimeline(shown))
  if (ignored.length > 0) context.printError(formatIgnored(ignored))
  if (request !== undefined && shown.length === 0) {
    context.printError(`no line of these files belongs to request ${request}`)
    context.setExitCode(EXIT_FAILURE)
  }
}
