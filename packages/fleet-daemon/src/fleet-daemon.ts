import { createClientMemory, deriveClientCapacity, type MachineLimits } from '@fuchsiastage/client-memory'
import { readPendingEvents, type Clock } from '@fuchsiastage/clock'
import {
  createConfigurationHolder, createKeyedFollower, createMemberDirectory, createTargetDirectory,
  type KeyedRecord, type Member, type PlatformLog, type ServingConfiguration, type TargetEntry
} from '@fuchsiastage/fleet'
import type { AllowanceTolerance } from '@fuchsiastage/customer-allowances'
import { createFleetPeerClient, startFleetPeerServer, type RelayedDocument } from '@fuchsiastage/fleet-peer'
import { createDaemonStop, createForwarder, createSender, createTargetProbe, type HeaderCodec } from '@fuchsiastage/forwarding'
import type { Logger } from '@fuchsiastage/logger'
import { createPlacementController, type EnginePort } from '@fuchsiastage/model-placement'
import { createOrderLease } from '@fuchsiastage/order-lease'
import { createRequestQuarantine } from '@fuchsiastage/request-quarantine'
import { createOriginLog, createServiceVersions, createStreamOrigins } from '@fuchsiastage/stream-origins'
import { createBrittleTargets, createTargetLimits, createTargetPauses } from '@fuchsiastage/target-limits'
import { createTargetPaces, createUnevenServices } from '@fuchsiastage/target-pace'
import type { Milliseconds } from '@fuchsiastage/types'
import type { Result } from 'true-myth/result'
import { createCustomerAllowances } from './customer-allowances.js'
import { watchClocks } from './clock-watch.js'
import { createConfigurationConfirmation } from './configuration-confirmation.js'
import { createTargetRooms } from './target-rooms.js'
import { createTargetTurns } from './target-turns.js'
import type { DaemonMetrics } from './daemon-metrics.js'
import { createFleetSize } from './fleet-size.js'
import { startFrontServer } from './front-server.js'
import { decodeMember, encodeMember } from './member-record.js'
import { createHandoverReceiver } from './handover-receiver.js'
import { createHandoverSender } from './handover-sender.js'
import { createPeerExchange } from './peer-exchange.js'
import { createPeerTargetAccess } from './peer-target-access.js'
import { createPlacementRequests } from './placement-requests.js'
import { createRejectionLog } from './rejection-log.js'
import { createRequestTrials } from './request-trials.js'
import { chooseResponsible } from './responsible-member.js'
import { ENTRY_LIFETIME_SECONDS, splitAddress, startPlatformServers } from './platform-servers.js'
import { deriveStopTimes } from './stop-times.js'

/**
 * Settings of a daemon. Changes of the grace time, the retry slack and the limits on loads from the
 * weight store take effect while it runs, all others after a restart.
 */
export interface FleetDaemonSettings {
  readonly vm: string
  readonly ip: string
  readonly dataCentre: string
  readonly peerPort: number
  /** Address of the server for callers. */
  readonly frontAddress: string
  /** Address of the readiness check. */
  readonly readyAddress: string
  /** Address of the directory of entry daemons; undefined if this daemon does not serve the directory. */
  readonly directoryAddress: string | undefined
  /** Time after the stop signal at which the platform kills the process. */
  readonly graceMilliseconds: Milliseconds
  /** Retries that all daemons together may send to a service within the window, as a share of the requests to it. */
  readonly retryShare: number
  /** Retries that all daemons together may send to a service within the window in addition to the share. */
  readonly retrySlack: number
  readonly retryWindowMilliseconds: Milliseconds
  /** Quiescence period: minimum time between orders that two different VMs send to a target. */
  readonly orderQuiescenceMilliseconds: Milliseconds
  /** Window over which the rate of loads from the weight store is limited. */
  readonly storeLoadWindowMilliseconds: Milliseconds
  /** Factor by which loads within the window may exceed the rate of the weight store. */
  readonly storeLoadTolerance: number
  readonly maximumEntryLifetimeSeconds: number
  /** By how much the use of a customer may exceed its allowance within a window. */
  readonly allowanceTolerance: AllowanceTolerance
  /** Memory and file descriptors of the machine, from which the limits for clients are derived. */
  readonly machine: MachineLimits
}

