import type { Clock, Timer } from '@fuchsiastage/clock'
import type { FuchsiastageError } from '@fuchsiastage/errors'
import { rendezvousRank } from '@fuchsiastage/leased-stream'
import type { Logger } from '@fuchsiastage/logger'
import type { JsonValue, Milliseconds, VmListing, VmRecord } from '@fuchsiastage/types'
import Emittery from 'emittery'
import type { Result } from 'true-myth/result'
import { createLeavingTargets, type TargetIdentity } from './leaving-targets.js'
import { FIRST_RECORD, mergeRecord, statusOf, type MemberRecord, type MemberStatus } from './member-records.js'
import type { LeavingMarkKind, MemberCode, MembershipMessage, MembershipTransport, MembershipUpdate } from './messages.js'
import { sample, type RandomSource } from './random.js'
import { liveNames, type Member } from './selection.js'
import { createUpdateQueue } from './update-queue.js'

export interface MembershipTiming {
  /** Interval between probes of one daemon. */
  readonly periodMilliseconds: Milliseconds
  /** Time for a member's own answer, and again for the answers of the members that probe it instead. */
  readonly probeTimeoutMilliseconds: Milliseconds
  /** Time that a suspect member has to refute. */
  readonly suspicionMilliseconds: Milliseconds
  /** Interval between reads of the VM list by its regular readers. */
  readonly listMilliseconds: Milliseconds
  /** Interval of all other daemons, because the list is large in large deployments. */
  readonly backgroundListMilliseconds: Milliseconds
  /** Number of regular readers. */
  readonly listReaders: number
}

export const DEFAULT_MEMBERSHIP_TIMING: MembershipTiming = {
  periodMilliseconds: 1_000,
  probeTimeoutMilliseconds: 400,
  suspicionMilliseconds: 4_000,
  listMilliseconds: 1_000,
  backgroundListMilliseconds: 10_000,
  listReaders: 16
}

export interface MembershipOptions {
  /** The own entry of the VM list, as the settings state it. */
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
  /** Set when the value came with an answer: it was made at most this long before `receivedAt`. */
  readonly roundTripMilliseconds: Milliseconds | undefined
}

/** Small data of another controller that travels with each exchange. */
export interface PayloadHook {
  readonly produce: () => JsonValue | undefined
  readonly receive: (exchange: PayloadExchange) => void
}

interface MembershipEvents {
  member: { readonly name: string, readonly status: MemberStatus }
  targetLeaving: { readonly name: string, readonly kind: LeavingMarkKind, readonly value: string }
  listing: { readonly listing: VmListing }
  /** The VM list shows the own VM as leaving. */
  selfLeaving: undefined
}

export interface MembershipController {
  readonly start: () => void
  readonly stop: () => Promise<void>
  readonly events: Emittery<MembershipEvents>
  /** Answers a probe of another member. */
  readonly handleProbe: (message: MembershipMessage) => MembershipMessage
  /** Probes a member on behalf of another. */
  readonly handleProbeIndirect: (member: VmRecord) => Promise<boolean>
  /** All daemons that the VM list shows, this one included. */
  readonly members: () => readonly Member[]
  /** Names for the ranking of roles: without failed and leaving daemons. */
  readonly liveDaemons: () => readonly string[]
  /** Names for majorities: failed daemons stay until the VM list drops them. */
  readonly memberList: () => readonly string[]
  readonly isTargetLeaving: (target: TargetIdentity) => boolean
  /** Names of targets of which at least one incarnation or address is known to be leaving. */
  readonly leavingTargets: () => readonly string[]
  /** Reports what the target's own state or its 503 answer showed. */
  readonly markTargetLeaving: (name: string, kind: LeavingMarkKind, value: string) => void
  /** The newest listing, and when the request for it was sent. */
  readonly listing: () => { readonly listing: VmListing, readonly readAt: Milliseconds } | undefined
  /** Announces a planned stop of this daemon. */
  readonly leave: () => void
  /** Attaches data to each exchange; names are short, because they travel, too. */
  readonly attachPayload: (name: string, hook: PayloadHook) => void
  /** One exchange outside the regular probes, for example in a majority round. */
  readonly exchangeWith: (name: string, signal: AbortSignal) => Promise<boolean>
}

export const ENTRY_ROLE = 'entry'

const INDIRECT_PROBES = 2

/** Each so many periods one failed member is probed too, so that two sides of a healed partition find each other. */
const FAILED_PROBE_PERIODS = 5

/** A timer that is later than this shows that this process was paused; what it waited for may have arrived meanwhile. */
const PAUSE_TOLERANCE_MILLISECONDS = 500

