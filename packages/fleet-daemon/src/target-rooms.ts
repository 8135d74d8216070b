import type { Clock } from '@fuchsiastage/clock'
import type { Member, MemberDirectory, TargetDirectory, TargetKey } from '@fuchsiastage/fleet'
import type { FleetPeerClient, PermitMessage } from '@fuchsiastage/fleet-peer'
import type { TargetRooms } from '@fuchsiastage/forwarding'
import type { Logger } from '@fuchsiastage/logger'
import { createRoomIssuer, type BrittleTargets, type PermitDecision, type RoomReport, type RoomStatement } from '@fuchsiastage/target-limits'
import type { Milliseconds } from '@fuchsiastage/types'
import { chooseResponsible } from './responsible-member.js'

export interface TargetRoomsOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly members: MemberDirectory
  /** Part of the fleet whose decisions this daemon may take; see `FleetSize`. */
  readonly reachedShare: () => number
  readonly directory: Pick<TargetDirectory, 'find'>
  readonly peers: Pick<FleetPeerClient, 'permit' | 'reportRoom'>
  readonly self: () => Member
  readonly brittleTargets: BrittleTargets
  /** Exchanges state with all peers, a few at a time. */
  readonly exchangeWithAll: () => Promise<void>
  /** Called with each decision on a request of this daemon to a brittle target. */
  readonly onDecision: (decision: PermitDecision) => void
  /** Source of random numbers from 0 to 1, for the spread of the calls. */
  readonly random: () => number
}

export interface FleetTargetRooms extends TargetRooms {
  /** Asks for room for one request at a brittle target. It is taken until the send that follows ends. */
  readonly acquire: (target: TargetKey, signal: AbortSignal) => Promise<PermitDecision>
  /** Returns room that was acquired for a request that is not sent. */
  readonly cancel: (target: TargetKey) => void
  /** Reports the requests that are under way when a target turns out to be brittle. They were sent without asking for room. */
  readonly reportSends: (target: TargetKey) => void
  /** Decides on a request of another daemon that considers this one the issuer of the target. */
  readonly answer: (statement: RoomStatement) => PermitDecision
  /** Records the end of a request of another daemon. */
  readonly recordReport: (report: RoomReport) => void
}

/** The issuer decides without waiting, so its response takes a few milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 200
/** Time for which an issuer that did not respond is not asked. Its successor is known when it counts as unresponsive. */
const ISSUER_BACKOFF_MILLISECONDS = 500
/** Shortest retry delay for clients. Room that is free at once goes to the next request. */
const MINIMUM_RETRY_MILLISECONDS = 50
/** Rate at which all daemons together may ask for the room of one target after a denial, at least. */
const ROOM_CALLS_PER_SECOND = 12
/** Calls for each request that a target completes. In a simulation of 7 daemons with room for one request at each target, two calls served 0.35 of the requests, four 0.39 and eight 0.40. */
const CALLS_PER_REQUEST = 4
/** Bounds the time for which a daemon does not ask again, so that the requests of one VM are not all denied. */
const MAXIMUM_DENIAL_MILLISECONDS = 1_000
/** Time after which room that was acquired and not used is returned. A request is sent at once. */
const UNUSED_MILLISECONDS = 1_000
/** Shortest time between two messages to all peers. A request that is turned away by two targets in a row tells of both. */
const NOTICE_INTERVAL_MILLISECONDS = 10
const MILLISECONDS_PER_SECOND = 1_000

/** Requests of this daemon to a target. */
interface OwnRequests {
  sends: number
  /** Times at which room was asked for that no send has used yet. */
  reserved: Milliseconds[]
  /** The call to the issuer that is under way; the next one waits for it, because the numbers in both would contradict each other. */
  asking: Promise<void> | undefined
  /** Whether a report has been sent during that call. It counts the request as granted. */
  hasReported: boolean
}

/**
 * Creates the rooms of brittle targets. One daemon, chosen by a hash of the target and the names of the
 * responsive daemons, decides how many requests all daemons together have at a target. Each message states the
 * number of requests of its sender, so that a lost message or a new issuer does not leave a wrong sum behind.
 *
 * @example
 * const rooms = createTargetRooms({ clock, logger, members, reachedShare, directory, peers, self, brittleTargets, exchangeWithAll, onDecision, random: Math.random })
 * const decision = await rooms.acquire(target.key, signal)
 */
