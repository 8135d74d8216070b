import { spawn } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { text } from 'node:stream/consumers'
import { fileURLToPath } from 'node:url'
import test from 'ava'

const PROGRAM = fileURLToPath(new URL('../../../bin/fuchsiastage.js', import.meta.url))

const ROUTE = { host: 'h', prefix: '/a/', kind: 'safe', service: 's' }
const SOUND = { version: 1, routes: [ROUTE], services: [{ name: 's' }], tenants: [{ name: 'c', keys: ['asnm7d20c4e1'] }] }
const FILES = {
  'sound.json': SOUND,
  'next.json': { ...SOUND, version: 2, tenants: [{ name: 'c', keys: ['k7b2f91e03aa'] }] },
  'warning.json': { ...SOUND, tenants: [{ name: 'c' }] },
  'error.json': { ...SOUND, routes: [{ ...ROUTE, service: 'gone' }] },
  'other-kind.json': { 'role/writer': {} }
}

const check = async (...options: readonly string[]) => {
  const directory = await mkdtemp(join(tmpdir(), 'configuration-check-'))
  try {
    for (const [name, document] of Object.entries(FILES)) await writeFile(join(directory, name), JSON.stringify(document))
    const child = spawn(process.execPath, [PROGRAM, 'configuration', 'check', ...options], { cwd: directory, stdio: ['ignore', 'pipe', 'pipe'] })
    const ended = new Promise<number | null>((resolve, reject) => { child.once('close', resolve).once('error', reject) })
    const [output, errors, exitCode] = await Promise.all([text(child.stdout), text(child.stderr), ended])
    return { output, errors, exitCode }
  } finally {
    await rm(directory, { recursive: true })
  }
}

test.serial('a script that applies a version on exit code 0 is stopped by errors and told of warnings', async (t) => {
  t.is((await check('sound.json')).exitCode, 0)
  t.is((await check('error.json')).exitCode, 1)
  t.is((await check('warning.json')).exitCode, 2)
  t.is((await check('sound.json', '--against', 'sound.json')).exitCode, 1)
})

test.serial('differences are no findings, and a changed key is shown by its position only', async (t) => {
  const { output, errors, exitCode } = await check('next.json', '--against', 'sound.json')
  t.is(exitCode, 0)
  t.is(errors, '')
  t.is(output, [
    'difference the document: version changed from 1 to 2',
    'difference tenants[0] (c): keys[0] replaced by another key',
    'next.json, version 2: 0 errors, 0 warnings',
    ''
  ].join('\n'))
})

test.serial('files that cannot be used are named, without a stack trace', async (t) => {
  for (const file of ['missing.json', 'other-kind.json', '.']) {
    const { output, errors, exitCode } = await check(file)
    t.is(exitCode, 1, file)
    t.true(output.startsWith(`error ${file}: the file: `), output)
    t.notRegex(output + errors, /\n +at /)
  }
})

test.serial('--json prints one JSON document, also for a file that is missing', async (t) => {
  const { output, exitCode } = await check('missing.json', '--json', '--against', 'sound.json')
  t.is(exitCode, 1)
  t.like(JSON.parse(output), { file: 'missing.json', version: null, against: { file: 'sound.json', version: 1 }, errors: 1, warnings: 0, differences: [] })
})
