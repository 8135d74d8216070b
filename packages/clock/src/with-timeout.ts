import type { Clock } from './clock.js'
import { linkSignals } from './link-signals.js'

/**
 * Runs an operation under a signal that aborts after the time given or together with one of the
 * other signals, and leaves nothing behind on them.
 *
 * @example
 * const state = await withTimeout(clock, 800, [stopping.signal], (signal) => readState(address, signal))
 */
export async function withTimeout<Value> (
  clock: Clock,
  milliseconds: number,
  sources: readonly AbortSignal[],
  run: (signal: AbortSignal) => Promise<Value>
): Promise<Value> {
  const limit = new AbortController()
  const linked = linkSignals([limit.signal, ...sources])
  const timer = clock.setTimer(milliseconds, () => limit.abort())
  try {
    return await run(linked.signal)
  } finally {
    timer.cancel()
    linked.release()
  }
}
