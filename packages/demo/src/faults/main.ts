import { Command, InvalidArgumentError, Option } from 'commander'
import { EXAMPLE_NAMES } from '../example.js'
import { FAULTS } from './faults.js'
import { runFaults, type RunFaultsOptions } from './run-faults.js'

const program = new Command('faults')
  .description('Inject faults into an example deployment of separate processes and check the outcomes that callers get.')
  .addOption(new Option('--example <name>', 'deployment to start').choices(EXAMPLE_NAMES).default('renewal-office'))
  .addOption(new Option('--only <name>', 'run only this fault').choices(FAULTS.map(({ name }) => name)))
  .addOption(new Option('--port-shift <number>', 'added to every port of the example').argParser(parsePortShift).default(0))
  .action(async (options: RunFaultsOptions) => {
    process.exitCode = await runFaults(options) ? 0 : 1
  })
await program.parseAsync()

function parsePortShift (text: string): number {
  const value = Number(text)
  if (!Number.isInteger(value)) throw new InvalidArgumentError('expected a whole number')
  return value
}
