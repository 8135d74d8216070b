import { execFile } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import test from 'ava'

const MAIN = fileURLToPath(new URL('main.js', import.meta.url))

test('the whole path of the platform serves on loopback, through a change of the lease holder', async (t) => {
  const { stdout } = await promisify(execFile)(process.execPath, [MAIN])
  t.snapshot(stdout.split('\n').filter((line) => line !== '' && !line.startsWith('{')))
})
