import type { Clock } from '@fuchsiastage/clock'
import type { TargetKey } from '@fuchsiastage/fleet'
import type { Milliseconds } from '@fuchsiastage/types'

interface Send {
  readonly sentAt: Milliseconds
  isAnswered: boolean
}

/** The requests of this daemon at each target, and how long requests of a service take. */
export interface SendRecord {
  readonly begin: (target: TargetKey, service: string) => { readonly answer: () => void, readonly end: () => void }
  readonly count: (target: TargetKey) => number
  /** Time since the oldest request without an answer was sent; 0 if there is none. */
  readonly oldestUnanswered: (target: TargetKey) => Milliseconds
  /** Mean time of the requests of a service. */
  readonly meanMilliseconds: (service: string) => Milliseconds
}

/** Mean time that is assumed until a request has ended, and bounds of the mean. */
const ASSUMED_MILLISECONDS = 200
const MINIMUM_MILLISECONDS = 20
const MAXIMUM_MILLISECONDS = 2_000
const SMOOTHING_FACTOR = 0.1

/**
 * Creates the record of the requests at targets.
 *
 * @example
 * const send = sends.begin(target.key, target.entry.service)
 * const count = sends.count(target.key)
 */
export function createSendRecord (clock: Clock): SendRecord {
  const sendsOf = new Map<TargetKey, Set<Send>>()
  const meanOfService = new Map<string, Milliseconds>()

  return {
    begin: (target, service) => {
      const sends = sendsOf.get(target) ?? new Set()
      const send: Send = { sentAt: clock.now(), isAnswered: false }
      sendsOf.set(target, sends.add(send))
      return {
        answer: () => { send.isAnswered = true },
        end: () => {
          sends.delete(send)
          if (sends.size === 0 && sendsOf.get(target) === sends) sendsOf.delete(target)
          const mean = meanOfService.get(service) ?? ASSUMED_MILLISECONDS
          meanOfService.set(service, Math.min(MAXIMUM_MILLISECONDS, Math.max(MINIMUM_MILLISECONDS, mean + SMOOTHING_FACTOR * (clock.now() - send.sentAt - mean))))
        }
      }
    },
    count: (target) => sendsOf.get(target)?.size ?? 0,
    oldestUnanswered: (target) => {
      for (const { sentAt, isAnswered } of sendsOf.get(target) ?? []) if (!isAnswered) return clock.now() - sentAt
      return 0
    },
    meanMilliseconds: (service) => meanOfService.get(service) ?? ASSUMED_MILLISECONDS
  }
}
