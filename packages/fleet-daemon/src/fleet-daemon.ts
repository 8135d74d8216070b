import type { Clock } from '@fuchsiastage/clock'
import {
  createConfigurationHolder, createKeyedFollower, createMemberDirectory, createTargetDirectory,
  type KeyedRecord, type Member, type PlatformLog, type ServingConfiguration, type TargetEntry
} from '@fuchsiastage/fleet'
import { createFleetPeerClient, startFleetPeerServer, type PassedDocument } from '@fuchsiastage/fleet-peer'
import { createForwarder, createSender, type HeaderCodec } from '@fuchsiastage/forwarding'
import type { Logger } from '@fuchsiastage/logger'
import { createPlacementController, type EnginePort } from '@fuchsiastage/model-placement'
import { createOrderLease } from '@fuchsiastage/order-lease'
import type { Milliseconds } from '@fuchsiastage/types'
import { watchClocks } from './clock-watch.js'
import type { DaemonMetrics } from './daemon-metrics.js'
import { startFrontServer } from './front-server.js'
import { decodeMember, encodeMember } from './member-record.js'
import { createPeerExchange } from './peer-exchange.js'
import { createPlacementRequests } from './placement-requests.js'
import { ENTRY_LIFETIME_SECONDS, splitAddress, startPlatformServers } from './platform-servers.js'

/** Settings of a daemon; bounds may change while it runs, addresses only with its next start. */
export interface FleetDaemonSettings {
  readonly vm: string
  readonly ip: string
  readonly dataCentre: string
  readonly peerPort: number
  readonly frontAddress: string
  readonly readyAddress: string
  readonly directoryAddress: string | undefined
  /** Time between the signal to stop and the end of the process by force. */
  readonly graceMilliseconds: Milliseconds
  /** Extra arrivals at a service that all daemons together may cause in the window: a share of the requests, and the slack. */
  readonly retryShare: number
  readonly retrySlack: number
  readonly retryWindowMilliseconds: Milliseconds
  /** Least time between orders of two machines to one target. */
  readonly orderTurnMilliseconds: Milliseconds
  readonly storeLoadWindowMilliseconds: Milliseconds
  /** Factor on the weight store's rate within the window. */
  readonly storeLoadTolerance: number
  readonly maximumEntryLifetimeSeconds: number
}

/** All that the daemon needs of the platform; the names on the wire stay behind it. */
export interface FleetDaemonPorts {
  readonly log: PlatformLog
  readonly engines: EnginePort
  readonly codec: HeaderCodec
  readonly topics: { readonly configuration: string, readonly configurationKey: string, readonly targets: string, readonly members: string, readonly orders: string }
  readonly decodeConfiguration: (bytes: Buffer) => ServingConfiguration | undefined
  readonly decodeTargetEntry: (id: string, bytes: Buffer) => TargetEntry | undefined
  readonly paths: { readonly ready: string, readonly entries: string }
  readonly encodeEntries: (addresses: readonly string[], lifetimeSeconds: number) => unknown
}

export interface FleetDaemonOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly settings: () => FleetDaemonSettings
  readonly ports: FleetDaemonPorts
  readonly metrics: DaemonMetrics
  readonly metricsPort: number
}

export interface FleetDaemon {
  /** Leaves the deployment: resolves when all requests have ended or the time is up. */
  readonly stop: () => Promise<void>
  readonly noteSettingsChanged: () => void
}

/** With the time for the answer and the retry, a silent connection to the log service keeps news away for less than 3 s. */
const LOG_POLL_MILLISECONDS = 1_500
/** Many records of targets come in one read; a leaving target must be noticed within two seconds. */
const TARGETS_INTERVAL_MILLISECONDS = 900
/** Members are heard of from each other too. */
const MEMBERS_POLL_MILLISECONDS = 20_000
/** A version must be in force within two seconds; several in quick succession come in one read. */
const CONFIGURATION_INTERVAL_MILLISECONDS = 100
/** Short against the bounds that hold from the return of the log service on, and long against its usual answer of some milliseconds. */
const LOG_RETRY_MILLISECONDS = 300
/** Entries of living targets are back about two seconds after the log service returned. */
const LAPSE_MILLISECONDS = 2_300
/** Five exchanges without an answer. */
const MEMBER_SILENCE_MILLISECONDS = 2_000
/** Some customers keep an answer of the directory three times as long as it says. */
const KEPT_ENTRY_FACTOR = 3
/** Time for the last answers of the directory to arrive. */
const LEAVING_MARGIN_MILLISECONDS = 400
/** Left of the grace time when the process ends by itself. */
const STOP_MARGIN_MILLISECONDS = 350
/** Period at which a stop looks for open requests. */
const STOP_POLL_MILLISECONDS = 50
/** A connection takes a few milliseconds; a lost packet is sent again only after a second, when another target is the better choice. */
const TARGET_CONNECT_MILLISECONDS = 400
/** As for targets. */
const PEER_CONNECT_MILLISECONDS = 400
/** Well above what targets send, and a bound on memory. */
const MAXIMUM_ANSWER_HEADER_BYTES = 65_536
/**
 * A holder that dies takes its lease back when it starts again on the same VM; the validity counts
 * when it is gone for good, and for outages of the log service, which last several seconds.
 */
