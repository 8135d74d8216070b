import type { Clock } from '@fuchsiastage/clock'
import type { LeasedStream } from '@fuchsiastage/leased-stream'
import type { Logger } from '@fuchsiastage/logger'
import type { JsonValue, Milliseconds } from '@fuchsiastage/types'
import type { PlacementConfiguration, PlacementEngineClient, PlacementSettings, PlacementTarget } from './interfaces.js'
import type { PlacementState } from './state.js'

/** Dependencies and settings shared by the components of the placement controller. */
export interface PlacementContext {
  readonly leased: LeasedStream<PlacementState>
  readonly engineClient: PlacementEngineClient
  readonly configuration: () => PlacementConfiguration
  /** Engines of this region by name; empty until a VM list has been read. */
  readonly targets: () => ReadonlyMap<string, PlacementTarget>
  readonly clock: Clock
  readonly logger: Logger
  readonly settings: PlacementSettings
  readonly stopping: AbortSignal
  /**
   * Epoch under which this daemon may make placement decisions. Undefined if it does not hold the
   * lease, its configuration is not fresh, or the controller is stopping.
   */
  readonly decidingEpoch: () => number | undefined
  readonly state: () => PlacementState
  readonly decisions: DecisionWriter
}

export interface DecisionWriter {
  /**
   * Appends a decision record under the given epoch. Appends run one after another, because the fold
   * ignores records whose sequence number does not increase. Resolves to true if the local fold has
   * processed the record. Only the placement state shows whether the fold accepted it.
   */
  readonly write: (epoch: number, kind: string, fields: (sequence: number) => object) => Promise<boolean>
}

/** Runs an operation with a signal that aborts after the timeout or when the controller stops. */
export async function withTimeout<Value> (
  context: Pick<PlacementContext, 'clock' | 'stopping'>,
  timeout: Milliseconds,
  operation: (signal: AbortSignal) => Promise<Value>
): Promise<Value> {
  const controller = new AbortController()
  const abort = (): void => controller.abort()
  const timer = context.clock.setTimer(timeout, abort)
  context.stopping.addEventListener('abort', abort)
  if (context.stopping.aborted) abort()
  try {
    return await operation(controller.signal)
  } finally {
    timer.cancel()
    context.stopping.removeEventListener('abort', abort)
  }
}

/**
 * Creates the writer for the decision records of this daemon.
 *
 * @example
 * const decisions = createDecisionWriter(context)
 */
export function createDecisionWriter (context: Pick<PlacementContext, 'clock' | 'stopping' | 'leased' | 'settings'>): DecisionWriter {
  const { leased, settings } = context
  let lastEpoch = 0
  let lastSequence = 0
  let lastWrite: Promise<unknown> = Promise.resolve()

  const append = async (epoch: number, kind: string, fields: (sequence: number) => object): Promise<boolean> => {
    // A decision made in an earlier epoch of this daemon must not be written under the current epoch.
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
      const result = lastWrite.then(() => append(epoch, kind, fields))
      lastWrite = result.catch(() => undefined)
      return result
    }
  }
}
