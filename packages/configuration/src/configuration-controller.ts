import { randomUUID } from 'node:crypto'
import { linkSignals, withTimeout, type Clock } from '@fuchsiastage/clock'
import { createError, type FuchsiastageError } from '@fuchsiastage/errors'
import {
  appendConfirmed,
  createStreamFollower,
  SNAPSHOT_KIND,
  type LogRecord,
  type LogService,
  type PeerSnapshot,
  type StreamFold,
  type StreamFollower,
  type StreamRecord
} from '@fuchsiastage/log-client'
import type { Logger } from '@fuchsiastage/logger'
import type { ConfigurationDocument, ConfigurationPatch, JsonValue, Milliseconds, PatchOutcome } from '@fuchsiastage/types'
import Emittery from 'emittery'
import { err, ok, type Result } from 'true-myth/result'
import { CONFIGURATION_STREAM, configurationFold, documentAt, findOutcome, PATCH_KIND, type ConfigurationState, type ConfigurationVersion } from './configuration-fold.js'
import { indexConfiguration, readPermittedFormat, type ConfigurationIndex } from './configuration-index.js'
import {
  decideByMajority,
  decideFreshness,
  FRESHNESS_LIMIT_MILLISECONDS,
  majoritySize,
  type FreshnessDecision,
  type FreshnessInput,
  type MemberAnswer,
  type MemberPosition,
  type UnverifiedMode
} from './freshness.js'
import { findUnknownDataCentres } from './invariants.js'
import { checkPatch } from './schemas.js'

/**
 * The records of a peer's copy of the stream from a given offset, or a snapshot of its state if the
 * peer no longer has those records in memory.
 */
export interface PeerCopy {
  readonly position: MemberPosition
  readonly records: readonly LogRecord[]
  readonly snapshot?: PeerSnapshot
}

/** Calls to the other daemons; the `daemon` package implements them with tRPC. */
export interface ConfigurationPeers {
  /** Names of all daemons in the member list, including this one and failed ones. */
  readonly members: () => readonly string[]
  readonly position: (member: string, signal: AbortSignal) => Promise<Result<MemberPosition, FuchsiastageError>>
  readonly copyFrom: (member: string, fromOffset: number, signal: AbortSignal) => Promise<Result<PeerCopy, FuchsiastageError>>
}

export interface ConfigurationTiming {
  /** Maximum time that a read waits for new records at the log service (long poll). */
  readonly pollMilliseconds: Milliseconds
  /** Delay before a failed read or append is retried. */
  readonly retryMilliseconds: Milliseconds
  /** Age of the last verified read after which records are also read from peers. */
  readonly pullAfterMilliseconds: Milliseconds
  readonly pullIntervalMilliseconds: Milliseconds
  /** Age of the last verified read after which majority rounds run. A round requests the positions of the members. */
  readonly roundAfterMilliseconds: Milliseconds
  /** Interval from the start of a round that found a majority to the start of the next round. */
  readonly roundIntervalMilliseconds: Milliseconds
  /** Delay from the end of a round that found no majority to the start of the next round. */
  readonly roundRetryMilliseconds: Milliseconds
  readonly peerTimeoutMilliseconds: Milliseconds
  /** Delay between two requests to the members that have not confirmed a patch. */
  readonly confirmIntervalMilliseconds: Milliseconds
  readonly snapshotEveryRecords: number
  /** Time after which a snapshot is written regardless of the number of records; a quarter of the log service's retention time. */
  readonly snapshotEveryMilliseconds: Milliseconds
  /** Delay that is added for each rank, so that a daemon of a further rank writes a snapshot only if those before it have not. */
  readonly snapshotRankDelayMilliseconds: Milliseconds
}

