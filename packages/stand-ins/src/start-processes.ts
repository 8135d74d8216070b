import { appendFileSync, mkdirSync, writeFileSync } from 'node:fs'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'
import type { Clock } from '@fuchsiastage/clock'
import { createLogger } from '@fuchsiastage/logger'
import type { JsonValue, Milliseconds } from '@fuchsiastage/types'
import { request } from 'undici'
import { startProcess, type ProcessCommand, type ProcessExit, type RunningProcess } from './child-process.js'
import { toKebabCase } from './command.js'
import {
  addressOrLoopback,
  ENTRY_ROLE,
  LOG_SERVICE_NAME,
  parseDeploymentDescription,
  listTargets,
  VM_LIST_NAME,
  createVmRecords,
  WEIGHT_STORE_NAME,
  type DeploymentAddresses,
  type DeploymentDescription,
  type RoleDescription,
  type VmDescription
} from './deployment.js'

export interface StartProcessesOptions {
  readonly clock: Clock
  /** Directory of the logs: one JSON Lines file for each process, and `runner.jsonl` for the runner. */
  readonly folder: string
  /** Returns the command that starts the daemon of a VM. Without it, no daemons are started. */
  readonly daemon?: (vm: VmDescription, addresses: DeploymentAddresses) => ProcessCommand
  readonly readyMilliseconds?: Milliseconds
  readonly stopMilliseconds?: Milliseconds
}

/** A running deployment whose stand-ins and daemons are separate processes. */
export interface RunningProcesses {
  readonly addresses: DeploymentAddresses
  readonly folder: string
  /** Returns the process with the given name. Throws when there is none. */
  readonly process: (name: string) => RunningProcess
  readonly names: () => readonly string[]
  readonly pause: (name: string) => void
  readonly resume: (name: string) => void
  readonly kill: (name: string) => Promise<ProcessExit>
  /** Stops one process with SIGTERM, and with SIGKILL if it does not exit within `stopMilliseconds`. */
  readonly stop: (name: string) => Promise<ProcessExit>
  /** Starts an ended process again, on the same address. */
  readonly restart: (name: string) => Promise<RunningProcess>
  /** Sends a control message to a stand-in. Rejects when the stand-in refuses it. */
  readonly control: (name: string, change: JsonValue) => Promise<void>
  readonly counts: (name: string) => Promise<Readonly<Record<string, unknown>>>
  /** Stops the daemons first, then the stand-ins. */
  readonly stopAll: () => Promise<ReadonlyMap<string, ProcessExit>>
}

const DEFAULT_READY_MILLISECONDS = 20_000

/** Allows for the planned stop of a daemon, which by default waits 12 s until cached entry lists have expired, and then for its open streams. */
const DEFAULT_STOP_MILLISECONDS = 30_000

const STAND_IN_PROGRAM = fileURLToPath(new URL('../bin/stand-in.js', import.meta.url))

type BuildCommand = (address: string | undefined) => ProcessCommand

/**
 * Starts the stand-ins and daemons of a deployment as processes and waits until each is ready. If
 * one fails to start, the others are stopped.
 *
 * @example
 * const running = await startProcesses(description, { clock, folder, daemon: (vm) => ({ command: process.execPath, arguments: ['fuchsiastage.js', 'daemon', '--settings', `${vm.name}.ini`] }) })
 * running.pause('entry-1')
 */
