/** The rest of the current turn, one that reads what has arrived, and one in which Node reports what follows from it. */
const EVENT_LOOP_TURNS = 3

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
