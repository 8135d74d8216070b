/** What one engine was asked for, and whether its streams paused for too long meanwhile. */
export interface CapacitySample {
  readonly requestsPerSecond: number
  readonly isStrained: boolean
}

export interface EngineCapacity {
  readonly observe: (samples: readonly CapacitySample[]) => void
  /** Requests a second that an engine serves without long pauses; undefined until an engine was strained. */
  readonly requestsPerSecond: () => number | undefined
}

/** Part by which a sample that contradicts the estimate moves it: some ten samples, which are a few seconds. */
const STEP = 0.1

/**
 * Creates the estimate of how many requests an engine serves without long pauses. It is learned,
 * because it depends on the prompts and on the engines.
 *
 * @example
 * const capacity = createEngineCapacity()
 * capacity.observe([{ requestsPerSecond: 6, isStrained: true }])
 */
export function createEngineCapacity (): EngineCapacity {
  let estimate: number | undefined

  return {
    observe: (samples) => {
      for (const { requestsPerSecond, isStrained } of samples) {
        if (requestsPerSecond <= 0) continue
        if (estimate === undefined) estimate = isStrained ? requestsPerSecond : undefined
        else if (isStrained === (requestsPerSecond < estimate)) estimate += STEP * (requestsPerSecond - estimate)
      }
    },
    requestsPerSecond: () => estimate
  }
}
