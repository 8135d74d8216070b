import type { Clock } from '@fuchsiastage/clock'
import type { Member, MemberDirectory, TargetKey } from '@fuchsiastage/fleet'
import type { FleetPeerClient, PermitMessage } from '@fuchsiastage/fleet-peer'
import type { AcquireTurn } from '@fuchsiastage/forwarding'
import type { Logger } from '@fuchsiastage/logger'
import { createPermitIssuer, type PermitDecision, type TargetLimits, type TargetPauses } from '@fuchsiastage/target-limits'
import type { TargetPaces } from '@fuchsiastage/target-pace'
import type { Milliseconds } from '@fuchsiastage/types'
import { chooseResponsible } from './responsible-member.js'
import type { FleetTargetRooms } from './target-rooms.js'

export interface TargetTurnsOptions {
  readonly clock: Clock
  readonly logger: Logger
  readonly members: MemberDirectory
  /** Part of the fleet whose decisions this daemon may take; see `FleetSize`. */
  readonly reachedShare: () => number
  readonly peers: Pick<FleetPeerClient, 'permit'>
  readonly self: () => Member
  readonly limits: TargetLimits
  readonly pauses: TargetPauses
  readonly paces: Pick<TargetPaces, 'hasRoomAt'>
  readonly rooms: Pick<FleetTargetRooms, 'isBrittle' | 'acquire' | 'cancel' | 'answer'>
  /** Called with each decision on a request of this daemon to a limited target. */
  readonly onDecision: (decision: PermitDecision) => void
  /** Source of random numbers from 0 to 1, for the spread of the calls. */
  readonly random: () => number
}

export interface TargetTurns {
  /** Asks for one request to a target; granted immediately if the target states no limit, has asked for no pause, has room for its pace and is not brittle. */
  readonly acquire: AcquireTurn
  /** Decides on a request of another daemon that considers this one the issuer of the target. */
  readonly answer: (message: PermitMessage) => PermitDecision
}

/** The issuer decides without waiting, so its response takes a few milliseconds. */
const PERMIT_TIMEOUT_MILLISECONDS = 200
/** Shortest retry delay for clients. A permit that is free at once goes to the next request. */
const MINIMUM_RETRY_MILLISECONDS = 50
/** Time for which an issuer that did not respond is not asked. Its successor is known when it counts as unresponsive. */
const ISSUER_BACKOFF_MILLISECONDS = 500
/**
 * Rate at which all daemons together may call for the permits of one target after a denial. It bounds
 * the calls to an issuer, however many daemons have requests for the target.
 */
const PERMIT_CALLS_PER_SECOND = 12
/** Calls for each request that a target accepts, so that a target with a high limit is used up to it. */
const CALLS_PER_PERMIT = 2
/** Time after which a request asks again whether a target has room for its pace. */
const PACE_RETRY_MILLISECONDS = 25
const MILLISECONDS_PER_SECOND = 1_000

/** Denial of a request that could wait for some time; it also applies to requests that can wait for less. */
interface Denial {
  readonly maximumWaitMilliseconds: Milliseconds
  /** Monotonic time before which no permit is free. */
  readonly freeAt: Milliseconds
  readonly validUntil: Milliseconds
}

/**
 * Creates the turns of requests at targets that limit their requests, have asked this daemon for a
 * pause, have just started or recovered, or are brittle; this is the one place that decides when a target may get the next request. The permits of a
 * limited target are issued by one daemon, chosen by a hash of the target and the names of the responsive
 * daemons, so that all daemons together keep to the limit without a share for each of them. If the issuer
 * does not respond, the turn is denied: the limit comes before the request.
 *
 * @example
 * const turns = createTargetTurns({ clock, logger, members, reachedShare, peers, self, limits, pauses, paces, rooms, onDecision, random: Math.random })
 * const decision = await turns.acquire(target.key, 500, signal)
 */
