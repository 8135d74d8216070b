import type { Clock, Timer } from '@fuchsiastage/clock'
import type { FuchsiastageError } from '@fuchsiastage/errors'
import { rendezvousRank } from '@fuchsiastage/leased-stream'
import type { Logger } from '@fuchsiastage/logger'
import type { JsonValue, Milliseconds, VmListing, VmRecord } from '@fuchsiastage/types'
import Emittery from 'emittery'
import type { Result } from 'true-myth/result'
import { createLeavingTargets, type TargetIdentity } from './leaving-targets.js'
import { INITIAL_RECORD, mergeRecord, statusOf, type MemberRecord, type MemberStatus } from './member-records.js'
import type { LeavingMarkKind, MemberCode, MembershipMessage, MembershipTransport, MembershipUpdate } from './messages.js'
import { sample, type RandomSource } from './random.js'
import { liveNames, type Member } from './selection.js'
import { createUpdateQueue } from './update-queue.js'

export interface MembershipTiming {
  /** Interval at which a daemon probes one other member. */
  readonly probeIntervalMilliseconds: Milliseconds
  /** Timeout of a direct probe, and again of the indirect probes that follow it. */
  readonly probeTimeoutMilliseconds: Milliseconds
  /** Time in which a suspect member can refute the suspicion before it is marked as failed. */
  readonly suspicionTimeoutMilliseconds: Milliseconds
  /** Interval between reads of the VM list by the daemons that are its regular readers. */
  readonly listIntervalMilliseconds: Milliseconds
  /** Interval between reads of the VM list by all other daemons. It is longer, because the list of a large deployment is large. */
  readonly backgroundListIntervalMilliseconds: Milliseconds
  /** Number of regular readers. Each daemon determines from the live daemons whether it is one of them. */
  readonly regularListReaders: number
}

export const DEFAULT_MEMBERSHIP_TIMING: MembershipTiming = {
  probeIntervalMilliseconds: 1_000,
  probeTimeoutMilliseconds: 400,
  suspicionTimeoutMilliseconds: 4_000,
  listIntervalMilliseconds: 1_000,
  backgroundListIntervalMilliseconds: 10_000,
  regularListReaders: 16
}

export interface MembershipOptions {
  /** The VM record of this daemon, taken from its settings. */
  readonly self: VmRecord
  readonly clock: Clock
  readonly logger: Logger
  readonly random: RandomSource
  readonly transport: MembershipTransport
  readonly readListing: (signal: AbortSignal) => Promise<Result<VmListing, FuchsiastageError>>
  readonly timing?: MembershipTiming
}

export interface PayloadExchange {
  readonly member: string
  readonly value: JsonValue
  readonly receivedAt: Milliseconds
  /** Set only if the value was part of a response: it was produced at most this long before `receivedAt`. */
  readonly roundTripMilliseconds: Milliseconds | undefined
}

/** Adds a small value of another controller to each membership message and receives the values of other members. */
export interface PayloadHook {
  /** Returns the value for the next message, or undefined to add none. */
  readonly produce: () => JsonValue | undefined
  readonly receive: (exchange: PayloadExchange) => void
}

interface MembershipEvents {
  member: { readonly name: string, readonly status: MemberStatus }
  targetLeaving: { readonly name: string, readonly kind: LeavingMarkKind, readonly value: string }
  listing: { readonly listing: VmListing }
  /** The VM list shows the VM of this daemon as leaving. */
  selfLeaving: undefined
}

export interface MembershipController {
  readonly start: () => void
  readonly stop: () => Promise<void>
  readonly events: Emittery<MembershipEvents>
  /** Applies a probe from another member and returns the response. */
  readonly handleProbe: (message: MembershipMessage) => MembershipMessage
  /** Probes a member on behalf of another member; resolves to true when it responded. */
  readonly handleProbeIndirect: (member: VmRecord) => Promise<boolean>
  /** All daemons in the VM list, including this one. */
  readonly members: () => readonly Member[]
  /** Names of the daemons that are ranked for roles: all except failed and leaving ones. */
  readonly liveDaemons: () => readonly string[]
  /** Names of the daemons that count for majorities: all, including failed ones, until the VM list removes them. */
  readonly memberList: () => readonly string[]
  readonly isTargetLeaving: (target: TargetIdentity) => boolean
  /** Names of the targets of which at least one incarnation or address is known to be leaving. */
  readonly leavingTargets: () => readonly string[]
  /** Marks a target as leaving, for example after its own state or its 503 response showed it. */
  readonly markTargetLeaving: (name: string, kind: LeavingMarkKind, value: string) => void
  /** The VM list that was read last, and the time at which its request was sent. */
  readonly listing: () => { readonly listing: VmListing, readonly readAt: Milliseconds } | undefined
  /** Announces to the other members that this daemon is about to stop. */
  readonly leave: () => void
  /** Adds a payload to each membership message. The name is part of the message, so it should be short. */
  readonly attachPayload: (name: string, hook: PayloadHook) => void
  /** Runs one exchange outside the regular probes, for example in a majority round; resolves to true when the member responded. */
  readonly exchangeWith: (name: string, signal: AbortSignal) => Promise<boolean>
}

