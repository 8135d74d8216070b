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

/** A peer's copy of the stream from an offset on; the state itself when those records are no longer held. */
export interface PeerCopy {
  readonly position: MemberPosition
  readonly records: readonly LogRecord[]
  readonly snapshot?: PeerSnapshot
}

/** Calls to the other daemons; `daemon` implements them over trpc. */
export interface ConfigurationPeers {
  /** Names of all daemons of the member list, this one and failed ones included. */
  readonly members: () => readonly string[]
  readonly position: (member: string, signal: AbortSignal) => Promise<Result<MemberPosition, FuchsiastageError>>
  readonly copyFrom: (member: string, fromOffset: number, signal: AbortSignal) => Promise<Result<PeerCopy, FuchsiastageError>>
}

export interface ConfigurationTiming {
  /** Longest wait of a read at the log service. */
  readonly pollMilliseconds: Milliseconds
  /** Pause before a failed read or append is repeated. */
  readonly retryMilliseconds: Milliseconds
  /** Age of the verified read after which records are also taken from peers. */
  readonly pullAfterMilliseconds: Milliseconds
  readonly pullIntervalMilliseconds: Milliseconds
  /** Age of the verified read after which majority rounds run. */
  readonly roundAfterMilliseconds: Milliseconds
  /** Time between two rounds that found a majority. */
  readonly roundIntervalMilliseconds: Milliseconds
  /** Time after a round that found none. */
  readonly roundRetryMilliseconds: Milliseconds
  readonly peerTimeoutMilliseconds: Milliseconds
  /** Pause between two questions to members that have not confirmed a patch. */
  readonly confirmIntervalMilliseconds: Milliseconds
  readonly snapshotEveryRecords: number
  /** A quarter of the log service's retention time. */
  readonly snapshotEveryMilliseconds: Milliseconds
  /** Further wait for each rank, so that one daemon writes the snapshot. */
  readonly snapshotRankDelayMilliseconds: Milliseconds
}

export const DEFAULT_CONFIGURATION_TIMING: ConfigurationTiming = {
  pollMilliseconds: 2_000,
  retryMilliseconds: 500,
  // On a quiet stream the age of the verified read reaches twice the wait of a poll.
  pullAfterMilliseconds: 5_000,
  pullIntervalMilliseconds: 1_000,
  // One second before the limit, so that a long outage does not start with refusals.
  roundAfterMilliseconds: FRESHNESS_LIMIT_MILLISECONDS - 1_000,
  // An answer counts for 10 s; the rest is time for the next round to end.
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
  /** Data centres of this daemon's settings; patches that name others are refused here. */
  readonly knownDataCentres?: readonly string[]
  /** Rank of this daemon among the writers of snapshots, undefined when it must not write one. */
  readonly snapshotRank: () => number | undefined
  readonly fold?: StreamFold<ConfigurationState>
  /** Source of numbers in [0, 1) for the choice of peers. */
  readonly random?: () => number
}

export interface ConfigurationEvents {
  /** A version came into force at this daemon. */
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
  /** Appends a patch and answers with the fold's verdict; `accepted` only once a majority has folded it. */
  readonly submit: (patch: ConfigurationPatch, signal: AbortSignal) => Promise<PatchOutcome>
  /** The outcome of a patch that was submitted before, here or elsewhere. */
  readonly outcome: (patchId: string, signal: AbortSignal) => Promise<PatchOutcome>
  /** The kept versions, oldest first. */
  readonly history: () => readonly ConfigurationVersion[]
  readonly documentAt: (version: number) => Result<ConfigurationDocument, FuchsiastageError>
  readonly freshness: () => FreshnessDecision
  /** Ok while this daemon may act on its configuration, else the refusal of a request. */
  readonly checkFreshness: () => Result<FreshnessDecision, FuchsiastageError>
  /** What this daemon answers to another one's question for its position. */
  readonly position: () => MemberPosition
  /** What this daemon answers to another one that lacks records. */
  readonly copyFrom: (fromOffset: number) => PeerCopy
  /** Takes in a position that came with another exchange, for example a membership probe. */
  readonly notePosition: (answer: MemberAnswer) => void
}

const WATCH_INTERVAL_MILLISECONDS = 250
/** Questions to members that are open at once. */
const CONCURRENT_QUESTIONS = 16
/** Records in one answer to a peer; a fresh reader asks again for the rest. */
const COPY_LIMIT = 500
const UNVERIFIED_RETRY_AFTER_MILLISECONDS = 2_000

