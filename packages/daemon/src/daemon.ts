import { randomUUID } from 'node:crypto'
import { createClaimClient, createClaimOwner, type ClaimClient } from '@fuchsiastage/claims'
import type { Clock, Timer } from '@fuchsiastage/clock'
import { createConfigurationController, DEFAULT_CONFIGURATION_TIMING, type ConfigurationController } from '@fuchsiastage/configuration'
import { createKeepWarmPolicy, DEFAULT_KEEP_WARM_SETTINGS } from '@fuchsiastage/keep-warm'
import { createLeasedStream, rendezvousRank } from '@fuchsiastage/leased-stream'
import { createHttpLogService } from '@fuchsiastage/log-client'
import type { Logger } from '@fuchsiastage/logger'
import { chooseEntries } from '@fuchsiastage/membership'
import { createPeerClient, startPeerServer, type PeerServer } from '@fuchsiastage/peer'
import { createPlacementController, DEFAULT_PLACEMENT_SETTINGS, foldPlacement, type WantReplicaAnswer } from '@fuchsiastage/placement'
import { createReportStore, createRequestTracker, createRouter } from '@fuchsiastage/routing'
import type { Settings } from '@fuchsiastage/settings'
import type { Milliseconds } from '@fuchsiastage/types'
import { startCallersServer, type HttpServer } from './callers-server.js'
import { createClaimRoles, WATCHERS } from './claim-roles.js'
import { createDaemonMembership } from './daemon-membership.js'
import { createDemandBook } from './demand-book.js'
import { leaseTiming, snapshotInterval } from './lease-timing.js'
import { createMetrics } from './metrics.js'
import { startOperatorsServer } from './operators-server.js'
import { createPeerCalls } from './peer-calls.js'
import { createPeerHandlers } from './peer-handlers.js'
import { createPlacementConfiguration, placementTargets } from './placement-configuration.js'
import { createReplicaView } from './replica-view.js'
import { createRequestPath } from './request-path.js'
import { createTargetObservation } from './target-observation.js'
import { createTargetServices, STATE_TIMEOUT_MILLISECONDS } from './target-services.js'
import { createVmDirectory } from './vm-directory.js'

export interface DaemonOptions {
  readonly settings: Settings
  readonly clock: Clock
  readonly logger: Logger
  /** Uniform in [0, 1). */
  readonly random?: () => number
}

export interface DaemonAddresses {
  readonly callers: string
  readonly operators: string
  readonly peers: string
}

export interface Daemon {
  readonly start: () => Promise<DaemonAddresses>
  /** Planned stop: leaves the entries, hands over roles, and ends when the last request has ended. */
  readonly stop: () => Promise<void>
}

const CLAIM_LINGER_MILLISECONDS = 5
const CLAIM_GRANT_GRACE_MILLISECONDS = 2_000
const CLAIM_STATE_POLL_MILLISECONDS = 250
const ROLE_INTERVAL_MILLISECONDS = 1_000
const ROLE_KEEP_MILLISECONDS = 30_000
const RESIGN_TIMEOUT_MILLISECONDS = 3_000
/** A claim that is not settled by then is answered `unknown` to a caller that asks again. */
const SETTLE_TIMEOUT_MILLISECONDS = 10_000
const SUBMIT_TIMEOUT_MILLISECONDS = 20_000

/** Requests for one model within this time share one question to the placement holder. */
const SHARE_QUESTION_MILLISECONDS = 100

/**
 * Builds a daemon: one process that routes requests and may hold any role.
 *
 * @example
 * const daemon = createDaemon({ settings, clock: createSystemClock(), logger })
 * const addresses = await daemon.start()
 */
