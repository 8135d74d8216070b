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
  parseDeployment,
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
  /** Receives one file of JSON lines for each process, and `runner.jsonl`. */
  readonly folder: string
  /** The command that starts the daemon of a VM; without it no daemon is started. */
  readonly daemon?: (vm: VmDescription, addresses: DeploymentAddresses) => ProcessCommand
  readonly readyMilliseconds?: Milliseconds
  readonly stopMilliseconds?: Milliseconds
}

/** A deployment whose stand-ins and daemons are separate processes. */
export interface RunningProcesses {
  readonly addresses: DeploymentAddresses
  readonly folder: string
  /** The running process of that name; throws when there is none of that name. */
  readonly process: (name: string) => RunningProcess
  readonly names: () => readonly string[]
  readonly pause: (name: string) => void
  readonly resume: (name: string) => void
  readonly kill: (name: string) => Promise<ProcessExit>
  /** Stops one process in an orderly way. */
  readonly stop: (name: string) => Promise<ProcessExit>
  /** Starts a process that has ended again, on the same address. */
  readonly restart: (name: string) => Promise<RunningProcess>
  /** Sends a control message to a stand-in. */
  readonly control: (name: string, change: JsonValue) => Promise<void>
  readonly counts: (name: string) => Promise<Readonly<Record<string, unknown>>>
  /** Stops the daemons first, then the stand-ins. */
  readonly stopAll: () => Promise<ReadonlyMap<string, ProcessExit>>
}

const DEFAULT_READY_MILLISECONDS = 20_000

/** A daemon waits out its grace period of 12 s and then its streams before it exits. */
const DEFAULT_STOP_MILLISECONDS = 30_000

const STAND_IN_PROGRAM = fileURLToPath(new URL('../bin/stand-in.js', import.meta.url))

type Launch = (address: string | undefined) => ProcessCommand

/**
 * Starts the stand-ins and daemons of a deployment as processes and waits until each is ready.
 *
 * @example
 * const running = await startProcesses(description, { clock, folder, daemon: (vm) => ({ command: process.execPath, arguments: ['fuchsiastage.js', 'daemon', '--settings', `${vm.name}.ini`] }) })
 * running.pause('entry-1')
 */