export const ENTRY_ROLE = 'entry'

/** Number of members that probe a member which did not respond to a direct probe. */
const INDIRECT_PROBE_COUNT = 2

/** Once in this many probe intervals, a failed member is probed as well, so that the two sides of a healed partition find each other. */
const INTERVALS_PER_FAILED_PROBE = 5

/** A timer that fires this long after its due time shows that the process was paused, so an awaited message may have arrived but not have been read yet. */
const PAUSE_TOLERANCE_MILLISECONDS = 500

/** Number of members to which urgent updates (leaving, suspect, refuted) are sent without waiting for the next regular probe. */
const URGENT_FANOUT = 2
/** Urgent updates that arise within this delay are sent together. */
const URGENT_DELAY_MILLISECONDS = 50
/** Minimum interval between two sends of urgent updates. */
const URGENT_INTERVAL_MILLISECONDS = 250

/** Limits on the content of one message, so that it fits into a small number of packets. */
const UPDATE_LIMITS = { maximumUpdates: 12, maximumBytes: 800 }
const MAXIMUM_PAYLOAD_BYTES = 256

/** Time for which the status of a VM is kept while it is missing from the VM list, because the list may lag behind. */
const ABSENT_RETENTION_MILLISECONDS = 600_000

/**
 * Limit on the traffic of one daemon's reads of the VM list, about a third of its control traffic budget.
 * At 6,270 VMs one read transfers 790 KB, so each daemon then reads the list about every 100 s, and
 * 370 daemons together about four times per second.
 */
const MAXIMUM_LIST_BYTES_PER_SECOND = 8_000

/** Size of one VM in the VM list; see `docs/CAPACITY.md`, part `vm-list`. */
const LIST_BYTES_PER_VM = 126

const LIST_TIMEOUT_MILLISECONDS = 5_000

/**
 * Creates the failure detector of one daemon. It follows the SWIM protocol, and its messages also
 * disseminate which members and targets are leaving.
 *
 * @example
 * const membership = createMembershipController({ self, clock, logger, random: Math.random, transport, readListing })
 * membership.start()
 */