export function createDaemon (options: DaemonOptions): Daemon {
  const { settings, clock, logger, random = Math.random } = options
  const { name, region } = settings.daemon
  const incarnation = randomUUID()
  const metrics = createMetrics()
  const stopping = new AbortController()
  const timers = new Set<Timer>()

  const logService = createHttpLogService({
    url: `http://${settings.logService.address}`,
    appendTimeoutMilliseconds: settings.logService.appendTimeoutMilliseconds,
    readMarginMilliseconds: settings.logService.readMarginMilliseconds
  })
  const targets = createTargetServices(settings, clock)
  const peerClient = createPeerClient({ key: settings.peers.key, defaultTimeoutMilliseconds: settings.peers.timeoutMilliseconds })
  const vms = createVmDirectory({ clock, logger, client: targets.vmList, region, intervalMilliseconds: settings.vmList.pollMilliseconds })
  const reports = createReportStore({ clock })
  const tracker = createRequestTracker({ clock })

  const calls = createPeerCalls({
    daemon: name,
    client: peerClient,
    addressOf: (daemon) => vms.daemon(daemon)?.peerAddress,
    members: () => membership.memberList(),
    timeoutMilliseconds: settings.peers.timeoutMilliseconds,
    claimTimeoutMilliseconds: settings.claims.timeoutMilliseconds
  })
  const membership = createDaemonMembership({ settings, clock, logger, random, vms, calls, incarnation })
  const regionDaemons = (): readonly string[] => membership.roleCandidates(region)

  const configuration: ConfigurationController = createConfigurationController({
    daemon: name,
    logService,
    clock,
    logger,
    peers: calls.configuration,
    mode: settings.configuration.unverified,
    memberListDifference: settings.configuration.memberListDifference,
    timing: {
      ...DEFAULT_CONFIGURATION_TIMING,
      pollMilliseconds: settings.logService.pollMilliseconds,
      retryMilliseconds: settings.logService.retryMilliseconds,
      pullAfterMilliseconds: settings.configuration.pullAfterMilliseconds,
      pullIntervalMilliseconds: settings.configuration.pullIntervalMilliseconds,
      peerTimeoutMilliseconds: settings.peers.timeoutMilliseconds,
      snapshotEveryRecords: settings.logService.snapshotEveryRecords,
      snapshotEveryMilliseconds: snapshotInterval(settings.logService.retentionMilliseconds),
      snapshotRankDelayMilliseconds: settings.configuration.snapshotRankDelayMilliseconds
    },
    knownDataCentres: [...settings.dataCentres.keys()],
    snapshotRank: () => rendezvousRank('configuration', membership.allCandidates(), name, WATCHERS),
    random
  })

  const streamOptions = {
    daemon: name,
    logService,
    clock,
    logger,
    timing: leaseTiming(settings),
    pollMilliseconds: settings.logService.pollMilliseconds,
    retryMilliseconds: settings.logService.retryMilliseconds
  }
  const placementStreamName = `placement.${region}`
  const placementStream = createLeasedStream({
    ...streamOptions,
    stream: placementStreamName,
    fold: foldPlacement,
    rank: () => rendezvousRank(placementStreamName, regionDaemons(), name, WATCHERS)
  })
  const placement = createPlacementController({
    leased: placementStream,
    engineClient: targets.placementEngine,
    configuration: createPlacementConfiguration(configuration),
    targets: () => placementTargets(vms, configuration, reports.isLeaving),
    keepWarm: createKeepWarmPolicy({
      ...DEFAULT_KEEP_WARM_SETTINGS,
      coldStartWeight: settings.keepWarm.coldStartWeight,
      idleWeight: settings.keepWarm.idleWeight,
      intervalMilliseconds: settings.keepWarm.intervalMilliseconds
    }),
    clock,
    logger,
    settings: {
      ...DEFAULT_PLACEMENT_SETTINGS,
      loadsPerSecond: settings.weightStore.loadsPerSecond,
      concurrentLoads: settings.weightStore.concurrentLoads,
      orderTimeoutMilliseconds: settings.placement.orderTimeoutMilliseconds,
      sweepMilliseconds: settings.membership.targetSweepMilliseconds
    }
  })

  const claimRoles = createClaimRoles({
    clock,
    daemon: name,
    partitions: settings.claims.partitions,
    candidates: regionDaemons,
    intervalMilliseconds: ROLE_INTERVAL_MILLISECONDS,
    keepMilliseconds: ROLE_KEEP_MILLISECONDS,
    createOwner: (partition, rank) => createClaimOwner({
      ...streamOptions,
      partition,
      rank,
      horizonMilliseconds: settings.claims.horizonMilliseconds,
      lingerMilliseconds: CLAIM_LINGER_MILLISECONDS,
      maximumAppendsPerSecond: settings.claims.appendsPerSecond,
      claimState: async (daemon, claimId, signal) => await calls.claimState(daemon, claimId, signal),
      grantGraceMilliseconds: CLAIM_GRANT_GRACE_MILLISECONDS,
      claimStatePollMilliseconds: CLAIM_STATE_POLL_MILLISECONDS
    })
  })
  const claims: ClaimClient = createClaimClient({
    daemon: name,
    incarnation,
    clock,
    logger,
    partitions: settings.claims.partitions,
    ownersOf: claimRoles.ownersOf,
    transport: calls.claims,
    retryMilliseconds: settings.logService.retryMilliseconds,
    callMilliseconds: settings.claims.timeoutMilliseconds,
    patienceMilliseconds: settings.claims.timeoutMilliseconds,
    rememberMilliseconds: settings.claims.horizonMilliseconds
  })

  const router = createRouter({
    clock,
    random,
    daemon: name,
    reports,
    tracker,
    latency: (dataCentre) => settings.dataCentres.get(dataCentre)?.latencyMilliseconds ?? 0,
    daemonsRouting: () => Math.max(1, regionDaemons().length),
    settings: { subsetSize: settings.routing.subsetSize, newsMilliseconds: settings.membership.targetNewsMilliseconds }
  })
  const demand = createDemandBook(clock)

  const askHolder: Parameters<typeof createReplicaView>[0]['askHolder'] = async (wanted, signal): Promise<WantReplicaAnswer> => {
    const adapter = configuration.index().adapters.get(wanted.model)
    const request = {
      model: adapter?.model ?? wanted.model,
      adapter: adapter === undefined ? undefined : wanted.model,
      deadlineMilliseconds: wanted.deadlineMilliseconds,
      priority: wanted.priority,
      waiting: wanted.waiting
    }
    const holder = placementStream.holder()
    if (holder === name) return placement.wantReplica(request)
    const notHolder: WantReplicaAnswer = { kind: 'refused', code: 'not-holder', retryAfterMilliseconds: settings.logService.leaseRenewMilliseconds }
    if (holder === undefined) return notHolder
    const answer = await calls.wantReplica(holder, { ...request, from: name, request: wanted.request }, signal)
    return answer.unwrapOr(notHolder)
  }
  const replicas = createReplicaView({ clock, configuration, directory: () => placement.directory, vms, router, demand, askHolder, shareMilliseconds: SHARE_QUESTION_MILLISECONDS })

  const noteLeaving = (target: string): void => {
    reports.markLeaving(target)
    membership.markTargetLeaving(target)
  }
  const observation = createTargetObservation({
    daemon: name,
    clock,
    logger,
    reports,
    targets: vms.targets,
    observersOf: (target) => membership.observersOf(target),
    watchedTargets: () => router.watchedTargets(),
    readState: (address, signal) => targets.engine.readState(address, signal),
    askObserver: (daemon, names, signal) => calls.targetReports(daemon, names, signal),
    onChange: (target, state) => {
      const holder = placementStream.holder()
      if (holder === name) placement.targetChanged(target.name)
      else if (holder !== undefined) void calls.targetChanged(holder, { target: target.name, state: { incarnation: state.incarnation } })
    },
    onLeaving: noteLeaving,
    onNews: () => replicas.wake(),
    intervalMilliseconds: settings.membership.targetPollMilliseconds,
    timeoutMilliseconds: STATE_TIMEOUT_MILLISECONDS
  })

  const { handle, queues } = createRequestPath({
    settings,
    clock,
    random,
    configuration,
    placement: replicas,
    router,
    tracker,
    claims,
    targets,
    onLeaving: noteLeaving,
    onModelMissing: (target) => {
      const holder = placementStream.holder()
      if (holder === name) placement.targetChanged(target)
      else if (holder !== undefined) void calls.targetChanged(holder, { target, state: {} })
    }
  })

  const every = (interval: Milliseconds, run: () => void): void => {
    const repeat = (): void => {
      timers.delete(timer)
      if (stopping.signal.aborted) return
      run()
      every(interval, run)
    }
    const timer = clock.setTimer(interval, repeat)
    timers.add(timer)
  }

  const reportUsage = (): void => {
    const models = demand.takeReport()
    const holder = placementStream.holder()
    if (models.length === 0 || holder === undefined) return
    if (holder !== name) {
      void calls.usageReport(holder, { from: name, models: models.map((entry) => ({ ...entry })) })
      return
    }
    for (const { model, requests, running } of models) placement.reportUsage({ daemon: name, name: model, requests, inFlight: running })
  }

  const collectMetrics = async (): Promise<string> => {
    const { waiting, running } = queues.totals()
    const { version, verifiedAgeMilliseconds } = configuration.position()
    metrics.waiting.set(waiting)
    metrics.running.set(running)
    metrics.configurationVersion.set(version)
    if (verifiedAgeMilliseconds !== undefined) metrics.configurationAgeSeconds.set(verifiedAgeMilliseconds / 1_000)
    metrics.refusing.set(configuration.freshness().kind === 'serve' ? 0 : 1)
    metrics.membersAlive.set(membership.allCandidates().length)
    metrics.unsettledClaims.set(claims.unsettledCount())
    metrics.rolesHeld.set(claimRoles.owners().filter((owner) => owner.isOwner()).length + (placementStream.currentEpoch() === undefined ? 0 : 1))
    return await metrics.registry.metrics()
  }

  let callers: HttpServer | undefined
  let operators: HttpServer | undefined
  let peers: PeerServer | undefined

  const status = (): unknown => ({
    daemon: name,
    members: membership.describe(),
    placement: { holder: placementStream.holder() ?? null, ...placement.status() },
    claims: claimRoles.owners().map((owner) => ({ partition: owner.partition, holder: owner.holder() ?? null, isOwner: owner.isOwner() })),
    leavingTargets: vms.targets().filter((target) => reports.isLeaving(target.name)).map((target) => target.name),
    reservations: [...placementStream.follower.view().state.payload.reservations.values()].map(({ target, model, isUsable }) => ({ target, model, isUsable }))
  })

  const inForce = async (): Promise<unknown> => {
    const others = membership.memberList().filter((member) => member !== name)
    const answers = await Promise.all(others.map(async (member) => {
      const answer = await calls.versionInForce(member)
      return answer.isOk ? answer.value : { daemon: member, unreachable: answer.error.message }
    }))
    const { version, nextOffset, verifiedAgeMilliseconds } = configuration.position()
    return { daemons: [{ daemon: name, version, nextOffset, verifiedAgeMilliseconds, status: configuration.freshness().kind }, ...answers] }
  }

  const start = async (): Promise<DaemonAddresses> => {
    vms.events.on('changed', () => {
      peerClient.retain(vms.daemons().flatMap(({ peerAddress }) => peerAddress ?? []))
      reports.retain(new Set(vms.targets().map((target) => target.name)))
      tracker.retain(new Set(vms.targets().map((target) => target.name)))
      replicas.refresh()
    })
    configuration.events.on('version', () => replicas.refresh())
    placementStream.follower.events.on('applied', () => replicas.refresh())
    peers = await startPeerServer({
      handlers: createPeerHandlers({
        daemon: name,
        clock,
        configuration,
        placement,
        placementStream,
        claimRoles,
        claims,
        reports,
        probe: membership.answerProbe,
        probeIndirect: membership.answerIndirectProbe
      }),
      acceptedKeys: [settings.peers.key, ...settings.peers.previousKey === undefined ? [] : [settings.peers.previousKey]],
      ...splitAddress(settings.listen.peers),
      logger
    })
    vms.start()
    configuration.start()
    placementStream.start()
    placement.start()
    membership.start()
    claimRoles.start()
    observation.start()
    every(settings.placement.usageReportMilliseconds, reportUsage)
    operators = await startOperatorsServer({
      ...splitAddress(settings.listen.operators),
      acceptedTokens: [settings.operators.token, ...settings.operators.previousToken === undefined ? [] : [settings.operators.previousToken]],
      logger,
      configuration,
      submitTimeoutMilliseconds: SUBMIT_TIMEOUT_MILLISECONDS,
      inForce,
      status
    })
    callers = await startCallersServer({
      ...splitAddress(settings.listen.callers),
      clock,
      logger,
      metrics,
      handle,
      entries: (callerAddress) => ({
        entries: chooseEntries(membership.members(), callerAddress, settings.membership.entryCount),
        keepMilliseconds: settings.membership.entryKeepMilliseconds
      }),
      readiness: () => ({ isReady: configuration.checkFreshness().isOk && !membership.isLeaving(), configuration: configuration.follower.view().status, version: configuration.version() }),
      collectMetrics
    })
    return { callers: callers.address, operators: operators.address, peers: peers.address }
  }

  const stop = async (): Promise<void> => {
    logger.info('planned stop begins', { event: 'stop-begins' })
    membership.leave()
    const limit = AbortSignal.timeout(RESIGN_TIMEOUT_MILLISECONDS)
    await Promise.all([placementStream.resign(limit), claimRoles.resignAll(limit)])
    // Callers may keep an entry answer that still names this daemon for this long.
    await clock.sleep(settings.membership.entryKeepMilliseconds + settings.membership.leavingMarginMilliseconds)
    await callers?.close()
    const settledBy = clock.now() + SETTLE_TIMEOUT_MILLISECONDS
    while (claims.unsettledCount() > 0 && clock.now() < settledBy) await clock.sleep(CLAIM_STATE_POLL_MILLISECONDS)
    stopping.abort()
    claims.stop()
    queues.stop()
    observation.stop()
    membership.stop()
    vms.stop()
    for (const timer of timers) timer.cancel()
    await Promise.all([placement.stop(), claimRoles.stop(), configuration.stop(), placementStream.stop()])
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
