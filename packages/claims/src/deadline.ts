import { setMaxListeners } from 'node:events'
import { linkSignals, type Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

export interface Deadline {
  readonly signal: AbortSignal
  readonly remaining: () => Milliseconds
  /** Ends the wait before its time. */
  readonly abort: () => void
  /** Frees the timer and the listeners. */
  readonly release: () => void
}

/** Creates a signal that aborts after a time or together with one of the outer signals. */
export function createDeadline (clock: Clock, milliseconds: Milliseconds, ...outer: readonly AbortSignal[]): Deadline {
  const ending = new AbortController()
  const linked = linkSignals([ending.signal, ...outer])
  const endsAt = clock.now() + milliseconds
  const abort = (): void => ending.abort()
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

/** Creates a controller whose signal takes any number of listeners without a warning. */
export function createStopController (): AbortController {
  const controller = new AbortController()
  setMaxListeners(0, controller.signal)
  return controller
}

/** Resolves with the promise's value, or with undefined when the signal aborts first. */
export function orAborted<Value> (promise: Promise<Value>, signal: AbortSignal): Promise<Value | undefined> {
  return new Promise((resolve, reject) => {
    const abort = (): void => resolve(undefined)
    if (signal.aborted) abort()
    signal.addEventListener('abort', abort)
    promise.then(resolve, reject).finally(() => signal.removeEventListener('abort', abort))
  })
}
