import type { EngineState, TargetRoleDefinition } from '@fuchsiastage/types'
import { withTimeout, type PlacementContext } from './context.js'
import type { PlacementTarget } from './interfaces.js'
import { removedTargetObservation, observeTarget } from './reconciliation.js'
import { RECORD_KINDS, type ObservedFields } from './records.js'
import { reservationsOn, type PlacementState } from './state.js'

/** Result of reading a target, with the placement state from before the read started. */
export interface TargetReading {
  readonly engine: EngineState
  readonly before: PlacementState
}

export interface TargetReader {
  /**
   * Reads a target and records differences from the placement state, until a read shows none. Returns
   * that read, or undefined if the target could not be read or kept changing. With `isForIntent`, a new
   * or changed target is recorded even if it has no reservations.
   */
  readonly reconcile: (epoch: number, target: PlacementTarget, isForIntent?: boolean) => Promise<TargetReading | undefined>
  /** Newest engine state that was read or pushed. It is a hint and may be out of date. */
  readonly hint: (target: string) => EngineState | undefined
  /** Stores an engine state that an observer pushed. */
  readonly updateHint: (target: string, engine: EngineState) => void
  /** Start time of the newest read, whether it succeeded or not; `-Infinity` if there was none. */
  readonly lastReadAt: (target: string) => number
  /** Time of the first failed read since the last successful one; undefined if the newest read succeeded. */
  readonly unreachableSince: (target: string) => number | undefined
  /** Records that the target is permanently removed, which deletes its reservations. */
  readonly declareRemoved: (epoch: number, target: string) => Promise<void>
  /** Deletes the hints and read times of the targets for which `isKept` returns false. */
  readonly prune: (isKept: (target: string) => boolean) => void
}

/** Maximum number of reads in one reconciliation; a target that keeps changing is left to the next pass. */
const MAXIMUM_READS = 3

/**
 * Creates the reader that compares the state of targets with the placement state.
 *
 * @example
 * const reader = createTargetReader(context, pairs.lastOperationNumber)
 */
export function createTargetReader (
  context: PlacementContext,
  /** Number of the last completed operation of this daemon on the pair; undefined while one runs. */
  lastOperationNumber: (target: string, model: string) => number | undefined
): TargetReader {
  const { clock, engineClient, settings, logger } = context
  const hints = new Map<string, EngineState>()
  const lastReadTimes = new Map<string, number>()
  const unreachableTimes = new Map<string, number>()

  const write = (epoch: number, fields: ObservedFields): Promise<boolean> =>
    context.decisions.write(epoch, RECORD_KINDS.observed, () => fields)

  const read = async (target: PlacementTarget): Promise<EngineState | undefined> => {
    lastReadTimes.set(target.name, clock.now())
    const result = await withTimeout(context, settings.readTimeoutMilliseconds, (signal) => engineClient.readState(target, signal))
    if (result.isErr) {
      if (!unreachableTimes.has(target.name)) unreachableTimes.set(target.name, clock.now())
      return undefined
    }
    unreachableTimes.delete(target.name)
    hints.set(target.name, result.value)
    return result.value
  }

  const reconcile = async (epoch: number, target: PlacementTarget, isForIntent = false): Promise<TargetReading | undefined> => {
    for (let attempt = 0; attempt < MAXIMUM_READS; attempt++) {
      const before = context.state()
      const operationNumbersBefore = new Map(reservationsOn(before, target.name)
        .map(({ model }) => [model, lastOperationNumber(target.name, model)]))
      const engine = await read(target)
      const role = roleOf(context, target)
      if (engine === undefined || role === undefined) return undefined
      const isBusy = (model: string): boolean => {
        const numberBefore = operationNumbersBefore.get(model)
        return numberBefore === undefined || numberBefore !== lastOperationNumber(target.name, model)
      }
      const fields = observeTarget({ target, before, engine, fencing: role.fencing, memoryMegabytes: role.memoryMegabytes, isBusy, isForIntent })
      if (fields === undefined) return { engine, before }
      logger.info('target state differs from the placement state; recording the observation', {
        event: 'target-observed', peer: target.name, epoch, endedOrders: fields.endedOrders, usableModels: fields.usableModels, unusableModels: fields.unusableModels
      })
      if (!await write(epoch, fields)) return undefined
    }
    return undefined
  }

  return {
    reconcile,
    hint: (target) => hints.get(target),
    updateHint: (target, engine) => { hints.set(target, engine) },
    lastReadAt: (target) => lastReadTimes.get(target) ?? -Infinity,
    unreachableSince: (target) => unreachableTimes.get(target),
    declareRemoved: async (epoch, target) => {
      const fields = removedTargetObservation(context.state(), target)
      if (fields === undefined) return
      logger.warn('target is missing from the VM list and unreachable; deleting its reservations', { event: 'target-gone', peer: target, epoch })
      await write(epoch, fields)
    },
    prune: (isKept) => {
      for (const map of [hints, lastReadTimes, unreachableTimes]) {
        for (const target of map.keys()) if (!isKept(target)) map.delete(target)
      }
    }
  }
}

/** Role definition of the target, or undefined if it is not an engine. */
export function roleOf (context: PlacementContext, target: PlacementTarget): TargetRoleDefinition | undefined {
  const role = context.configuration().roles.get(target.role)
  return role?.kind === 'engine' ? role : undefined
}
