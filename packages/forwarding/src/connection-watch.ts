import { readPendingEvents, type Clock, type Timer } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import type { TargetReachability } from './target-reachability.js'

/** Watches the connection of one send. */
export interface ConnectionWatch {
  readonly recordConnected: () => void
  readonly recordBytes: () => void
  readonly stop: () => void
}

export interface ConnectionWatchOptions {
  readonly clock: Clock
  readonly reachability: TargetReachability
  /** Longest time without bytes on an established connection while this daemon is cut off; undefined if the request must not be sent again. */
  readonly maximumSilenceMilliseconds: Milliseconds | undefined
  /** Called when the connection takes long to be established. */
  readonly onSlowConnect: () => void
  /** Called when another daemon is to serve the request, because this one is cut off from the targets. */
  readonly onCutOff: () => void
}

/** Establishing a connection takes some milliseconds. */
const SLOW_CONNECT_MILLISECONDS = 100

/**
 * Watches a send whose request another daemon can serve if this one turns out to be cut off from the
 * targets: before its connection is established, or when it falls silent. While the daemon is not cut off,
 * a silent target is waited for. Time in which this process was busy tells nothing about the target.
 *
 * @example
 * const watch = watchConnection({ clock, reachability, maximumSilenceMilliseconds: 1_000, onSlowConnect, onCutOff: () => connection.abort() })
 */
export function watchConnection ({ clock, reachability, maximumSilenceMilliseconds, onSlowConnect, onCutOff }: ConnectionWatchOptions): ConnectionWatch {
  let isConnected = false
  let hasStopped = false
  let lastBytesAt: Milliseconds = clock.now()

  const reportSlowConnect = async (): Promise<void> => {
    await readPendingEvents()
    if (!isConnected && !hasStopped) onSlowConnect()
  }
  let timer: Timer = clock.setTimer(SLOW_CONNECT_MILLISECONDS, () => { void reportSlowConnect() })

  const check = async (): Promise<void> => {
    await readPendingEvents()
    timer.cancel()
    if (hasStopped || !reachability.isCutOff()) return
    if (!isConnected) return onCutOff()
    if (maximumSilenceMilliseconds === undefined) return
    const remaining = lastBytesAt + maximumSilenceMilliseconds - clock.now()
    if (remaining <= 0) onCutOff()
    else timer = clock.setTimer(remaining, () => { void check() })
  }
  const unsubscribe = reachability.events.on('lost', check)

  return {
    recordConnected: () => {
      isConnected = true
      timer.cancel()
    },
    recordBytes: () => { lastBytesAt = clock.now() },
    stop: () => {
      hasStopped = true
      unsubscribe()
      timer.cancel()
    }
  }
}
