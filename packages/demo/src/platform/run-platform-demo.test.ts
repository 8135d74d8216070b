import { execFile } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import test from 'ava'

const MAIN = fileURLToPath(new URL('main.js', import.meta.url))

test('the platform demo serves requests on loopback before and after a takeover of the order lease', async (t) => {
  const { stdout } = await promisify(execFile)(process.execPath, [MAIN])
  t.snapshot(stdout.split('\n').filter((line) => line !== '' && !line.startsWith('{')))
})
