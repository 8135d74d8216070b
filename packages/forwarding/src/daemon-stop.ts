import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

/** Planned end of this daemon. */
export interface StopSchedule {
  /** Monotonic time from which a request gets a target only if its deadline passes before the daemon ends. */
  readonly lastLongRequestAt: Milliseconds
  /** Monotonic time from which no request gets a target. */
  readonly lastRequestAt: Milliseconds
  /** Monotonic time at which the daemon ends. */
  readonly endsAt: Milliseconds
}

export interface DaemonStop {
  readonly schedule: (schedule: StopSchedule) => void
  /** Ends the daemon now: no request gets a target any more. */
  readonly end: () => void
  /** Ends the requests that are still in progress, so that their clients get a response while the daemon can send one. */
  readonly endRequests: () => void
  readonly hasEnded: () => boolean
  /** Calls the function when the requests in progress are ended, at once if they have been. Release it when it is not needed any more. */
  readonly onRequestsEnded: (callback: () => void) => () => void
  /** Whether a request with this deadline gets no target any more, because its answer might be cut. */
  readonly isTooLate: (deadlineAt: Milliseconds) => boolean
  /** Time after which a client that is refused because the daemon stops finds a daemon that serves it. */
  readonly retryDelay: () => Milliseconds
  /** Returns a signal that aborts when a request with this deadline gets no target any more. Release it when it is not needed any more. */
  readonly watch: (deadlineAt: Milliseconds) => { readonly signal: AbortSignal, readonly release: () => void }
}

export interface DaemonStopOptions {
  readonly clock: Clock
  /** Whether another daemon accepts requests. */
  readonly hasServingPeer: () => boolean
}

/** Time from the end of a process until its successor accepts requests. */
const RESTART_MILLISECONDS = 1_000

/**
 * Creates the record of when this daemon stops, which decides the requests that it still sends to targets. A
 * request that is refused in time can be served by another daemon.
 *
 * @example
 * const stop = createDaemonStop({ clock, hasServingPeer: () => true })
 * if (stop.isTooLate(context.deadlineAt)) return { kind: 'refused', reason: 'daemon-stopping', retryAfterMilliseconds: stop.retryDelay() }
 */
export function createDaemonStop ({ clock, hasServingPeer }: DaemonStopOptions): DaemonStop {
  let planned: StopSchedule | undefined
  let hasEnded = false
  let haveRequestsEnded = false
  const waiting = new Map<AbortController, Milliseconds>()
  const endedCallbacks = new Set<() => void>()

  const isTooLate: DaemonStop['isTooLate'] = (deadlineAt) => {
    if (hasEnded) return true
    if (planned === undefined) return false
    const now = clock.now()
    return now >= planned.lastRequestAt || (now >= planned.lastLongRequestAt && deadlineAt > planned.endsAt)
  }

  const abortLate = (): void => {
    for (const [controller, deadlineAt] of waiting) if (isTooLate(deadlineAt)) controller.abort()
  }

  return {
    schedule: (schedule) => {
      planned = schedule
      for (const at of [schedule.lastLongRequestAt, schedule.lastRequestAt]) clock.setTimer(Math.max(0, at - clock.now()), abortLate)
    },
    end: () => {
      hasEnded = true
      abortLate()
    },
    endRequests: () => {
      haveRequestsEnded = true
      for (const callback of [...endedCallbacks]) callback()
    },
    hasEnded: () => hasEnded,
    onRequestsEnded: (callback) => {
      if (haveRequestsEnded) callback()
      else endedCallbacks.add(callback)
      return () => endedCallbacks.delete(callback)
    },
    isTooLate,
    retryDelay: () => hasServingPeer() ? 0 : Math.max(0, (planned?.endsAt ?? 0) - clock.now()) + RESTART_MILLISECONDS,
    watch: (deadlineAt) => {
      const controller = new AbortController()
      if (isTooLate(deadlineAt)) controller.abort()
      else waiting.set(controller, deadlineAt)
      return { signal: controller.signal, release: () => waiting.delete(controller) }
    }
  }
}