/**
 * Follows the `configuration` stream, decides patches with the operators, and tells whether this
 * daemon may act on what it holds.
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
  /** Offsets up to this one were confirmed by a majority. */
  let confirmedOffset = -1
  let pulledAt = -Infinity
  let isPulling = false
  let nextRoundAt = -Infinity
  let isRoundRunning = false
  let recordsSinceSnapshot = 0
  /** Wall time of the last snapshot, or of the first record when there is none. */
  let snapshotWallTime: Milliseconds | undefined
  let snapshotTriedAt = -Infinity
  let snapshotDueAt: Milliseconds | undefined
  let isWritingSnapshot = false

  const state = (): ConfigurationState => follower.view().state
  const otherMembers = (): readonly string[] => peers.members().filter((member) => member !== daemon)
  const verifiedAge = (): Milliseconds => clock.now() - (follower.view().verifiedAt ?? -Infinity)

  /** Runs a call to a peer with a bound on its time. */
  const bounded = <Value> (call: (signal: AbortSignal) => Promise<Value>): Promise<Value> =>
    withTimeout(clock, timing.peerTimeoutMilliseconds, [stopping.signal], call)

  const position = (): MemberPosition => {
    const { nextOffset, verifiedAt } = follower.view()
    const uptimeMilliseconds = clock.now() - startedAt
    const base = { nextOffset, version: state().version, uptimeMilliseconds }
    return verifiedAt === undefined ? base : { ...base, verifiedAgeMilliseconds: clock.now() - verifiedAt }
  }

  const noteAnswer = (answer: MemberAnswer): void => {
    const known = answers.get(answer.member)
    if (known === undefined || answer.sentAt >= known.sentAt) answers.set(answer.member, answer)
    const { nextOffset, verifiedAgeMilliseconds } = answer.position
    if (verifiedAgeMilliseconds === undefined) return
    // The peer's read was sent at least this long before the question was.
    follower.offerRecords({ records: [], nextOffset, verifiedAt: answer.sentAt - verifiedAgeMilliseconds })
  }

  const pullFrom = async (member: string): Promise<boolean> => {
    const sentAt = clock.now()
    const answer = await bounded((signal) => peers.copyFrom(member, follower.view().nextOffset, signal))
    if (answer.isErr) return false
    const { position: peerPosition, records, snapshot } = answer.value
    if (snapshot !== undefined) {
      // An incomplete state may still be ahead of the peer's; versions never revert.
      if (snapshot.throughOffset + 1 >= follower.view().nextOffset) follower.offerSnapshot(snapshot)
    } else if (follower.view().status !== 'current' && records[0]?.offset === 0) {
      // Records from the first offset on are a complete state, as an empty snapshot before them.
      follower.offerSnapshot({ formatVersion: 1, throughOffset: -1, state: fold.encode(fold.empty()) })
    }
    follower.offerRecords({ records, nextOffset: peerPosition.nextOffset, verifiedAt: undefined })
    noteAnswer({ member, sentAt, receivedAt: clock.now(), position: peerPosition })
    return true
  }

  const ask = async (member: string): Promise<MemberAnswer | undefined> => {
    const sentAt = clock.now()
    const answer = await bounded((signal) => peers.position(member, signal))
    if (answer.isErr) return undefined
    const noted: MemberAnswer = { member, sentAt, receivedAt: clock.now(), position: answer.value }
    noteAnswer(noted)
    return noted
  }

  /** Asks members, a bounded number at once, until `isEnough` holds or all were asked. */
  const askUntil = async (members: readonly string[], isEnough: () => boolean): Promise<void> => {
    const remaining = [...members]
    const worker = async (): Promise<void> => {
      for (let member = remaining.shift(); member !== undefined && !isEnough() && !stopping.signal.aborted; member = remaining.shift()) {
        const answer = await ask(member)
        if (answer !== undefined && answer.position.nextOffset > follower.view().nextOffset) await pullFrom(member)
      }
    }
    await Promise.all(Array.from({ length: Math.min(CONCURRENT_QUESTIONS, remaining.length) }, worker))
  }

  const shuffled = (members: readonly string[]): readonly string[] =>
    members.map((member) => ({ member, order: random() })).sort((left, right) => left.order - right.order).map(({ member }) => member)

  const freshnessInput = (counted: Iterable<MemberAnswer>): FreshnessInput => {
    const { status, nextOffset, verifiedAt } = follower.view()
    return { now: clock.now(), mode, daemon, startedAt, status, nextOffset, verifiedAt, members: peers.members(), answers: counted, memberListDifference }
  }
  const decide = (): FreshnessDecision => decideFreshness(freshnessInput(answers.values()))

  const forgetFormerMembers = (): void => {
    const members = new Set(peers.members())
    for (const member of answers.keys()) if (!members.has(member)) answers.delete(member)
  }

  const runRound = async (): Promise<void> => {
    const roundStart = clock.now()
    // Answers of this round alone must suffice, or the next round would start too late.
    const isEnough = (): boolean => {
      if (verifiedAge() < timing.roundAfterMilliseconds) return true
      const ofThisRound = [...answers.values()].filter(({ sentAt }) => sentAt >= roundStart)
      return decideByMajority(freshnessInput(ofThisRound)).kind === 'serve'
    }
    forgetFormerMembers()
    // Members that answered last time come first: the others are probably unreachable.
    const order = [...shuffled(otherMembers())].sort((left, right) => (answers.get(right)?.sentAt ?? -Infinity) - (answers.get(left)?.sentAt ?? -Infinity))
    await askUntil(order, isEnough)
    const hasMajority = isEnough()
    nextRoundAt = hasMajority ? roundStart + timing.roundIntervalMilliseconds : clock.now() + timing.roundRetryMilliseconds
    logger.debug('majority round ended', { event: 'configuration-round', majority: hasMajority })
  }

  const pull = async (): Promise<void> => {
    const [member] = shuffled(otherMembers())
    if (member !== undefined) await pullFrom(member)
  }

  const snapshotIsDue = (): boolean => {
    if (recordsSinceSnapshot > timing.snapshotEveryRecords) return true
    return snapshotWallTime !== undefined && clock.wallNow() - snapshotWallTime >= timing.snapshotEveryMilliseconds
  }

  const writeSnapshotIfDue = async (): Promise<void> => {
    const rank = options.snapshotRank()
    if (!snapshotIsDue()) {
      snapshotDueAt = undefined
      return
    }
    snapshotDueAt ??= clock.now()
    if (rank === undefined || clock.now() - snapshotDueAt < rank * timing.snapshotRankDelayMilliseconds) return
    if (verifiedAge() > FRESHNESS_LIMIT_MILLISECONDS || clock.now() - snapshotTriedAt < timing.snapshotRankDelayMilliseconds) return
    const snapshot = exportCopy()
    if (snapshot === undefined) return
    snapshotTriedAt = clock.now()
    const record: StreamRecord = {
      recordId: randomUUID(),
      kind: SNAPSHOT_KIND,
      formatVersion: snapshot.formatVersion,
      author: daemon,
      writtenAt: clock.wallNow(),
      throughOffset: snapshot.throughOffset,
      state: snapshot.state
    }
    logger.info('configuration snapshot sent', { event: 'record-append', stream: CONFIGURATION_STREAM, recordId: record.recordId, throughOffset: snapshot.throughOffset })
    const appended = await logService.append(CONFIGURATION_STREAM, [record], stopping.signal)
    if (appended.isErr) logger.warn('configuration snapshot not acknowledged', { event: 'record-append-failed', stream: CONFIGURATION_STREAM, recordId: record.recordId })
  }

  const writtenFormat = (): number => Math.min(fold.formatVersion, readPermittedFormat(state().document, CONFIGURATION_STREAM))

  /** The state in the permitted format, so that daemons with older code can take it. */
  const exportCopy = (): PeerSnapshot | undefined => {
    const snapshot = follower.exportSnapshot()
    return snapshot === undefined ? undefined : { ...snapshot, formatVersion: writtenFormat() }
  }

  const isFresh = (): boolean => verifiedAge() < timing.pullAfterMilliseconds

  const maintain = (): void => {
    const now = clock.now()
    // A starting daemon gets a moment to read the log itself.
    const pullIsDue = !isFresh() && now - pulledAt >= timing.pullIntervalMilliseconds && now - startedAt >= timing.pullIntervalMilliseconds
    if (pullIsDue && !isPulling) {
      isPulling = true
      pulledAt = now
      void pull().finally(() => { isPulling = false })
    }
    const roundIsDue = mode === 'serve-with-majority' && verifiedAge() >= timing.roundAfterMilliseconds && now >= nextRoundAt
    if (!isWritingSnapshot) {
      isWritingSnapshot = true
      void writeSnapshotIfDue().finally(() => { isWritingSnapshot = false })
    }
    if (roundIsDue && !isRoundRunning && follower.view().verifiedAt !== undefined) {
      isRoundRunning = true
      void runRound().finally(() => { isRoundRunning = false })
    }
  }

  const watch = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      maintain()
      await clock.sleep(WATCH_INTERVAL_MILLISECONDS, stopping.signal)
    }
  }

  const confirmMajority = async (offset: number, signal: AbortSignal): Promise<boolean> => {
    const confirmed = new Set<string>()
    const hasMajority = (): boolean => {
      for (const { member, position: known } of answers.values()) if (known.nextOffset > offset) confirmed.add(member)
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
      await askUntil(shuffled(otherMembers().filter((member) => !confirmed.has(member))), isEnough)
      if (!isEnough()) await withTimeout(clock, timing.confirmIntervalMilliseconds, [signal, stopping.signal], (wait) => clock.sleep(timing.confirmIntervalMilliseconds, wait))
    }
    return true
  }

  const outcome = async (patchId: string, signal: AbortSignal): Promise<PatchOutcome> => {
    const found = findOutcome(state(), patchId)
    if (found === undefined) return { kind: 'undecided', reason: 'this daemon has not read a verdict on this patch' }
    if (found.outcome.kind === 'rejected' || found.offset === undefined) return found.outcome
    const isConfirmed = await confirmMajority(found.offset, signal)
    return isConfirmed ? found.outcome : { kind: 'undecided', reason: 'no majority of the daemons has confirmed the version yet' }
  }

  const checkLocally = (patch: ConfigurationPatch): string | undefined => {
    const fault = checkPatch(patch)
    if (fault !== undefined) return `invalid patch: ${fault}`
    const unknown = knownDataCentres === undefined ? [] : findUnknownDataCentres(patch.changes, knownDataCentres)
    return unknown.length === 0 ? undefined : `invalid patch: ${unknown.join('; ')}`
  }

  const submit = async (patch: ConfigurationPatch, signal: AbortSignal): Promise<PatchOutcome> => {
    // An earlier record of the same patch may exist, so its verdict comes before all checks.
    if (findOutcome(state(), patch.patchId) !== undefined) return await outcome(patch.patchId, signal)
    const fault = checkLocally(patch)
    if (fault !== undefined) return { kind: 'rejected', reason: fault, conflicts: [] }
    if (follower.view().status !== 'current') return { kind: 'undecided', reason: `the configuration of this daemon is ${follower.view().status}; nothing was appended` }
    const record: StreamRecord = {
      recordId: randomUUID(),
      kind: PATCH_KIND,
      formatVersion: writtenFormat(),
      author: daemon,
      writtenAt: clock.wallNow(),
      patch: patch as unknown as JsonValue
    }
    logger.info('configuration patch sent', { event: 'record-append', stream: CONFIGURATION_STREAM, recordId: record.recordId, patchId: patch.patchId, operator: patch.operator })
    const linked = linkSignals([signal, stopping.signal])
    const appended = await appendConfirmed({ logService, follower, clock, record, retryMilliseconds: timing.retryMilliseconds, signal: linked.signal }).finally(linked.release)
    // A state taken from a peer's snapshot may know the verdict without having read the record.
    if (appended.kind === 'undecided' && findOutcome(state(), patch.patchId) === undefined) return { kind: 'undecided', reason: 'the patch was not read back from the log service; it may still take effect' }
    return await outcome(patch.patchId, signal)
  }

  const observeRecord = (record: StreamRecord, offset: number, folded: ConfigurationState): void => {
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

  let watching: Promise<void> | undefined
  return {
    events,
    follower,
    start: () => {
      if (watching !== undefined) return
      follower.events.on('applied', ({ record, offset, state: folded }) => observeRecord(record, offset, folded))
      follower.start()
      watching = watch()
    },
    stop: async () => {
      stopping.abort()
      await Promise.all([follower.stop(), watching])
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
        ? err(createError({ code: 'configuration-version-unknown', message: `version ${version} is not kept`, step: 'configuration', status: 404 }))
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
      if (records !== undefined) return { position: position(), records: records.slice(0, COPY_LIMIT) }
      const snapshot = exportCopy()
      return snapshot === undefined ? { position: position(), records: [] } : { position: position(), records: [], snapshot }
    },
    notePosition: (answer) => {
      noteAnswer(answer)
      if (answer.position.nextOffset <= follower.view().nextOffset || isPulling) return
      isPulling = true
      void pullFrom(answer.member).finally(() => { isPulling = false })
    }
  }
}
