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

interface CommonFlags {
  readonly listen: ListenOptions
  readonly name?: string
  readonly logLevel: LogLevel
}

interface CommonOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly listen: ListenOptions
}

interface StartedStandIn {
  readonly address: string
  readonly close: () => Promise<void>
}

interface LogFlags extends CommonFlags {
  readonly appendsPerSecond?: number
  readonly retentionMilliseconds?: number
  readonly retentionRecords?: number
}

interface VmListFlags extends CommonFlags {
  readonly vms?: string
  readonly lagMilliseconds?: number
}

interface WeightStoreFlags extends CommonFlags {
  readonly loadsPerSecond: number
  readonly concurrentLoads: number
  readonly megabytesPerSecond?: number
  readonly overRate?: OverLimit
  readonly overConcurrency?: OverLimit
}

interface EngineFlags extends CommonFlags, Partial<EngineTiming>, Omit<EngineStandInOptions, 'clock' | 'logger' | 'listen' | 'timing'> {}

interface ServiceFlags extends CommonFlags {
  readonly serviceName?: string
  readonly callMilliseconds?: number
  readonly maximumConcurrent?: number
  readonly loadReportLagMilliseconds?: number
}

const FENCING_KINDS = ['checked', 'ignored']
const OVER_LIMIT_KINDS = ['slow', 'refuse']
const cachedWeightsSchema = z.record(z.string(), z.enum(['memory', 'disk', 'remote']))

/**
 * Builds the program `stand-in`, which runs one stand-in as a process.
 *
 * @example
 * await createCommand().parseAsync(process.argv)
 */
export function createCommand (): Command {
  const program = new Command('stand-in').description('Run one stand-in for a platform service or a target as a process.')

  const addStandInCommand = <Flags extends CommonFlags> (kind: string, description: string, options: readonly Option[], start: (flags: Flags, commonOptions: CommonOptions) => Promise<StartedStandIn>): void => {
    const command = program.command(kind).description(description)
      .addOption(new Option('--listen <address>', 'IP address and port to listen on; port 0 selects a free port').argParser(parseListenAddress).default(LOOPBACK, '127.0.0.1:0'))
      .option('--name <name>', 'process name in the log lines')
      .addOption(new Option('--log-level <level>', 'minimum level of log lines').choices(LOG_LEVELS).default('info'))
    for (const option of options) command.addOption(option)
    command.action((flags: Flags) => runUntilSignal(kind, flags, (commonOptions) => start(flags, commonOptions)))
  }

  addStandInCommand<LogFlags>('log-service', 'append-only log service', [
    numberOption('--appends-per-second <number>', 'maximum number of appends per second across all streams'),
    numberOption('--retention-milliseconds <number>', 'maximum age of records; older ones are removed'),
    numberOption('--retention-records <number>', 'maximum number of records in each stream')
  ], (flags, commonOptions) => createLogStandIn({ ...flags, ...commonOptions }))

  addStandInCommand<VmListFlags>('vm-list', 'VM list', [
    new Option('--vms <file>', 'JSON file with an array of VM records'),
    numberOption('--lag-milliseconds <number>', 'age of the list that is returned')
  ], (flags, commonOptions) => createVmListStandIn({
    ...commonOptions,
    lagMilliseconds: flags.lagMilliseconds ?? 0,
    vms: flags.vms === undefined ? [] : z.array(vmRecordSchema).parse(JSON.parse(readFileSync(flags.vms, 'utf8')))
  }))

  addStandInCommand<WeightStoreFlags>('weight-store', 'weight store', [
    numberOption('--loads-per-second <number>', 'maximum number of downloads that start per second').makeOptionMandatory(),
    numberOption('--concurrent-loads <number>', 'maximum number of concurrent downloads at full speed').makeOptionMandatory(),
    numberOption('--megabytes-per-second <number>', 'speed of one download at full speed'),
    new Option('--over-rate <kind>', 'treatment of downloads beyond --loads-per-second').choices(OVER_LIMIT_KINDS),
    new Option('--over-concurrency <kind>', 'treatment of downloads beyond --concurrent-loads').choices(OVER_LIMIT_KINDS)
  ], (flags, commonOptions) => createWeightStoreStandIn({ ...flags, ...commonOptions }))

  addStandInCommand<EngineFlags>('engine', 'model engine', [
    numberOption('--memory-megabytes <number>', 'accelerator memory').makeOptionMandatory(),
    numberOption('--maximum-concurrent <number>', 'maximum number of running and waiting requests').makeOptionMandatory(),
    numberOption('--maximum-batch <number>', 'maximum number of requests in the batch'),
    new Option('--fencing <kind>', 'whether orders with an old fencing token are refused').choices(FENCING_KINDS).makeOptionMandatory(),
    new Option('--weight-store <address>', 'address of the weight store'),
    new Option('--cached-weights <json>', 'JSON object of weight locations by model').argParser((text) => cachedWeightsSchema.parse(JSON.parse(text))),
    numberOption('--host-memory-megabytes <number>', 'capacity for weights in host memory'),
    numberOption('--disk-megabytes <number>', 'capacity for weights on disk'),
    numberOption('--prefix-cache-entries <number>', 'maximum number of cached prompt prefixes'),
    numberOption('--cache-event-gap-every <number>', 'every n-th cache event is not published'),
    ...Object.entries(DEFAULT_ENGINE_TIMING).map(([key, value]) => numberOption(`--${toKebabCase(key)} <number>`, `timing parameter; default ${value}`))
  ], (flags, commonOptions) => createEngineStandIn({ ...flags, ...commonOptions, timing: pickTiming(flags) }))

  addStandInCommand<ServiceFlags>('service', 'plain service', [
    new Option('--service-name <name>', 'service name in the responses'),
    numberOption('--call-milliseconds <number>', 'duration of a call'),
    numberOption('--maximum-concurrent <number>', 'maximum number of concurrent calls'),
    numberOption('--load-report-lag-milliseconds <number>', 'age of the load report')
  ], (flags, commonOptions) => createServiceStandIn({ ...flags, ...commonOptions, ...(flags.serviceName === undefined ? {} : { name: flags.serviceName }) }))

  return program
}

