import type { Milliseconds, WeightsLocation } from '@fuchsiastage/types'
import type { PlacementSettings } from './interfaces.js'

/** A load in progress, with the values that the estimates use. */
export interface RunningLoad {
  readonly location: WeightsLocation
  readonly weightsMegabytes: number
  readonly startedAt: Milliseconds
}

export interface LoadEstimator {
  /** Records the duration of a completed load. */
  readonly record: (load: RunningLoad, endedAt: Milliseconds) => void
  /** Expected duration of one load, without the time that it waits in the queue. */
  readonly duration: (location: WeightsLocation, weightsMegabytes: number, running: readonly RunningLoad[], now: Milliseconds) => Milliseconds
}

/** Weight of the newest load in the moving average; the average follows a slow weight store after two or three loads. */
const NEWEST_WEIGHT = 0.4

const MEGABYTES_PER_GIGABYTE = 1_000

/**
 * Half-life with which a measured rate decays towards the assumed rate. Without the decay, a slow
 * phase of the weight store would make every deadline appear unreachable: no load would start, and
 * the recovery would never be measured.
 */
const RATE_HALF_LIFE_MILLISECONDS = 60_000

interface MeasuredRate {
  readonly millisecondsPerGigabyte: Milliseconds
  readonly measuredAt: Milliseconds
}

/**
 * Creates the estimator of load durations. An estimate uses the moving average of the completed loads,
 * or the rate of a running load that is already slower.
 *
 * @example
 * const estimator = createLoadEstimator(settings)
 */
export function createLoadEstimator (settings: PlacementSettings): LoadEstimator {
  const measurements = new Map<WeightsLocation, MeasuredRate>()
  const toRate = (milliseconds: Milliseconds, megabytes: number): Milliseconds =>
    milliseconds * MEGABYTES_PER_GIGABYTE / Math.max(1, megabytes)
  const rateAt = (location: WeightsLocation, now: Milliseconds): Milliseconds => {
    const assumed = settings.millisecondsPerGigabyte[location]
    const measured = measurements.get(location)
    if (measured === undefined) return assumed
    // Only slow rates decay. A rate that is faster than assumed causes no refusals, so the next load will correct it.
    if (measured.millisecondsPerGigabyte <= assumed) return measured.millisecondsPerGigabyte
    return assumed + (measured.millisecondsPerGigabyte - assumed) * 2 ** (-(now - measured.measuredAt) / RATE_HALF_LIFE_MILLISECONDS)
  }
  return {
    record: ({ location, weightsMegabytes, startedAt }, endedAt) => {
      const newest = toRate(endedAt - startedAt, weightsMegabytes)
      const millisecondsPerGigabyte = rateAt(location, endedAt) * (1 - NEWEST_WEIGHT) + newest * NEWEST_WEIGHT
      measurements.set(location, { millisecondsPerGigabyte, measuredAt: endedAt })
    },
    duration: (location, weightsMegabytes, running, now) => {
      const overdue = running
        .filter((load) => load.location === location)
        .map((load) => toRate(now - load.startedAt, load.weightsMegabytes))
      return Math.max(rateAt(location, now), ...overdue) * weightsMegabytes / MEGABYTES_PER_GIGABYTE
    }
  }
}

/**
 * Returns the expected end of a running load. The remaining time of an overdue load is estimated as
 * half of its elapsed time, so that the estimate grows while the weight store is slow.
 *
 * @example
 * const endAt = expectedEnd(load, estimator.duration('remote', 8_000, [], now), now)
 */
export function expectedEnd (load: RunningLoad, duration: Milliseconds, now: Milliseconds): Milliseconds {
  const elapsed = now - load.startedAt
  return elapsed < duration ? load.startedAt + duration : now + elapsed / 2
}

/** Current use of the weight store, which the limits on concurrency and rate apply to. */
export interface StoreUsage {
  /** Expected ends of the loads that occupy a slot of the weight store. */
  readonly ends: readonly Milliseconds[]
  /** Start time of the newest load. */
  readonly lastStartAt: Milliseconds
}

/** Returns the earliest time at which the rate limit of the weight store permits another load. */
export function nextStoreStart (usage: StoreUsage, settings: PlacementSettings): Milliseconds {
  return usage.lastStartAt + 1_000 / settings.loadsPerSecond
}

/**
 * Returns the expected end of a load from the weight store, given the durations of the loads queued
 * ahead of it.
 *
 * @example
 * const readyAt = storeReadyAt(clock.now(), usage, [20_000, 20_000], 30_000, settings)
 */
export function storeReadyAt (
  now: Milliseconds,
  usage: StoreUsage,
  durationsAhead: readonly Milliseconds[],
  duration: Milliseconds,
  settings: PlacementSettings
): Milliseconds {
  const slots = [...usage.ends]
  while (slots.length < settings.concurrentLoads) slots.push(now)
  let nextStartAt = Math.max(now, nextStoreStart(usage, settings))
  let end = now
  for (const load of [...durationsAhead, duration]) {
    slots.sort((left, right) => left - right)
    const start = Math.max(slots.shift() ?? now, nextStartAt)
    end = start + load
    slots.push(end)
    nextStartAt = start + 1_000 / settings.loadsPerSecond
  }
  return end
}
