import { loadLimitedTarget } from './load-limited-target.js'

for (const targets of [1, 2] as const) process.stdout.write(`${JSON.stringify(await loadLimitedTarget(targets))}\n`)
// The daemons of the load run until the process ends.
process.exit(0)
