import type { WeightsCache } from './weights-cache.js'
import type { EventClock } from '../event-clock.js'
import type { Milliseconds, WeightsLocation } from '@fuchsiastage/types'
import type { Timer } from '@fuchsiastage/clock'

export interface LoadTimeModelOptions {
  readonly clock: EventClock
  readonly storeMegabytesPerSecond: number
  readonly storeConcurrentLoads: number
}

/** Simulates the duration of loads. Downloads share the bandwidth of the weight store; reads from the caches of a target's VM do not slow each other down. */
export interface LoadTimeModel {
  readonly load: (cache: WeightsCache, name: string, megabytes: number, done: () => void) => void
}

const MEMORY_MEGABYTES_PER_SECOND = 20_000
const DISK_MEGABYTES_PER_SECOND = 4_000
/** Time to append the intent record and to send the order. */
const ORDER_MILLISECONDS: Milliseconds = 30

/**
 * Creates the simulation of load times.
 *
 * @example
 * const loadTimes = createLoadTimeModel({ clock, storeMegabytesPerSecond: 2_000, storeConcurrentLoads: 4 })
 */
export function createLoadTimeModel (options: LoadTimeModelOptions): LoadTimeModel {
  const { clock } = options
  const downloads = new Set<{ remaining: number, readonly done: () => void }>()
  let updatedAt = 0
  let timer: Timer | undefined

  const downloadRate = (): number =>
    options.storeMegabytesPerSecond / 1_000 * Math.min(1, options.storeConcurrentLoads / Math.max(1, downloads.size))
  const updateProgress = (): void => {
    const downloadedMegabytes = (clock.now() - updatedAt) * downloadRate()
    updatedAt = clock.now()
    for (const download of downloads) download.remaining -= downloadedMegabytes
  }
  const scheduleNextCompletion = (): void => {
    timer?.cancel()
    if (downloads.size === 0) return
    const smallestRemaining = Math.min(...[...downloads].map(({ remaining }) => remaining))
    timer = clock.setTimer(Math.max(0, smallestRemaining) / downloadRate(), () => {
      updateProgress()
      // The tolerance keeps rounding errors from leaving a download incomplete.
      const completed = [...downloads].filter(({ remaining }) => remaining <= 1e-6)
      for (const download of completed) downloads.delete(download)
      scheduleNextCompletion()
      for (const { done } of completed) done()
    })
  }
  const startDownload = (megabytes: number, done: () => void): void => {
    updateProgress()
    downloads.add({ remaining: megabytes, done })
    scheduleNextCompletion()
  }

  const localReadMilliseconds = (location: WeightsLocation, megabytes: number): Milliseconds =>
    megabytes / (location === 'disk' ? DISK_MEGABYTES_PER_SECOND : MEMORY_MEGABYTES_PER_SECOND) * 1_000

  return {
    load: (cache, name, megabytes, done) => {
      const location = cache.locate(name)
      const finish = (): void => {
        cache.store(name, megabytes)
        done()
      }
      const loadIntoAccelerator = (): void => { clock.setTimer(localReadMilliseconds(location, megabytes), finish) }
      clock.setTimer(ORDER_MILLISECONDS, () => location === 'remote' ? startDownload(megabytes, loadIntoAccelerator) : loadIntoAccelerator())
    }
  }
}
