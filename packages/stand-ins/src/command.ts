import { readFileSync } from 'node:fs'
import { Command, InvalidArgumentError, Option } from 'commander'
import { createSystemClock, type Clock } from '@fuchsiastage/clock'
import { createLogger, LOG_LEVELS, type Logger, type LogLevel } from '@fuchsiastage/logger'
import { z } from 'zod'
import type { EngineStandInOptions, EngineTiming } from './engine-options.js'
import { DEFAULT_ENGINE_TIMING } from './engine-options.js'
import { createEngineStandIn } from './engine-stand-in.js'
import { parseAddress } from './fault-proxy.js'
import { LOOPBACK, type ListenOptions } from './http-server.js'
import { createLogStandIn } from './log-stand-in.js'
import { createServiceStandIn } from './service-stand-in.js'
import { createVmListStandIn, vmRecordSchema } from './vm-list-stand-in.js'
import { createWeightStoreStandIn, type OverLimit } from './weight-store-stand-in.js'

interface CommonOptions {
  readonly listen: ListenOptions
  readonly name?: string
  readonly logLevel: LogLevel
}

interface CommonParts {
  readonly clock: Clock
  readonly logger: Logger
  readonly listen: ListenOptions
}

interface Started {
  readonly address: string
  readonly close: () => Promise<void>
}

interface LogFlags extends CommonOptions {
  readonly appendsPerSecond?: number
  readonly retentionMilliseconds?: number
  readonly retentionRecords?: number
}

interface VmListFlags extends CommonOptions {
  readonly vms?: string
  readonly lagMilliseconds?: number
}

interface WeightStoreFlags extends CommonOptions {
  readonly loadsPerSecond: number
  readonly concurrentLoads: number
  readonly megabytesPerSecond?: number
  readonly overRate?: OverLimit
  readonly overConcurrency?: OverLimit
}

interface EngineFlags extends CommonOptions, Partial<EngineTiming>, Omit<EngineStandInOptions, 'clock' | 'logger' | 'listen' | 'timing'> {}

interface ServiceFlags extends CommonOptions {
  readonly serviceName?: string
  readonly callMilliseconds?: number
  readonly maximumConcurrent?: number
  readonly loadReportLagMilliseconds?: number
}

const FENCING = ['checked', 'ignored']
const OVER_LIMIT = ['slow', 'refuse']
const cachedWeights = z.record(z.string(), z.enum(['memory', 'disk', 'remote']))

/**
 * Builds the program `stand-in`, which runs one stand-in as a process.
 *
 * @example
 * await createCommand().parseAsync(process.argv)
 */
