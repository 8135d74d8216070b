import type { KeepWarmPolicy, KeepWarmSubject } from '@fuchsiastage/keep-warm'
import type { Milliseconds } from '@fuchsiastage/types'
import type { PlacementContext } from './context.js'
import { createLoadScheduler, type LoadScheduler } from './load-scheduler.js'
import type { PairOperationTracker } from './pair-operations.js'
import type { ReplicaOperations } from './replica-operations.js'
import { createReservationKeeper, isProtected, type ReservationKeeper } from './reservation-keeper.js'
import { reservationsOn, type Reservation } from './state.js'
import type { TargetReader } from './target-reader.js'
import type { UsageTracker } from './usage.js'

export interface DecisionDependencies {
  readonly context: PlacementContext
  readonly pairs: PairOperationTracker
  readonly reader: TargetReader
  readonly operations: ReplicaOperations
  readonly usage: UsageTracker
  readonly policy: KeepWarmPolicy
  readonly electedAt: () => Milliseconds
}

export interface Decisions {
  readonly scheduler: LoadScheduler
  readonly keeper: ReservationKeeper
}

/**
 * Creates the components that make placement decisions: load queue, target selection, eviction and
 * keep-warm review. Sending orders, reading targets and writing records are left to the given
 * operations and reader, so that a benchmark can run the same decisions against a simulated region.
 *
 * @example
 * const { scheduler, keeper } = createDecisions({ context, pairs, reader, operations, usage, policy, electedAt })
 */
export function createDecisions (dependencies: DecisionDependencies): Decisions {
  const { context, pairs, reader, operations, usage, policy, electedAt } = dependencies
  const { clock, settings, state } = context

  const keepWarmSubjectOf = (reservation: Reservation): KeepWarmSubject => {
    const { target, model, memoryMegabytes } = reservation
    const names = [model, ...reservationsOn(state(), target).filter(({ baseModel }) => baseModel === model).map((adapter) => adapter.model)]
    const useTimes = names.flatMap((name) => usage.lastUsedAt(name) ?? [])
    return {
      history: usage.history(model),
      idleSince: Math.max(scheduler.loadedAt(reservation) ?? electedAt(), ...useTimes),
      coldStartMilliseconds: scheduler.coldStartDuration(model),
      memoryShare: memoryMegabytes / Math.max(1, state().targets.get(target)?.memoryMegabytes ?? 1)
    }
  }

  const isEvictable = (reservation: Reservation): boolean => {
    const { target, model, isUsable } = reservation
    if (pairs.isBusy(target, model) || pairs.isInCooldown('removal', target, model) || scheduler.isQueued(model) || usage.inFlight(model) > 0) return false
    if (isProtected(context, reservation)) return false
    return !isUsable || clock.now() - keepWarmSubjectOf(reservation).idleSince >= settings.evictableIdleMilliseconds
  }

  const scheduler = createLoadScheduler({
    context,
    pairs,
    reader,
    operations,
    isEvictable,
    valueOf: (reservation) => policy.retentionValue(keepWarmSubjectOf(reservation), clock.now()),
    electedAt
  })
  const keeper = createReservationKeeper({ context, pairs, reader, operations, scheduler, usage, policy, keepWarmSubjectOf })
  return { scheduler, keeper }
}

export type { PlacementContext } from './context.js'
export type { LoadScheduler } from './load-scheduler.js'
export { createPairOperationTracker } from './pair-operations.js'
export type { LoadJob, LoadResult, ReplicaOperations } from './replica-operations.js'
export type { ReservationKeeper } from './reservation-keeper.js'
export type { TargetReader } from './target-reader.js'
export { createUsageTracker } from './usage.js'