/** Members that get urgent news (leaving, suspect, refuted) at once instead of with the next probe. */
const EAGER_FANOUT = 2
const EAGER_DELAY_MILLISECONDS = 50
const EAGER_INTERVAL_MILLISECONDS = 250

/** Limits of one message, so that it fits into a small number of packets. */
const UPDATE_LIMITS = { maximumUpdates: 12, maximumBytes: 800 }
const MAXIMUM_PAYLOAD_BYTES = 256

/** How long statuses of VMs that the VM list does not show are kept, because the list may lag. */
const ABSENT_MILLISECONDS = 600_000

/**
 * Bound on the traffic of one daemon's list reads, about a third of its control budget. At 6,270 VMs
 * a read takes 790 KB, so a daemon then reads each 100 s and 370 daemons together four times a second.
 */
const LIST_BYTES_PER_SECOND = 8_000

/** Bytes of one VM in the list, measured by `capacity vm-list`. */
const LIST_BYTES_PER_VM = 126

/** Timeout of a read of the VM list. */
const LIST_TIMEOUT_MILLISECONDS = 5_000

/**
 * Creates the failure detector of one daemon, which also disseminates leaving members and targets.
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
  const updates = createUpdateQueue(UPDATE_LIMITS)
  const targets = createLeavingTargets()
  const hooks = new Map<string, PayloadHook>()
  const records = new Map<string, MemberRecord>()
  const absentSince = new Map<string, Milliseconds>()
  const suspicions = new Map<string, Timer>()
  let daemons: ReadonlyMap<string, VmRecord> = new Map([[self.name, self]])
  let newestListing: { readonly listing: VmListing, readonly readAt: Milliseconds } | undefined
  let incarnation = 0
  let isLeaving = false
  let isListedAsLeaving = false
  let round: VmRecord[] = []
  let periods = 0
  let eagerTimer: Timer | undefined
  let eagerAt = -Infinity

  const recordOf = (name: string): MemberRecord =>
    name === self.name ? { incarnation, code: isLeaving ? 'l' : 'a', isLeaving } : records.get(name) ?? FIRST_RECORD

  const toMember = (vm: VmRecord): Member => {
    const record = recordOf(vm.name)
    const leaves = record.isLeaving || vm.state === 'leaving'
    const status = statusOf(record)
    return { vm, status: status === 'alive' && leaves ? 'leaving' : status, isLeaving: leaves, incarnation: record.incarnation }
  }
  const members = (): readonly Member[] => [...daemons.values()].map(toMember)

  const others = (accepts: (code: MemberCode) => boolean): readonly VmRecord[] =>
    [...daemons.values()].filter(({ name, peerAddress }) => name !== self.name && peerAddress !== undefined && accepts(recordOf(name).code))

  // Dissemination

  const announceSelf = (): void => updates.add([isLeaving ? 'l' : 'a', self.name, incarnation])

  const refute = (known: number): void => {
    incarnation = known + 1
    announceSelf()
    scheduleEager()
    logger.info('refuted a status about this daemon', { event: 'member-refuted', incarnation })
  }

  const scheduleEager = (): void => {
    if (eagerTimer !== undefined || stopping.signal.aborted) return
    const delay = Math.max(EAGER_DELAY_MILLISECONDS, eagerAt + EAGER_INTERVAL_MILLISECONDS - clock.now())
    eagerTimer = clock.setTimer(delay, () => {
      eagerTimer = undefined
      eagerAt = clock.now()
      for (const member of sample(others((code) => code === 'a' || code === 'l'), EAGER_FANOUT, random)) void exchange(member)
    })
  }

  /** Marks a member suspect and tells it at once, because its refutation must reach all within the suspicion time. */
  const suspect = (member: VmRecord): void => {
    const { code, incarnation: known } = recordOf(member.name)
    if (code === 's' || code === 'f') return
    applyMember('s', member.name, known)
    void exchange(member)
  }

  const startSuspicion = (name: string): void => {
    const dueAt = clock.now() + timing.suspicionMilliseconds
    suspicions.set(name, clock.setTimer(timing.suspicionMilliseconds, () => {
      suspicions.delete(name)
      // After an own pause a refutation may be waiting to be read.
      if (clock.now() > dueAt + PAUSE_TOLERANCE_MILLISECONDS) startSuspicion(name)
      else applyMember('f', name, recordOf(name).incarnation)
    }))
  }

  const applyMember = (code: MemberCode, name: string, known: number): void => {
    if (name === self.name) {
      const isOwnLeaving = code === 'l' && isLeaving && known === incarnation
      if (code !== 'a' && known >= incarnation && !isOwnLeaving) refute(known)
      return
    }
    const before = recordOf(name)
    const merged = mergeRecord(before, code, known)
    if (merged === undefined) return
    const isRecovered = code === 'a' && before.code !== 'a'
    records.set(name, merged)
    updates.add([code, name, known])
    suspicions.get(name)?.cancel()
    suspicions.delete(name)
    if (code === 's') startSuspicion(name)
    // With one message a second neither a suspicion nor its refutation would reach all members in time.
    if (code === 's' || code === 'l' || isRecovered) scheduleEager()
    logger.info('member status changed', { event: `member-${statusOf(merged)}`, peer: name, incarnation: known })
    void events.emit('member', { name, status: statusOf(merged) })
  }

  const applyTarget = (name: string, kind: LeavingMarkKind, value: string): void => {
    if (!targets.mark(name, kind, value)) return
    updates.add(['t', name, kind, value])
    scheduleEager()
    logger.info('target is leaving', { event: 'target-leaving', target: name, kind, value })
    void events.emit('targetLeaving', { name, kind, value })
  }

  const applyUpdate = (update: MembershipUpdate): void => {
    if (update[0] === 't') applyTarget(update[1], update[2], update[3])
    else applyMember(update[0], update[1], update[2])
  }

  // Exchanges

  const producePayload = (): Readonly<Record<string, JsonValue>> => {
    const payload: Record<string, JsonValue> = {}
    for (const [name, hook] of hooks) {
      const value = hook.produce()
      if (value === undefined) continue
      if (Buffer.byteLength(JSON.stringify(value)) > MAXIMUM_PAYLOAD_BYTES) logger.error('data for other members is too large and was left out', { event: 'payload-too-large', payload: name })
      else payload[name] = value
    }
    return payload
  }

  /** The receiver's own bad status goes first and does not count, so that it can refute. */
  const createMessage = (to: string): MembershipMessage => {
    const { code, incarnation: known } = recordOf(to)
    const about: readonly MembershipUpdate[] = code === 'a' || to === self.name ? [] : [[code, to, known]]
    return { from: self.name, incarnation, isLeaving, updates: [...about, ...updates.take(daemons.size)], payload: producePayload() }
  }

  const receive = (message: MembershipMessage, roundTripMilliseconds: Milliseconds | undefined): void => {
    applyMember(message.isLeaving ? 'l' : 'a', message.from, message.incarnation)
    for (const update of message.updates) applyUpdate(update)
    for (const [name, value] of Object.entries(message.payload)) {
      hooks.get(name)?.receive({ member: message.from, value, receivedAt: clock.now(), roundTripMilliseconds })
    }
  }

  /** Runs a call with a timeout. `paused`: this process slept through the timeout, so a missing answer proves nothing. */
  const withTimeout = async <Value>(call: (signal: AbortSignal) => Promise<Result<Value, FuchsiastageError>>, outer?: AbortSignal): Promise<Value | 'failed' | 'paused'> => {
    const startedAt = clock.now()
    const limit = new AbortController()
    const abort = (): void => limit.abort()
    const timer = clock.setTimer(timing.probeTimeoutMilliseconds, abort)
    outer?.addEventListener('abort', abort)
    const aborted = new Promise<undefined>((resolve) => limit.signal.addEventListener('abort', () => resolve(undefined)))
    const result = await Promise.race([call(limit.signal), aborted])
    timer.cancel()
    outer?.removeEventListener('abort', abort)
    if (result?.isOk === true) return result.value
    return clock.now() - startedAt > timing.probeTimeoutMilliseconds + PAUSE_TOLERANCE_MILLISECONDS ? 'paused' : 'failed'
  }

  const exchange = async (member: VmRecord, outer?: AbortSignal): Promise<'answered' | 'failed' | 'paused'> => {
    const sentAt = clock.now()
    const answer = await withTimeout((signal) => transport.probe(member, createMessage(member.name), signal), outer)
    if (answer === 'failed' || answer === 'paused') return answer
    // Another daemon at this address is no answer of the member.
    if (answer.from !== member.name) return 'failed'
    receive(answer, clock.now() - sentAt)
    return 'answered'
  }

  const probeIndirectly = async (member: VmRecord): Promise<'answered' | 'failed' | 'paused'> => {
    const helpers = sample(others((code) => code === 'a' || code === 'l').filter(({ name }) => name !== member.name), INDIRECT_PROBES, random)
    const answers = await Promise.all(helpers.map((helper) => withTimeout((signal) => transport.probeIndirect(helper, member, signal))))
    if (answers.includes(true)) return 'answered'
    return answers.includes('paused') ? 'paused' : 'failed'
  }

  const probe = async (member: VmRecord): Promise<void> => {
    const direct = await exchange(member)
    if (direct !== 'failed') return
    if (await probeIndirectly(member) === 'failed' && !stopping.signal.aborted) suspect(member)
  }

  const nextOfRound = (): VmRecord | undefined => {
    for (;;) {
      const next = round.pop()
      if (next === undefined) return undefined
      if (daemons.has(next.name) && recordOf(next.name).code !== 'f') return next
    }
  }

  const runPeriod = (): void => {
    let next = nextOfRound()
    if (next === undefined) {
      const candidates = others((code) => code !== 'f')
      round = [...sample(candidates, candidates.length, random)]
      next = nextOfRound()
    }
    if (next !== undefined) void probe(next)
    if (++periods % FAILED_PROBE_PERIODS !== 0) return
    for (const failed of sample(others((code) => code === 'f'), 1, random)) void exchange(failed)
  }

  const runPeriods = async (): Promise<void> => {
    // A random start spreads the probes of daemons that start together.
    await clock.sleep(random() * timing.periodMilliseconds, stopping.signal)
    while (!stopping.signal.aborted) {
      runPeriod()
      await clock.sleep(timing.periodMilliseconds, stopping.signal)
    }
  }

  // VM list

  const forgetAbsent = (listed: ReadonlySet<string>): void => {
    const now = clock.now()
    targets.forgetAbsent(listed, now, ABSENT_MILLISECONDS)
    for (const name of records.keys()) {
      const since = absentSince.get(name) ?? now
      if (listed.has(name)) absentSince.delete(name)
      else if (now - since < ABSENT_MILLISECONDS) absentSince.set(name, since)
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
      if (vm.role !== ENTRY_ROLE && vm.state === 'leaving') applyTarget(vm.name, 'address', vm.address)
    }
    forgetAbsent(new Set(listing.vms.map(({ name }) => name)))
    const isSelfLeaving = daemons.get(self.name)?.state === 'leaving'
    if (isSelfLeaving && !isListedAsLeaving) void events.emit('selfLeaving')
    isListedAsLeaving = isSelfLeaving
    void events.emit('listing', { listing })
  }

  const readList = async (): Promise<boolean> => {
    const limit = new AbortController()
    const abort = (): void => limit.abort()
    const timer = clock.setTimer(LIST_TIMEOUT_MILLISECONDS, abort)
    stopping.signal.addEventListener('abort', abort)
    const readAt = clock.now()
    const result = await options.readListing(limit.signal)
    timer.cancel()
    stopping.signal.removeEventListener('abort', abort)
    if (stopping.signal.aborted) return false
    if (result.isOk) applyListing(result.value, readAt)
    else logger.debug('the VM list did not answer', { event: 'vm-list-unavailable', reason: result.error.message })
    return result.isOk
  }

  const followList = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const succeeded = await readList()
      const isReader = rendezvousRank('vm-list', liveNames(members()), self.name, timing.listReaders) !== undefined
      const pause = isReader || !succeeded ? timing.listMilliseconds : timing.backgroundListMilliseconds
      const bytes = (newestListing?.listing.vms.length ?? 0) * LIST_BYTES_PER_VM
      const shortest = succeeded ? bytes / LIST_BYTES_PER_SECOND * 1_000 : 0
      await clock.sleep(Math.max(pause, shortest) * (0.75 + random() / 4), stopping.signal)
    }
  }

  let running: Promise<unknown> | undefined
  return {
    events,
    start: () => { running ??= Promise.all([runPeriods(), followList()]) },
    stop: async () => {
      stopping.abort()
      eagerTimer?.cancel()
      for (const timer of suspicions.values()) timer.cancel()
      suspicions.clear()
      await running
    },
    handleProbe: (message) => {
      receive(message, undefined)
      return createMessage(message.from)
    },
    handleProbeIndirect: async (member) => await exchange(member) === 'answered',
    members,
    liveDaemons: () => liveNames(members()),
    memberList: () => [...daemons.keys()],
    isTargetLeaving: (target) => targets.has(target),
    leavingTargets: () => targets.names(),
    markTargetLeaving: applyTarget,
    listing: () => newestListing,
    leave: () => {
      if (isLeaving) return
      isLeaving = true
      incarnation++
      announceSelf()
      scheduleEager()
    },
    attachPayload: (name, hook) => { hooks.set(name, hook) },
    exchangeWith: async (name, signal) => {
      const member = daemons.get(name)
      return member !== undefined && name !== self.name && await exchange(member, signal) === 'answered'
    }
  }
}
