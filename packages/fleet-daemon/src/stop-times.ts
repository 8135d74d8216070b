import type { StopSchedule } from '@fuchsiastage/forwarding'
import type { Milliseconds } from '@fuchsiastage/types'

/** Monotonic times of the steps of a stop, all of them within its grace time. */
export interface StopTimes extends StopSchedule {
  /** Callers that looked up this daemon before the stop may open connections until then. */
  readonly drainedAt: Milliseconds
  /** The process ends at this time at the latest. */
  readonly exitsAt: Milliseconds
}

export interface StopTimesInputs {
  readonly signalledAt: Milliseconds
  readonly graceMilliseconds: Milliseconds
  /** Time for which callers may still use a response of the directory that includes this daemon. */
  readonly drainMilliseconds: Milliseconds
}

/** A stop waits for active requests and the release of the lease until this long before the end of the grace time. */
const STOP_MARGIN_MILLISECONDS = 1_000
/** The rules of the platform allow a stop to cut requests only while their targets are at work in the last sixth of the grace time. */
const STOP_MARGIN_SHARE = 1 / 6
/** Part of that margin that is left to the end of the process when the requests that were then still active have got their responses. */
const EXIT_MARGIN_SHARE = 0.4
/** Requests that wait for a target are refused this long before a stop ends, but no longer than its margin. */
const REFUSAL_MARGIN_MILLISECONDS = 600
/**
 * Time after the stop signal from which a request whose deadline is later than the end of the stop is refused.
 * The rules of the platform allow a stop to cut only requests from the first three seconds; the rest allows for a late signal.
 */
const LAST_LONG_REQUEST_MILLISECONDS = 2_500

/**
 * Returns the times of the steps of a stop. Requests that wait for a target are refused before the others are ended, so
 * that their answers are sent.
 *
 * @example
 * const times = deriveStopTimes({ signalledAt: clock.now(), graceMilliseconds: 8_000, drainMilliseconds: 3_400 })
 */
export function deriveStopTimes ({ signalledAt, graceMilliseconds, drainMilliseconds }: StopTimesInputs): StopTimes {
  const margin = Math.min(STOP_MARGIN_MILLISECONDS, graceMilliseconds * STOP_MARGIN_SHARE)
  const graceEndsAt = signalledAt + graceMilliseconds
  const endsAt = graceEndsAt - margin
  const lastRequestAt = endsAt - Math.min(REFUSAL_MARGIN_MILLISECONDS, margin)
  return {
    lastLongRequestAt: signalledAt + LAST_LONG_REQUEST_MILLISECONDS,
    drainedAt: Math.min(signalledAt + drainMilliseconds, lastRequestAt),
    lastRequestAt,
    endsAt,
    exitsAt: graceEndsAt - margin * EXIT_MARGIN_SHARE
  }
}
