import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

export interface ModelDemandReport {
  readonly model: string
  /** Number of requests that have started since the last report. */
  readonly requests: number
  readonly running: number
  readonly lastUsedAgoMilliseconds: Milliseconds
}

export interface DemandTracker {
  readonly record: (model: string, change: 'begin' | 'end') => void
  /** Returns the demand of the models that were used since the last call or still have running requests. */
  readonly takeReport: () => readonly ModelDemandReport[]
}

interface ModelDemand {
  requests: number
  running: number
  lastUsedAt: Milliseconds
  isChanged: boolean
}

/**
 * Counts the requests for each model between two reports to the holder of the placement lease.
 *
 * @example
 * const demand = createDemandTracker(clock)
 * demand.record('renewal-letter', 'begin')
 */
export function createDemandTracker (clock: Clock): DemandTracker {
  const models = new Map<string, ModelDemand>()

  const demandOf = (model: string): ModelDemand => {
    let entry = models.get(model)
    if (entry === undefined) {
      entry = { requests: 0, running: 0, lastUsedAt: clock.now(), isChanged: false }
      models.set(model, entry)
    }
    return entry
  }

  return {
    record: (model, change) => {
      const entry = demandOf(model)
      entry.lastUsedAt = clock.now()
      entry.isChanged = true
      if (change === 'begin') entry.requests++
      entry.running += change === 'begin' ? 1 : -1
    },
    takeReport: () => {
      const report: ModelDemandReport[] = []
      for (const [model, entry] of models) {
        if (!entry.isChanged && entry.running === 0) {
          models.delete(model)
          continue
        }
        report.push({ model, requests: entry.requests, running: entry.running, lastUsedAgoMilliseconds: clock.now() - entry.lastUsedAt })
        entry.requests = 0
        entry.isChanged = false
      }
      return report
    }
  }
}
