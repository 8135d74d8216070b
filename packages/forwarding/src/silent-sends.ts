import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'
import type { TargetReachability } from './target-reachability.js'

/** Watches the connection of one send. */
export interface SilenceWatch {
  readonly recordBytes: () => void
  readonly stop: () => void
}

export interface SilenceWatchOptions {
  readonly clock: Clock
  readonly reachability: TargetReachability
  /** Longest time without bytes while this daemon is cut off. */
  readonly maximumSilenceMilliseconds: Milliseconds
  readonly onSilent: () => void
}

/**
 * Watches a send whose request another daemon may serve if its connection falls silent because this one
 * is cut off from the targets. While it is not cut off, a silent target is waited for.
 *
 * @example
 * const watch = watchSilence({ clock, reachability, maximumSilenceMilliseconds: 1_000, onSilent: () => connection.abort() })
 */
export function watchSilence ({ clock, reachability, maximumSilenceMilliseconds, onSilent }: SilenceWatchOptions): SilenceWatch {
  let lastBytesAt = clock.now()
  let timer: { readonly cancel: () => void } | undefined

  const check = (): void => {
    timer?.cancel()
    timer = undefined
    if (!reachability.isCutOff()) return
    const remaining = lastBytesAt + maximumSilenceMilliseconds - clock.now()
    if (remaining <= 0) onSilent()
    else timer = clock.setTimer(remaining, check)
  }
  const unsubscribe = reachability.events.on('lost', check)

  return {
    recordBytes: () => { lastBytesAt = clock.now() },
    stop: () => {
      unsubscribe()
      timer?.cancel()
    }
  }
}
