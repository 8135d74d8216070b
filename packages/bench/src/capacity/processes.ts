import { fork, spawn, type ChildProcess } from 'node:child_process'
import { mkdtemp, rm, writeFile } from 'node:fs/promises'
import { createServer } from 'node:net'
import type { AddressInfo } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import { createSystemClock } from '@fuchsiastage/clock'
import { request } from 'undici'
import { FIXTURE_PEER_KEY } from './fixture-key.js'
import { DESIGN_SIZE, regionOf } from './fixtures.js'
import type { FixtureCounts, FixtureRequest } from './fixture-process.js'

const START_TIMEOUT_MILLISECONDS = 30_000
const READY_POLL_MILLISECONDS = 50
const clock = createSystemClock()

export interface FixtureProcess {
  readonly pid: number
  readonly request: <Value>(request: FixtureRequest) => Promise<Value>
  readonly counts: () => Promise<FixtureCounts>
  readonly stop: () => Promise<void>
}

/**
 * Starts a process that runs the counterparts of a measured process.
 *
 * @example
 * const fixture = startFixture()
 * const addresses = await fixture.request<readonly string[]>({ kind: 'start-targets', count: 32 })
 */
export function startFixture (): FixtureProcess {
  const child = fork(fileURLToPath(new URL('fixture-process.js', import.meta.url)))
  const pendingCalls = new Map<number, { readonly resolve: (value: unknown) => void, readonly reject: (reason: Error) => void }>()
  let nextId = 0
  child.on('message', (message: { readonly id: number, readonly value?: unknown, readonly error?: string }) => {
    const pendingCall = pendingCalls.get(message.id)
    pendingCalls.delete(message.id)
    if (message.error === undefined) pendingCall?.resolve(message.value)
    else pendingCall?.reject(new Error(message.error))
  })
  const sendRequest = async <Value>(fixtureRequest: FixtureRequest): Promise<Value> => await new Promise<unknown>((resolve, reject) => {
    const id = nextId++
    pendingCalls.set(id, { resolve, reject })
    child.send({ id, request: fixtureRequest })
  }) as Value
  return { pid: child.pid ?? 0, request: sendRequest, counts: () => sendRequest<FixtureCounts>({ kind: 'counts' }), stop: () => killProcess(child) }
}

async function killProcess (child: ChildProcess): Promise<void> {
  if (child.exitCode !== null) return
  const ended = new Promise<void>((resolve) => child.once('exit', () => resolve()))
  child.kill('SIGKILL')
  await ended
}

export interface DaemonProcess {
  readonly pid: number
  readonly callerAddress: string
  readonly peerAddress: string
  readonly stop: () => Promise<void>
  readonly output: () => string
}

export interface DaemonProcessOptions {
  readonly name: string
  readonly dataCentre: string
  readonly logAddress: string
  readonly listAddress: string
  readonly callerAddress: string
  readonly peerAddress: string
  /** Additional lines of settings by section. */
  readonly settings?: Readonly<Record<string, readonly string[]>>
}

/** Returns a loopback address with a port that was free when it was checked. */
export async function freeAddress (): Promise<string> {
  const server = createServer()
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  await new Promise<void>((resolve) => server.close(() => resolve()))
  return `127.0.0.1:${port}`
}

/**
 * Starts `fuchsiastage daemon` and waits until it is ready.
 *
 * @example
 * const daemon = await startDaemon({ name: 'entry-0000', dataCentre: 'dc-1', logAddress, listAddress, callerAddress, peerAddress })
 */
export async function startDaemon (options: DaemonProcessOptions): Promise<DaemonProcess> {
  const directory = await mkdtemp(join(tmpdir(), 'fuchsiastage-capacity-'))
  const operators = await freeAddress()
  const additionalLines = (section: string): readonly string[] => options.settings?.[section] ?? []
  const lines = [
    '[daemon]', `name = ${options.name}`, `region = ${regionOf(options.dataCentre)}`, `data-centre = ${options.dataCentre}`,
    '[listen]', `callers = ${options.callerAddress}`, `operators = ${operators}`, `peers = ${options.peerAddress}`,
    '[log-service]', `address = ${options.logAddress}`, ...additionalLines('log-service'),
    '[vm-list]', `address = ${options.listAddress}`, ...additionalLines('vm-list'),
    '[peers]', `key = ${FIXTURE_PEER_KEY}`,
    '[operators]', 'token = capacity-operator-token',
    '[weight-store]', 'loads-per-second = 100', 'concurrent-loads = 16',
    '[claims]', ...additionalLines('claims'),
    '[routing]', ...additionalLines('routing'),
    '[admission]', 'queue-length = 10000',
    '[logging]', 'level = warn',
    ...DESIGN_SIZE.dataCentres.flatMap((dataCentre) => [`[data-centre.${dataCentre}]`, `region = ${regionOf(dataCentre)}`, 'latency-milliseconds = 0.5'])
  ]
  const file = join(directory, 'daemon.ini')
  await writeFile(file, `${lines.join('\n')}\n`)
  const program = fileURLToPath(new URL('../../../cli/bin/fuchsiastage.js', import.meta.url))
  const child = spawn(process.execPath, [program, 'daemon', '--settings', file], { stdio: ['ignore', 'pipe', 'pipe'] })
  let output = ''
  const collectOutput = (chunk: Buffer): void => { output = (output + chunk.toString('utf8')).slice(-20_000) }
  child.stdout.on('data', collectOutput)
  child.stderr.on('data', collectOutput)
  const daemon: DaemonProcess = {
    pid: child.pid ?? 0,
    callerAddress: options.callerAddress,
    peerAddress: options.peerAddress,
    output: () => output,
    stop: async () => {
      await killProcess(child)
      await rm(directory, { recursive: true, force: true })
    }
  }
  try {
    await waitUntilReady(child, options.callerAddress)
  } catch (reason) {
    await daemon.stop()
    throw new Error(`${String(reason)}\n${output}`)
  }
  return daemon
}

async function waitUntilReady (child: ChildProcess, callerAddress: string): Promise<void> {
  const end = clock.now() + START_TIMEOUT_MILLISECONDS
  while (clock.now() < end) {
    if (child.exitCode !== null) throw new Error(`the daemon ended with exit code ${child.exitCode}`)
    try {
      const { statusCode, body } = await request(`http://${callerAddress}/health/ready`)
      await body.dump()
      if (statusCode === 200) return
    } catch {
      // The daemon is not listening yet.
    }
    await clock.sleep(READY_POLL_MILLISECONDS)
  }
  throw new Error('the daemon did not become ready before the start timeout')
}
