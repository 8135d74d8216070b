import { runPlatformDemo } from './run-platform-demo.js'

const isSuccessful = await runPlatformDemo((line) => process.stdout.write(`${line}\n`))
// The servers of the daemons that are still running would keep the process alive.
process.exit(isSuccessful ? 0 : 1)
