import type { Clock, Timer } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

/** Downloads that share a bandwidth. */
export interface SharedDownloads {
  /** Resolves true when the megabytes have arrived, false when the signal aborts first. */
  readonly download: (megabytes: number, signal: AbortSignal) => Promise<boolean>
  readonly active: () => number
  /** 1 is full speed; 0 stalls all downloads. */
  readonly setSpeed: (factor: number) => void
}

export interface SharedDownloadsOptions {
  readonly clock: Clock
  readonly megabytesPerSecond: number
  /** Downloads that run at full speed at once; beyond, all share the bandwidth of this many. */
  readonly fullSpeedDownloads: number
}

/** Rounding of the progress must not leave a download without its last byte. */
const COMPLETE_BELOW_MEGABYTES = 1e-6

/**
 * Creates downloads of a store with a bounded bandwidth.
 *
 * @example
 * const downloads = createSharedDownloads({ clock, megabytesPerSecond: 1_000, fullSpeedDownloads: 4 })
 * await downloads.download(14_000, signal)
 */
export function createSharedDownloads ({ clock, megabytesPerSecond, fullSpeedDownloads }: SharedDownloadsOptions): SharedDownloads {
  const active = new Set<{ remainingMegabytes: number, readonly finish: () => void }>()
  let speed = 1
  let updatedAt: Milliseconds = clock.now()
  let timer: Timer | undefined

  const megabytesPerMillisecond = (): number => {
    const share = Math.min(1, fullSpeedDownloads / Math.max(1, active.size))
    return megabytesPerSecond / 1_000 * share * speed
  }
  /** Applies the progress since the last change, before the rate changes. */
  const progress = (): void => {
    const done = (clock.now() - updatedAt) * megabytesPerMillisecond()
    updatedAt = clock.now()
    for (const download of active) download.remainingMegabytes -= done
  }
  const schedule = (): void => {
    timer?.cancel()
    timer = undefined
    for (const download of [...active]) if (download.remainingMegabytes <= COMPLETE_BELOW_MEGABYTES) download.finish()
    const nearest = Math.min(...[...active].map(({ remainingMegabytes }) => remainingMegabytes))
    const rate = megabytesPerMillisecond()
    if (!Number.isFinite(nearest) || rate === 0) return
    timer = clock.setTimer(Math.max(0, nearest) / rate, () => {
      progress()
      schedule()
    })
  }

  return {
    download: (megabytes, signal) => new Promise((resolve) => {
      progress()
      const leave = (hasArrived: boolean): void => {
        if (!active.delete(entry)) return
        signal.removeEventListener('abort', abort)
        resolve(hasArrived)
      }
      const entry = { remainingMegabytes: megabytes, finish: () => leave(true) }
      const abort = (): void => {
        progress()
        leave(false)
        schedule()
      }
      active.add(entry)
      signal.addEventListener('abort', abort)
      if (signal.aborted) abort()
      else schedule()
    }),
    active: () => active.size,
    setSpeed: (factor) => {
      progress()
      speed = factor
      schedule()
    }
  }
}
