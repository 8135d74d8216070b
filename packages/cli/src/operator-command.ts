import type { Command } from 'commander'
import { EXIT_FAILURE, type CommandContext } from './command-context.js'
import { callOperators, type OperatorAnswer, type OperatorOptions } from './operator-client.js'

/** Adds the options of every command that talks to the operators' interface. */
export function withOperatorOptions (command: Command): Command {
  return command
    .requiredOption('--operators <address>', 'operators\' address of any daemon, for example 127.0.0.1:7301')
    .requiredOption('--token-file <file>', 'file that holds the operator token')
}

/** Calls the interface, prints the answer as JSON and sets the exit code. */
export async function printOperatorAnswer (
  context: CommandContext,
  options: OperatorOptions,
  method: 'GET' | 'POST',
  path: string,
  body?: unknown
): Promise<OperatorAnswer | undefined> {
  const answer = await callOperators(options, method, path, body)
  if (answer.isErr) {
    context.printError(answer.error.message)
    context.setExitCode(EXIT_FAILURE)
    return undefined
  }
  context.print(JSON.stringify(answer.value.body, null, 2))
  if (answer.value.status !== 200) context.setExitCode(EXIT_FAILURE)
  return answer.value
}