export const DEFAULT_CONFIGURATION_TIMING: ConfigurationTiming = {
  pollMilliseconds: 2_000,
  retryMilliseconds: 500,
  // Above twice the poll time, because the verified read of an idle stream reaches that age before the next read replaces it.
  pullAfterMilliseconds: 5_000,
  pullIntervalMilliseconds: 1_000,
  // One second below the limit, so that a majority is known before requests would be refused.
  roundAfterMilliseconds: FRESHNESS_LIMIT_MILLISECONDS - 1_000,
  // A response counts for 10 s, so the next round has 4 s to end.
  roundIntervalMilliseconds: 6_000,
  roundRetryMilliseconds: 1_000,
  peerTimeoutMilliseconds: 1_000,
  confirmIntervalMilliseconds: 250,
  snapshotEveryRecords: 1_000,
  snapshotEveryMilliseconds: 6 * 3_600_000,
  snapshotRankDelayMilliseconds: 30_000
}

export interface ConfigurationControllerOptions {
  /** Name of this daemon in the member list. */
  readonly daemon: string
  readonly logService: LogService
  readonly clock: Clock
  readonly logger: Logger
  readonly peers: ConfigurationPeers
  readonly mode: UnverifiedMode
  readonly memberListDifference: number
  readonly timing?: ConfigurationTiming
  /** Data centres in the settings of this daemon. The daemon rejects submitted patches that name others. */
  readonly knownDataCentres?: readonly string[]
  /** Returns the rank of this daemon among the daemons that may write snapshots; undefined if it must not write one. */
  readonly snapshotRank: () => number | undefined
  readonly fold?: StreamFold<ConfigurationState>
  /** Returns random numbers in [0, 1), which determine the order in which peers are called. */
  readonly random?: () => number
}

export interface ConfigurationEvents {
  /** This daemon has applied a new version, which is now in force. */
  version: { readonly version: number; readonly offset: number }
}

export interface ConfigurationController {
  readonly start: () => void
  readonly stop: () => Promise<void>
  readonly events: Emittery<ConfigurationEvents>
  readonly follower: StreamFollower<ConfigurationState>
  readonly version: () => number
  readonly document: () => ConfigurationDocument
  readonly index: () => ConfigurationIndex
  /** Appends a patch and returns its outcome; `accepted` only after a majority of the daemons has applied it. */
  readonly submit: (patch: ConfigurationPatch, signal: AbortSignal) => Promise<PatchOutcome>
  /** Returns the outcome of a patch that was submitted earlier, at this or another daemon. */
  readonly outcome: (patchId: string, signal: AbortSignal) => Promise<PatchOutcome>
  /** The versions whose changes are kept, oldest first. */
  readonly history: () => readonly ConfigurationVersion[]
  readonly documentAt: (version: number) => Result<ConfigurationDocument, FuchsiastageError>
  readonly freshness: () => FreshnessDecision
  /** Returns Ok while this daemon may act on its configuration, otherwise the error with which it refuses requests. */
  readonly checkFreshness: () => Result<FreshnessDecision, FuchsiastageError>
  /** Returns the position that this daemon reports to other daemons. */
  readonly position: () => MemberPosition
  /** Returns the records from an offset, or a snapshot, for a daemon that does not have them. */
  readonly copyFrom: (fromOffset: number) => PeerCopy
  /** Records a position that was received in another exchange, such as a membership probe. */
  readonly recordPosition: (answer: MemberAnswer) => void
}

const MAINTENANCE_INTERVAL_MILLISECONDS = 250
/** Maximum concurrent requests to members. */
const MAXIMUM_CONCURRENT_REQUESTS = 16
/** Maximum records in one response to a peer; the peer requests the remaining ones in further calls. */
const MAXIMUM_COPY_RECORDS = 500
const UNVERIFIED_RETRY_AFTER_MILLISECONDS = 2_000

/**
 * Creates a controller that follows the `configuration` stream, submits the patches of operators,
 * and decides whether this daemon may act on its copy of the configuration.
 *
 * @example
 * const configuration = createConfigurationController({ daemon: 'entry-1', logService, clock, logger, peers, mode: 'serve-with-majority', memberListDifference: 2, snapshotRank: () => 0 })
 * configuration.start()
 */