export function createCommand (): Command {
  const program = new Command('stand-in').description('Runs one stand-in of the platform as a process.')

  const add = <Flags extends CommonOptions> (kind: string, description: string, options: readonly Option[], start: (flags: Flags, common: CommonParts) => Promise<Started>): void => {
    const command = program.command(kind).description(description)
      .addOption(new Option('--listen <address>', 'IP address and port; port 0 takes a free one').argParser(listenArgument).default(LOOPBACK, '127.0.0.1:0'))
      .option('--name <name>', 'name of the process in its log lines')
      .addOption(new Option('--log-level <level>', 'least level of log lines').choices(LOG_LEVELS).default('info'))
    for (const option of options) command.addOption(option)
    command.action((flags: Flags) => run(kind, flags, (common) => start(flags, common)))
  }

  add<LogFlags>('log-service', 'append-only log service', [
    numberOption('--appends-per-second <number>', 'limit over all streams'),
    numberOption('--retention-milliseconds <number>', 'age at which records are dropped'),
    numberOption('--retention-records <number>', 'records kept for each stream')
  ], (flags, common) => createLogStandIn({ ...flags, ...common }))

  add<VmListFlags>('vm-list', 'list of VMs', [
    new Option('--vms <file>', 'JSON file with an array of VM records'),
    numberOption('--lag-milliseconds <number>', 'age of the view that is answered')
  ], (flags, common) => createVmListStandIn({
    ...common,
    lagMilliseconds: flags.lagMilliseconds ?? 0,
    vms: flags.vms === undefined ? [] : z.array(vmRecordSchema).parse(JSON.parse(readFileSync(flags.vms, 'utf8')))
  }))

  add<WeightStoreFlags>('weight-store', 'weight store', [
    numberOption('--loads-per-second <number>', 'downloads that may start in a second').makeOptionMandatory(),
    numberOption('--concurrent-loads <number>', 'downloads at full speed at once').makeOptionMandatory(),
    numberOption('--megabytes-per-second <number>', 'full speed of one download'),
    new Option('--over-rate <kind>', 'beyond the rate').choices(OVER_LIMIT),
    new Option('--over-concurrency <kind>', 'beyond the concurrency').choices(OVER_LIMIT)
  ], (flags, common) => createWeightStoreStandIn({ ...flags, ...common }))

  add<EngineFlags>('engine', 'model engine', [
    numberOption('--memory-megabytes <number>', 'accelerator memory').makeOptionMandatory(),
    numberOption('--maximum-concurrent <number>', 'requests accepted at once').makeOptionMandatory(),
    numberOption('--maximum-batch <number>', 'requests decoded at once'),
    new Option('--fencing <kind>', 'whether old fencing tokens are refused').choices(FENCING).makeOptionMandatory(),
    new Option('--weight-store <address>', 'address of the weight store'),
    new Option('--cached-weights <json>', 'JSON object: location by model').argParser((text) => cachedWeights.parse(JSON.parse(text))),
    numberOption('--host-memory-megabytes <number>', 'weights kept in host memory'),
    numberOption('--disk-megabytes <number>', 'weights kept on disk'),
    numberOption('--prefix-cache-entries <number>', 'prompt prefixes kept'),
    numberOption('--cache-event-gap-every <number>', 'each n-th cache event is not shown'),
    ...Object.entries(DEFAULT_ENGINE_TIMING).map(([key, value]) => numberOption(`--${toKebabCase(key)} <number>`, `timing; default ${value}`))
  ], (flags, common) => createEngineStandIn({ ...flags, ...common, timing: timingOf(flags) }))

  add<ServiceFlags>('service', 'plain service', [
    new Option('--service-name <name>', 'named in the answers'),
    numberOption('--call-milliseconds <number>', 'time that a call takes'),
    numberOption('--maximum-concurrent <number>', 'calls run at once'),
    numberOption('--load-report-lag-milliseconds <number>', 'age of the load report')
  ], (flags, common) => createServiceStandIn({ ...flags, ...common, ...(flags.serviceName === undefined ? {} : { name: flags.serviceName }) }))

  return program
}

/** Starts the stand-in, says where it listens, and closes it on SIGTERM or SIGINT. */
async function run (kind: string, flags: CommonOptions, start: (common: CommonParts) => Promise<Started>): Promise<void> {
  const clock = createSystemClock()
  const logger = createLogger({ clock, process: flags.name ?? kind, level: flags.logLevel })
  const standIn = await start({ clock, logger, listen: flags.listen })
  const stop = (): void => {
    // Nothing of the process's own keeps running after the close; the exit code stays zero.
    void standIn.close().then(() => logger.info('stopped', { event: 'stopped' }))
  }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
  // The runner waits for this line, so it is written at every log level.
  process.stdout.write(JSON.stringify({ time: clock.wallNow(), process: flags.name ?? kind, level: 'info', message: 'listening', event: 'listening', address: standIn.address }) + '\n')
}

function timingOf (flags: Partial<EngineTiming>): Partial<EngineTiming> {
  const keys = Object.keys(DEFAULT_ENGINE_TIMING) as (keyof EngineTiming)[]
  return Object.fromEntries(keys.filter((key) => flags[key] !== undefined).map((key) => [key, flags[key]]))
}

function numberOption (flags: string, description: string): Option {
  return new Option(flags, description).argParser((text) => {
    const value = Number(text)
    if (text.trim() === '' || !Number.isFinite(value) || value < 0) throw new InvalidArgumentError('Expected a number from zero on.')
    return value
  })
}

function listenArgument (text: string): ListenOptions {
  try {
    return parseAddress(text)
  } catch {
    throw new InvalidArgumentError('Expected IP:PORT.')
  }
}

/**
 * The command-line form of an option's name.
 *
 * @example
 * toKebabCase('memoryMegabytes')
 */
export function toKebabCase (name: string): string {
  return name.replaceAll(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)
}
