import type { Clock } from '@fuchsiastage/clock'
import type { LeasedStream } from '@fuchsiastage/leased-stream'
import type { Logger } from '@fuchsiastage/logger'
import type { JsonValue, Milliseconds } from '@fuchsiastage/types'
import type { PlacementConfiguration, PlacementEngineClient, PlacementSettings, PlacementTarget } from './interfaces.js'
import type { PlacementState } from './state.js'

/** What the parts of the controller share. */
export interface PlacementContext {
  readonly leased: LeasedStream<PlacementState>
  readonly engineClient: PlacementEngineClient
  readonly configuration: () => PlacementConfiguration
  /** Engines of this region; empty while no VM list has been read. */
  readonly targets: () => ReadonlyMap<string, PlacementTarget>
  readonly clock: Clock
  readonly logger: Logger
  readonly settings: PlacementSettings
  readonly stopping: AbortSignal
  /** Epoch in which this daemon holds the lease and the configuration is fresh enough, or undefined. */
  readonly decidingEpoch: () => number | undefined
  readonly state: () => PlacementState
  readonly decisions: DecisionWriter
}

export interface DecisionWriter {
  /**
   * Appends a decision under the given epoch, one at a time since the fold wants growing sequence
   * numbers. Returns true when the own fold has passed the record; its verdict is in the state.
   */
  readonly write: (epoch: number, kind: string, fields: (sequence: number) => object) => Promise<boolean>
}

/** Runs an operation under a signal that aborts after the timeout or when the controller stops. */
export async function withTimeout<Value> (
  context: Pick<PlacementContext, 'clock' | 'stopping'>,
  timeout: Milliseconds,
  operation: (signal: AbortSignal) => Promise<Value>
): Promise<Value> {
  const limit = new AbortController()
  const abort = (): void => limit.abort()
  const timer = context.clock.setTimer(timeout, abort)
  context.stopping.addEventListener('abort', abort)
  if (context.stopping.aborted) abort()
  try {
    return await operation(limit.signal)
  } finally {
    timer.cancel()
    context.stopping.removeEventListener('abort', abort)
  }
}

/**
 * Creates the writer of this process's decisions.
 *
 * @example
 * const decisions = createDecisionWriter(context)
 */
export function createDecisionWriter (context: Pick<PlacementContext, 'clock' | 'stopping' | 'leased' | 'settings'>): DecisionWriter {
  const { leased, settings } = context
  let lastEpoch = 0
  let lastSequence = 0
  let queue: Promise<unknown> = Promise.resolve()

  const append = async (epoch: number, kind: string, fields: (sequence: number) => object): Promise<boolean> => {
    // What was decided in another epoch of this daemon must not be written under the current one.
    if (leased.currentEpoch() !== epoch) return false
    lastSequence = epoch === lastEpoch ? lastSequence + 1 : 1
    lastEpoch = epoch
    const sequence = lastSequence
    const appended = await withTimeout(context, settings.appendTimeoutMilliseconds, (signal) =>
      leased.append(kind, { ...fields(sequence), sequence } as Readonly<Record<string, JsonValue>>, signal))
    return appended.kind === 'applied'
  }

  return {
    write: (epoch, kind, fields) => {
      const result = queue.then(() => append(epoch, kind, fields))
      queue = result.catch(() => undefined)
      return result
    }
  }
}
