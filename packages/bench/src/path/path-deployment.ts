import { writeFileSync } from 'node:fs'
import { createHash } from 'node:crypto'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { Clock } from '@fuchsiastage/clock'
import { startProcesses, type RunningProcesses } from '@fuchsiastage/stand-ins'
import type { Milliseconds } from '@fuchsiastage/types'
import { request } from 'undici'

const COMMAND_LINE_PROGRAM = fileURLToPath(new URL('../../../cli/bin/fuchsiastage.js', import.meta.url))
const OPERATOR_TOKEN = 'path-bench-operator'
const CALLER_TOKEN = 'path-bench-caller'
const MODEL = 'path-bench'
const MEMORY_MEGABYTES = 1_000
const HTTP_OK = 200
const READY_ATTEMPTS = 600
const READY_POLL_MILLISECONDS = 100

export interface PathDeployment {
  readonly processes: RunningProcesses
  readonly daemonAddress: string
  readonly daemonPid: number
  readonly engines: readonly string[]
  readonly engineAddresses: readonly string[]
  readonly enginePids: readonly number[]
  readonly model: string
  readonly token: string
}

export interface PathDeploymentOptions {
  readonly clock: Clock
  readonly folder: string
  readonly engines: number
  readonly stepMilliseconds: Milliseconds
  readonly maximumConcurrent: number
  /** First of three consecutive free ports for the daemon. */
  readonly port: number
  readonly logLevel: 'info' | 'warn'
}

/**
 * Starts one daemon and several engines that all have the same model loaded.
 *
 * @example
 * const deployment = await startPathDeployment({ clock, folder, engines: 4, stepMilliseconds: 8, maximumConcurrent: 1_000, port: 17_900, logLevel: 'info' })
 */
export async function startPathDeployment (options: PathDeploymentOptions): Promise<PathDeployment> {
  const { clock, folder, port } = options
  const engines = Array.from({ length: options.engines }, (_, index) => `engine-${index + 1}`)
  const callers = `127.0.0.1:${port}`
  const operators = `127.0.0.1:${port + 1}`
  const peers = `127.0.0.1:${port + 2}`
  const processes = await startProcesses({
    name: 'path-bench',
    region: 'loopback',
    dataCentres: ['loopback-a'],
    roles: {
      engine: {
        kind: 'engine',
        fencing: 'checked',
        memoryMegabytes: 2 * MEMORY_MEGABYTES,
        maximumConcurrent: options.maximumConcurrent,
        // With a constant step time the token rate does not depend on how streams are distributed over the engines.
        timing: { stepMilliseconds: options.stepMilliseconds, stepGrowth: 0, prefillMillisecondsPerThousandCharacters: 0, loadReportLagMilliseconds: 100 }
      }
    },
    vms: [
      { name: 'entry-1', role: 'entry', dataCentre: 'loopback-a', address: callers, peerAddress: peers },
      ...engines.map((name) => ({ name, role: 'engine', dataCentre: 'loopback-a', address: '127.0.0.1:0' }))
    ],
    logService: {},
    vmList: { lagMilliseconds: 0 },
    weightStore: { loadsPerSecond: 100, concurrentLoads: 100 }
  }, {
    clock,
    folder,
    daemon: (_vm, addresses) => {
      const file = join(folder, 'entry-1.ini')
      writeFileSync(file, `[daemon]
name = entry-1
region = loopback
data-centre = loopback-a
[listen]
callers = ${callers}
operators = ${operators}
peers = ${peers}
[log-service]
address = ${addresses.logService}
[vm-list]
address = ${addresses.vmList}
[peers]
key = path-bench-peer-key
[operators]
token = ${OPERATOR_TOKEN}
[weight-store]
loads-per-second = 100
concurrent-loads = 100
[configuration]
member-list-difference = 0
[admission]
queue-length = 100000
[logging]
level = ${options.logLevel}
[data-centre.loopback-a]
region = loopback
latency-milliseconds = 0.1
`)
      return { command: process.execPath, arguments: [COMMAND_LINE_PROGRAM, 'daemon', '--settings', file] }
    }
  })
  try {
    await applyConfiguration(clock, operators, engines.length, options.maximumConcurrent)
    const engineAddresses = engines.map((name) => processes.process(name).address)
    await waitForLoadedModel(clock, engineAddresses)
    return {
      processes,
      daemonAddress: callers,
      daemonPid: processes.process('entry-1').pid,
      engines,
      engineAddresses,
      enginePids: engines.map((name) => processes.process(name).pid),
      model: MODEL,
      token: CALLER_TOKEN
    }
  } catch (reason) {
    await processes.stopAll()
    throw reason
  }
}

async function applyConfiguration (clock: Clock, operators: string, engines: number, maximumConcurrent: number): Promise<void> {
  const patch = {
    patchId: 'path-bench',
    baseVersion: 0,
    operator: 'bench',
    note: 'one model on every engine',
    changes: [
      { key: 'role/engine', value: { kind: 'engine', fencing: 'checked', memoryMegabytes: 2 * MEMORY_MEGABYTES, accelerators: 1, maximumConcurrent } },
      { key: `model/${MODEL}`, value: { role: 'engine', memoryMegabytes: MEMORY_MEGABYTES, weightsMegabytes: 10 } },
      { key: `rule/${MODEL}`, value: { dataCentres: ['loopback-a'], maximumReplicas: engines, minimumWarm: engines } },
      { key: 'caller/bench', value: { tokenSha256: createHash('sha256').update(CALLER_TOKEN).digest('hex'), priority: 'normal', weight: 1, maximumConcurrent: 100_000, requestsPerSecond: 100_000, deadlineMilliseconds: 600_000, models: ['*'], services: [] } }
    ]
  }
  let lastResponse = ''
  for (let attempt = 0; attempt < READY_ATTEMPTS; attempt++) {
    const response = await request(`http://${operators}/configuration/patches`, { method: 'POST', headers: { authorization: `Bearer ${OPERATOR_TOKEN}`, 'content-type': 'application/json' }, body: JSON.stringify(patch) })
    lastResponse = `${response.statusCode} ${await response.body.text()}`
    if (response.statusCode === HTTP_OK) return
    await clock.sleep(READY_POLL_MILLISECONDS)
  }
  throw new Error(`the daemon did not accept the configuration: ${lastResponse}`)
}

async function waitForLoadedModel (clock: Clock, addresses: readonly string[]): Promise<void> {
  for (let attempt = 0; attempt < READY_ATTEMPTS; attempt++) {
    const ready = await Promise.all(addresses.map(async (address) => {
      const response = await request(`http://${address}/v1/completions`, { method: 'POST', headers: { 'content-type': 'application/json', 'x-request-id': 'warm-up' }, body: JSON.stringify({ model: MODEL, prompt: 'warm-up', max_tokens: 1 }) })
      await response.body.dump()
      return response.statusCode === HTTP_OK
    }))
    if (ready.every(Boolean)) return
    await clock.sleep(READY_POLL_MILLISECONDS)
  }
  throw new Error('some engines did not load the model within the startup time')
}