/** Interface to the platform; its implementation hides the platform's names on the wire. */
export interface FleetDaemonPorts {
  readonly log: PlatformLog
  readonly engines: EnginePort
  readonly codec: HeaderCodec
  readonly topics: {
    readonly configuration: string
    readonly configurationKey: string
    readonly targets: string
    readonly members: string
    readonly orders: string
    /** Keyed by service and software version. */
    readonly softwareVersions: string
    readonly streamOrigins: string
  }
  /** The error states the locations and causes of the faults, and no value of the document: a value may be the key of a customer. */
  readonly decodeConfiguration: (bytes: Buffer) => Result<ServingConfiguration, string>
  readonly decodeTargetEntry: (id: string, bytes: Buffer) => TargetEntry | undefined
  /** Paths of the readiness check and of the directory of entry daemons. */
  readonly paths: { readonly ready: string, readonly entries: string }
  /** Encodes a response of the directory. */
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
  /**
   * Drains the daemon. Resolves when all requests have ended and the order lease is released, but no
   * later than shortly before the end of the grace time, which began at the given monotonic time, or begins now.
   */
  readonly stop: (signalledAt?: Milliseconds) => Promise<void>
  /** Logs that the settings were reloaded. */
  readonly onSettingsChanged: () => void
}

/** Long-poll time of reads of the configuration and the targets. Together with the response timeout and the retry delay, a stalled connection to the log service delays records by less than 3 s. */
const LOG_POLL_MILLISECONDS = 1_500
/** Batches many records of targets into one read; a draining target must be detected within two seconds. */
const TARGETS_INTERVAL_MILLISECONDS = 900
/** Long-poll time of reads of the members. It is long, because the daemons also exchange membership updates directly. */
const MEMBERS_POLL_MILLISECONDS = 20_000
/** Batches configuration versions in quick succession into one read; a version must be active within two seconds. */
const CONFIGURATION_INTERVAL_MILLISECONDS = 100
/**
 * Short compared with the time limits that apply from the recovery of the log service on, and long
 * compared with its usual response time of some milliseconds.
 */
const LOG_RETRY_MILLISECONDS = 300
/** Running targets register their entries again about two seconds after the log service has recovered. */
const LAPSE_GRACE_MILLISECONDS = 2_300
/** About five exchange periods without contact. */
const MEMBER_LIVENESS_TIMEOUT_MILLISECONDS = 2_000
/** Some callers cache a response of the directory for three times its lifetime. */
const ENTRY_CACHE_FACTOR = 3
/** Time that the last responses of the directory that include this daemon need to arrive at their callers. */
const DRAIN_MARGIN_MILLISECONDS = 400
/** Time that the last refusals need to leave the process. */
const FLUSH_MILLISECONDS = 100
/** Period at which a stop checks for active requests and for the release of the lease. */
const STOP_POLL_MILLISECONDS = 50
/** The same while the last responses are sent. */
const LAST_POLL_MILLISECONDS = 10
/** Establishing a connection takes a few milliseconds. TCP retransmits a lost SYN only after a second, so another target is tried earlier. */
const TARGET_CONNECT_MILLISECONDS = 400
/** Requests of a daemon that may be cut off from all targets wait for the result of a probe. */
const PROBE_CONNECT_MILLISECONDS = 250
/** Chosen as for targets. */
const PEER_CONNECT_MILLISECONDS = 400
/** Limits memory; well above the size of the headers that targets send. */
const MAXIMUM_RESPONSE_HEADER_BYTES = 65_536
/**
 * A holder whose process ends reclaims its lease when it restarts on the same VM. The validity
 * matters only when the holder does not return, and during outages of the log service, which last
 * several seconds.
 */
