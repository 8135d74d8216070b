import type { Clock } from '@fuchsiastage/clock'
import type { Milliseconds } from '@fuchsiastage/types'

export interface DemandEntry {
  readonly model: string
  /** Requests that started since the last report. */
  readonly requests: number
  readonly running: number
  readonly lastUsedAgoMilliseconds: Milliseconds
}

export interface DemandBook {
  readonly record: (model: string, change: 'begin' | 'end') => void
  /** Returns the models whose demand has changed since the last call, or that still have running requests. */
  readonly takeReport: () => readonly DemandEntry[]
}

interface ModelDemand {
  requests: number
  running: number
  lastUsedAt: Milliseconds
  isChanged: boolean
}

/**
 * Counts the requests of each model between two reports to the placement holder.
 *
 * @example
 * const demand = createDemandBook(clock)
 * demand.record('renewal-letter', 'begin')
 */
export function createDemandBook (clock: Clock): DemandBook {
  const models = new Map<string, ModelDemand>()

  const entryOf = (model: string): ModelDemand => {
    let entry = models.get(model)
    if (entry === undefined) {
      entry = { requests: 0, running: 0, lastUsedAt: clock.now(), isChanged: false }
      models.set(model, entry)
    }
    return entry
  }

  return {
    record: (model, change) => {
      const entry = entryOf(model)
      entry.lastUsedAt = clock.now()
      entry.isChanged = true
      if (change === 'begin') entry.requests++
      entry.running += change === 'begin' ? 1 : -1
    },
    takeReport: () => {
      const report: DemandEntry[] = []
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
