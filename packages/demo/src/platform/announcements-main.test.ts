import { execFile } from 'node:child_process'
import { fileURLToPath } from 'node:url'
import { promisify } from 'node:util'
import test from 'ava'

const MAIN = fileURLToPath(new URL('announcements-main.js', import.meta.url))

test('real daemons keep to the announcements of targets and reject a request that ends them', async (t) => {
  const { stdout } = await promisify(execFile)(process.execPath, [MAIN])
  t.snapshot(stdout.split('\n').filter((line) => line !== '' && !line.startsWith('{')))
})
