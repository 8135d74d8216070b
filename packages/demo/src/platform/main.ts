import { runPlatformDemo } from './run-platform-demo.js'

const isSuccessful = await runPlatformDemo((line) => process.stdout.write(`${line}\n`))
// The servers of daemons that were not stopped would keep the process.
process.exit(isSuccessful ? 0 : 1)
