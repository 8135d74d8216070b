import type { EngineState, TargetRoleDefinition } from '@fuchsiastage/types'
import { withTimeout, type PlacementContext } from './context.js'
import type { PlacementTarget } from './interfaces.js'
import { goneTarget, observeTarget } from './reconciliation.js'
import { RECORD_KINDS, type ObservedFields } from './records.js'
import { reservationsOn, type PlacementState } from './state.js'

/** A read of a target, with the folded state from before it began. */
export interface TargetReading {
  readonly engine: EngineState
  readonly before: PlacementState
}

export interface TargetReader {
  /** Reads a target and records what the fold did not know; the reading returned adds nothing more to the fold. */
  readonly reconcile: (epoch: number, target: PlacementTarget, isNeeded?: boolean) => Promise<TargetReading | undefined>
  /** Newest state that was read or pushed, as a hint. */
  readonly hint: (target: string) => EngineState | undefined
  readonly offerHint: (target: string, engine: EngineState) => void
  /** Time of the newest read that was tried. */
  readonly triedAt: (target: string) => number
  /** Since when reads of the target have failed, or undefined. */
  readonly unreachableSince: (target: string) => number | undefined
  readonly declareGone: (epoch: number, target: string) => Promise<void>
  readonly forget: (isKept: (target: string) => boolean) => void
}

/** Reads after which a target that keeps changing is left to the next pass. */
const READS = 3

/**
 * Creates the reader that compares targets with the folded state.
 *
 * @example
 * const reader = createTargetReader(context, (target, model) => busy.has(reservationKey(target, model)))
 */
export function createTargetReader (
  context: PlacementContext,
  /** Changes whenever this daemon begins or ends an operation on the pair; undefined while one runs. */
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
      logger.info('target state differs from the placement records', {
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
      logger.warn('target is gone; its reservations are dropped', { event: 'target-gone', peer: target, epoch })
      await write(epoch, fields)
    },
    forget: (isKept) => {
      for (const map of [hints, tried, unreachable]) {
        for (const target of map.keys()) if (!isKept(target)) map.delete(target)
      }
    }
  }
}

/** Role of the target if it is an engine. */
export function roleOf (context: PlacementContext, target: PlacementTarget): TargetRoleDefinition | undefined {
  const role = context.configuration().roles.get(target.role)
  return role?.kind === 'engine' ? role : undefined
}
