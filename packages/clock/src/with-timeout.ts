import type { Clock } from './clock.js'
import { linkSignals } from './link-signals.js'

/**
 * Runs an operation with a signal that aborts after the timeout or as soon as one of the source
 * signals aborts. The timer and the listeners on the sources are removed when the operation ends.
 * The function does not reject by itself: the operation has to react to the signal.
 *
 * @example
 * const state = await withTimeout(clock, 800, [stopping.signal], (signal) => readState(address, signal))
 */
export async function withTimeout<Value> (
  clock: Clock,
  timeoutMilliseconds: number,
  sources: readonly AbortSignal[],
  operation: (signal: AbortSignal) => Promise<Value>
): Promise<Value> {
  const timeout = new AbortController()
  const linked = linkSignals([timeout.signal, ...sources])
  const timer = clock.setTimer(timeoutMilliseconds, () => timeout.abort())
  try {
    return await operation(linked.signal)
  } finally {
    timer.cancel()
    linked.release()
  }
}
