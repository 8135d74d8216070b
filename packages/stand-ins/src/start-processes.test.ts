import { mkdtempSync, readFileSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import test, { type ExecutionContext } from 'ava'
import { createSystemClock } from '@fuchsiastage/clock'
import type { ProcessCommand } from './child-process.js'
import { startProcess } from './child-process.js'
import type { DeploymentDescription } from './deployment.js'
import { createTestClient, waitUntil } from './http-test-client.js'
import { startProcesses } from './start-processes.js'

const clock = createSystemClock()

const description: DeploymentDescription = {
  name: 'small',
  region: 'bc-coast',
  dataCentres: ['van-a'],
  roles: {
    drafter: { kind: 'engine', fencing: 'checked', memoryMegabytes: 100, maximumConcurrent: 4, cachedWeights: { a: 'disk' }, timing: { unloadMilliseconds: 1 } },
    ledger: { kind: 'service', callMilliseconds: 0 }
  },
  vms: [
    { name: 'entry-1', role: 'entry', dataCentre: 'van-a', address: '127.0.0.1:1' },
    { name: 'drafter-1', role: 'drafter', dataCentre: 'van-a', address: '127.0.0.1:0' },
    { name: 'ledger-1', role: 'ledger', dataCentre: 'van-a', address: '127.0.0.1:0' }
  ],
  logService: { appendsPerSecond: 300 },
  vmList: { lagMilliseconds: 0 },
  weightStore: { loadsPerSecond: 2, concurrentLoads: 4 }
}

function createFolder (t: ExecutionContext): string {
  const folder = mkdtempSync(join(tmpdir(), 'stand-ins-'))
  t.teardown(() => rmSync(folder, { recursive: true }))
  return folder
}

function scriptCommand (source: string): ProcessCommand {
  return { command: process.execPath, arguments: ['-e', source] }
}

const LISTENING = 'console.log(JSON.stringify({ event: "listening", address: "127.0.0.1:1" }));'
const RUN_FOREVER = 'setInterval(() => {}, 1000);'

function start (folder: string, command: ProcessCommand, stopMilliseconds = 20_000) {
  return startProcess({ ...command, name: 'script', logFile: join(folder, 'script.jsonl'), clock, readyMilliseconds: 20_000, stopMilliseconds })
}

function readLogLines (folder: string, name: string): readonly Record<string, unknown>[] {
  return readFileSync(join(folder, `${name}.jsonl`), 'utf8').trimEnd().split('\n').map((line) => JSON.parse(line) as Record<string, unknown>)
}

/** Returns the state letter of a process from `/proc`; `T` means stopped by a signal. */
function processState (pid: number): string | undefined {
  return /\) (\w) /.exec(readFileSync(`/proc/${pid}/stat`, 'utf8'))?.[1]
}

test('the processes of a deployment can be controlled, killed, restarted and stopped', async (t) => {
  const folder = createFolder(t)
  const running = await startProcesses(description, {
    clock,
    folder,
    daemon: (vm, addresses) => scriptCommand(`console.log(JSON.stringify({ event: 'addresses', logService: '${addresses.logService}' }));${LISTENING}${RUN_FOREVER}`)
  })
  t.teardown(async () => { await running.stopAll() })
  t.deepEqual([...running.names()].sort(), ['drafter-1', 'entry-1', 'ledger-1', 'log-service', 'vm-list', 'weight-store'])

  const client = createTestClient(running.addresses.targets.get('drafter-1') ?? '')
  t.teardown(client.close)
  const before = (await client.send('/state')).json
  t.deepEqual([before.memoryMegabytes, before.cachedWeights], [100, { a: 'disk' }])

  await running.control('drafter-1', { state: 'leaving' })
  t.is((await client.send('/state')).json.state, 'leaving')
  await t.throwsAsync(running.control('drafter-1', { unknown: true }), { message: /refused the control message/ })

  t.is((await running.kill('drafter-1')).signal, 'SIGKILL')
  await running.restart('drafter-1')
  const after = (await client.send('/state')).json
  t.deepEqual([after.state, after.incarnation === before.incarnation], ['live', false])
  t.is((await running.counts('ledger-1')).runs, 0)

  const exits = await running.stopAll()
  t.deepEqual(exits.get('entry-1'), { code: null, signal: 'SIGTERM' })
  t.deepEqual([...exits].filter(([name]) => name !== 'entry-1').map(([, exit]) => exit), Array.from({ length: 5 }, () => ({ code: 0, signal: null })))
  t.is(readLogLines(folder, 'entry-1')[0]?.logService, running.addresses.logService)
  t.deepEqual(readLogLines(folder, 'drafter-1').map(({ event }) => event), ['listening', 'stand-in-control', 'listening', 'stopped'])
  t.true(readLogLines(folder, 'runner').some(({ event, peer }) => event === 'process-killed' && peer === 'drafter-1'))
})

test('a paused process does not respond until it is resumed', async (t) => {
  const folder = createFolder(t)
  const running = await startProcesses({ ...description, vms: [] }, { clock, folder })
  t.teardown(async () => { await running.stopAll() })
  const { pid } = running.process('log-service')
  running.pause('log-service')
  await waitUntil(() => processState(pid) === 'T')
  const counts = running.counts('log-service')
  running.resume('log-service')
  t.is((await counts).appends, 0)
  t.not(processState(pid), 'T')
})

test('a paused process can be stopped', async (t) => {
  const started = await start(createFolder(t), scriptCommand(LISTENING + RUN_FOREVER))
  started.pause()
  await waitUntil(() => processState(started.pid) === 'T')
  t.is((await started.stop()).signal, 'SIGTERM')
})

test('a process that ignores SIGTERM is killed after the stop timeout', async (t) => {
  const started = await start(createFolder(t), scriptCommand(`process.on('SIGTERM', () => {});${LISTENING}${RUN_FOREVER}`), 50)
  t.is((await started.stop()).signal, 'SIGKILL')
})

test('a start fails with the last output lines when the process exits before it listens', async (t) => {
  const folder = createFolder(t)
  const error = await t.throwsAsync(start(folder, scriptCommand('console.error("settings are wrong"); process.exit(2)')))
  t.regex(error?.message ?? '', /code 2.*settings are wrong/s)
  t.like(readLogLines(folder, 'script')[0], { process: 'script', level: 'error', message: 'settings are wrong', stream: 'stderr' })
})

test('a start fails when the program does not exist', async (t) => {
  await t.throwsAsync(start(createFolder(t), { command: '/nonexistent/program', arguments: [] }), { message: /ENOENT/ })
})

test('a process that never listens is killed after the ready timeout', async (t) => {
  const folder = createFolder(t)
  await t.throwsAsync(startProcess({ ...scriptCommand(RUN_FOREVER), name: 'script', logFile: join(folder, 'script.jsonl'), clock, readyMilliseconds: 50, stopMilliseconds: 50 }), { message: /did not listen/ })
})

test('when one daemon fails to start, all started processes are stopped', async (t) => {
  const folder = createFolder(t)
  await t.throwsAsync(startProcesses(description, { clock, folder, daemon: () => scriptCommand('process.exit(2)') }), { message: /entry-1/ })
  const events = readLogLines(folder, 'runner').map(({ event }) => event)
  t.is(events.filter((event) => event === 'process-started').length, events.filter((event) => event === 'process-ended').length)
})
