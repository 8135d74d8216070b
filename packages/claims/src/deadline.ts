import { setMaxListeners } from 'node:events'
import { linkSignals, type Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

export interface Deadline {
  readonly signal: AbortSignal
  readonly remaining: () => Milliseconds
  /** Aborts the signal before the deadline. */
  readonly abort: () => void
  /** Cancels the timer and removes the listeners. */
  readonly release: () => void
}

/** Creates a deadline whose signal aborts after the given time, or earlier when one of the parent signals aborts. */
export function createDeadline (clock: Clock, milliseconds: Milliseconds, ...parentSignals: readonly AbortSignal[]): Deadline {
  const controller = new AbortController()
  const linked = linkSignals([controller.signal, ...parentSignals])
  const endsAt = clock.now() + milliseconds
  const abort = (): void => controller.abort()
  const timer = clock.setTimer(milliseconds, abort)
  return {
    signal: linked.signal,
    remaining: () => Math.max(0, endsAt - clock.now()),
    abort,
    release: () => {
      timer.cancel()
      linked.release()
    }
  }
}

/** Creates a controller whose signal accepts any number of listeners without a `MaxListenersExceededWarning`. */
export function createStopController (): AbortController {
  const controller = new AbortController()
  setMaxListeners(0, controller.signal)
  return controller
}

/** Settles with the promise, or resolves with undefined if the signal aborts first. */
export function raceAbort<Value> (promise: Promise<Value>, signal: AbortSignal): Promise<Value | undefined> {
  return new Promise((resolve, reject) => {
    const abort = (): void => resolve(undefined)
    if (signal.aborted) abort()
    signal.addEventListener('abort', abort)
    promise.then(resolve, reject).finally(() => signal.removeEventListener('abort', abort))
  })
}