const LEASE_VALID_MILLISECONDS = 9_000
/** Daemons claim a free lease one after the other, the youngest first: it is the last to be replaced in a rolling restart. */
const CLAIM_STEP_MILLISECONDS = 60
/** Bounds the wait before a claim to 0.6 s in large deployments. */
const MAXIMUM_CLAIM_RANK = 10
/** Seven renewals fit the validity, so that some may be lost. */
const LEASE_RENEW_MILLISECONDS = 1_200
/** Period of a failed renewal, and of the look for a heard holder. */
const LEASE_RETRY_MILLISECONDS = 250
/** A silent connection to the log service is noticed after this time. */
const LEASE_POLL_MILLISECONDS = 1_000
/** Delays of messages and timers around a lease. */
const LEASE_MARGIN_MILLISECONDS = 350
/** Reports lag by some 200 ms, and each is priced as a probe. */
const REPORT_MILLISECONDS = 400
/** Daemons that restart forget what they have spent, so a part of the retry slack is left unused. */
const RETRY_SLACK_SHARE = 0.6
/** Pause before a controller that threw an unexpected error runs again. */
const CONTROLLER_RESTART_MILLISECONDS = 500

/**
 * Starts a daemon of the fleet: every VM runs the same one.
 *
 * @example
 * const daemon = await startFleetDaemon(options)
 * process.once('SIGTERM', () => { void daemon.stop() })
 */