export async function startProcesses (input: DeploymentDescription, options: StartProcessesOptions): Promise<RunningProcesses> {
  const description = parseDeploymentDescription(input)
  const { clock, folder } = options
  mkdirSync(folder, { recursive: true })
  const runnerLog = join(folder, 'runner.jsonl')
  const logger = createLogger({ clock, process: 'runner', level: 'info', sink: (line) => appendFileSync(runnerLog, line + '\n') })
  const commandBuilders = new Map<string, BuildCommand>()
  const running = new Map<string, RunningProcess>()

  const launch = async (name: string, address: string | undefined): Promise<RunningProcess> => {
    const command = commandBuilders.get(name)?.(address)
    if (command === undefined) throw new Error(`there is no process named ${name}`)
    const startedProcess = await startProcess({
      ...command,
      name,
      logFile: join(folder, `${name}.jsonl`),
      clock,
      readyMilliseconds: options.readyMilliseconds ?? DEFAULT_READY_MILLISECONDS,
      stopMilliseconds: options.stopMilliseconds ?? DEFAULT_STOP_MILLISECONDS
    })
    running.set(name, startedProcess)
    logger.info('process started', { event: 'process-started', peer: name, pid: startedProcess.pid, address: startedProcess.address })
    void startedProcess.exited.then(({ code, signal }) => logger.info('process ended', { event: 'process-ended', peer: name, code, signal }))
    return startedProcess
  }
  const launchNew = async (name: string, buildCommand: BuildCommand): Promise<string> => {
    commandBuilders.set(name, buildCommand)
    return (await launch(name, undefined)).address
  }
  const findProcess = (name: string): RunningProcess => {
    const runningProcess = running.get(name)
    if (runningProcess === undefined) throw new Error(`there is no process named ${name}`)
    return runningProcess
  }

  const startPlatform = async (): Promise<DeploymentAddresses> => {
    const { logService: logOptions, weightStore: storeOptions, vmList: listOptions } = description
    const [logService, weightStore] = await allSettledOrThrow([
      launchNew(LOG_SERVICE_NAME, (address) => standInCommand('log-service', LOG_SERVICE_NAME, address ?? logOptions.address, logOptions)),
      launchNew(WEIGHT_STORE_NAME, (address) => standInCommand('weight-store', WEIGHT_STORE_NAME, address ?? storeOptions.address, storeOptions))
    ])
    const targets = await allSettledOrThrow(listTargets(description).map(async ({ vm, role }) => {
      const address = await launchNew(vm.name, (previousAddress) => targetCommand(vm, role, previousAddress ?? vm.address, weightStore ?? ''))
      return [vm.name, address] as const
    }))
    const addresses = new Map(targets)
    const vmsFile = join(folder, 'vm-list.json')
    writeFileSync(vmsFile, JSON.stringify(createVmRecords(description, addresses), undefined, 2))
    const vmList = await launchNew(VM_LIST_NAME, (address) => standInCommand('vm-list', VM_LIST_NAME, address ?? listOptions.address, { ...listOptions, vms: vmsFile }))
    return { logService: logService ?? '', weightStore: weightStore ?? '', vmList, targets: addresses }
  }
  const startDaemons = async (addresses: DeploymentAddresses): Promise<void> => {
    const { daemon } = options
    if (daemon === undefined) return
    const entryVms = description.vms.filter(({ role }) => role === ENTRY_ROLE)
    await allSettledOrThrow(entryVms.map((vm) => launchNew(vm.name, () => daemon(vm, addresses))))
  }

  const stopAll = async (): Promise<ReadonlyMap<string, ProcessExit>> => {
    const entryNames = new Set(description.vms.filter(({ role }) => role === ENTRY_ROLE).map(({ name }) => name))
    const exits = new Map<string, ProcessExit>()
    const stopEach = (processes: readonly RunningProcess[]): Promise<unknown> =>
      Promise.all(processes.map(async (startedProcess) => exits.set(startedProcess.name, await startedProcess.stop())))
    await stopEach([...running.values()].filter(({ name }) => entryNames.has(name)))
    await stopEach([...running.values()].filter(({ name }) => !entryNames.has(name)))
    return exits
  }

  const startAll = async (): Promise<DeploymentAddresses> => {
    try {
      const addresses = await startPlatform()
      await startDaemons(addresses)
      return addresses
    } catch (reason) {
      await stopAll()
      throw reason
    }
  }

  const addresses = await startAll()
  return {
    addresses,
    folder,
    process: findProcess,
    names: () => [...running.keys()],
    pause: (name) => {
      logger.info('pausing process', { event: 'process-paused', peer: name })
      findProcess(name).pause()
    },
    resume: (name) => {
      logger.info('resuming process', { event: 'process-resumed', peer: name })
      findProcess(name).resume()
    },
    kill: async (name) => {
      logger.info('killing process', { event: 'process-killed', peer: name })
      return await findProcess(name).kill()
    },
    stop: (name) => {
      logger.info('stopping process', { event: 'process-stopping', peer: name })
      return findProcess(name).stop()
    },
    restart: async (name) => {
      const previousProcess = findProcess(name)
      if (!previousProcess.hasExited()) throw new Error(`process ${name} is still running`)
      return await launch(name, previousProcess.address)
    },
    control: async (name, change) => {
      const response = await request(`http://${findProcess(name).address}/control`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(change)
      })
      const body = await response.body.text()
      if (response.statusCode !== 200) throw new Error(`${name} refused the control message: ${body}`)
    },
    counts: async (name) => {
      const response = await request(`http://${findProcess(name).address}/counts`)
      return await response.body.json() as Readonly<Record<string, unknown>>
    },
    stopAll
  }
}

/** Like `Promise.all`, but waits for all promises to settle, so that no process is still starting when a failure is handled. */
async function allSettledOrThrow<Value> (promises: readonly Promise<Value>[]): Promise<readonly Value[]> {
  const results = await Promise.allSettled(promises)
  const failed = results.find((result) => result.status === 'rejected')
  if (failed !== undefined) throw failed.reason
  return results.flatMap((result) => result.status === 'fulfilled' ? [result.value] : [])
}

function standInCommand (kind: string, name: string, address: string | undefined, values: object): ProcessCommand {
  const flags = Object.entries(values).flatMap(([key, value]: [string, unknown]) => {
    if (FIELDS_WITHOUT_FLAG.has(key) || value === undefined) return []
    return [`--${toKebabCase(key)}`, typeof value === 'object' ? JSON.stringify(value) : String(value)]
  })
  return {
    command: process.execPath,
    arguments: [STAND_IN_PROGRAM, kind, '--listen', addressOrLoopback(address), '--name', name, ...flags]
  }
}

/** Fields of a description that have no command-line option in the program `stand-in`. */
const FIELDS_WITHOUT_FLAG: ReadonlySet<string> = new Set(['kind', 'address', 'timing'])

function targetCommand (vm: VmDescription, role: RoleDescription, address: string, weightStore: string): ProcessCommand {
  if (role.kind === 'service') return standInCommand('service', vm.name, address, { ...role, serviceName: vm.role })
  const cachedWeights = { ...role.cachedWeights, ...vm.cachedWeights }
  return standInCommand('engine', vm.name, address, { ...role, ...role.timing, memoryMegabytes: vm.memoryMegabytes ?? role.memoryMegabytes, cachedWeights, weightStore })
}
