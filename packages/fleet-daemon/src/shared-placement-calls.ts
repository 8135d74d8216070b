import { linkSignals, type Clock } from '@fuchsiastage/clock'
import { createError } from '@fuchsiastage/errors'
import type { FleetPeerClient, PlaceMessage } from '@fuchsiastage/fleet-peer'
import type { Milliseconds } from '@fuchsiastage/types'
import { err } from 'true-myth/result'

type PlaceOutcome = Awaited<ReturnType<FleetPeerClient['place']>>

export interface SharedPlacementCallsOptions {
  readonly clock: Clock
  readonly peers: Pick<FleetPeerClient, 'place'>
}

export interface SharedPlacementAnswer {
  readonly outcome: PlaceOutcome
  /** Whether the call was made for an earlier deadline, so that a later one may still be met after a refusal. */
  readonly wasForEarlierDeadline: boolean
}

export interface SharedPlacementCalls {
  /**
   * Requests a placement from the lease holder, together with the requests of this daemon that wait for the
   * same one. The call is aborted when none of them waits any more.
   */
  readonly place: (address: string, message: PlaceMessage, signal: AbortSignal) => Promise<SharedPlacementAnswer>
}

interface SharedCall {
  /** Monotonic time until which the holder may let the call wait. */
  readonly deadline: Milliseconds
  readonly outcome: Promise<PlaceOutcome>
  readonly abort: () => void
  waiting: number
}

/** Requests that arrive within this time have the same deadline for the purpose of a placement. */
const DEADLINE_TOLERANCE_MILLISECONDS = 50

/**
 * Creates the calls of placement that the requests of a daemon share. Each call occupies a connection while
 * it waits, and an aborted one closes it; a busy holder accepts one connection in each turn of its event
 * loop, so calls over new connections would wait longer than their requests.
 *
 * @example
 * const calls = createSharedPlacementCalls({ clock, peers })
 * const { outcome } = await calls.place('10.2.0.40:7380', message, signal)
 */
export function createSharedPlacementCalls ({ clock, peers }: SharedPlacementCallsOptions): SharedPlacementCalls {
  /** The call with the earliest deadline for each placement. */
  const calls = new Map<string, SharedCall>()

  const open = (key: string, address: string, message: PlaceMessage): SharedCall => {
    const ended = new AbortController()
    const call: SharedCall = {
      deadline: clock.now() + message.remainingMilliseconds,
      outcome: peers.place(address, message, message.remainingMilliseconds, ended.signal),
      abort: () => ended.abort(),
      waiting: 0
    }
    calls.set(key, call)
    const forget = (): void => { if (calls.get(key) === call) calls.delete(key) }
    call.outcome.then(forget, forget)
    return call
  }

  const leave = (key: string, call: SharedCall): void => {
    call.waiting--
    if (call.waiting > 0) return
    if (calls.get(key) === call) calls.delete(key)
    call.abort()
  }

  return {
    place: async (address, message, signal) => {
      const { service, model, adapter, avoid } = message
      const key = JSON.stringify([address, service, model, adapter ?? null, ...avoid])
      const deadline = clock.now() + message.remainingMilliseconds
      const known = calls.get(key)
      // A later deadline would let this request wait for a load that does not end in time for it.
      const call = known !== undefined && known.deadline <= deadline + DEADLINE_TOLERANCE_MILLISECONDS ? known : open(key, address, message)
      call.waiting++
      const answered = new AbortController()
      const waiting = linkSignals([signal, answered.signal])
      const ended = clock.sleep(message.remainingMilliseconds, waiting.signal).then((): PlaceOutcome =>
        err(createError({ code: 'peer-call-failed', message: 'the request has ended', step: 'place', peer: address })))
      try {
        const outcome = await Promise.race([call.outcome, ended])
        return { outcome, wasForEarlierDeadline: call.deadline < deadline - DEADLINE_TOLERANCE_MILLISECONDS }
      } finally {
        answered.abort()
        waiting.release()
        leave(key, call)
      }
    }
  }
}
