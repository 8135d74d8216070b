import { randomUUID } from 'node:crypto'
import { claimStream, createClaimClient, createClaimOwner, type ClaimClient } from '@fuchsiastage/claims'
import type { Timer } from '@fuchsiastage/clock'
import { createConfigurationController, readPermittedFormat, type ConfigurationController } from '@fuchsiastage/configuration'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import { createKeepWarmPolicy } from '@fuchsiastage/keep-warm'
import { createLeasedStream, rendezvousRank } from '@fuchsiastage/leased-stream'
import { chooseEntries, createMembershipController, ENTRY_ROLE } from '@fuchsiastage/membership'
import { createPlacementController, foldPlacement, isSettled, type WantReplicaAnswer } from '@fuchsiastage/placement'
import { createReportStore, createRequestTracker, createRouter } from '@fuchsiastage/routing'
import type { Milliseconds, VmListing } from '@fuchsiastage/types'
import { err, ok, type Result } from 'true-myth/result'
import { createClaimRoles, WATCHER_COUNT } from './claim-roles.js'
import { createDemandTracker } from './demand-tracker.js'
import { configurationTiming, keepWarmSettings, leaseTiming, membershipTiming, placementSettings, routerSettings } from './controller-settings.js'
import type { DaemonCore, DaemonCoreOptions, DaemonGauges, DaemonStatus } from './daemon-types.js'
import { createPeerHandlers } from './peer-handlers.js'
import { decodePosition, encodePosition } from './position-payload.js'
import { createPlacementConfiguration, placementTargets } from './placement-configuration.js'
import { createReplicaView } from './replica-view.js'
import { createRequestPath } from './request-path.js'
import { createRoleCandidates } from './role-candidates.js'
import { createTargetObservation } from './target-observation.js'
import { STATE_TIMEOUT_MILLISECONDS } from './target-services.js'
import { createActiveDaemonCounter } from './traffic-count.js'
import { createVmDirectory } from './vm-directory.js'

const CLAIM_LINGER_MILLISECONDS = 5
const CLAIM_GRANT_GRACE_MILLISECONDS = 2_000
const CLAIM_STATE_POLL_MILLISECONDS = 250
const CLAIM_ROLE_INTERVAL_MILLISECONDS = 1_000
const CLAIM_ROLE_RETENTION_MILLISECONDS = 30_000
const ISOLATED_RETRY_AFTER_MILLISECONDS = 2_000
const RESIGN_TIMEOUT_MILLISECONDS = 3_000
/**
 * Maximum time for which a planned stop waits until the claims of this daemon are settled. A caller
 * that repeats the request of a claim that is still unsettled then receives the outcome `unknown`.
 */
const SETTLE_TIMEOUT_MILLISECONDS = 10_000

/** Requests for the same model within this interval share one replica request to the holder of the placement lease. */
const SHARED_REPLICA_REQUEST_MILLISECONDS = 100

/**
 * Creates the controllers of a daemon and connects them to each other and to the given ports.
 *
 * @example
 * const core = createDaemonCore({ settings, clock, logger, random: Math.random, ports })
 * core.start()
 */