/** Starts a stand-in, logs its address, and closes it on SIGTERM or SIGINT. */
async function runUntilSignal (kind: string, flags: CommonFlags, start: (commonOptions: CommonOptions) => Promise<StartedStandIn>): Promise<void> {
  const clock = createSystemClock()
  const logger = createLogger({ clock, process: flags.name ?? kind, level: flags.logLevel })
  const standIn = await start({ clock, logger, listen: flags.listen })
  const stop = (): void => {
    // After the close nothing keeps the event loop running, so the process exits with code zero.
    void standIn.close().then(() => logger.info('stopped', { event: 'stopped' }))
  }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
  // `startProcess` waits for this line, so it is written regardless of the log level.
  process.stdout.write(JSON.stringify({ time: clock.wallNow(), process: flags.name ?? kind, level: 'info', message: 'listening', event: 'listening', address: standIn.address }) + '\n')
}

function pickTiming (flags: Partial<EngineTiming>): Partial<EngineTiming> {
  const keys = Object.keys(DEFAULT_ENGINE_TIMING) as (keyof EngineTiming)[]
  return Object.fromEntries(keys.filter((key) => flags[key] !== undefined).map((key) => [key, flags[key]]))
}

function numberOption (flags: string, description: string): Option {
  return new Option(flags, description).argParser((text) => {
    const value = Number(text)
    if (text.trim() === '' || !Number.isFinite(value) || value < 0) throw new InvalidArgumentError('Expected a non-negative number.')
    return value
  })
}

function parseListenAddress (text: string): ListenOptions {
  try {
    return parseAddress(text)
  } catch {
    throw new InvalidArgumentError('Expected IP:PORT.')
  }
}

/**
 * Converts the name of an option to the spelling of its command-line flag.
 *
 * @example
 * toKebabCase('memoryMegabytes')
 */
export function toKebabCase (name: string): string {
  return name.replaceAll(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)
}