export function createConfigurationController (options: ConfigurationControllerOptions): ConfigurationController {
  const { daemon, logService, clock, logger, peers, mode, memberListDifference } = options
  const { timing = DEFAULT_CONFIGURATION_TIMING, fold = configurationFold, random = Math.random } = options
  const knownDataCentres = options.knownDataCentres === undefined ? undefined : new Set(options.knownDataCentres)
  const events = new Emittery<ConfigurationEvents>()
  const stopping = new AbortController()
  const startedAt = clock.now()
  const follower = createStreamFollower({
    stream: CONFIGURATION_STREAM,
    fold,
    logService,
    clock,
    logger,
    waitMilliseconds: timing.pollMilliseconds,
    retryMilliseconds: timing.retryMilliseconds
  })

  const answers = new Map<string, MemberAnswer>()
  /** All offsets up to this one have been confirmed by a majority of the daemons. */
  let confirmedOffset = -1
  let lastPullAt = -Infinity
  let isPulling = false
  let nextRoundAt = -Infinity
  let isRoundRunning = false
  let recordsSinceSnapshot = 0
  /** Wall-clock time of the last snapshot, or of the first record if there is no snapshot. */
  let snapshotWallTime: Milliseconds | undefined
  let lastSnapshotAttemptAt = -Infinity
  let snapshotDueSince: Milliseconds | undefined
  let isWritingSnapshot = false

  const state = (): ConfigurationState => follower.view().state
  const otherMembers = (): readonly string[] => peers.members().filter((member) => member !== daemon)
  const verifiedAge = (): Milliseconds => clock.now() - (follower.view().verifiedAt ?? -Infinity)

  /** Runs a call to a peer with a timeout. */
  const withPeerTimeout = <Value> (call: (signal: AbortSignal) => Promise<Value>): Promise<Value> =>
    withTimeout(clock, timing.peerTimeoutMilliseconds, [stopping.signal], call)

  const position = (): MemberPosition => {
    const { nextOffset, verifiedAt } = follower.view()
    const uptimeMilliseconds = clock.now() - startedAt
    const base = { nextOffset, version: state().version, uptimeMilliseconds }
    return verifiedAt === undefined ? base : { ...base, verifiedAgeMilliseconds: clock.now() - verifiedAt }
  }

  const recordAnswer = (answer: MemberAnswer): void => {
    const known = answers.get(answer.member)
    if (known === undefined || answer.sentAt >= known.sentAt) answers.set(answer.member, answer)
    const { nextOffset, verifiedAgeMilliseconds } = answer.position
    if (verifiedAgeMilliseconds === undefined) return
    // The peer measured the age after this daemon sent its request, so this is a lower bound of the
    // time of the peer's verified read.
    follower.offerRecords({ records: [], nextOffset, verifiedAt: answer.sentAt - verifiedAgeMilliseconds })
  }

  const pullFrom = async (member: string): Promise<boolean> => {
    const sentAt = clock.now()
    const answer = await withPeerTimeout((signal) => peers.copyFrom(member, follower.view().nextOffset, signal))
    if (answer.isErr) return false
    const { position: peerPosition, records, snapshot } = answer.value
    if (snapshot !== undefined) {
      // The state before a gap may be newer than the peer's snapshot, and the version of a daemon must never decrease.
      if (snapshot.throughOffset + 1 >= follower.view().nextOffset) follower.offerSnapshot(snapshot)
    } else if (follower.view().status !== 'current' && records[0]?.offset === 0) {
      // Records from the first offset form a complete state when applied to an empty snapshot.
      follower.offerSnapshot({ formatVersion: 1, throughOffset: -1, state: fold.encode(fold.empty()) })
    }
    follower.offerRecords({ records, nextOffset: peerPosition.nextOffset, verifiedAt: undefined })
    recordAnswer({ member, sentAt, receivedAt: clock.now(), position: peerPosition })
    return true
  }

  const requestPosition = async (member: string): Promise<MemberAnswer | undefined> => {
    const sentAt = clock.now()
    const answer = await withPeerTimeout((signal) => peers.position(member, signal))
    if (answer.isErr) return undefined
    const memberAnswer: MemberAnswer = { member, sentAt, receivedAt: clock.now(), position: answer.value }
    recordAnswer(memberAnswer)
    return memberAnswer
  }

  /**
   * Requests the positions of members, with bounded concurrency, until `isEnough` returns true or all have
   * been called. Reads the missing records from a member that is ahead of this daemon.
   */
  const requestPositionsUntil = async (members: readonly string[], isEnough: () => boolean): Promise<void> => {
    const remaining = [...members]
    const worker = async (): Promise<void> => {
      for (let member = remaining.shift(); member !== undefined && !isEnough() && !stopping.signal.aborted; member = remaining.shift()) {
        const answer = await requestPosition(member)
        if (answer !== undefined && answer.position.nextOffset > follower.view().nextOffset) await pullFrom(member)
      }
    }
    await Promise.all(Array.from({ length: Math.min(MAXIMUM_CONCURRENT_REQUESTS, remaining.length) }, worker))
  }

  const shuffle = (members: readonly string[]): readonly string[] =>
    members.map((member) => ({ member, sortKey: random() })).sort((left, right) => left.sortKey - right.sortKey).map(({ member }) => member)

  const freshnessInput = (counted: Iterable<MemberAnswer>): FreshnessInput => {
    const { status, nextOffset, verifiedAt } = follower.view()
    return { now: clock.now(), mode, daemon, startedAt, status, nextOffset, verifiedAt, members: peers.members(), answers: counted, memberListDifference }
  }
  const decide = (): FreshnessDecision => decideFreshness(freshnessInput(answers.values()))

  const removeFormerMembers = (): void => {
    const members = new Set(peers.members())
    for (const member of answers.keys()) if (!members.has(member)) answers.delete(member)
  }

  const runMajorityRound = async (): Promise<void> => {
    const roundStart = clock.now()
    // Only responses of this round count, because older ones may expire before the next round ends.
    const isEnough = (): boolean => {
      if (verifiedAge() < timing.roundAfterMilliseconds) return true
      const ofThisRound = [...answers.values()].filter(({ sentAt }) => sentAt >= roundStart)
      return decideByMajority(freshnessInput(ofThisRound)).kind === 'serve'
    }
    removeFormerMembers()
    // Members with the most recent responses come first, because the others are probably unreachable.
    const orderedMembers = [...shuffle(otherMembers())].sort((left, right) => (answers.get(right)?.sentAt ?? -Infinity) - (answers.get(left)?.sentAt ?? -Infinity))
    await requestPositionsUntil(orderedMembers, isEnough)
    const hasMajority = isEnough()
    nextRoundAt = hasMajority ? roundStart + timing.roundIntervalMilliseconds : clock.now() + timing.roundRetryMilliseconds
    logger.debug('majority round ended', { event: 'configuration-round', majority: hasMajority })
  }

  const pullFromRandomPeer = async (): Promise<void> => {
    const [member] = shuffle(otherMembers())
    if (member !== undefined) await pullFrom(member)
  }

  const isSnapshotDue = (): boolean => {
    if (recordsSinceSnapshot > timing.snapshotEveryRecords) return true
    return snapshotWallTime !== undefined && clock.wallNow() - snapshotWallTime >= timing.snapshotEveryMilliseconds
  }

  const writeSnapshotIfDue = async (): Promise<void> => {
    const rank = options.snapshotRank()
    if (!isSnapshotDue()) {
      snapshotDueSince = undefined
      return
    }
    snapshotDueSince ??= clock.now()
    if (rank === undefined || clock.now() - snapshotDueSince < rank * timing.snapshotRankDelayMilliseconds) return
    if (verifiedAge() > FRESHNESS_LIMIT_MILLISECONDS || clock.now() - lastSnapshotAttemptAt < timing.snapshotRankDelayMilliseconds) return
    const snapshot = exportInPermittedFormat()
    if (snapshot === undefined) return
    lastSnapshotAttemptAt = clock.now()
    const record: StreamRecord = {
      recordId: randomUUID(),
      kind: SNAPSHOT_KIND,
      formatVersion: snapshot.formatVersion,
      author: daemon,
      writtenAt: clock.wallNow(),
      throughOffset: snapshot.throughOffset,
      state: snapshot.state
    }
    logger.info('sending a configuration snapshot to the log service', { event: 'record-append', stream: CONFIGURATION_STREAM, recordId: record.recordId, throughOffset: snapshot.throughOffset })
    const appended = await logService.append(CONFIGURATION_STREAM, [record], stopping.signal)
    if (appended.isErr) logger.warn('configuration snapshot not acknowledged; sending another one later if it is still due', { event: 'record-append-failed', stream: CONFIGURATION_STREAM, recordId: record.recordId })
  }

  const permittedWriteFormat = (): number => Math.min(fold.formatVersion, readPermittedFormat(state().document, CONFIGURATION_STREAM))

  /** Returns the state in the permitted format, so that daemons of an older release can read it. */
  const exportInPermittedFormat = (): PeerSnapshot | undefined => {
    const snapshot = follower.exportSnapshot()
    return snapshot === undefined ? undefined : { ...snapshot, formatVersion: permittedWriteFormat() }
  }

  const isRecentlyVerified = (): boolean => verifiedAge() < timing.pullAfterMilliseconds

  const maintain = (): void => {
    const now = clock.now()
    // The first pull waits for one interval, so that a starting daemon can first read from the log service.
    const isPullDue = !isRecentlyVerified() && now - lastPullAt >= timing.pullIntervalMilliseconds && now - startedAt >= timing.pullIntervalMilliseconds
    if (isPullDue && !isPulling) {
      isPulling = true
      lastPullAt = now
      void pullFromRandomPeer().finally(() => { isPulling = false })
    }
    const isRoundDue = mode === 'serve-with-majority' && verifiedAge() >= timing.roundAfterMilliseconds && now >= nextRoundAt
    if (!isWritingSnapshot) {
      isWritingSnapshot = true
      void writeSnapshotIfDue().finally(() => { isWritingSnapshot = false })
    }
    if (isRoundDue && !isRoundRunning && follower.view().verifiedAt !== undefined) {
      isRoundRunning = true
      void runMajorityRound().finally(() => { isRoundRunning = false })
    }
  }

  const runMaintenance = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      maintain()
      await clock.sleep(MAINTENANCE_INTERVAL_MILLISECONDS, stopping.signal)
    }
  }

  const waitForMajority = async (offset: number, signal: AbortSignal): Promise<boolean> => {
    const confirmed = new Set<string>()
    const hasMajority = (): boolean => {
      for (const { member, position: memberPosition } of answers.values()) if (memberPosition.nextOffset > offset) confirmed.add(member)
      if (follower.view().nextOffset > offset) confirmed.add(daemon)
      const members = peers.members()
      return members.filter((member) => confirmed.has(member)).length >= majoritySize(members.length, memberListDifference)
    }
    while (confirmedOffset < offset) {
      if (hasMajority()) {
        confirmedOffset = Math.max(confirmedOffset, offset)
        break
      }
      if (signal.aborted || stopping.signal.aborted) return false
      const isEnough = (): boolean => signal.aborted || confirmedOffset >= offset || hasMajority()
      await requestPositionsUntil(shuffle(otherMembers().filter((member) => !confirmed.has(member))), isEnough)
      if (!isEnough()) await withTimeout(clock, timing.confirmIntervalMilliseconds, [signal, stopping.signal], (waitSignal) => clock.sleep(timing.confirmIntervalMilliseconds, waitSignal))
    }
    return true
  }

  const outcome = async (patchId: string, signal: AbortSignal): Promise<PatchOutcome> => {
    const found = findOutcome(state(), patchId)
    if (found === undefined) return { kind: 'undecided', reason: 'this daemon has no outcome for this patch' }
    if (found.outcome.kind === 'rejected' || found.offset === undefined) return found.outcome
    const isConfirmed = await waitForMajority(found.offset, signal)
    return isConfirmed ? found.outcome : { kind: 'undecided', reason: 'the version has not yet been confirmed by a majority of the daemons' }
  }

  const validateLocally = (patch: ConfigurationPatch): string | undefined => {
    const fault = checkPatch(patch)
    if (fault !== undefined) return `invalid patch: ${fault}`
    const unknown = knownDataCentres === undefined ? [] : findUnknownDataCentres(patch.changes, knownDataCentres)
    return unknown.length === 0 ? undefined : `invalid patch: ${unknown.join('; ')}`
  }

  const submit = async (patch: ConfigurationPatch, signal: AbortSignal): Promise<PatchOutcome> => {
    // If the fold has already processed a record of this patch, that outcome is final and takes precedence over the checks.
    if (findOutcome(state(), patch.patchId) !== undefined) return await outcome(patch.patchId, signal)
    const fault = validateLocally(patch)
    if (fault !== undefined) return { kind: 'rejected', reason: fault, conflicts: [] }
    if (follower.view().status !== 'current') return { kind: 'undecided', reason: `the configuration of this daemon is ${follower.view().status}; the patch was not appended` }
    const record: StreamRecord = {
      recordId: randomUUID(),
      kind: PATCH_KIND,
      formatVersion: permittedWriteFormat(),
      author: daemon,
      writtenAt: clock.wallNow(),
      patch: patch as unknown as JsonValue
    }
    logger.info('sending a configuration patch to the log service', { event: 'record-append', stream: CONFIGURATION_STREAM, recordId: record.recordId, patchId: patch.patchId, operator: patch.operator })
    const linked = linkSignals([signal, stopping.signal])
    const appended = await appendConfirmed({ logService, follower, clock, record, retryMilliseconds: timing.retryMilliseconds, signal: linked.signal }).finally(linked.release)
    // A state that was restored from a peer's snapshot may contain the outcome although this daemon has not read the record.
    if (appended.kind === 'undecided' && findOutcome(state(), patch.patchId) === undefined) return { kind: 'undecided', reason: 'the patch was not read back from the log service; it may still take effect' }
    return await outcome(patch.patchId, signal)
  }

  const handleAppliedRecord = (record: StreamRecord, offset: number, folded: ConfigurationState): void => {
    const writtenAt = typeof record.writtenAt === 'number' ? record.writtenAt : clock.wallNow()
    if (record.kind === SNAPSHOT_KIND) {
      recordsSinceSnapshot = 0
      snapshotWallTime = writtenAt
      return
    }
    recordsSinceSnapshot++
    snapshotWallTime ??= writtenAt
    const newest = folded.history.at(-1)
    logger.info('configuration record applied', { event: 'record-applied', stream: CONFIGURATION_STREAM, recordId: record.recordId, offset, version: folded.version })
    if (newest?.offset === offset) void events.emit('version', { version: newest.version, offset })
  }

  let maintenance: Promise<void> | undefined
  return {
    events,
    follower,
    start: () => {
      if (maintenance !== undefined) return
      follower.events.on('applied', ({ record, offset, state: folded }) => handleAppliedRecord(record, offset, folded))
      follower.start()
      maintenance = runMaintenance()
    },
    stop: async () => {
      stopping.abort()
      await Promise.all([follower.stop(), maintenance])
    },
    version: () => state().version,
    document: () => state().document,
    index: () => indexConfiguration(state().document),
    submit,
    outcome,
    history: () => state().history,
    documentAt: (version) => {
      const document = documentAt(state(), version)
      return document === undefined
        ? err(createError({ code: 'configuration-version-unknown', message: `configuration version ${version} is not available`, step: 'configuration', status: 404 }))
        : ok(document)
    },
    freshness: () => decide(),
    checkFreshness: () => {
      const decision = decide()
      if (decision.kind === 'serve') return ok(decision)
      return err(createError({
        code: 'configuration-unverified',
        message: decision.detail,
        step: 'freshness',
        status: 503,
        retryAfterMilliseconds: UNVERIFIED_RETRY_AFTER_MILLISECONDS,
        details: { reason: decision.reason }
      }))
    },
    position,
    copyFrom: (fromOffset) => {
      const records = follower.recentRecords(fromOffset)
      if (records !== undefined) return { position: position(), records: records.slice(0, MAXIMUM_COPY_RECORDS) }
      const snapshot = exportInPermittedFormat()
      return snapshot === undefined ? { position: position(), records: [] } : { position: position(), records: [], snapshot }
    },
    recordPosition: (answer) => {
      recordAnswer(answer)
      if (answer.position.nextOffset <= follower.view().nextOffset || isPulling) return
      isPulling = true
      void pullFrom(answer.member).finally(() => { isPulling = false })
    }
  }
}
