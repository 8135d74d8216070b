import type { Clock, Timer } from './clock.js'
import { sleepWith } from './sleep.js'

interface PendingTimer {
  readonly dueAt: number
  readonly sequence: number
  readonly callback: () => void
}

/** A clock whose time changes only when a test advances it. */
export interface ManualClock extends Clock {
  /** Advances the time and runs due timers in order; pending promises settle after each timer. */
  readonly advance: (milliseconds: number) => Promise<void>
  /** Lets pending promises settle without advancing the time. */
  readonly settle: () => Promise<void>
  readonly pendingTimers: () => number
}

/** Number of event loop iterations after which chains of promises are assumed to be settled. */
const SETTLE_ITERATIONS = 4

/** 2026-01-01T00:00:00Z in milliseconds since the Unix epoch. */
const DEFAULT_WALL_START = 1_767_225_600_000

/**
 * Creates a clock for tests. Its monotonic time starts at zero, its wall-clock time at `wallStart`.
 *
 * @example
 * const clock = createManualClock()
 * clock.setTimer(50, () => console.log('due'))
 * await clock.advance(50)
 */
export function createManualClock (wallStart: number = DEFAULT_WALL_START): ManualClock {
  let currentTime = 0
  let sequence = 0
  const pending = new Set<PendingTimer>()

  const setTimer = (delayMilliseconds: number, callback: () => void): Timer => {
    const timer: PendingTimer = { dueAt: currentTime + Math.max(0, delayMilliseconds), sequence: sequence++, callback }
    pending.add(timer)
    return { cancel: () => { pending.delete(timer) } }
  }

  const settle = async (): Promise<void> => {
    for (let round = 0; round < SETTLE_ITERATIONS; round++) {
      await new Promise<void>((resolve) => setImmediate(resolve))
    }
  }

  const findNextDue = (latestDueAt: number): PendingTimer | undefined => {
    let next: PendingTimer | undefined
    for (const timer of pending) {
      if (timer.dueAt > latestDueAt) continue
      if (next === undefined || timer.dueAt < next.dueAt || (timer.dueAt === next.dueAt && timer.sequence < next.sequence)) next = timer
    }
    return next
  }

  const advance = async (milliseconds: number): Promise<void> => {
    const end = currentTime + milliseconds
    await settle()
    for (let timer = findNextDue(end); timer !== undefined; timer = findNextDue(end)) {
      currentTime = Math.max(currentTime, timer.dueAt)
      pending.delete(timer)
      timer.callback()
      await settle()
    }
    currentTime = end
  }

  return {
    now: () => currentTime,
    wallNow: () => wallStart + currentTime,
    setTimer,
    sleep: (delayMilliseconds, signal) => sleepWith(setTimer, delayMilliseconds, signal),
    advance,
    settle,
    pendingTimers: () => pending.size
  }
}
