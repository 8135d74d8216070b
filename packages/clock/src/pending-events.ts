import type { Clock } from './clock.js'

/** The rest of the current turn, one that reads what has arrived, and one in which Node reports what follows from it. */
const EVENT_LOOP_TURNS = 3
const TRACKING_MILLISECONDS = 50

/**
 * Lets the event loop read what has arrived on all connections. A process that was busy or suspended runs the timers
 * that are due before it reads the events that arrived in time.
 *
 * @example
 * await readPendingEvents()
 * if (!isConnected) reportSlowConnection()
 */
export async function readPendingEvents (): Promise<void> {
  for (let turn = 0; turn < EVENT_LOOP_TURNS; turn++) await new Promise((resolve) => setImmediate(resolve))
}

/**
 * Tracks when the event loop reads events. The returned function states the earliest time at which an event that is
 * reported now may have arrived. A process that is busy or suspended reports events long after their arrival.
 *
 * @example
 * const earliestArrival = trackArrivals(clock)
 * process.on('SIGTERM', () => { void daemon.stop(earliestArrival()) })
 */
export function trackArrivals (clock: Clock): () => number {
  let readSince = clock.now()
  const track = (): void => {
    // Events are read between a timer and the immediates that it has set.
    const startedAt = clock.now()
    setImmediate(() => {
      readSince = startedAt
      clock.setTimer(TRACKING_MILLISECONDS, track)
    })
  }
  track()
  return () => readSince
}