export function createDaemonCore (options: DaemonCoreOptions): DaemonCore {
  const { settings, clock, logger, random } = options
  const { logService, targets } = options.ports
  const { name, region } = settings.daemon
  const incarnation = randomUUID()
  const stopping = new AbortController()
  const timers = new Set<Timer>()

  const vms = createVmDirectory(region)
  const reports = createReportStore({ clock })
  const tracker = createRequestTracker({ clock })

  const peerCalls = options.ports.connectPeers({
    addressOf: (daemon) => vms.daemon(daemon)?.peerAddress,
    members: (): readonly string[] => membership.memberList()
  })
  const membership = createMembershipController({
    self: { name, role: ENTRY_ROLE, region, dataCentre: settings.daemon.dataCentre, address: settings.listen.callers, peerAddress: settings.listen.peers, state: 'live' },
    clock,
    logger,
    random,
    transport: peerCalls.membership,
    readListing: (signal) => targets.vmList.read(signal),
    timing: membershipTiming(settings)
  })
  /**
   * Time of the last message from a peer. If it was a response, the time at which its request was sent
   * counts instead, because the content of the response may be as old as that.
   */
  let lastPeerContactAt = -Infinity
  membership.attachPayload('c', {
    produce: () => encodePosition(configuration.position()),
    receive: ({ member, value, receivedAt, roundTripMilliseconds }) => {
      lastPeerContactAt = Math.max(lastPeerContactAt, receivedAt - (roundTripMilliseconds ?? 0))
      const position = decodePosition(value)
      // The age of a position in a received probe is not bounded, so only positions in responses count.
      if (position === undefined || roundTripMilliseconds === undefined) return
      configuration.recordPosition({ member, sentAt: receivedAt - roundTripMilliseconds, receivedAt, position })
    }
  })
  /**
   * Fails if this daemon has recently neither read the VM list nor received a message from a peer. The
   * VM list may be the only source that reports a target as draining, so an isolated daemon must not
   * send new requests to any target.
   */
  const checkNotIsolated = (): Result<void, FuchsiastageError> => {
    const lastContactAt = Math.max(lastPeerContactAt, membership.listing()?.readAt ?? -Infinity)
    if (clock.now() - lastContactAt <= settings.membership.targetNewsMilliseconds) return ok(undefined)
    return err(createError({ code: 'daemon-isolated', message: 'this daemon has had no recent contact with the VM list or another daemon', step: 'freshness', status: 503, retryAfterMilliseconds: ISOLATED_RETRY_AFTER_MILLISECONDS }))
  }
  const candidates = createRoleCandidates(membership)
  const regionDaemons = (): readonly string[] => candidates.ofRegion(region)

  const configuration: ConfigurationController = createConfigurationController({
    daemon: name,
    logService,
    clock,
    logger,
    peers: peerCalls.configuration,
    mode: settings.configuration.unverified,
    memberListDifference: settings.configuration.memberListDifference,
    timing: configurationTiming(settings),
    knownDataCentres: [...settings.dataCentres.keys()],
    snapshotRank: () => rendezvousRank('configuration', candidates.all(), name, WATCHER_COUNT),
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
  const permittedFormat = (stream: string): number => readPermittedFormat(configuration.document(), stream)
  const placementStream = createLeasedStream({
    ...streamOptions,
    permittedFormat: () => permittedFormat(placementStreamName),
    stream: placementStreamName,
    fold: foldPlacement,
    rank: () => rendezvousRank(placementStreamName, regionDaemons(), name, WATCHER_COUNT)
  })
  const placement = createPlacementController({
    leased: placementStream,
    engineClient: targets.placementEngine,
    configuration: createPlacementConfiguration(configuration),
    targets: () => placementTargets(vms, configuration, reports.isLeaving),
    keepWarm: createKeepWarmPolicy(keepWarmSettings(settings)),
    clock,
    logger,
    settings: placementSettings(settings)
  })

  const claimRoles = createClaimRoles({
    clock,
    daemon: name,
    partitions: settings.claims.partitions,
    // A caller may repeat an idempotency key in another region, so claims have owners across all regions.
    candidates: candidates.all,
    intervalMilliseconds: CLAIM_ROLE_INTERVAL_MILLISECONDS,
    retentionMilliseconds: CLAIM_ROLE_RETENTION_MILLISECONDS,
    createOwner: (partition, rank) => createClaimOwner({
      ...streamOptions,
      permittedFormat: () => permittedFormat('claims'),
      partition,
      rank,
      horizonMilliseconds: settings.claims.horizonMilliseconds,
      lingerMilliseconds: CLAIM_LINGER_MILLISECONDS,
      maximumAppendsPerSecond: settings.claims.appendsPerSecond,
      claimState: async (daemon, claimId, signal) => await peerCalls.claimState(daemon, claimId, signal),
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
    transport: peerCalls.claims,
    retryMilliseconds: settings.logService.retryMilliseconds,
    callMilliseconds: settings.claims.timeoutMilliseconds,
    ownerTimeoutMilliseconds: settings.claims.timeoutMilliseconds,
    claimRetentionMilliseconds: settings.claims.horizonMilliseconds
  })

  const activeDaemons = createActiveDaemonCounter(clock, tracker)
  membership.attachPayload('t', activeDaemons.payload)

  const router = createRouter({
    clock,
    random,
    daemon: name,
    reports,
    tracker,
    latency: (dataCentre) => settings.dataCentres.get(dataCentre)?.latencyMilliseconds ?? 0,
    daemonsRouting: activeDaemons.daemonsRouting,
    settings: routerSettings(settings)
  })
  const demand = createDemandTracker(clock)

  const requestFromHolder: Parameters<typeof createReplicaView>[0]['requestFromHolder'] = async (requested): Promise<WantReplicaAnswer> => {
    const adapter = configuration.index().adapters.get(requested.model)
    const request = {
      model: adapter?.model ?? requested.model,
      adapter: adapter === undefined ? undefined : requested.model,
      deadlineMilliseconds: requested.deadlineMilliseconds,
      priority: requested.priority,
      waiting: requested.waiting
    }
    const holder = placementStream.holder()
    if (holder === name) return placement.wantReplica(request)
    const notHolder: WantReplicaAnswer = { kind: 'refused', code: 'not-holder', retryAfterMilliseconds: settings.logService.leaseRenewMilliseconds }
    if (holder === undefined) return notHolder
    const answer = await peerCalls.wantReplica(holder, { ...request, from: name, request: requested.request })
    return answer.unwrapOr(notHolder)
  }
  const replicas = createReplicaView({ clock, configuration, directory: () => placement.directory, vms, router, isLeaving: reports.isLeaving, demand, requestFromHolder, sharedRequestMilliseconds: SHARED_REPLICA_REQUEST_MILLISECONDS })

  const recordTargetDraining = (target: string): void => {
    if (reports.isLeaving(target)) return
    reports.markLeaving(target)
    const address = vms.target(target)?.address
    if (address !== undefined) membership.markTargetLeaving(target, 'address', address)
    logger.info('target is draining; no new requests are routed to it', { event: 'target-leaving', peer: target })
  }
  const observation = createTargetObservation({
    daemon: name,
    clock,
    logger,
    reports,
    targets: vms.targets,
    observerLookup: candidates.observerLookup,
    watchedTargets: () => router.watchedTargets(),
    readState: (address, signal) => targets.engine.readState(address, signal),
    requestReports: (daemon, names, signal) => peerCalls.targetReports(daemon, names, signal),
    onChange: (target, state) => {
      const holder = placementStream.holder()
      if (holder === name) placement.targetChanged(target.name)
      else if (holder !== undefined) void peerCalls.targetChanged(holder, { target: target.name, state: { incarnation: state.incarnation } })
    },
    onTargetDraining: recordTargetDraining,
    intervalMilliseconds: settings.membership.targetPollMilliseconds,
    timeoutMilliseconds: STATE_TIMEOUT_MILLISECONDS
  })

  const { handle, queues } = createRequestPath({
    settings,
    clock,
    random,
    configuration,
    checkNotIsolated,
    placement: replicas,
    router,
    tracker,
    claims,
    targets,
    readTargetStates: (routingTargets) => observation.readNow(routingTargets.map((target) => target.name)),
    onTargetDraining: recordTargetDraining,
    onModelMissing: (target) => {
      const holder = placementStream.holder()
      if (holder === name) placement.targetChanged(target)
      else if (holder !== undefined) void peerCalls.targetChanged(holder, { target, state: {} })
    }
  })

  const repeatEvery = (interval: Milliseconds, run: () => void): void => {
    const repeat = (): void => {
      timers.delete(timer)
      if (stopping.signal.aborted) return
      run()
      repeatEvery(interval, run)
    }
    const timer = clock.setTimer(interval, repeat)
    timers.add(timer)
  }

  const reportUsage = (): void => {
    const models = demand.takeReport()
    const holder = placementStream.holder()
    if (models.length === 0 || holder === undefined) return
    if (holder !== name) {
      void peerCalls.usageReport(holder, { from: name, models: models.map((entry) => ({ ...entry })) })
      return
    }
    for (const { model, requests, running } of models) placement.reportUsage({ daemon: name, name: model, requests, inFlight: running })
  }

  const gauges = (): DaemonGauges => {
    const { version, verifiedAgeMilliseconds, uptimeMilliseconds } = configuration.position()
    const reservations = [...placementStream.follower.view().state.payload.reservations.values()]
    return {
      ...queues.totals(),
      version,
      // Without a verified read, the age of the configuration is at least the uptime of the process.
      verifiedAgeMilliseconds: verifiedAgeMilliseconds ?? uptimeMilliseconds,
      isRefusing: configuration.freshness().kind !== 'serve',
      membersAlive: candidates.all().length,
      unsettledClaims: claims.unsettledCount(),
      rolesHeld: claimRoles.owners().filter((owner) => owner.isOwner()).length + (placementStream.currentEpoch() === undefined ? 0 : 1),
      reservationsInDoubt: reservations.filter((reservation) => !isSettled(reservation)).length,
      placementQueue: placement.status().queued
    }
  }

  let isLeaving = false
  const daemonListeners: ((peerAddresses: readonly string[]) => void)[] = []

  const status = (): DaemonStatus => ({
    daemon: name,
    members: membership.members().map(({ vm, status: memberStatus, isLeaving: memberIsLeaving }) => ({ name: vm.name, dataCentre: vm.dataCentre, status: memberStatus, isLeaving: memberIsLeaving })),
    placement: { holder: placementStream.holder() ?? null, ...placement.status() },
    claims: claimRoles.owners().map((owner) => ({ partition: owner.partition, holder: owner.holder() ?? null, isOwner: owner.isOwner() })),
    leavingTargets: vms.targets().filter((target) => reports.isLeaving(target.name)).map((target) => target.name),
    reservations: [...placementStream.follower.view().state.payload.reservations.values()].map((reservation) => ({ target: reservation.target, model: reservation.model, isUsable: reservation.isUsable, isInDoubt: !isSettled(reservation) }))
  })

  const versionsInForce = async (): Promise<unknown> => {
    const others = membership.memberList().filter((member) => member !== name)
    const answers = await Promise.all(others.map(async (member) => {
      const answer = await peerCalls.versionInForce(member)
      return answer.isOk ? answer.value : { daemon: member, unreachable: answer.error.message }
    }))
    const { version, nextOffset, verifiedAgeMilliseconds } = configuration.position()
    return { daemons: [{ daemon: name, version, nextOffset, verifiedAgeMilliseconds, status: configuration.freshness().kind }, ...answers] }
  }

  const peerHandlers = createPeerHandlers({ daemon: name, clock, configuration, placement, placementStream, claimRoles, claims, reports, membership })

  const updateListing = (listing: VmListing): void => {
    if (!vms.update(listing)) return
    const names = new Set(vms.targets().map((target) => target.name))
    reports.retain(names)
    tracker.retain(names)
    replicas.refresh()
    const peerAddresses = vms.daemons().flatMap(({ peerAddress }) => peerAddress ?? [])
    for (const listener of daemonListeners) listener(peerAddresses)
  }

  const start = (): void => {
    membership.events.on('listing', ({ listing }) => updateListing(listing))
    membership.events.on('targetLeaving', ({ name: target }) => reports.markLeaving(target))
    configuration.events.on('version', () => replicas.refresh())
    placementStream.follower.events.on('applied', () => replicas.refresh())
    configuration.start()
    placementStream.start()
    placement.start()
    membership.start()
    claimRoles.start()
    observation.start()
    repeatEvery(settings.placement.usageReportMilliseconds, reportUsage)
  }

  const leave = async (): Promise<void> => {
    isLeaving = true
    membership.leave()
    const resignTimeout = new AbortController()
    const timer = clock.setTimer(RESIGN_TIMEOUT_MILLISECONDS, () => resignTimeout.abort())
    await Promise.all([placementStream.resign(resignTimeout.signal), claimRoles.resignAll(resignTimeout.signal)])
    timer.cancel()
  }

  const streams = (): Readonly<Record<string, string>> => ({
    configuration: configuration.follower.view().status,
    [placementStreamName]: placementStream.follower.view().status,
    ...Object.fromEntries(claimRoles.owners().map((owner) => [claimStream(owner.partition), owner.status()]))
  })

  const settleClaims = async (): Promise<void> => {
    const settleDeadline = clock.now() + SETTLE_TIMEOUT_MILLISECONDS
    while (claims.unsettledCount() > 0 && clock.now() < settleDeadline) await clock.sleep(CLAIM_STATE_POLL_MILLISECONDS)
  }

  const stop = async (): Promise<void> => {
    stopping.abort()
    claims.stop()
    queues.stop()
    observation.stop()
    for (const timer of timers) timer.cancel()
    await Promise.all([membership.stop(), placement.stop(), claimRoles.stop(), configuration.stop(), placementStream.stop()])
  }

  return {
    start,
    handle,
    entries: (callerAddress) => ({
      entries: chooseEntries(membership.members(), callerAddress, settings.membership.entryCount),
      keepMilliseconds: settings.membership.entryKeepMilliseconds
    }),
    peerHandlers,
    configuration,
    isReady: () => configuration.checkFreshness().isOk && !isLeaving && !Object.values(streams()).includes('unsupported-format'),
    streams,
    onFirstByte: (listener) => tracker.onEnd((_target, result) => { if (result.kind === 'success') listener(result.firstByteMilliseconds) }),
    versionsInForce,
    status,
    gauges,
    leave,
    settleClaims,
    stop,
    onDaemonsChanged: (listener) => { daemonListeners.push(listener) }
  }
}