export async function startProcesses (given: DeploymentDescription, options: StartProcessesOptions): Promise<RunningProcesses> {
  const description = parseDeployment(given)
  const { clock, folder } = options
  mkdirSync(folder, { recursive: true })
  const runnerLog = join(folder, 'runner.jsonl')
  const logger = createLogger({ clock, process: 'runner', level: 'info', sink: (line) => appendFileSync(runnerLog, line + '\n') })
  const launches = new Map<string, Launch>()
  const running = new Map<string, RunningProcess>()

  const launch = async (name: string, address: string | undefined): Promise<RunningProcess> => {
    const command = launches.get(name)?.(address)
    if (command === undefined) throw new Error(`no process is named ${name}`)
    const started = await startProcess({
      ...command,
      name,
      logFile: join(folder, `${name}.jsonl`),
      clock,
      readyMilliseconds: options.readyMilliseconds ?? DEFAULT_READY_MILLISECONDS,
      stopMilliseconds: options.stopMilliseconds ?? DEFAULT_STOP_MILLISECONDS
    })
    running.set(name, started)
    logger.info('process started', { event: 'process-started', peer: name, pid: started.pid, address: started.address })
    void started.exited.then(({ code, signal }) => logger.info('process ended', { event: 'process-ended', peer: name, code, signal }))
    return started
  }
  const add = async (name: string, make: Launch): Promise<string> => {
    launches.set(name, make)
    return (await launch(name, undefined)).address
  }
  const find = (name: string): RunningProcess => {
    const found = running.get(name)
    if (found === undefined) throw new Error(`no process is named ${name}`)
    return found
  }

  const startPlatform = async (): Promise<DeploymentAddresses> => {
    const { logService: logOptions, weightStore: storeOptions, vmList: listOptions } = description
    const [logService, weightStore] = await allSettledOrThrow([
      add(LOG_SERVICE_NAME, (address) => standInCommand('log-service', LOG_SERVICE_NAME, address ?? logOptions.address, logOptions)),
      add(WEIGHT_STORE_NAME, (address) => standInCommand('weight-store', WEIGHT_STORE_NAME, address ?? storeOptions.address, storeOptions))
    ])
    const targets = await allSettledOrThrow(listTargets(description).map(async ({ vm, role }) => {
      const address = await add(vm.name, (known) => targetCommand(vm, role, known ?? vm.address, weightStore ?? ''))
      return [vm.name, address] as const
    }))
    const addresses = new Map(targets)
    const vmsFile = join(folder, 'vm-list.json')
    writeFileSync(vmsFile, JSON.stringify(createVmRecords(description, addresses), undefined, 2))
    const vmList = await add(VM_LIST_NAME, (address) => standInCommand('vm-list', VM_LIST_NAME, address ?? listOptions.address, { ...listOptions, vms: vmsFile }))
    return { logService: logService ?? '', weightStore: weightStore ?? '', vmList, targets: addresses }
  }
  const startDaemons = async (addresses: DeploymentAddresses): Promise<void> => {
    const { daemon } = options
    if (daemon === undefined) return
    const entries = description.vms.filter(({ role }) => role === ENTRY_ROLE)
    await allSettledOrThrow(entries.map((vm) => add(vm.name, () => daemon(vm, addresses))))
  }

  const stopAll = async (): Promise<ReadonlyMap<string, ProcessExit>> => {
    const entryNames = new Set(description.vms.filter(({ role }) => role === ENTRY_ROLE).map(({ name }) => name))
    const exits = new Map<string, ProcessExit>()
    const stopEach = (processes: readonly RunningProcess[]): Promise<unknown> =>
      Promise.all(processes.map(async (started) => exits.set(started.name, await started.stop())))
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
    process: find,
    names: () => [...running.keys()],
    pause: (name) => {
      logger.info('process paused', { event: 'process-paused', peer: name })
      find(name).pause()
    },
    resume: (name) => {
      logger.info('process resumed', { event: 'process-resumed', peer: name })
      find(name).resume()
    },
    kill: async (name) => {
      logger.info('process killed', { event: 'process-killed', peer: name })
      return await find(name).kill()
    },
    stop: (name) => {
      logger.info('process stopped', { event: 'process-stopping', peer: name })
      return find(name).stop()
    },
    restart: async (name) => {
      const former = find(name)
      if (!former.hasExited()) throw new Error(`process ${name} is still running`)
      return await launch(name, former.address)
    },
    control: async (name, change) => {
      const answer = await request(`http://${find(name).address}/control`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(change)
      })
      const body = await answer.body.text()
      if (answer.statusCode !== 200) throw new Error(`${name} refused the control message: ${body}`)
    },
    counts: async (name) => {
      const answer = await request(`http://${find(name).address}/counts`)
      return await answer.body.json() as Readonly<Record<string, unknown>>
    },
    stopAll
  }
}

/** Waits for all, so that no process is still starting when a failure is handled. */
async function allSettledOrThrow<Value> (promises: readonly Promise<Value>[]): Promise<readonly Value[]> {
  const results = await Promise.allSettled(promises)
  const failed = results.find((result) => result.status === 'rejected')
  if (failed !== undefined) throw failed.reason
  return results.flatMap((result) => result.status === 'fulfilled' ? [result.value] : [])
}

function standInCommand (kind: string, name: string, address: string | undefined, values: object): ProcessCommand {
  const flags = Object.entries(values).flatMap(([key, value]: [string, unknown]) => {
    if (NOT_FLAGS.has(key) || value === undefined) return []
    return [`--${toKebabCase(key)}`, typeof value === 'object' ? JSON.stringify(value) : String(value)]
  })
  return {
    command: process.execPath,
    arguments: [STAND_IN_PROGRAM, kind, '--listen', addressOrLoopback(address), '--name', name, ...flags]
  }
}

/** Fields of a description that are not options of the program. */
const NOT_FLAGS: ReadonlySet<string> = new Set(['kind', 'address', 'timing'])

function targetCommand (vm: VmDescription, role: RoleDescription, address: string, weightStore: string): ProcessCommand {
  if (role.kind === 'service') return standInCommand('service', vm.name, address, { ...role, serviceName: vm.role })
  const cachedWeights = { ...role.cachedWeights, ...vm.cachedWeights }
  return standInCommand('engine', vm.name, address, { ...role, ...role.timing, memoryMegabytes: vm.memoryMegabytes ?? role.memoryMegabytes, cachedWeights, weightStore })
}
