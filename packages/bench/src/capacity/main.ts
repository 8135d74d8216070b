/** Runs the `capacity` command on its own: `node packages/bench/dist/capacity/main.js capacity claims`. */
import { Command } from 'commander'
import { addCapacityCommand } from './index.js'

const program = new Command('bench')
addCapacityCommand(program)
await program.parseAsync()