export async function startFleetDaemon (options: FleetDaemonOptions): Promise<FleetDaemon> {
  const { clock, logger, ports, metrics } = options
  const initial = options.settings()
  const stopping = new AbortController()
  const startedAt = clock.wallNow()
  let state: Member['state'] = 'serving'
  const self = (): Member => ({
    name: initial.vm,
    startedAt,
    frontAddress: initial.frontAddress,
    peerAddress: `${initial.ip}:${initial.peerPort}`,
    dataCentre: initial.dataCentre,
    state
  })

  const configuration = createConfigurationHolder(logger)
  const directory = createTargetDirectory({ clock, logger, lapseMilliseconds: LAPSE_MILLISECONDS })
  const members = createMemberDirectory({ clock, logger, self, silenceMilliseconds: MEMBER_SILENCE_MILLISECONDS })
  const peers = createFleetPeerClient({ connectMilliseconds: PEER_CONNECT_MILLISECONDS })

  const lease = createOrderLease({
    log: ports.log,
    clock,
    logger,
    topic: ports.topics.orders,
    holder: initial.vm,
    settings: {
      validMilliseconds: LEASE_VALID_MILLISECONDS,
      renewMilliseconds: LEASE_RENEW_MILLISECONDS,
      retryMilliseconds: LEASE_RETRY_MILLISECONDS,
      pollMilliseconds: LEASE_POLL_MILLISECONDS,
      turnMilliseconds: initial.orderTurnMilliseconds,
      marginMilliseconds: LEASE_MARGIN_MILLISECONDS
    },
    isHolderHeard: () => exchange.holder() !== undefined,
    claimDelay: () => {
      const younger = members.others().filter((member) => members.isHeard(member.name) && member.state === 'serving' && member.startedAt > startedAt).length
      return Math.min(MAXIMUM_CLAIM_RANK, younger) * CLAIM_STEP_MILLISECONDS
    }
  })
  const placement = createPlacementController({
    clock,
    logger,
    directory,
    configuration: configuration.current,
    engines: ports.engines,
    holder: initial.vm,
    termForOrder: lease.termForOrder,
    ordersExpectedIn: lease.ordersExpectedIn,
    settings: () => ({
      reportMilliseconds: REPORT_MILLISECONDS,
      storeWindowMilliseconds: options.settings().storeLoadWindowMilliseconds,
      storeTolerance: options.settings().storeLoadTolerance
    })
  })
  lease.events.on('gained', () => placement.start())
  lease.events.on('lost', () => placement.stop())

  // Documents as they were read, for peers that cannot read them themselves.
  let configurationDocument: PassedDocument | undefined
  const targetDocuments = new Map<string, PassedDocument>()

  const applyConfiguration = (bytes: Buffer, source: string): void => {
    const decoded = ports.decodeConfiguration(bytes)
    if (decoded === undefined) {
      logger.warn('ignored a configuration that cannot be read', { event: 'configuration-unreadable', source })
      return
    }
    if (!configuration.apply(decoded, source)) return
    configurationDocument = { key: ports.topics.configurationKey, base64: bytes.toString('base64') }
    metrics.configurationVersion.set(decoded.version)
    front?.applyLimits(decoded.limits)
  }

  const decodeTarget = ({ key, value }: KeyedRecord): TargetEntry | undefined => {
    if (value === undefined) {
      targetDocuments.delete(key)
      return undefined
    }
    const entry = ports.decodeTargetEntry(key, value)
    if (entry === undefined) {
      logger.warn('ignored an entry of a target that cannot be read', { event: 'target-entry-unreadable', target: key })
      return undefined
    }
    targetDocuments.set(key, { key, base64: value.toString('base64') })
    return entry
  }

  const configurationFollower = createKeyedFollower({
    log: ports.log,
    clock,
    logger,
    topic: ports.topics.configuration,
    settings: { pollMilliseconds: LOG_POLL_MILLISECONDS, minimumIntervalMilliseconds: CONFIGURATION_INTERVAL_MILLISECONDS, retryMilliseconds: LOG_RETRY_MILLISECONDS },
    onSnapshot: (records) => records.forEach((record) => applyConfigurationRecord(record)),
    onRecord: (record) => applyConfigurationRecord(record)
  })
  const applyConfigurationRecord = ({ key, value }: KeyedRecord): void => {
    if (key === ports.topics.configurationKey && value !== undefined) applyConfiguration(value, 'log')
  }

  const targetsFollower = createKeyedFollower({
    log: ports.log,
    clock,
    logger,
    topic: ports.topics.targets,
    settings: { pollMilliseconds: LOG_POLL_MILLISECONDS, minimumIntervalMilliseconds: TARGETS_INTERVAL_MILLISECONDS, retryMilliseconds: LOG_RETRY_MILLISECONDS },
    onSnapshot: (records) => {
      targetDocuments.clear()
      directory.applySnapshot(new Map(records.map((record) => [record.key, decodeTarget(record)])))
    },
    onRecord: (record) => directory.applyEntry(record.key, decodeTarget(record)),
    onContact: directory.noteLogContact,
    onFailure: directory.noteLogFailure
  })

  const demandCounts = new Map<string, number>()
  const countDemand = (subject: string): void => { demandCounts.set(subject, (demandCounts.get(subject) ?? 0) + 1) }

  const exchange = createPeerExchange({
    clock,
    logger,
    members,
    directory,
    peers,
    self,
    leaseTerm: () => {
      const view = lease.view()
      // A holder that cannot renew its lease must not keep others from claiming it.
      return view.kind === 'waiting' ? view.term : lease.termForOrder()
    },
    configurationVersion: () => configuration.current()?.version,
    lacksTargets: () => targetsFollower.lastContactAt() === undefined,
    takeDemand: () => {
      const taken = [...demandCounts]
      demandCounts.clear()
      return taken
    },
    recordDemand: (demand) => { for (const [subject, count] of demand) placement.demand.record(subject, count) },
    inUse: () => forwarder.inFlight.modelsInUse(),
    recordInUse: placement.recordInUse,
    strained: () => forwarder.overloadedTargets.list(),
    recordStrained: placement.recordStrained,
    news: placement.news,
    configurationDocument: () => configurationDocument,
    targetDocuments: () => [...targetDocuments.values()],
    acceptConfiguration: ({ base64 }) => applyConfiguration(Buffer.from(base64, 'base64'), 'peer'),
    acceptTargets: (documents) => {
      for (const { key, base64 } of documents) {
        const entry = decodeTarget({ key, value: Buffer.from(base64, 'base64') })
        if (entry !== undefined) directory.applyEntry(key, entry)
      }
    }
  })

  const requestPlacement = createPlacementRequests({
    clock,
    peers,
    ownPlacement: () => lease.termForOrder() === undefined ? undefined : placement,
    holderAddress: () => exchange.holder()?.member.peerAddress,
    holderSilentFor: exchange.holderSilentFor,
    ordersExpectedIn: lease.ordersExpectedIn
  })

  const forwarder = createForwarder({
    clock,
    logger,
    dataCentre: initial.dataCentre,
    configuration: configuration.current,
    directory,
    codec: ports.codec,
    send: createSender({ connectMilliseconds: TARGET_CONNECT_MILLISECONDS, maximumHeaderBytes: MAXIMUM_ANSWER_HEADER_BYTES }),
    requestPlacement,
    retries: {
      share: initial.retryShare * RETRY_SLACK_SHARE,
      windowMilliseconds: initial.retryWindowMilliseconds,
      slack: () => options.settings().retrySlack * RETRY_SLACK_SHARE / Math.max(members.livingCount(), members.others().length + 1)
    },
    onDemand: ({ model, adapter }) => {
      countDemand(model)
      if (adapter !== undefined) countDemand(`${model}/${adapter}`)
    },
    onFinished: metrics.recordRequest
  })

  await startFleetPeerServer({
    handlers: {
      sync: exchange.answer,
      place: async (message, signal) => await placement.request({ ...message, adapter: message.adapter }, signal)
    },
    host: initial.ip,
    port: initial.peerPort,
    logger
  })
  const [frontHost, frontPort] = splitAddress(initial.frontAddress)
  const front = await startFrontServer({
    host: frontHost,
    port: frontPort,
    clock,
    logger,
    codec: ports.codec,
    forwarder,
    limits: () => configuration.current()?.limits,
    isLeaving: () => state === 'leaving'
  })
  const isReady = (): boolean => state === 'serving' && configuration.current() !== undefined
  await startPlatformServers(options, isReady, () => members.entryAddresses(), () => {
    metrics.membersAlive.set(members.livingCount())
    metrics.inFlight.set(forwarder.inFlight.total())
    metrics.holdsLease.set(lease.termForOrder() === undefined ? 0 : 1)
  })

  const membersFollower = createKeyedFollower({
    log: ports.log,
    clock,
    logger,
    topic: ports.topics.members,
    settings: { pollMilliseconds: MEMBERS_POLL_MILLISECONDS, minimumIntervalMilliseconds: LOG_RETRY_MILLISECONDS, retryMilliseconds: LOG_RETRY_MILLISECONDS },
    onSnapshot: (records) => records.forEach(applyMember),
    onRecord: (record) => applyMember(record)
  })
  function applyMember ({ key, value }: KeyedRecord): void {
    if (value === undefined) {
      members.remove(key)
      return
    }
    const member = decodeMember(value)
    if (member !== undefined) members.applyRecord(member)
  }

  const announce = async (): Promise<void> => {
    const announced = state
    while (!stopping.signal.aborted && announced === state) {
      const answer = await ports.log.appendKeyed(ports.topics.members, initial.vm, encodeMember(self()))
      if (answer.isOk) return
      await clock.sleep(LOG_RETRY_MILLISECONDS, stopping.signal)
    }
  }

  const supervise = async (name: string, run: (signal: AbortSignal) => Promise<void>): Promise<void> => {
    while (!stopping.signal.aborted) {
      try {
        await run(stopping.signal)
        return
      } catch (reason) {
        logger.error('a controller failed and is started again', { event: 'controller-failed', step: name, reason: reason instanceof Error ? reason.stack ?? reason.message : String(reason) })
        await clock.sleep(CONTROLLER_RESTART_MILLISECONDS, stopping.signal)
      }
    }
  }

  void announce()
  void supervise('configuration', configurationFollower.run)
  void supervise('targets', targetsFollower.run)
  void supervise('members', membersFollower.run)
  void supervise('exchange', exchange.run)
  void supervise('lease', lease.run)
  void supervise('clock-watch', async (signal) => await watchClocks(clock, logger, signal))
  logger.info('daemon started', { event: 'daemon-started', front: initial.frontAddress, peer: self().peerAddress })

  const stop = async (): Promise<void> => {
    const stopAt = clock.now()
    const { graceMilliseconds } = options.settings()
    state = 'leaving'
    logger.info('daemon is leaving', { event: 'daemon-leaving', active: front.activeRequests() })
    void announce()
    let isLeaseGone = false
    const released = lease.release(stopping.signal).then(() => { isLeaseGone = true })
    await exchange.tellAll()
    await clock.sleep(ENTRY_LIFETIME_SECONDS * KEPT_ENTRY_FACTOR * 1000 + LEAVING_MARGIN_MILLISECONDS - (clock.now() - stopAt))
    front.stopAccepting()
    const endAt = stopAt + graceMilliseconds - STOP_MARGIN_MILLISECONDS
    // Until the lease could be given back, the other daemons need this one for their placements.
    while ((front.activeRequests() > 0 || !isLeaseGone) && clock.now() < endAt) await clock.sleep(STOP_POLL_MILLISECONDS)
    stopping.abort()
    await released
    logger.info('daemon stopped', { event: 'daemon-stopped', active: front.activeRequests(), milliseconds: Math.round(clock.now() - stopAt) })
  }

  return { stop, noteSettingsChanged: () => logger.info('settings were read again', { event: 'settings-reloaded' }) }
}
