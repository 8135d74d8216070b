/** Demand on one engine, and whether its streams paused for too long under this demand. */
export interface CapacitySample {
  /** Requests per second, each weighted by the megabytes of its model, because large models run slower. */
  readonly weightedRate: number
  readonly isOverloaded: boolean
}

export interface EngineCapacity {
  readonly observe: (samples: readonly CapacitySample[]) => void
  /** Requests per second that an engine can sustain without long pauses, for a model of this size; undefined until an engine has been overloaded. */
  readonly requestsPerSecond: (megabytes: number) => number | undefined
}

/** Fraction by which a sample that contradicts the estimate moves it, so that it adapts within about ten samples, which arrive in a few seconds. */
const ESTIMATE_STEP = 0.1

/**
 * Creates the estimate of how many requests per second an engine can sustain without long pauses. It
 * is learned from samples, because it depends on the prompts and on the engines.
 *
 * @example
 * const capacity = createEngineCapacity()
 * capacity.observe([{ weightedRate: 6 * 16_000, isOverloaded: true }])
 * const forLargeModel = capacity.requestsPerSecond(34_000)
 */
export function createEngineCapacity (): EngineCapacity {
  let estimate: number | undefined

  return {
    observe: (samples) => {
      for (const { weightedRate, isOverloaded } of samples) {
        if (weightedRate <= 0) continue
        if (estimate === undefined) estimate = isOverloaded ? weightedRate : undefined
        else if (isOverloaded === (weightedRate < estimate)) estimate += ESTIMATE_STEP * (weightedRate - estimate)
      }
    },
    requestsPerSecond: (megabytes) => estimate === undefined ? undefined : estimate / Math.max(1, megabytes)
  }
}