const LEASE_VALIDITY_MILLISECONDS = 9_000
/** Daemons claim a free lease in turn, the most recently started one first, because a rolling restart replaces it last. */
const CLAIM_STEP_MILLISECONDS = 60
/** Limits the delay before a claim to 0.6 s in large deployments. */
const MAXIMUM_CLAIM_RANK = 10
/** Seven renewals fit into the validity, so that the lease survives some failed ones. */
const LEASE_RENEW_MILLISECONDS = 1_200
/** Delay after a failed call to the log service, and period of the check whether a peer states that it holds the lease. */
const LEASE_RETRY_MILLISECONDS = 250
/** Long-poll time of reads of the lease topic; a stalled connection to the log service is detected only after it. */
const LEASE_POLL_MILLISECONDS = 1_000
/** Allowance for delays of messages and timers; shortens the validity for the holder and lengthens it for the others. */
const LEASE_MARGIN_MILLISECONDS = 350
/** Interval at which the reports of the engines are read. They lag by some 200 ms, and each read is billed as a probe. */
const REPORT_MILLISECONDS = 400
/** Share of the retry budget that is used. The rest is left unused, because a restarted daemon has lost its count of retries. */
const USED_RETRY_BUDGET_SHARE = 0.6
/** Delay before a controller that threw an unexpected error is restarted. */
const CONTROLLER_RESTART_MILLISECONDS = 500

/**
 * Starts a daemon of the fleet; every VM runs the same daemon.
 *
 * @example
 * const daemon = await startFleetDaemon(options)
 * process.once('SIGTERM', () => { void daemon.stop(clock.now()) })
 */
