import type { Clock } from '@fuchsiastage/clock'
import type { TargetKey } from '@fuchsiastage/fleet'
import type { Logger } from '@fuchsiastage/logger'
import type { Milliseconds } from '@fuchsiastage/types'
import type { PermitDecision } from './permit-issuer.js'

/** What a daemon states about its requests to a brittle target. */
export interface RoomStatement {
  readonly target: TargetKey
  /** Name and start of the daemon. */
  readonly daemon: string
  readonly daemonStartedAt: number
  /** Number of the statement; an older one that arrives later doesn't change the count. */
  readonly sequence: number
  /** Requests of the daemon at the target, without the one for which it asks. */
  readonly held: number
  /** Requests that the target may turn away in a second without falling over. */
  readonly rejections: number
  /** Requests that the target runs at the same time, according to its entry. */
  readonly slots: number
}

/** Number of requests of a daemon, stated without a request for room. */
export interface RoomReport extends RoomStatement {
  /** The request that has ended; missing if room is returned that no request has used. */
  readonly ended?: { readonly isTurnedAway: boolean, readonly milliseconds: Milliseconds } | undefined
}

/** Issues permits for requests to brittle targets, so that all daemons together keep within their room. */
export interface RoomIssuer {
  readonly issue: (statement: RoomStatement) => PermitDecision
  readonly report: (report: RoomReport) => void
}

export interface RoomIssuerOptions {
  readonly clock: Clock
  readonly logger: Logger
  /** Whether a daemon responds. The target ends the requests of one that has failed. */
  readonly isAlive: (daemon: string) => boolean
  /** Part of each room that this issuer may grant; others may issue the rest. */
  readonly share: () => number
}

interface HeldRequests {
  readonly startedAt: number
  readonly sequence: number
  readonly count: number
  readonly statedAt: Milliseconds
}

interface Room {
  readonly held: Map<string, HeldRequests>
  /** Requests that the target may have at the same time. */
  size: number
  /** Monotonic time at which the size was changed last, or was not used up. */
  growthFrom: Milliseconds
  /** Monotonic times of the rejections in the window, in ascending order. */
  rejectedAt: readonly Milliseconds[]
  meanMilliseconds: Milliseconds
  usedAt: Milliseconds
}

/** Window in which a brittle target may turn a limited number of requests away. */
const WINDOW_MILLISECONDS = 1_000
/** Share of the allowed rejections after which the target gets no requests until the window is over. The rest is left to requests under way. */
const GUARD_SHARE = 0.5
/** Shortest time after which a room that is used up grows by one. */
const MINIMUM_GROWTH_MILLISECONDS = 1_000
/** Growth costs a rejection where the room is used up already; it takes a quarter of the allowed rejections at most. */
const GROWTH_REJECTION_SHARE = 0.25
/** Share of the last request in the mean duration. */
const MEAN_SHARE = 0.1
const FIRST_MEAN_MILLISECONDS = 100
const MAXIMUM_RETRY_MILLISECONDS = 2_000
/** Time after which the requests of a daemon that states nothing are not counted any more, and an unused room is forgotten. */
const FORGET_MILLISECONDS = 30_000

/**
 * Creates the issuer of permits for brittle targets. The room of a target is the number of its slots at first.
 * A rejection reduces it to what the target had accepted, and it grows again while it is used up, also beyond the slots, which the entry of a target may lack.
 *
 * @example
 * const rooms = createRoomIssuer({ clock, logger, isAlive: members.isAlive, share: () => 1 })
 * const decision = rooms.issue({ target, daemon: 'entry-1', daemonStartedAt: 1, sequence: 1, held: 0, rejections: 5, slots: 8 })
 */
export function createRoomIssuer ({ clock, logger, isAlive, share }: RoomIssuerOptions): RoomIssuer {
  const rooms = new Map<TargetKey, Room>()

  const roomOf = ({ target, slots }: RoomStatement): Room => {
    const now = clock.now()
    const known = rooms.get(target)
    if (known !== undefined) {
      known.usedAt = now
      return known
    }
    for (const [key, { usedAt }] of rooms) if (now - usedAt > FORGET_MILLISECONDS) rooms.delete(key)
    const room: Room = { held: new Map(), size: Math.max(1, slots), growthFrom: now, rejectedAt: [], meanMilliseconds: FIRST_MEAN_MILLISECONDS, usedAt: now }
    rooms.set(target, room)
    return room
  }

  const recordHeld = (room: Room, { daemon, daemonStartedAt, sequence }: RoomStatement, count: number): void => {
    const known = room.held.get(daemon)
    if (known !== undefined && (known.startedAt > daemonStartedAt || (known.startedAt === daemonStartedAt && known.sequence > sequence))) return
    room.held.set(daemon, { startedAt: daemonStartedAt, sequence, count, statedAt: clock.now() })
  }

  const heldBy = (room: Room): number => {
    for (const [daemon, { statedAt }] of room.held) if (!isAlive(daemon) || clock.now() - statedAt > FORGET_MILLISECONDS) room.held.delete(daemon)
    return [...room.held.values()].reduce((sum, { count }) => sum + count, 0)
  }

  const grow = (room: Room, { rejections }: RoomStatement, isUsedUp: boolean): void => {
    const now = clock.now()
    if (!isUsedUp) return
    const period = Math.max(MINIMUM_GROWTH_MILLISECONDS, WINDOW_MILLISECONDS / (GROWTH_REJECTION_SHARE * rejections))
    if (now - room.growthFrom < period) return
    room.size++
    room.growthFrom = now
  }

  /** Time until the target may get requests again after its last rejections. */
  const guardMilliseconds = (room: Room, rejections: number): Milliseconds => {
    const now = clock.now()
    room.rejectedAt = room.rejectedAt.filter((at) => now - at < WINDOW_MILLISECONDS)
    const allowed = Math.max(1, Math.floor(GUARD_SHARE * rejections))
    const decisive = room.rejectedAt.at(-allowed)
    return decisive === undefined ? 0 : decisive + WINDOW_MILLISECONDS - now
  }

  return {
    issue: (statement) => {
      const room = roomOf(statement)
      recordHeld(room, statement, statement.held)
      const held = heldBy(room)
      const guard = guardMilliseconds(room, statement.rejections)
      if (guard > 0) return { kind: 'denied', retryAfterMilliseconds: guard }
      grow(room, statement, held >= room.size)
      if (held >= Math.max(1, share() * room.size)) return { kind: 'denied', retryAfterMilliseconds: Math.min(MAXIMUM_RETRY_MILLISECONDS, room.meanMilliseconds / room.size) }
      recordHeld(room, statement, statement.held + 1)
      return { kind: 'granted', waitMilliseconds: 0 }
    },
    report: (report) => {
      const room = roomOf(report)
      recordHeld(room, report, report.held)
      if (report.ended?.isTurnedAway === true) {
        // The request that was turned away is not among those held any more.
        const now = clock.now()
        const size = Math.max(1, Math.min(room.size, heldBy(room)))
        const isGuarded = guardMilliseconds(room, report.rejections) > 0
        room.rejectedAt = [...room.rejectedAt, now]
        if (!isGuarded && guardMilliseconds(room, report.rejections) > 0) logger.warn('a brittle target turned requests away and gets none for a moment', { event: 'brittle-target-guarded', target: report.target, rejections: report.rejections, room: size, previous: room.size })
        room.size = size
        room.growthFrom = now
        return
      }
      if (report.ended === undefined) return
      room.meanMilliseconds += MEAN_SHARE * (report.ended.milliseconds - room.meanMilliseconds)
    }
  }
}
