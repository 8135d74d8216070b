import { randomUUID } from 'node:crypto'
import type { Command } from 'commander'
import { EXIT_USAGE, readTextFile, type CommandContext } from '../../command-context.js'
import type { OperatorOptions } from '../../operator-client.js'
import { printOperatorResponse, withOperatorOptions } from '../../operator-command.js'

interface SubmitOptions extends OperatorOptions {
  readonly file: string
}

/** `fuchsiastage patch`: submits configuration patches and shows their outcome. */
export function addPatchCommand (program: Command, context: CommandContext): void {
  const patch = program.command('patch').description('Submit a configuration patch or show the outcome of one.')

  withOperatorOptions(patch.command('submit'))
    .description('Submit a patch from a JSON file: { baseVersion, operator, note, changes: [{ key, value }] }. The exit code is 0 only if the patch was accepted.')
    .requiredOption('--file <file>', 'patch as JSON; a patchId is generated if the file contains none')
    .addHelpText('after', '\nExample:\n  fuchsiastage patch submit --operators 127.0.0.1:7301 --token-file token --file lower-limit.json')
    .action(async (options: SubmitOptions) => await submit(options, context))

  withOperatorOptions(patch.command('outcome <patchId>'))
    .description('Show the outcome of a patch, for example after an undecided response.')
    .addHelpText('after', '\nExample:\n  fuchsiastage patch outcome 3f0c --operators 127.0.0.1:7301 --token-file token')
    .action(async (patchId: string, options: OperatorOptions) => {
      await printOperatorResponse(context, options, 'GET', `/configuration/patches/${encodeURIComponent(patchId)}`)
    })
}

async function submit (options: SubmitOptions, context: CommandContext): Promise<void> {
  const text = await readTextFile(options.file)
  if (text.isErr) {
    context.printError(text.error.message)
    context.setExitCode(EXIT_USAGE)
    return
  }
  let patch: object
  try {
    patch = JSON.parse(text.value) as object
  } catch (reason) {
    context.printError(`${options.file} is not valid JSON: ${reason instanceof Error ? reason.message : String(reason)}`)
    context.setExitCode(EXIT_USAGE)
    return
  }
  const patchWithId = { patchId: randomUUID(), ...patch }
  // The operator needs the id to query the outcome if the response is undecided or lost.
  context.printError(`patch id: ${patchWithId.patchId}`)
  await printOperatorResponse(context, options, 'POST', '/configuration/patches', patchWithId)
}