export async function startFleetDaemon (options: FleetDaemonOptions): Promise<FleetDaemon> {
  const { clock, logger, ports, metrics } = options
  const initialSettings = options.settings()
  const stopping = new AbortController()
  const startedAt = clock.wallNow()
  let state: Member['state'] = 'serving'
  const self = (): Member => ({
    name: initialSettings.vm,
    startedAt,
    frontAddress: initialSettings.frontAddress,
    peerAddress: `${initialSettings.ip}:${initialSettings.peerPort}`,
    dataCentre: initialSettings.dataCentre,
    state,
    issuesAllowances: true
  })

  const configuration = createConfigurationHolder(logger)
  const directory = createTargetDirectory({ clock, logger, lapseGraceMilliseconds: LAPSE_GRACE_MILLISECONDS })
  const members = createMemberDirectory({ clock, logger, self, livenessTimeoutMilliseconds: MEMBER_LIVENESS_TIMEOUT_MILLISECONDS })
  const hasServingPeer = (): boolean => members.others().some(({ name, state: peerState }) => peerState === 'serving' && members.isAlive(name))
  const daemonStop = createDaemonStop({ clock, hasServingPeer })
  const peers = createFleetPeerClient({ connectMilliseconds: PEER_CONNECT_MILLISECONDS })

  const lease = createOrderLease({
    log: ports.log,
    clock,
    logger,
    topic: ports.topics.orders,
    holder: initialSettings.vm,
    description: () => ({ peerAddress: self().peerAddress, daemonCount: fleetSize.stated() }),
    settings: {
      validMilliseconds: LEASE_VALIDITY_MILLISECONDS,
      renewMilliseconds: LEASE_RENEW_MILLISECONDS,
      retryMilliseconds: LEASE_RETRY_MILLISECONDS,
      pollMilliseconds: LEASE_POLL_MILLISECONDS,
      quiescenceMilliseconds: initialSettings.orderQuiescenceMilliseconds,
      marginMilliseconds: LEASE_MARGIN_MILLISECONDS
    },
    hasHolderContact: () => exchange.holder() !== undefined,
    canHold: () => !forwarder.reachability.isCutOff() || !peerAccess.isReachedByPeer(),
    claimDelay: () => {
      const youngerCount = members.others().filter((member) => members.isAlive(member.name) && member.state === 'serving' && member.startedAt > startedAt).length
      return Math.min(MAXIMUM_CLAIM_RANK, youngerCount) * CLAIM_STEP_MILLISECONDS
    }
  })
  const placement = createPlacementController({
    clock,
    logger,
    directory,
    configuration: configuration.current,
    engines: {
      order: async (target, order) => {
        const answer = await ports.engines.order(target, order)
        if (answer.kind === 'unanswered') void forwarder.probes.verify()
        return answer
      },
      report: async (target) => {
        const report = await ports.engines.report(target)
        if (report.isErr) void forwarder.probes.verify()
        return report
      }
    },
    holder: initialSettings.vm,
    termForOrder: lease.termForOrder,
    ordersExpectedIn: lease.ordersExpectedIn,
    settings: () => ({
      reportMilliseconds: REPORT_MILLISECONDS,
      storeWindowMilliseconds: options.settings().storeLoadWindowMilliseconds,
      storeTolerance: options.settings().storeLoadTolerance
    })
  })
  let leaseHeldSince: Milliseconds | undefined
  lease.events.on('gained', () => {
    leaseHeldSince = clock.now()
    placement.start()
  })
  lease.events.on('lost', () => {
    leaseHeldSince = undefined
    placement.stop()
  })
  const fleetSize = createFleetSize({ clock, members, statedCount: () => lease.fleetStatement().daemonCount, holdsLeaseSince: () => leaseHeldSince })

  // Documents as read from the log service, for peers that cannot reach it.
  let configurationDocument: RelayedDocument | undefined
  const targetDocuments = new Map<string, RelayedDocument>()

  let rejectedConfiguration: Buffer | undefined
  /** Whether the newest configuration of the log service is one that this daemon can decode. */
  let isNewestDecoded = true

  /** Returns whether the bytes are a valid configuration. */
  const applyConfiguration = (bytes: Buffer, source: 'log' | 'peer'): boolean => {
    // Peers of an earlier version that accept the document send it with each exchange.
    if (rejectedConfiguration?.equals(bytes) === true) return false
    const result = ports.decodeConfiguration(bytes)
    if (result.isErr) {
      rejectedConfiguration = bytes
      logger.warn('ignored a configuration that is not valid', { event: 'configuration-unreadable', source, reason: result.error })
      return false
    }
    const decoded = result.value
    if (!configuration.apply(decoded, source)) return true
    configurationDocument = { key: ports.topics.configurationKey, base64: bytes.toString('base64') }
    metrics.configurationVersion.set(decoded.version)
    front?.applyLimits(decoded.limits)
    return true
  }

  const decodeTarget = ({ key, value }: KeyedRecord): TargetEntry | undefined => {
    if (value === undefined) {
      targetDocuments.delete(key)
      return undefined
    }
    const entry = ports.decodeTargetEntry(key, value)
    if (entry === undefined) {
      logger.warn('cannot decode the entry of a target; treating the entry as missing', { event: 'target-entry-unreadable', target: key })
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
    if (key === ports.topics.configurationKey && value !== undefined) isNewestDecoded = applyConfiguration(value, 'log')
  }

  const confirmation = createConfigurationConfirmation({ clock, logCompleteAt: () => isNewestDecoded ? configurationFollower.completeAt() : undefined, hasCustomers: () => configuration.current()?.customers !== undefined })

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
    onContact: directory.recordLogContact,
    onFailure: directory.recordLogFailure,
    onRestored: () => {
      directory.recordLogRestored()
      streamOrigins.recordLogRestored()
      void publishMember()
    }
  })

  const targetLimits = createTargetLimits({ clock, logger, isKnown: (target) => directory.find(target) !== undefined })
  const targetPauses = createTargetPauses({ clock, logger, random: Math.random })
  const unevenServices = createUnevenServices()
  const targetPaces = createTargetPaces({ clock, logger, appliesTo: unevenServices.has, daemonCount: fleetSize.active, random: Math.random })
  const brittleTargets = createBrittleTargets({ clock, logger, isKnown: (target) => directory.find(target) !== undefined, onBrittle: (target) => targetRooms.reportSends(target) })
  const targetRooms = createTargetRooms({
    clock,
    logger,
    members,
    reachedShare: fleetSize.reachedShare,
    directory,
    peers,
    self,
    brittleTargets,
    exchangeWithAll: async () => await exchange.exchangeWithAll(),
    onDecision: ({ kind }) => metrics.roomDecisions.inc({ outcome: kind }),
    random: Math.random
  })
  const turns = createTargetTurns({ clock, logger, members, reachedShare: fleetSize.reachedShare, peers, self, limits: targetLimits, pauses: targetPauses, paces: targetPaces, rooms: targetRooms, onDecision: ({ kind }) => metrics.permits.inc({ outcome: kind }), random: Math.random })

  const allowances = createCustomerAllowances({ clock, logger, members, fleetSize, peers, self, configuration: configuration.current, leaseHolder: () => lease.termForOrder() === undefined ? exchange.holder()?.member.name : initialSettings.vm, tolerance: () => options.settings().allowanceTolerance, countDecision: (labels) => metrics.allowances.inc(labels), random: Math.random })

  const quarantine = createRequestQuarantine({
    clock,
    logger,
    isKnown: (target) => directory.find(target) !== undefined,
    random: Math.random
  })
  const trials = createRequestTrials({ members, reachedShare: fleetSize.reachedShare, peers, self, quarantine })

  const demandCounts = new Map<string, number>()
  const countDemand = (subject: string): void => { demandCounts.set(subject, (demandCounts.get(subject) ?? 0) + 1) }

  const peerAccess = createPeerTargetAccess({ clock, members, random: Math.random })
  const exchange = createPeerExchange({
    clock,
    logger,
    members,
    directory,
    peers,
    self,
    leaseTerm: () => {
      const view = lease.view()
      // A holder that could not renew its lease in time reports no term, so that the other daemons can
      // claim the lease.
      return view.kind === 'waiting' ? view.term : lease.termForOrder()
    },
    configurationVersion: () => configuration.current()?.version,
    confirmation,
    lacksTargets: () => targetsFollower.lastContactAt() === undefined,
    introducer: () => lease.fleetStatement().holder,
    fleetSize,
    takeDemand: () => {
      const taken = [...demandCounts]
      demandCounts.clear()
      return taken
    },
    recordDemand: (demand) => { for (const [subject, count] of demand) placement.demand.record(subject, count) },
    inUse: () => forwarder.inFlight.modelsInUse(),
    recordInUse: placement.recordInUse,
    overloadedTargets: () => forwarder.overloadedTargets.list(),
    recordOverloaded: placement.recordOverloaded,
    targetUpdates: placement.targetUpdates,
    configurationDocument: () => configurationDocument,
    targetDocuments: () => [...targetDocuments.values()],
    acceptConfiguration: ({ base64 }) => { applyConfiguration(Buffer.from(base64, 'base64'), 'peer') },
    acceptTargets: (documents) => {
      for (const { key, base64 } of documents) {
        const entry = decodeTarget({ key, value: Buffer.from(base64, 'base64') })
        if (entry !== undefined) directory.applyEntry(key, entry)
      }
    },
    targetAccess: () => forwarder.reachability.isCutOff() ? 'lost' : 'reached',
    peerAccess,
    targetLimits,
    brittleTargets,
    quarantine,
    random: Math.random
  })

  const streamOrigins = createStreamOrigins({
    clock,
    logger,
    versions: createServiceVersions({
      clock,
      logger,
      log: ports.log,
      topic: ports.topics.softwareVersions,
      readTargets: async (signal) => (await ports.log.readNewest(ports.topics.targets, signal)).map(({ records }) =>
        records.flatMap(({ key, value }) => (value === undefined ? undefined : ports.decodeTargetEntry(key, value)) ?? [])),
      knownTargets: () => directory.all().map(({ entry }) => entry),
      areTargetsKnown: () => targetsFollower.lastContactAt() !== undefined,
      isResponsible: (service) => chooseResponsible(service, self(), members).name === initialSettings.vm
    }),
    originLog: createOriginLog({ log: ports.log, topic: ports.topics.streamOrigins }),
    daemonCount: () => Math.max(members.others().length + 1, fleetSize.active())
  })

  const requestPlacement = createPlacementRequests({
    clock,
    logger,
    peers,
    ownPlacement: () => lease.termForOrder() === undefined ? undefined : placement,
    holderAddress: () => exchange.holder()?.member.peerAddress,
    sinceHolderContact: exchange.sinceHolderContact,
    ordersExpectedIn: lease.ordersExpectedIn
  })

  const clientCapacity = deriveClientCapacity(initialSettings.machine)
  const clientMemory = createClientMemory(clock, clientCapacity)
  const rejections = createRejectionLog({ clock, logger, memory: clientMemory, count: (reason) => metrics.clientRejections.inc({ reason }) })

  const forwarder = createForwarder({
    clock,
    logger,
    dataCentre: initialSettings.dataCentre,
    configuration: configuration.current,
    isConfigurationConfirmed: confirmation.isRecent,
    configurationAge: confirmation.age,
    directory,
    codec: ports.codec,
    send: createSender({ connectMilliseconds: TARGET_CONNECT_MILLISECONDS, maximumHeaderBytes: MAXIMUM_RESPONSE_HEADER_BYTES }),
    probe: createTargetProbe({ connectMilliseconds: PROBE_CONNECT_MILLISECONDS }),
    requestPlacement,
    handOver: createHandoverSender({ clock, logger, members, peers, access: peerAccess, memory: clientMemory, self, random: Math.random }),
    isReachedByPeer: peerAccess.isReachedByPeer,
    streamOrigins,
    stop: daemonStop,
    random: Math.random,
    daemonCount: fleetSize.active,
    targetLimits,
    targetPauses,
    targetRooms,
    targetPaces,
    unevenServices,
    acquireTurn: turns.acquire,
    allowances,
    quarantine,
    acquireTrial: trials.acquire,
    retries: {
      share: initialSettings.retryShare * USED_RETRY_BUDGET_SHARE,
      windowMilliseconds: initialSettings.retryWindowMilliseconds,
      slack: () => options.settings().retrySlack * USED_RETRY_BUDGET_SHARE / fleetSize.expected()
    },
    onDemand: ({ model, adapter }) => {
      countDemand(model)
      if (adapter !== undefined) countDemand(`${model}/${adapter}`)
    },
    onFinished: metrics.recordRequest
  })

  const handovers = createHandoverReceiver({
    clock,
    codec: ports.codec,
    forwarder,
    softwareVersion: (target) => directory.find(target)?.entry.softwareVersion,
    configurationVersion: () => configuration.current()?.version,
    isClosed: () => daemonStop.isTooLate(Infinity),
    memory: clientMemory
  })

  await startFleetPeerServer({
    handlers: {
      handOver: handovers.answer,
      sync: exchange.answer,
      configuration: () => configurationDocument,
      permit: turns.answer,
      reportRoom: targetRooms.recordReport,
      allowance: allowances.answer,
      trial: trials.answer,
      place: async (message, signal) => await placement.request({ ...message, adapter: message.adapter }, signal)
    },
    host: initialSettings.ip,
    port: initialSettings.peerPort,
    logger,
    holdCopies: clientMemory.holdCopies
  })
  const [frontHost, frontPort] = splitAddress(initialSettings.frontAddress)
  const front = await startFrontServer({
    host: frontHost,
    port: frontPort,
    clock,
    logger,
    codec: ports.codec,
    forwarder,
    limits: () => configuration.current()?.limits,
    isConfigurationConfirmed: () => configuration.current() !== undefined && confirmation.isRecent(),
    isLeaving: () => state === 'leaving',
    memory: clientMemory,
    capacity: clientCapacity,
    onRejected: rejections.record
  })
  const activeRequests = (): number => front.activeRequests() + handovers.activeRequests()
  const isReady = (): boolean => state === 'serving' && configuration.current() !== undefined
  await startPlatformServers(options, isReady, () => members.entryAddresses(), () => {
    metrics.membersAlive.set(members.aliveCount())
    metrics.configurationAge.set((confirmation.age() ?? Infinity) / 1000)
    metrics.inFlight.set(forwarder.inFlight.total())
    metrics.limitedTargets.set(targetLimits.count())
    metrics.brittleTargets.set(brittleTargets.count())
    metrics.pausedTargets.set(targetPauses.list().length)
    metrics.pacedTargets.set(targetPaces.count())
    metrics.cutOff.set(forwarder.reachability.isCutOff() ? 1 : 0)
    metrics.activeHandovers.set(handovers.activeRequests())
    const { bodyBytes, responseBytes, copyBytes, unfinishedBodies } = clientMemory.usage()
    metrics.clientMemory.set({ use: 'bodies' }, bodyBytes)
    metrics.clientMemory.set({ use: 'responses' }, responseBytes)
    metrics.clientMemory.set({ use: 'copies' }, copyBytes)
    metrics.unfinishedBodies.set(unfinishedBodies)
    metrics.clientConnections.set(front.connections())
    metrics.quarantinedPrompts.set(quarantine.count('prompt'))
    metrics.quarantinedRequests.set(quarantine.count('request'))
    metrics.holdsLease.set(lease.termForOrder() === undefined ? 0 : 1)
  })

  const membersFollower = createKeyedFollower({
    log: ports.log,
    clock,
    logger,
    topic: ports.topics.members,
    settings: { pollMilliseconds: MEMBERS_POLL_MILLISECONDS, minimumIntervalMilliseconds: LOG_RETRY_MILLISECONDS, retryMilliseconds: LOG_RETRY_MILLISECONDS },
    onSnapshot: (records) => members.applyList({ members: records.flatMap(({ value }) => (value === undefined ? undefined : decodeMember(value)) ?? []), isComplete: true }),
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

  const publishMember = async (): Promise<void> => {
    const publishedState = state
    while (!stopping.signal.aborted && publishedState === state) {
      const answer = await ports.log.appendKeyed(ports.topics.members, initialSettings.vm, encodeMember(self()))
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
        logger.error('a controller threw an unexpected error and will be restarted', { event: 'controller-failed', step: name, reason: reason instanceof Error ? reason.stack ?? reason.message : String(reason) })
        await clock.sleep(CONTROLLER_RESTART_MILLISECONDS, stopping.signal)
      }
    }
  }

  void publishMember()
  void supervise('configuration', configurationFollower.run)
  void supervise('targets', targetsFollower.run)
  void supervise('members', membersFollower.run)
  void supervise('exchange', exchange.run)
  void supervise('lease', lease.run)
  void supervise('stream-origins', streamOrigins.run)
  void supervise('target-probes', forwarder.probes.run)
  void supervise('allowances', allowances.run)
  void supervise('clock-watch', async (signal) => await watchClocks(clock, logger, signal))
  logger.info('daemon started', { event: 'daemon-started', front: initialSettings.frontAddress, peer: self().peerAddress })

  const stop = async (signalledAt: Milliseconds): Promise<void> => {
    const times = deriveStopTimes({ signalledAt, graceMilliseconds: options.settings().graceMilliseconds, drainMilliseconds: ENTRY_LIFETIME_SECONDS * ENTRY_CACHE_FACTOR * 1000 + DRAIN_MARGIN_MILLISECONDS })
    const { endsAt } = times
    daemonStop.schedule(times)
    state = 'leaving'
    logger.info('daemon is draining', { event: 'daemon-leaving', active: activeRequests() })
    void publishMember()
    let isLeaseReleased = false
    const released = lease.release(stopping.signal).then(() => { isLeaseReleased = true })
    void exchange.exchangeWithAll()
    await clock.sleep(times.drainedAt - clock.now())
    // Without another daemon, new connections bring requests that can still be finished, or get a refusal that says when to come back.
    while (!hasServingPeer() && activeRequests() > 0 && clock.now() < times.lastRequestAt) await clock.sleep(STOP_POLL_MILLISECONDS)
    await front.stopAccepting()
    // The other daemons request placements from this one until its lease is released.
    while ((activeRequests() > 0 || !isLeaseReleased) && clock.now() < endsAt) await clock.sleep(STOP_POLL_MILLISECONDS)
    const unfinished = activeRequests()
    daemonStop.end()
    // Requests that have arrived get a refusal rather than a closed connection.
    await readPendingEvents()
    front.closeConnections()
    daemonStop.endRequests()
    stopping.abort()
    await released
    // Also if there is no time left, the responses are written.
    await readPendingEvents()
    while (activeRequests() > 0 && clock.now() < times.exitsAt) await clock.sleep(LAST_POLL_MILLISECONDS)
    if (clock.now() < endsAt) await clock.sleep(FLUSH_MILLISECONDS)
    logger.info('daemon stopped', { event: 'daemon-stopped', unfinished, active: activeRequests(), milliseconds: Math.round(clock.now() - signalledAt) })
  }

  let stopped: Promise<void> | undefined
  return {
    stop: async (signalledAt = clock.now()) => await (stopped ??= stop(signalledAt)),
    onSettingsChanged: () => logger.info('reloaded the settings', { event: 'settings-reloaded' })
  }
}