export function createTargetRooms (options: TargetRoomsOptions): FleetTargetRooms {
  const { clock, logger, members, directory, peers, self, brittleTargets, random } = options
  const issuer = createRoomIssuer({ clock, logger, isAlive: (name) => name === self().name || members.isAlive(name), share: options.reachedShare })
  const own = new Map<TargetKey, OwnRequests>()
  const avoidedUntil = new Map<string, Milliseconds>()
  /** Times before which no room is asked for, with the time at which it may be free. */
  const denials = new Map<TargetKey, { readonly freeAt: Milliseconds, readonly validUntil: Milliseconds }>()
  let sequence = 0
  /** Monotonic time of the last message to all peers, or of the next one if it is due. */
  let noticeAt: Milliseconds = -Infinity

  const ownRequests = (target: TargetKey): OwnRequests => {
    const known = own.get(target) ?? { sends: 0, reserved: [], asking: undefined, hasReported: false }
    own.set(target, known)
    known.reserved = known.reserved.filter((at) => clock.now() - at < UNUSED_MILLISECONDS)
    return known
  }

  const forgetUnused = (target: TargetKey): void => {
    const { sends, reserved, asking } = ownRequests(target)
    if (sends === 0 && reserved.length === 0 && asking === undefined) own.delete(target)
  }

  const describe = (target: TargetKey, rejections: number): RoomStatement => {
    const { sends, reserved } = ownRequests(target)
    const { name, startedAt } = self()
    return { target, daemon: name, daemonStartedAt: startedAt, sequence: ++sequence, held: sends + reserved.length, rejections, slots: directory.find(target)?.entry.slots ?? 1 }
  }

  const deny = (target: TargetKey, retryAfterMilliseconds: Milliseconds, minimumMilliseconds: Milliseconds): void => {
    const now = clock.now()
    for (const [key, { validUntil }] of denials) if (validUntil <= now) denials.delete(key)
    const requestsPerSecond = MILLISECONDS_PER_SECOND / Math.max(1, retryAfterMilliseconds)
    // Daemons that were denied at the same time do not ask again at the same time.
    const spread = 2 * random() * MILLISECONDS_PER_SECOND * members.aliveCount() / Math.max(ROOM_CALLS_PER_SECOND, CALLS_PER_REQUEST * requestsPerSecond)
    const freeAt = Math.max(now + retryAfterMilliseconds, denials.get(target)?.freeAt ?? 0)
    denials.set(target, { freeAt, validUntil: now + Math.max(minimumMilliseconds, Math.min(MAXIMUM_DENIAL_MILLISECONDS, spread)) })
  }

  const askIssuer = async (statement: RoomStatement, signal: AbortSignal): Promise<PermitDecision> => {
    const { target, rejections } = statement
    const { name, peerAddress } = chooseResponsible(target, self(), members)
    if (name === self().name) return issuer.issue(statement)
    const backoff = (avoidedUntil.get(name) ?? -Infinity) - clock.now()
    if (backoff > 0) return { kind: 'denied', retryAfterMilliseconds: backoff }
    // An issuer of the previous release keeps the target to the rate at which even rejections of all requests are allowed.
    const message: PermitMessage = { target, requestsPerSecond: rejections, maximumWaitMilliseconds: 0, room: statement }
    const decision = await peers.permit(peerAddress, message, CALL_TIMEOUT_MILLISECONDS, signal)
    if (decision.isOk) return decision.value
    if (!signal.aborted) {
      avoidedUntil.set(name, clock.now() + ISSUER_BACKOFF_MILLISECONDS)
      logger.warn('the issuer of the room of a brittle target did not respond; the request counts as denied', { event: 'room-unavailable', target, peer: peerAddress, reason: decision.error.message })
    }
    return { kind: 'denied', retryAfterMilliseconds: ISSUER_BACKOFF_MILLISECONDS }
  }

  const report = (message: RoomReport): void => {
    ownRequests(message.target).hasReported = true
    const { name, peerAddress } = chooseResponsible(message.target, self(), members)
    if (name === self().name) {
      issuer.report(message)
      return
    }
    // The next message to the issuer states the number of requests again.
    void peers.reportRoom(peerAddress, message, CALL_TIMEOUT_MILLISECONDS).then((outcome) => {
      if (outcome.isErr) logger.debug('the end of a request to a brittle target was not reported', { event: 'room-report-lost', target: message.target, peer: peerAddress, reason: outcome.error.message })
    })
  }

  /** Tells all peers of a target that turned away a request that was sent without room, because its statement was not known. */
  const notifyPeers = (): void => {
    if (noticeAt > clock.now()) return
    noticeAt = Math.max(clock.now(), noticeAt + NOTICE_INTERVAL_MILLISECONDS)
    if (noticeAt === clock.now()) void options.exchangeWithAll()
    else clock.setTimer(noticeAt - clock.now(), () => { void options.exchangeWithAll() })
  }

  const cachedDenial = (target: TargetKey): PermitDecision | undefined => {
    const denial = denials.get(target)
    if (denial === undefined || denial.validUntil <= clock.now()) return undefined
    return { kind: 'denied', retryAfterMilliseconds: Math.max(MINIMUM_RETRY_MILLISECONDS, denial.freeAt - clock.now()) }
  }

  const acquire: FleetTargetRooms['acquire'] = async (target, signal) => {
    for (;;) {
      const rejections = brittleTargets.rejectionsOf(target)
      if (rejections === undefined) return { kind: 'granted', waitMilliseconds: 0 }
      const denied = cachedDenial(target)
      if (denied !== undefined) return denied
      const requests = ownRequests(target)
      if (requests.asking === undefined) return await ask(requests, describe(target, rejections), signal)
      await requests.asking
    }
  }

  const ask = async (requests: OwnRequests, statement: RoomStatement, signal: AbortSignal): Promise<PermitDecision> => {
    const { target } = statement
    requests.reserved.push(clock.now())
    const answered = askIssuer(statement, signal)
    requests.hasReported = false
    requests.asking = answered.then(() => undefined)
    const decision = await answered
    requests.asking = undefined
    options.onDecision(decision)
    if (decision.kind === 'granted') return decision
    requests.reserved.pop()
    // The issuer may have granted a call that was broken off because its client left.
    if (requests.hasReported || signal.aborted) report(describe(target, statement.rejections))
    forgetUnused(target)
    if (!signal.aborted) deny(target, decision.retryAfterMilliseconds, 0)
    return { kind: 'denied', retryAfterMilliseconds: Math.max(MINIMUM_RETRY_MILLISECONDS, decision.retryAfterMilliseconds) }
  }

  const cancel = (target: TargetKey): void => {
    ownRequests(target).reserved.pop()
    const rejections = brittleTargets.rejectionsOf(target)
    if (rejections !== undefined) report(describe(target, rejections))
    forgetUnused(target)
  }

  const reportSends = (target: TargetKey): void => {
    const rejections = brittleTargets.rejectionsOf(target)
    if (rejections !== undefined && (own.get(target)?.sends ?? 0) > 0) report(describe(target, rejections))
  }

  const beginSend: FleetTargetRooms['beginSend'] = ({ key }) => {
    const startedAt = clock.now()
    const isKnown = brittleTargets.rejectionsOf(key) !== undefined
    const requests = ownRequests(key)
    requests.reserved.shift()
    requests.sends++
    let isTurnedAway = false
    return {
      recordAnswer: (rejections, hasTurnedAway) => {
        brittleTargets.recordAnswer(key, rejections, startedAt)
        isTurnedAway = hasTurnedAway && rejections !== undefined
        if (isTurnedAway && !isKnown) notifyPeers()
      },
      end: () => {
        ownRequests(key).sends--
        const rejections = brittleTargets.rejectionsOf(key)
        if (rejections !== undefined) report({ ...describe(key, rejections), ended: { isTurnedAway, milliseconds: clock.now() - startedAt } })
        if (isTurnedAway) deny(key, MINIMUM_RETRY_MILLISECONDS, MINIMUM_RETRY_MILLISECONDS)
        forgetUnused(key)
      }
    }
  }

  return {
    isBrittle: (target) => brittleTargets.rejectionsOf(target) !== undefined,
    acquire,
    cancel,
    reportSends,
    answer: issuer.issue,
    recordReport: issuer.report,
    beginSend
  }
}
