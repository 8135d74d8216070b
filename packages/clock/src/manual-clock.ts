import type { Clock, Timer } from './clock.js'
import { sleepWith } from './sleep.js'

interface PendingTimer {
  readonly dueAt: number
  readonly sequence: number
  readonly callback: () => void
}

/** A clock that moves only when a test advances it. */
export interface ManualClock extends Clock {
  /** Moves time forward, runs due timers in order and lets pending promises settle between them. */
  readonly advance: (milliseconds: number) => Promise<void>
  /** Lets pending promises settle without moving time. */
  readonly settle: () => Promise<void>
  readonly pendingTimers: () => number
}

/** Rounds of the macrotask queue after which chains of promises are taken as settled. */
const SETTLE_ROUNDS = 4

/** Wall time of the manual clock at its start: 2026-01-01T00:00:00Z. */
const DEFAULT_WALL_START = 1_767_225_600_000

/**
 * Creates a clock for tests. Time starts at zero.
 *
 * @example
 * const clock = createManualClock()
 * clock.setTimer(50, () => console.log('due'))
 * await clock.advance(50)
 */
export function createManualClock (wallStart: number = DEFAULT_WALL_START): ManualClock {
  let time = 0
  let sequence = 0
  const pending = new Set<PendingTimer>()

  const setTimer = (delayMilliseconds: number, callback: () => void): Timer => {
    const timer: PendingTimer = { dueAt: time + Math.max(0, delayMilliseconds), sequence: sequence++, callback }
    pending.add(timer)
    return { cancel: () => { pending.delete(timer) } }
  }

  const settle = async (): Promise<void> => {
    for (let round = 0; round < SETTLE_ROUNDS; round++) {
      await new Promise<void>((resolve) => setImmediate(resolve))
    }
  }

  const nextDue = (limit: number): PendingTimer | undefined => {
    let next: PendingTimer | undefined
    for (const timer of pending) {
      if (timer.dueAt > limit) continue
      if (next === undefined || timer.dueAt < next.dueAt || (timer.dueAt === next.dueAt && timer.sequence < next.sequence)) next = timer
    }
    return next
  }

  const advance = async (milliseconds: number): Promise<void> => {
    const end = time + milliseconds
    await settle()
    for (let timer = nextDue(end); timer !== undefined; timer = nextDue(end)) {
      time = Math.max(time, timer.dueAt)
      pending.delete(timer)
      timer.callback()
      await settle()
    }
    time = end
  }

  return {
    now: () => time,
    wallNow: () => wallStart + time,
    setTimer,
    sleep: (delayMilliseconds, signal) => sleepWith(setTimer, delayMilliseconds, signal),
    advance,
    settle,
    pendingTimers: () => pending.size
  }
}
