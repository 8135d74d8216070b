import type { EngineState, TargetRoleDefinition } from '@fuchsiastage/types'
import { withTimeout, type PlacementContext } from './context.js'
import type { PlacementTarget } from './interfaces.js'
import { goneTarget, observeTarget } from './reconciliation.js'
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
   * that read, or undefined if the target could not be read or kept changing.
   */
  readonly reconcile: (epoch: number, target: PlacementTarget, isNeeded?: boolean) => Promise<TargetReading | undefined>
  /** Newest engine state that was read or pushed. It is a hint and may be out of date. */
  readonly hint: (target: string) => EngineState | undefined
  readonly offerHint: (target: string, engine: EngineState) => void
  /** Start time of the newest read, whether successful or not. */
  readonly triedAt: (target: string) => number
  /** Time since which all reads of the target have failed, or undefined. */
  readonly unreachableSince: (target: string) => number | undefined
  readonly declareGone: (epoch: number, target: string) => Promise<void>
  readonly forget: (isKept: (target: string) => boolean) => void
}

/** Maximum number of reads in one reconciliation; a target that keeps changing is left to the next pass. */
const READS = 3

/**
 * Creates the reader that compares the state of targets with the placement state.
 *
 * @example
 * const reader = createTargetReader(context, (target, model) => busy.has(reservationKey(target, model)))
 */
export function createTargetReader (
  context: PlacementContext,
  /** Number of the last completed operation of this daemon on the pair; undefined while one runs. */
  activity: (target: string, model: string) => number | undefined
): TargetReader {
  const { clock, engineClient, settings, logger } = context
  const hints = new Map<string, EngineState>()
  const tried = new Map<string, number>()
  const unreachable = new Map<string, number>()

  const write = (epoch: number, fields: ObservedFields): Promise<boolean> =>
    context.decisions.write(epoch, RECORD_KINDS.observed, () => fields)

  const read = async (target: PlacementTarget): Promise<EngineState | undefined> => {
    tried.set(target.name, clock.now())
    const result = await withTimeout(context, settings.readTimeoutMilliseconds, (signal) => engineClient.readState(target, signal))
    if (result.isErr) {
      if (!unreachable.has(target.name)) unreachable.set(target.name, clock.now())
      return undefined
    }
    unreachable.delete(target.name)
    hints.set(target.name, result.value)
    return result.value
  }

  const reconcile = async (epoch: number, target: PlacementTarget, isNeeded = false): Promise<TargetReading | undefined> => {
    for (let attempt = 0; attempt < READS; attempt++) {
      const before = context.state()
      const activityBefore = new Map(reservationsOn(before, target.name)
        .map(({ model }) => [model, activity(target.name, model)]))
      const engine = await read(target)
      const role = roleOf(context, target)
      if (engine === undefined || role === undefined) return undefined
      const isBusy = (model: string): boolean => {
        const known = activityBefore.get(model)
        return known === undefined || known !== activity(target.name, model)
      }
      const fields = observeTarget({ target, before, engine, fencing: role.fencing, memoryMegabytes: role.memoryMegabytes, isBusy, isNeeded })
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
    offerHint: (target, engine) => { hints.set(target, engine) },
    triedAt: (target) => tried.get(target) ?? -Infinity,
    unreachableSince: (target) => unreachable.get(target),
    declareGone: async (epoch, target) => {
      const fields = goneTarget(context.state(), target)
      if (fields === undefined) return
      logger.warn('target is missing from the VM list and unreachable; dropping its reservations', { event: 'target-gone', peer: target, epoch })
      await write(epoch, fields)
    },
    forget: (isKept) => {
      for (const map of [hints, tried, unreachable]) {
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
