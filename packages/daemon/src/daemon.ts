import type { Clock } from '@fuchsiastage/clock'
import { createHttpLogService } from '@fuchsiastage/log-client'
import type { Logger } from '@fuchsiastage/logger'
import { createPeerClient, startPeerServer, type PeerServer } from '@fuchsiastage/peer'
import type { Settings } from '@fuchsiastage/settings'
import { startCallersServer, type HttpServer } from './callers-server.js'
import { createDaemonCore } from './daemon-core.js'
import { createMetrics, recordGauges } from './metrics.js'
import { startOperatorsServer } from './operators-server.js'
import { createPeerCalls } from './peer-calls.js'
import { runPlannedStop } from './planned-stop.js'
import { createTargetServices } from './target-services.js'

export interface DaemonOptions {
  readonly settings: Settings
  readonly clock: Clock
  readonly logger: Logger
  /** Returns uniformly distributed random numbers in [0, 1). */
  readonly random?: () => number
}

export interface DaemonAddresses {
  readonly callers: string
  readonly operators: string
  readonly peers: string
}

export interface Daemon {
  readonly start: () => Promise<DaemonAddresses>
  /**
   * Performs a planned stop: the daemon is removed from the entry lists, hands over its roles, and
   * stops after the last request has ended.
   */
  readonly stop: () => Promise<void>
}

const SUBMIT_TIMEOUT_MILLISECONDS = 20_000

/**
 * Creates a daemon: a process that routes requests and can hold any role.
 *
 * @example
 * const daemon = createDaemon({ settings, clock: createSystemClock(), logger })
 * const addresses = await daemon.start()
 */
export function createDaemon (options: DaemonOptions): Daemon {
  const { settings, clock, logger, random = Math.random } = options
  const metrics = createMetrics()
  const logService = createHttpLogService({
    url: `http://${settings.logService.address}`,
    appendTimeoutMilliseconds: settings.logService.appendTimeoutMilliseconds,
    readMarginMilliseconds: settings.logService.readMarginMilliseconds
  })
  const targets = createTargetServices(settings, clock)
  const peerClient = createPeerClient({ key: settings.peers.key, defaultTimeoutMilliseconds: settings.peers.timeoutMilliseconds })
  const core = createDaemonCore({
    settings,
    clock,
    logger,
    random,
    ports: {
      logService,
      targets,
      connectPeers: (lookups) => createPeerCalls({
        ...lookups,
        daemon: settings.daemon.name,
        client: peerClient,
        timeoutMilliseconds: settings.peers.timeoutMilliseconds,
        claimTimeoutMilliseconds: settings.claims.timeoutMilliseconds
      })
    }
  })
  core.onFirstByte((milliseconds) => metrics.firstByteSeconds.observe(milliseconds / 1_000))
  core.onDaemonsChanged((addresses) => peerClient.retain(addresses))

  let callers: HttpServer | undefined
  let operators: HttpServer | undefined
  let peers: PeerServer | undefined

  const start = async (): Promise<DaemonAddresses> => {
    peers = await startPeerServer({
      handlers: core.peerHandlers,
      acceptedKeys: [settings.peers.key, ...settings.peers.previousKey === undefined ? [] : [settings.peers.previousKey]],
      ...splitAddress(settings.listen.peers),
      logger
    })
    core.start()
    operators = await startOperatorsServer({
      ...splitAddress(settings.listen.operators),
      acceptedTokens: [settings.operators.token, ...settings.operators.previousToken === undefined ? [] : [settings.operators.previousToken]],
      logger,
      configuration: core.configuration,
      submitTimeoutMilliseconds: SUBMIT_TIMEOUT_MILLISECONDS,
      versionsInForce: core.versionsInForce,
      status: core.status
    })
    callers = await startCallersServer({
      ...splitAddress(settings.listen.callers),
      clock,
      logger,
      metrics,
      handle: core.handle,
      entries: core.entries,
      readiness: () => ({ isReady: core.isReady(), streams: core.streams(), version: core.configuration.version() }),
      collectMetrics: async () => {
        recordGauges(metrics, core.gauges())
        return await metrics.registry.metrics()
      }
    })
    return { callers: callers.address, operators: operators.address, peers: peers.address }
  }

  const stop = async (): Promise<void> => {
    logger.info('planned stop started', { event: 'stop-begins' })
    await runPlannedStop({ core, clock, settings, closeCallersServer: async () => { await callers?.close() } })
    await Promise.all([operators?.close(), peers?.close()])
    await Promise.all([peerClient.close(), targets.close(), logService.close()])
    logger.info('planned stop ended', { event: 'stop-ended' })
  }

  return { start, stop }
}

function splitAddress (address: string): { readonly host: string, readonly port: number } {
  const separator = address.lastIndexOf(':')
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) }
}
