import type { Command } from 'commander'
import { EXIT_FAILURE, type CommandContext } from './command-context.js'
import { callOperators, type OperatorResponse, type OperatorOptions } from './operator-client.js'

/** Adds the options shared by all commands that call the operator interface. */
export function withOperatorOptions (command: Command): Command {
  return command
    .requiredOption('--operators <address>', 'address of the operator interface of any daemon, for example 127.0.0.1:7301')
    .requiredOption('--token-file <file>', 'file that contains the operator token')
}

/** Calls the operator interface, prints the response body as JSON and sets the exit code. */
export async function printOperatorResponse (
  context: CommandContext,
  options: OperatorOptions,
  method: 'GET' | 'POST',
  path: string,
  body?: unknown
): Promise<OperatorResponse | undefined> {
  const response = await callOperators(options, method, path, body)
  if (response.isErr) {
    context.printError(response.error.message)
    context.setExitCode(EXIT_FAILURE)
    return undefined
  }
  context.print(JSON.stringify(response.value.body, null, 2))
  if (response.value.status !== 200) context.setExitCode(EXIT_FAILURE)
  return response.value
}
