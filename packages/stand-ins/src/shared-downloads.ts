import type { Clock, Timer } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

/** Concurrent downloads that share a limited bandwidth. */
export interface SharedDownloads {
  /** Resolves to true when the download is complete, to false when the signal aborts first. */
  readonly download: (megabytes: number, signal: AbortSignal) => Promise<boolean>
  readonly active: () => number
  /** Sets the speed of all downloads relative to full speed; 0 stops their progress. */
  readonly setSpeed: (factor: number) => void
}

export interface SharedDownloadsOptions {
  readonly clock: Clock
  readonly megabytesPerSecond: number
  /** Number of concurrent downloads at full speed. A larger number of downloads shares the bandwidth of this many. */
  readonly fullSpeedDownloads: number
}

/** Remainders below this count as complete, because rounding of the progress can leave a small one. */
const COMPLETE_BELOW_MEGABYTES = 1e-6

/**
 * Creates the downloads of a store with limited bandwidth.
 *
 * @example
 * const downloads = createSharedDownloads({ clock, megabytesPerSecond: 1_000, fullSpeedDownloads: 4 })
 * await downloads.download(14_000, signal)
 */
export function createSharedDownloads ({ clock, megabytesPerSecond, fullSpeedDownloads }: SharedDownloadsOptions): SharedDownloads {
  const active = new Set<{ remainingMegabytes: number, readonly complete: () => void }>()
  let speedFactor = 1
  let updatedAt: Milliseconds = clock.now()
  let timer: Timer | undefined

  const megabytesPerMillisecond = (): number => {
    const bandwidthShare = Math.min(1, fullSpeedDownloads / Math.max(1, active.size))
    return megabytesPerSecond / 1_000 * bandwidthShare * speedFactor
  }
  /** Adds the progress since the last update at the current rate. Must run before the rate changes. */
  const applyProgress = (): void => {
    const transferredMegabytes = (clock.now() - updatedAt) * megabytesPerMillisecond()
    updatedAt = clock.now()
    for (const download of active) download.remainingMegabytes -= transferredMegabytes
  }
  const scheduleNextCompletion = (): void => {
    timer?.cancel()
    timer = undefined
    for (const download of [...active]) if (download.remainingMegabytes <= COMPLETE_BELOW_MEGABYTES) download.complete()
    const smallestRemainingMegabytes = Math.min(...[...active].map(({ remainingMegabytes }) => remainingMegabytes))
    const transferRate = megabytesPerMillisecond()
    if (!Number.isFinite(smallestRemainingMegabytes) || transferRate === 0) return
    timer = clock.setTimer(Math.max(0, smallestRemainingMegabytes) / transferRate, () => {
      applyProgress()
      scheduleNextCompletion()
    })
  }

  return {
    download: (megabytes, signal) => new Promise((resolve) => {
      applyProgress()
      const settle = (isComplete: boolean): void => {
        if (!active.delete(transfer)) return
        signal.removeEventListener('abort', abort)
        resolve(isComplete)
      }
      const transfer = { remainingMegabytes: megabytes, complete: () => settle(true) }
      const abort = (): void => {
        applyProgress()
        settle(false)
        scheduleNextCompletion()
      }
      active.add(transfer)
      signal.addEventListener('abort', abort)
      if (signal.aborted) abort()
      else scheduleNextCompletion()
    }),
    active: () => active.size,
    setSpeed: (factor) => {
      applyProgress()
      speedFactor = factor
      scheduleNextCompletion()
    }
  }
}
