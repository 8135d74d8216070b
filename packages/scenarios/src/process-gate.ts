import type { Clock, ManualClock } from '@fuchsiastage/clock'

/** Kinds of held-back work. A resumed process continues with its pending sends, then due timers, then received messages. */
export type GateQueue = 'outgoing' | 'timer' | 'incoming'

/** Controls the execution of one simulated process, which can be paused, resumed and killed. */
export interface ProcessGate {
  /** Clock of the process; its timers do not fire while the process is paused or killed. */
  readonly clock: Clock
  /** Resolves immediately while the process runs, after the resume while it is paused, and never once it is killed. */
  readonly pass: (queue: GateQueue) => Promise<void>
  readonly pause: () => void
  readonly resume: () => void
  readonly kill: () => void
  readonly state: () => 'running' | 'paused' | 'killed'
  /** Total time paused, including the current pause. */
  readonly pausedMilliseconds: () => number
  /** Time of the last resume. */
  readonly resumedAt: () => number
}

const QUEUES: readonly GateQueue[] = ['outgoing', 'timer', 'incoming']

/**
 * Creates the gate of one process on the shared clock.
 *
 * @example
 * const gate = createProcessGate(clock)
 * await gate.pass('outgoing')
 */
export function createProcessGate (clock: ManualClock): ProcessGate {
  let state: 'running' | 'paused' | 'killed' = 'running'
  let pauseStartedAt = 0
  let totalPausedMilliseconds = 0
  let lastResumeAt = -Infinity
  let heldBack: { readonly queue: GateQueue, readonly release: () => void }[] = []

  const pass = (queue: GateQueue): Promise<void> => state === 'running'
    ? Promise.resolve()
    : new Promise((resolve) => { heldBack.push({ queue, release: resolve }) })

  const setTimer: Clock['setTimer'] = (delayMilliseconds, callback) => {
    let isCancelled = false
    const run = (): void => { if (!isCancelled) callback() }
    const timer = clock.setTimer(delayMilliseconds, () => {
      if (state === 'running') run()
      else heldBack.push({ queue: 'timer', release: run })
    })
    return {
      cancel: () => {
        isCancelled = true
        timer.cancel()
      }
    }
  }

  const sleep: Clock['sleep'] = (delayMilliseconds, signal) => new Promise((resolve) => {
    if (signal?.aborted === true) {
      resolve()
      return
    }
    const finish = (): void => {
      timer.cancel()
      signal?.removeEventListener('abort', finish)
      resolve()
    }
    const timer = setTimer(delayMilliseconds, finish)
    signal?.addEventListener('abort', finish)
  })

  return {
    clock: { now: clock.now, wallNow: clock.wallNow, setTimer, sleep },
    pass,
    pause: () => {
      if (state !== 'running') return
      state = 'paused'
      pauseStartedAt = clock.now()
    },
    resume: () => {
      if (state !== 'paused') return
      state = 'running'
      lastResumeAt = clock.now()
      totalPausedMilliseconds += clock.now() - pauseStartedAt
      const released = heldBack
      heldBack = []
      for (const queue of QUEUES) for (const entry of released) if (entry.queue === queue) entry.release()
    },
    kill: () => {
      state = 'killed'
      heldBack = []
    },
    state: () => state,
    pausedMilliseconds: () => totalPausedMilliseconds + (state === 'paused' ? clock.now() - pauseStartedAt : 0),
    resumedAt: () => lastResumeAt
  }
}

/** Settles with the promise, or rejects as soon as the signal aborts. */
export function rejectOnAbort<Value> (promise: Promise<Value>, signal: AbortSignal | undefined): Promise<Value> {
  if (signal === undefined) return promise
  return new Promise((resolve, reject) => {
    const abort = (): void => reject(new Error('aborted'))
    if (signal.aborted) {
      abort()
      return
    }
    signal.addEventListener('abort', abort)
    promise.then(resolve, reject).finally(() => signal.removeEventListener('abort', abort))
  })
}

/** Returns a promise that never settles, as a read from a stalled connection does. */
export function neverSettles (): Promise<never> {
  return new Promise(() => undefined)
}