export function createMembershipController (options: MembershipOptions): MembershipController {
  const { self, clock, logger, random, transport } = options
  const timing = options.timing ?? DEFAULT_MEMBERSHIP_TIMING
  const events = new Emittery<MembershipEvents>()
  const stopping = new AbortController()
  const updateQueue = createUpdateQueue(UPDATE_LIMITS)
  const leavingTargetMarks = createLeavingTargets()
  const payloadHooks = new Map<string, PayloadHook>()
  const records = new Map<string, MemberRecord>()
  const absentSince = new Map<string, Milliseconds>()
  const suspicions = new Map<string, Timer>()
  let daemons: ReadonlyMap<string, VmRecord> = new Map([[self.name, self]])
  let newestListing: { readonly listing: VmListing, readonly readAt: Milliseconds } | undefined
  let incarnation = 0
  let isLeaving = false
  let isListedAsLeaving = false
  /** Members that have not been probed yet in the current round. */
  let membersToProbe: VmRecord[] = []
  let intervalCount = 0
  let urgentTimer: Timer | undefined
  let lastUrgentAt = -Infinity

  const recordOf = (name: string): MemberRecord =>
    name === self.name ? { incarnation, code: isLeaving ? 'l' : 'a', isLeaving } : records.get(name) ?? INITIAL_RECORD

  const toMember = (vm: VmRecord): Member => {
    const record = recordOf(vm.name)
    const isMemberLeaving = record.isLeaving || vm.state === 'leaving'
    const status = statusOf(record)
    return { vm, status: status === 'alive' && isMemberLeaving ? 'leaving' : status, isLeaving: isMemberLeaving, incarnation: record.incarnation }
  }
  const members = (): readonly Member[] => [...daemons.values()].map(toMember)

  const otherDaemons = (accepts: (code: MemberCode) => boolean): readonly VmRecord[] =>
    [...daemons.values()].filter(({ name, peerAddress }) => name !== self.name && peerAddress !== undefined && accepts(recordOf(name).code))

  // Dissemination

  const announceOwnStatus = (): void => updateQueue.add([isLeaving ? 'l' : 'a', self.name, incarnation])

  const refute = (refutedIncarnation: number): void => {
    incarnation = refutedIncarnation + 1
    announceOwnStatus()
    scheduleUrgentExchange()
    logger.info('another member reported a wrong status of this daemon; refuting it with a higher incarnation', { event: 'member-refuted', incarnation })
  }

  const scheduleUrgentExchange = (): void => {
    if (urgentTimer !== undefined || stopping.signal.aborted) return
    const delay = Math.max(URGENT_DELAY_MILLISECONDS, lastUrgentAt + URGENT_INTERVAL_MILLISECONDS - clock.now())
    urgentTimer = clock.setTimer(delay, () => {
      urgentTimer = undefined
      lastUrgentAt = clock.now()
      for (const member of sample(otherDaemons((code) => code === 'a' || code === 'l'), URGENT_FANOUT, random)) void exchange(member)
    })
  }

  /** Marks a member as suspect and informs it immediately, because its refutation has to reach all members before the suspicion times out. */
  const suspectMember = (member: VmRecord): void => {
    const { code, incarnation: knownIncarnation } = recordOf(member.name)
    if (code === 's' || code === 'f') return
    applyMember('s', member.name, knownIncarnation)
    void exchange(member)
  }

  const startSuspicion = (name: string): void => {
    const dueAt = clock.now() + timing.suspicionTimeoutMilliseconds
    suspicions.set(name, clock.setTimer(timing.suspicionTimeoutMilliseconds, () => {
      suspicions.delete(name)
      // If this process was paused, a refutation may have arrived but not have been read yet, so the suspicion starts again.
      if (clock.now() > dueAt + PAUSE_TOLERANCE_MILLISECONDS) startSuspicion(name)
      else applyMember('f', name, recordOf(name).incarnation)
    }))
  }

  const applyMember = (code: MemberCode, name: string, reportedIncarnation: number): void => {
    if (name === self.name) {
      const isOwnLeaving = code === 'l' && isLeaving && reportedIncarnation === incarnation
      if (code !== 'a' && reportedIncarnation >= incarnation && !isOwnLeaving) refute(reportedIncarnation)
      return
    }
    const before = recordOf(name)
    const merged = mergeRecord(before, code, reportedIncarnation)
    if (merged === undefined) return
    const isRecovered = code === 'a' && before.code !== 'a'
    records.set(name, merged)
    updateQueue.add([code, name, reportedIncarnation])
    suspicions.get(name)?.cancel()
    suspicions.delete(name)
    if (code === 's') startSuspicion(name)
    // The regular probes, one per period, would not spread a suspicion and its refutation to all members in time.
    if (code === 's' || code === 'l' || isRecovered) scheduleUrgentExchange()
    logger.info('member status changed', { event: `member-${statusOf(merged)}`, peer: name, incarnation: reportedIncarnation })
    void events.emit('member', { name, status: statusOf(merged) })
  }

  const markTarget = (name: string, kind: LeavingMarkKind, value: string): void => {
    if (!leavingTargetMarks.mark(name, kind, value)) return
    updateQueue.add(['t', name, kind, value])
    scheduleUrgentExchange()
    logger.info('target is leaving', { event: 'target-leaving', target: name, kind, value })
    void events.emit('targetLeaving', { name, kind, value })
  }

  const applyUpdate = (update: MembershipUpdate): void => {
    if (update[0] === 't') markTarget(update[1], update[2], update[3])
    else applyMember(update[0], update[1], update[2])
  }

  // Exchanges

  const producePayload = (): Readonly<Record<string, JsonValue>> => {
    const payload: Record<string, JsonValue> = {}
    for (const [name, hook] of payloadHooks) {
      const value = hook.produce()
      if (value === undefined) continue
      if (Buffer.byteLength(JSON.stringify(value)) > MAXIMUM_PAYLOAD_BYTES) logger.error('a payload for other members exceeds the size limit and was not sent', { event: 'payload-too-large', payload: name })
      else payload[name] = value
    }
    return payload
  }

  /** If the receiver is not recorded as alive, its recorded status is added outside the update limits, so that the receiver can refute it. */
  const createMessage = (receiverName: string): MembershipMessage => {
    const { code, incarnation: knownIncarnation } = recordOf(receiverName)
    const statusOfReceiver: readonly MembershipUpdate[] = code === 'a' || receiverName === self.name ? [] : [[code, receiverName, knownIncarnation]]
    return { from: self.name, incarnation, isLeaving, updates: [...statusOfReceiver, ...updateQueue.take(daemons.size)], payload: producePayload() }
  }

  const receive = (message: MembershipMessage, roundTripMilliseconds: Milliseconds | undefined): void => {
    applyMember(message.isLeaving ? 'l' : 'a', message.from, message.incarnation)
    for (const update of message.updates) applyUpdate(update)
    for (const [name, value] of Object.entries(message.payload)) {
      payloadHooks.get(name)?.receive({ member: message.from, value, receivedAt: clock.now(), roundTripMilliseconds })
    }
  }

  /** Runs a call with the probe timeout. `paused`: this process was paused beyond the timeout, so a missing response is no evidence of a failure. */
  const withProbeTimeout = async <Value>(call: (signal: AbortSignal) => Promise<Result<Value, FuchsiastageError>>, parentSignal?: AbortSignal): Promise<Value | 'failed' | 'paused'> => {
    const startedAt = clock.now()
    const timeout = new AbortController()
    const abort = (): void => timeout.abort()
    const timer = clock.setTimer(timing.probeTimeoutMilliseconds, abort)
    parentSignal?.addEventListener('abort', abort)
    const aborted = new Promise<undefined>((resolve) => timeout.signal.addEventListener('abort', () => resolve(undefined)))
    const result = await Promise.race([call(timeout.signal), aborted])
    timer.cancel()
    parentSignal?.removeEventListener('abort', abort)
    if (result?.isOk === true) return result.value
    return clock.now() - startedAt > timing.probeTimeoutMilliseconds + PAUSE_TOLERANCE_MILLISECONDS ? 'paused' : 'failed'
  }

  const exchange = async (member: VmRecord, parentSignal?: AbortSignal): Promise<'responded' | 'failed' | 'paused'> => {
    const sentAt = clock.now()
    const response = await withProbeTimeout((signal) => transport.probe(member, createMessage(member.name), signal), parentSignal)
    if (response === 'failed' || response === 'paused') return response
    // A response from a different daemon at the same address does not show that the member is alive.
    if (response.from !== member.name) return 'failed'
    receive(response, clock.now() - sentAt)
    return 'responded'
  }

  const probeIndirectly = async (member: VmRecord): Promise<'responded' | 'failed' | 'paused'> => {
    const intermediaries = sample(otherDaemons((code) => code === 'a' || code === 'l').filter(({ name }) => name !== member.name), INDIRECT_PROBE_COUNT, random)
    const results = await Promise.all(intermediaries.map((intermediary) => withProbeTimeout((signal) => transport.probeIndirect(intermediary, member, signal))))
    if (results.includes(true)) return 'responded'
    return results.includes('paused') ? 'paused' : 'failed'
  }

  const probe = async (member: VmRecord): Promise<void> => {
    const directResult = await exchange(member)
    if (directResult !== 'failed') return
    if (await probeIndirectly(member) === 'failed' && !stopping.signal.aborted) suspectMember(member)
  }

  const takeNextMemberToProbe = (): VmRecord | undefined => {
    for (;;) {
      const next = membersToProbe.pop()
      if (next === undefined) return undefined
      if (daemons.has(next.name) && recordOf(next.name).code !== 'f') return next
    }
  }

  const probeNext = (): void => {
    let next = takeNextMemberToProbe()
    if (next === undefined) {
      const candidates = otherDaemons((code) => code !== 'f')
      membersToProbe = [...sample(candidates, candidates.length, random)]
      next = takeNextMemberToProbe()
    }
    if (next !== undefined) void probe(next)
    if (++intervalCount % INTERVALS_PER_FAILED_PROBE !== 0) return
    for (const failed of sample(otherDaemons((code) => code === 'f'), 1, random)) void exchange(failed)
  }

  const runProbes = async (): Promise<void> => {
    // A random initial delay spreads the probes of daemons that start at the same time.
    await clock.sleep(random() * timing.probeIntervalMilliseconds, stopping.signal)
    while (!stopping.signal.aborted) {
      probeNext()
      await clock.sleep(timing.probeIntervalMilliseconds, stopping.signal)
    }
  }

  // VM list

  const removeAbsent = (listed: ReadonlySet<string>): void => {
    const now = clock.now()
    leavingTargetMarks.removeAbsent(listed, now, ABSENT_RETENTION_MILLISECONDS)
    for (const name of records.keys()) {
      const since = absentSince.get(name) ?? now
      if (listed.has(name)) absentSince.delete(name)
      else if (now - since < ABSENT_RETENTION_MILLISECONDS) absentSince.set(name, since)
      else {
        absentSince.delete(name)
        records.delete(name)
      }
    }
  }

  const applyListing = (listing: VmListing, readAt: Milliseconds): void => {
    newestListing = { listing, readAt }
    const listed = listing.vms.filter(({ role }) => role === ENTRY_ROLE)
    daemons = new Map([[self.name, self], ...listed.map((vm) => [vm.name, vm] as const)])
    for (const vm of listing.vms) {
      if (vm.role !== ENTRY_ROLE && vm.state === 'leaving') markTarget(vm.name, 'address', vm.address)
    }
    removeAbsent(new Set(listing.vms.map(({ name }) => name)))
    const isSelfLeaving = daemons.get(self.name)?.state === 'leaving'
    if (isSelfLeaving && !isListedAsLeaving) void events.emit('selfLeaving')
    isListedAsLeaving = isSelfLeaving
    void events.emit('listing', { listing })
  }

  const readList = async (): Promise<boolean> => {
    const timeout = new AbortController()
    const abort = (): void => timeout.abort()
    const timer = clock.setTimer(LIST_TIMEOUT_MILLISECONDS, abort)
    stopping.signal.addEventListener('abort', abort)
    const readAt = clock.now()
    const result = await options.readListing(timeout.signal)
    timer.cancel()
    stopping.signal.removeEventListener('abort', abort)
    if (stopping.signal.aborted) return false
    if (result.isOk) applyListing(result.value, readAt)
    else logger.debug('the VM list could not be read; the previously read list stays in use', { event: 'vm-list-unavailable', reason: result.error.message })
    return result.isOk
  }

  const pollList = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const succeeded = await readList()
      const isRegularReader = rendezvousRank('vm-list', liveNames(members()), self.name, timing.regularListReaders) !== undefined
      const interval = isRegularReader || !succeeded ? timing.listIntervalMilliseconds : timing.backgroundListIntervalMilliseconds
      const listBytes = (newestListing?.listing.vms.length ?? 0) * LIST_BYTES_PER_VM
      const minimumInterval = succeeded ? listBytes / MAXIMUM_LIST_BYTES_PER_SECOND * 1_000 : 0
      await clock.sleep(Math.max(interval, minimumInterval) * (0.75 + random() / 4), stopping.signal)
    }
  }

  let running: Promise<unknown> | undefined
  return {
    events,
    start: () => { running ??= Promise.all([runProbes(), pollList()]) },
    stop: async () => {
      stopping.abort()
      urgentTimer?.cancel()
      for (const timer of suspicions.values()) timer.cancel()
      suspicions.clear()
      await running
    },
    handleProbe: (message) => {
      receive(message, undefined)
      return createMessage(message.from)
    },
    handleProbeIndirect: async (member) => await exchange(member) === 'responded',
    members,
    liveDaemons: () => liveNames(members()),
    memberList: () => [...daemons.keys()],
    isTargetLeaving: (target) => leavingTargetMarks.has(target),
    leavingTargets: () => leavingTargetMarks.names(),
    markTargetLeaving: markTarget,
    listing: () => newestListing,
    leave: () => {
      if (isLeaving) return
      isLeaving = true
      incarnation++
      announceOwnStatus()
      scheduleUrgentExchange()
    },
    attachPayload: (name, hook) => { payloadHooks.set(name, hook) },
    exchangeWith: async (name, signal) => {
      const member = daemons.get(name)
      return member !== undefined && name !== self.name && await exchange(member, signal) === 'responded'
    }
  }
}
