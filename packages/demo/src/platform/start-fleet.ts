import { createServer, type AddressInfo } from 'node:net'
import type { Clock } from '@fuchsiastage/clock'
import { createError } from '@fuchsiastage/errors'
import { createMemoryPlatformLog, type EngineDefinition, type EngineModel, type KnownTarget, type MemoryPlatformLog, type ServingConfiguration, type ServingService, type TargetEntry } from '@fuchsiastage/fleet'
import { createDaemonMetrics, startFleetDaemon, type FleetDaemon, type FleetDaemonPorts } from '@fuchsiastage/fleet-daemon'
import { createMemoryLogger } from '@fuchsiastage/logger'
import { err, ok } from 'true-myth/result'
import { standInCodec } from './stand-in-codec.js'
import type { StandInTarget } from './stand-in-target.js'

export interface FleetDeployment {
  readonly configuration: ServingConfiguration
  readonly targets: readonly StandInTarget[]
  readonly daemons: number
}

/** A running daemon of the demo and its addresses. */
export interface StartedDaemon {
  readonly name: string
  readonly directoryAddress: string
  readonly frontAddress: string
  readonly stop: FleetDaemon['stop']
  /** Log lines that the daemon has written so far. */
  readonly lines: readonly string[]
}

const TOPICS = { configuration: 'configuration', configurationKey: 'newest', targets: 'targets', members: 'members', orders: 'orders', softwareVersions: 'software-versions', streamOrigins: 'stream-origins' }
/** Short quiescence period, so that the demo shows a takeover within seconds. */
const ORDER_QUIESCENCE_MILLISECONDS = 1_000

/**
 * Starts daemons on loopback with an in-memory log service and stand-in targets. Requests take the same
 * path as on the real platform, but with the header names of the stand-in codec.
 *
 * @example
 * const daemons = await startFleet({ configuration, targets: [engine], daemons: 3 }, createSystemClock())
 */
export async function startFleet (deployment: FleetDeployment, clock: Clock): Promise<readonly StartedDaemon[]> {
  const log = createMemoryPlatformLog(clock)
  await log.appendKeyed(TOPICS.configuration, TOPICS.configurationKey, encodeConfiguration(deployment.configuration))
  for (const target of deployment.targets) {
    const entry = target.entry()
    await log.appendKeyed(TOPICS.targets, entry.id, Buffer.from(JSON.stringify(entry)))
  }
  return await Promise.all(Array.from({ length: deployment.daemons }, async (_value, index) => await startDaemon(`entry-${index + 1}`, deployment.targets, log, clock)))
}

async function startDaemon (name: string, targets: readonly StandInTarget[], log: MemoryPlatformLog, clock: Clock): Promise<StartedDaemon> {
  const { logger, lines } = createMemoryLogger(clock, name)
  const [frontPort = 0, readyPort = 0, directoryPort = 0, peerPort = 0, metricsPort = 0] = await freePorts(5)
  const frontAddress = `127.0.0.1:${frontPort}`
  const directoryAddress = `127.0.0.1:${directoryPort}`
  const daemon = await startFleetDaemon({
    clock,
    logger,
    metrics: createDaemonMetrics(),
    metricsPort,
    ports: portsFor(targets, log),
    settings: () => ({
      vm: name,
      ip: '127.0.0.1',
      dataCentre: 'demo-a',
      peerPort,
      frontAddress,
      readyAddress: `127.0.0.1:${readyPort}`,
      directoryAddress,
      graceMilliseconds: 8_000,
      retryShare: 0.2,
      allowanceTolerance: { windowMilliseconds: 0, share: 0, units: 0 },
      machine: { memoryMegabytes: 160, fileDescriptors: 2200 },
      retrySlack: 20,
      retryWindowMilliseconds: 10_000,
      orderQuiescenceMilliseconds: ORDER_QUIESCENCE_MILLISECONDS,
      storeLoadWindowMilliseconds: 5_000,
      storeLoadTolerance: 1,
      maximumEntryLifetimeSeconds: 5
    })
  })
  return { name, directoryAddress, frontAddress, stop: daemon.stop, lines }
}

function portsFor (targets: readonly StandInTarget[], log: MemoryPlatformLog): FleetDaemonPorts {
  const find = (target: KnownTarget): StandInTarget | undefined => targets.find((one) => one.entry().id === target.entry.id)
  return {
    log,
    engines: {
      order: async (target, order) => find(target)?.order(order) ?? { kind: 'unanswered', reason: 'unknown engine' },
      report: async (target) => {
        const found = find(target)
        return found === undefined ? err(createError({ code: 'report-failed', message: 'unknown engine', step: 'report', peer: target.key })) : ok(found.report())
      }
    },
    codec: standInCodec,
    topics: TOPICS,
    decodeConfiguration: (bytes) => ok(decodeConfiguration(bytes)),
    decodeTargetEntry: (_id, bytes) => JSON.parse(bytes.toString()) as TargetEntry,
    paths: { ready: '/ready', entries: '/entries' },
    encodeEntries: (addresses, lifetimeSeconds) => ({ addresses, lifetimeSeconds })
  }
}

function encodeConfiguration (configuration: ServingConfiguration): Buffer {
  const services = [...configuration.services.values()].map((service) => ({
    ...service,
    engine: service.engine === undefined ? undefined : { ...service.engine, models: [...service.engine.models.values()] }
  }))
  return Buffer.from(JSON.stringify({ ...configuration, services }))
}

type EncodedService = Omit<ServingService, 'engine'> & { readonly engine?: Omit<EngineDefinition, 'models'> & { readonly models: readonly EngineModel[] } }

function decodeConfiguration (bytes: Buffer): ServingConfiguration {
  const decoded = JSON.parse(bytes.toString()) as Omit<ServingConfiguration, 'services'> & { readonly services: readonly EncodedService[] }
  return {
    ...decoded,
    services: new Map(decoded.services.map((service) => [service.name, {
      ...service,
      engine: service.engine === undefined ? undefined : { ...service.engine, models: new Map(service.engine.models.map((model) => [model.name, model])) }
    }]))
  }
}

/** Returns distinct free ports. All of them stay open until the last one is found, so that none is returned twice. */
async function freePorts (count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => createServer())
  await Promise.all(servers.map(async (server) => await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve))))
  const ports = servers.map((server) => (server.address() as AddressInfo).port)
  await Promise.all(servers.map(async (server) => await new Promise((resolve) => server.close(resolve))))
  return ports
}
