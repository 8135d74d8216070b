import { Command, Option } from 'commander'
import { EXAMPLE_NAMES } from './example.js'
import { runDemo } from './run-demo.js'

const program = new Command('demo')
  .description('Start an example deployment as separate processes and demonstrate its behaviour.')
  .addOption(new Option('--example <name>', 'deployment to start').choices(EXAMPLE_NAMES).default('renewal-office'))
  .action(async (options: { readonly example: string }) => {
    process.exitCode = await runDemo(options.example) ? 0 : 1
  })
await program.parseAsync()