export function createTargetTurns ({ clock, logger, members, reachedShare, peers, self, limits, pauses, paces, rooms, onDecision, random }: TargetTurnsOptions): TargetTurns {
  const issuer = createPermitIssuer(clock)
  const avoidedUntil = new Map<string, Milliseconds>()
  const denials = new Map<TargetKey, Denial>()

  const answer: TargetTurns['answer'] = ({ target, requestsPerSecond, maximumWaitMilliseconds, room }) =>
    room !== undefined ? rooms.answer(room) : issuer.issue({ target, requestsPerSecond: reachedShare() * Math.min(requestsPerSecond, limits.limitOf(target) ?? Infinity), maximumWaitMilliseconds })

  const deny = (freeAt: Milliseconds): PermitDecision => ({ kind: 'denied', retryAfterMilliseconds: Math.max(MINIMUM_RETRY_MILLISECONDS, freeAt - clock.now()) })

  const rememberDenial = ({ target, maximumWaitMilliseconds, requestsPerSecond }: PermitMessage, retryAfterMilliseconds: Milliseconds): void => {
    const now = clock.now()
    const known = denials.get(target)
    if (known !== undefined && known.validUntil > now && known.maximumWaitMilliseconds > maximumWaitMilliseconds) return
    for (const [key, { validUntil }] of denials) if (validUntil <= now) denials.delete(key)
    const callIntervalMilliseconds = MILLISECONDS_PER_SECOND * members.aliveCount() / Math.max(PERMIT_CALLS_PER_SECOND, CALLS_PER_PERMIT * requestsPerSecond)
    // Daemons that were denied at the same time do not ask again at the same time.
    const holdMilliseconds = Math.max(retryAfterMilliseconds - maximumWaitMilliseconds, 2 * random() * callIntervalMilliseconds)
    denials.set(target, { maximumWaitMilliseconds, freeAt: now + retryAfterMilliseconds, validUntil: now + holdMilliseconds })
  }

  const acquire: AcquireTurn = async (target, maximumWaitMilliseconds, signal, ignoresPace = false) => {
    const requestsPerSecond = limits.limitOf(target)
    const pauseMilliseconds = pauses.remaining(target)
    // A permit would be used up before the end of the pause.
    if (pauseMilliseconds > maximumWaitMilliseconds || (pauseMilliseconds > 0 && requestsPerSecond !== undefined)) {
      return { kind: 'denied', reason: 'pause', retryAfterMilliseconds: Math.max(MINIMUM_RETRY_MILLISECONDS, pauseMilliseconds) }
    }
    if (pauseMilliseconds > 0) return { kind: 'granted', waitMilliseconds: pauseMilliseconds }
    // The pace comes before the permit, which would be used up in vain, and after the pause, which the target has asked for itself.
    if (!ignoresPace && !paces.hasRoomAt(target)) {
      return maximumWaitMilliseconds >= PACE_RETRY_MILLISECONDS
        ? { kind: 'granted', waitMilliseconds: PACE_RETRY_MILLISECONDS }
        : { kind: 'denied', reason: 'pace', retryAfterMilliseconds: MINIMUM_RETRY_MILLISECONDS }
    }
    const isBrittle = rooms.isBrittle(target)
    if (isBrittle) {
      const room = await rooms.acquire(target, signal)
      if (room.kind === 'denied') return { ...room, reason: 'room' }
    }
    pauses.takeTurn(target)
    if (requestsPerSecond === undefined) {
      denials.delete(target)
      return { kind: 'granted', waitMilliseconds: 0 }
    }
    const decision = await decide({ target, requestsPerSecond, maximumWaitMilliseconds }, signal)
    onDecision(decision)
    if (decision.kind === 'granted') return decision
    if (isBrittle) rooms.cancel(target)
    return { ...decision, reason: 'limit' }
  }

  const decide = async (message: PermitMessage, signal: AbortSignal): Promise<PermitDecision> => {
    const { target, maximumWaitMilliseconds } = message
    const denial = denials.get(target)
    if (denial !== undefined && denial.validUntil > clock.now() && maximumWaitMilliseconds <= denial.maximumWaitMilliseconds) return deny(denial.freeAt)
    const decision = await askIssuer(message, signal)
    if (decision.kind === 'denied') rememberDenial(message, decision.retryAfterMilliseconds)
    return decision
  }

  const askIssuer = async (message: PermitMessage, signal: AbortSignal): Promise<PermitDecision> => {
    const { target } = message
    const { name, peerAddress } = chooseResponsible(target, self(), members)
    if (name === self().name) return answer(message)
    const backoff = (avoidedUntil.get(name) ?? -Infinity) - clock.now()
    if (backoff > 0) return { kind: 'denied', retryAfterMilliseconds: backoff }
    const decision = await peers.permit(peerAddress, message, PERMIT_TIMEOUT_MILLISECONDS, signal)
    if (decision.isOk) return decision.value
    if (!signal.aborted) {
      avoidedUntil.set(name, clock.now() + ISSUER_BACKOFF_MILLISECONDS)
      logger.warn('the issuer of the permits for a target did not respond; the permit counts as denied', { event: 'permit-unavailable', target, peer: peerAddress, reason: decision.error.message })
    }
    return { kind: 'denied', retryAfterMilliseconds: ISSUER_BACKOFF_MILLISECONDS }
  }

  return { acquire, answer }
}
